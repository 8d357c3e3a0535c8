/** @file FakeTargetControl.cpp The /fake/ paths of a fake target and the JSON form of its data. */
#include "testing/FakeTarget.h"

#include <fstream>
#include <map>

namespace kingcup::testing {

namespace {

/** Returns an execution as JSON. */
nlohmann::json executionJson(const Execution& execution)
{
    return { { "target", execution.target }, { "callId", execution.callId }, { "key", execution.key }, { "startMs", execution.startMs }, { "endMs", execution.endMs } };
}

/** Takes a field when it is present. */
template <typename Value>
void take(const nlohmann::json& json, const char* name, Value& value)
{
    if (json.contains(name))
        json.at(name).get_to(value);
}

} // namespace

void to_json(nlohmann::json& json, const FakeTargetFaults& faults)
{
    json = {
        { "latencyMedianMs", faults.latencyMedianMs },
        { "latencySigma", faults.latencySigma },
        { "stragglerFactor", faults.stragglerFactor },
        { "failFastShare", faults.failFastShare },
        { "shedShare", faults.shedShare },
        { "shedRetryAfter", faults.shedRetryAfter },
        { "leavingHeader", faults.leavingHeader },
        { "limitHeader", faults.limitHeader },
        { "coldHeader", faults.coldHeader },
        { "closeShare", faults.closeShare },
        { "closeOnlyReused", faults.closeOnlyReused },
        { "truncateShare", faults.truncateShare },
        { "stall", faults.stall },
        { "crashOnMark", faults.crashOnMark },
        { "announce", faults.announce },
        { "state", faults.state },
    };
}

void from_json(const nlohmann::json& json, FakeTargetFaults& faults)
{
    take(json, "latencyMedianMs", faults.latencyMedianMs);
    take(json, "latencySigma", faults.latencySigma);
    take(json, "stragglerFactor", faults.stragglerFactor);
    take(json, "failFastShare", faults.failFastShare);
    take(json, "shedShare", faults.shedShare);
    take(json, "shedRetryAfter", faults.shedRetryAfter);
    take(json, "leavingHeader", faults.leavingHeader);
    take(json, "limitHeader", faults.limitHeader);
    take(json, "coldHeader", faults.coldHeader);
    take(json, "closeShare", faults.closeShare);
    take(json, "closeOnlyReused", faults.closeOnlyReused);
    take(json, "truncateShare", faults.truncateShare);
    take(json, "stall", faults.stall);
    take(json, "crashOnMark", faults.crashOnMark);
    take(json, "announce", faults.announce);
    take(json, "state", faults.state);
}

void to_json(nlohmann::json& json, const FakeTargetStats& stats)
{
    json = {
        { "executions", stats.executions },
        { "probes", stats.probes },
        { "shed", stats.shed },
        { "connections", stats.connections },
        { "announcements", stats.announcements },
        { "refusedAnnouncements", stats.refusedAnnouncements },
        { "inFlight", stats.inFlight },
        { "firstProbeMs", stats.firstProbeMs },
        { "lastProbeMs", stats.lastProbeMs },
    };
}

void from_json(const nlohmann::json& json, FakeTargetStats& stats)
{
    take(json, "executions", stats.executions);
    take(json, "probes", stats.probes);
    take(json, "shed", stats.shed);
    take(json, "connections", stats.connections);
    take(json, "announcements", stats.announcements);
    take(json, "refusedAnnouncements", stats.refusedAnnouncements);
    take(json, "inFlight", stats.inFlight);
    take(json, "firstProbeMs", stats.firstProbeMs);
    take(json, "lastProbeMs", stats.lastProbeMs);
}

/** Answers a request of a test. */
bool FakeTarget::answerControl(HttpStream& stream, const HttpMessage& request)
{
    std::string path = request.word(1);
    nlohmann::json answer;
    if (path == "/fake/faults") {
        nlohmann::json patch = nlohmann::json::parse(request.body, nullptr, false);
        if (patch.is_object())
            this->changeFaults(patch);
        answer = this->faults();
    } else if (path == "/fake/drain") {
        this->changeFaults({ { "state", "draining" } });
        answer = this->faults();
    } else if (path == "/fake/stats") {
        answer = this->stats();
    } else {
        answer = nlohmann::json::array();
        for (const Execution& execution : this->executions())
            answer.push_back(executionJson(execution));
    }
    return stream.connection().sendAll(this->makeAnswer(200, answer.dump()).encode()) && request.find("Connection") != "close";
}

std::vector<Execution> readExecutionLog(const std::string& file)
{
    std::vector<Execution> executions;
    std::map<size_t, size_t> positions;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);) {
        nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
        if (!event.is_object())
            continue;
        size_t number = event.at("number").get<size_t>();
        double time = event.at("ms").get<double>();
        if (event.at("event") == "start") {
            positions[number] = executions.size();
            executions.push_back({ event.at("target"), event.at("callId"), event.at("key"), time, -1 });
        } else if (positions.contains(number)) {
            executions[positions[number]].endMs = time;
        }
    }
    return executions;
}

} // namespace kingcup::testing
