/**
 * @file case.cpp An acknowledged desired state never comes into force, because a priority in it is read as a negative number.
 *
 * The operator moves a route to another service, in a desired state that gives the route the lowest rank of a 32-bit number. Control acknowledges it. The entry
 * machines can't read it: they go on with the old one, and one that starts again serves nothing.
 */
#include "../harness/Harness.h"

using namespace review;

namespace {

constexpr double configApplyMs = 2000; ///< Bound ConfigApply of the site.
constexpr double watchMs = 10000; ///< Time for which requests are sent after that bound.
constexpr const char* lowestRank = "4294967295";
constexpr const char* usualRank = "7";

std::string manifest(int number, const std::string& service, const std::string& priority)
{
    return "{\"number\":" + std::to_string(number) + R"(,"routes":[{"name":"r-pull","host":"archive.example","pathPrefix":"/pull/","kind":"safe","deadlineMs":1000,"objectiveMs":400,"priority":)" + priority
        + R"(,"service":")" + service + R"(","maxAttempts":2}],"services":[{"name":"archive","healthPath":"/health","maxConnections":260},{"name":"matters","healthPath":"/health","maxConnections":260}],)"
        + R"("callerLimits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

} // namespace

int main(int, char** arguments)
{
    Record record(arguments[2]);
    Deployment deployment(arguments[1], 3, 2, { "pasila", "vantaa", "espoo" });
    startRunLimit([&] { deployment.end(); });
    Operator platformOperator(record);
    std::mutex mutex;
    std::map<std::string, std::string> ranAt; ///< Service that ran a request, by Attempt-Id.
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<Backend*> all;
    for (const char* service : { "archive", "matters" }) {
        auto backend = std::make_unique<Backend>("i-" + std::string(service), service, "pasila", deployment.nextAddress(), 6);
        backend->onRun = [&, name = std::string(service)](const HttpMessage& request) {
            std::lock_guard<std::mutex> lock(mutex);
            ranAt[request.field("Attempt-Id")] = name;
        };
        if (!backend->start())
            return exitNotRun;
        all.push_back(backend.get());
        backends.push_back(std::move(backend));
    }
    if (!deployment.startAll())
        return exitNotRun;
    std::vector<std::string> controls = deployment.controlAddresses();
    if (platformOperator.send("desired state 1 (route to archive)", controls, jsonRequest("POST", "/v1/manifest", manifest(1, "archive", usualRank)), 20000) != 200)
        return exitNotRun;
    int result = exitNotRun;
    int requests = 0;
    auto pull = [&](size_t entry) {
        std::string id = "a" + std::to_string(++requests);
        std::optional<HttpMessage> answer = exchange(deployment.entries[entry].front(), "GET /pull/1 HTTP/1.1\r\nHost: archive.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n", 1200);
        std::lock_guard<std::mutex> lock(mutex);
        std::string service = ranAt.contains(id) ? ranAt[id] : "no service";
        record.line("%s to %s: run by %s, answered %d", id.c_str(), deployment.entries[entry].name.c_str(), service.c_str(), answer ? answer->status() : 0);
        return service;
    };
    {
        Pinger pinger(controls, all);
        auto run = [&] {
            if (!waitUntil(15000, [&] { return pull(0) == "archive" && pull(1) == "archive"; }))
                return exitNotRun;
            std::string rank = hasTrouble() ? lowestRank : usualRank;
            if (platformOperator.send("desired state 2 (route to matters, priority " + rank + ")", controls, jsonRequest("POST", "/v1/manifest", manifest(2, "matters", rank))) != 200)
                return exitNotRun;
            sleepMs(configApplyMs);
            int old = 0;
            int current = 0;
            for (double end = nowMs() + watchMs; nowMs() < end; sleepMs(200)) {
                for (size_t entry = 0; entry < deployment.entries.size(); ++entry) {
                    std::string service = pull(entry);
                    old += service == "archive" ? 1 : 0;
                    current += service == "matters" ? 1 : 0;
                }
            }
            record.line("sent later than ConfigApply (%.0f ms) after the acknowledgement: %d requests run by the old service, %d by the new one", configApplyMs, old, current);
            if (old == 0 && current == 0)
                return exitNotRun;
            return old > 0 ? exitBroken : exitHeld;
        };
        result = run();
        if (result != exitNotRun) {
            record.line("%s is killed and starts again", deployment.entries[0].name.c_str());
            Deployment::kill(deployment.entries[0]);
            deployment.start(deployment.entries[0]);
            sleepMs(5000);
            for (int number = 0; number < 5; ++number)
                pull(0);
        }
    }
    deployment.end();
    for (auto& backend : backends)
        backend->stop();
    record.line("exit %d", result);
    return result;
}
