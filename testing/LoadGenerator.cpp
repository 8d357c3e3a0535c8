/** @file LoadGenerator.cpp Sends calls on time and records what their callers see. */
#include "testing/LoadGenerator.h"

#include "testing/MachineTime.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kingcup::testing {

namespace {

constexpr Milliseconds connectLimit { 1000 };

/** Marks a call that got no whole answer. @param notSent Whether no byte was sent. */
void recordFailure(CallRecord& record, std::string result, bool notSent)
{
    record.view.told = notSent ? ToldRun::NotRun : ToldRun::Unknown;
    record.result = std::move(result);
}

} // namespace

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(values.size())));
    size_t position = std::clamp<size_t>(rank, 1, values.size()) - 1;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

LoadSummary summarise(const std::vector<CallRecord>& records)
{
    LoadSummary summary;
    std::vector<double> latencies;
    for (const CallRecord& record : records) {
        ++summary.calls;
        ++summary.results[record.result];
        summary.refused += record.view.told == ToldRun::NotRun;
        summary.unknown += record.view.told == ToldRun::Unknown;
        if (record.view.told != ToldRun::Ran)
            continue;
        ++summary.answered;
        latencies.push_back(record.latency.count());
    }
    summary.p50Ms = percentile(latencies, 0.5);
    summary.p99Ms = percentile(latencies, 0.99);
    return summary;
}

LoadGenerator::LoadGenerator(LoadOptions givenOptions)
    : options(std::move(givenOptions))
    , random(this->options.seed)
{
}

LoadGenerator::~LoadGenerator()
{
    this->finish();
}

void LoadGenerator::start()
{
    this->scheduler = std::thread([this] { this->schedule(); });
    for (uint32_t worker = 0; worker < this->options.threads; ++worker)
        this->workers.emplace_back([this] { this->work(); });
}

void LoadGenerator::finish()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopRequested = true;
    }
    this->changed.notify_all();
    this->join();
}

void LoadGenerator::join()
{
    if (this->scheduler.joinable())
        this->scheduler.join();
    for (std::thread& worker : this->workers)
        worker.join();
    this->workers.clear();
}

void LoadGenerator::setAddresses(std::vector<std::string> addresses)
{
    std::lock_guard lock(this->mutex);
    this->options.addresses = std::move(addresses);
}

std::vector<CallRecord> LoadGenerator::records() const
{
    std::lock_guard lock(this->mutex);
    return this->finished;
}

std::vector<CallerView> LoadGenerator::views() const
{
    std::vector<CallerView> views;
    for (const CallRecord& record : this->records())
        views.push_back(record.view);
    return views;
}

uint64_t LoadGenerator::ended() const
{
    std::lock_guard lock(this->mutex);
    return this->finished.size();
}

/** Makes calls due with exponential gaps, as independent callers do. */
void LoadGenerator::schedule()
{
    TimePoint due = MillisecondClock::now();
    TimePoint end = due + this->options.duration;
    std::unique_lock lock(this->mutex);
    for (uint64_t number = 1; due < end && !this->stopRequested; ++number) {
        this->changed.wait_for(lock, due - MillisecondClock::now(), [this, due] { return this->stopRequested || MillisecondClock::now() >= due; });
        this->queue.push_back({ due, this->drawTemplate(), number, 0, this->drawAddress() });
        this->changed.notify_one();
        due += Milliseconds(-std::log(1 - this->random.fraction()) * 1000 / this->options.callsPerSecond);
    }
    this->allScheduled = true;
    this->changed.notify_all();
}

/** Draws a kind of call by weight. */
size_t LoadGenerator::drawTemplate()
{
    double total = 0;
    for (const CallTemplate& entry : this->options.mix)
        total += entry.weight;
    double drawn = this->random.fraction() * total;
    for (size_t index = 0; index < this->options.mix.size(); ++index) {
        drawn -= this->options.mix[index].weight;
        if (drawn < 0)
            return index;
    }
    return this->options.mix.size() - 1;
}

/** Draws a caller listener. */
std::string LoadGenerator::drawAddress()
{
    return this->options.addresses[this->random.below(this->options.addresses.size())];
}

/** Sends the calls that are due, one after the other. */
void LoadGenerator::work()
{
    Connections connections;
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return !this->queue.empty() || (this->allScheduled && this->busy == 0); });
        if (this->queue.empty())
            break;
        DueCall due = this->queue.front();
        this->queue.pop_front();
        ++this->busy;
        lock.unlock();
        CallRecord record = this->call(due, connections);
        this->resendLater(due, record);
        lock.lock();
        this->finished.push_back(std::move(record));
        --this->busy;
        if (this->allScheduled && this->busy == 0 && this->queue.empty())
            this->changed.notify_all();
    }
}

/** Sends one call and records its outcome. */
CallRecord LoadGenerator::call(const DueCall& due, Connections& connections)
{
    const CallTemplate& kind = this->options.mix[due.templateIndex];
    CallRecord record;
    record.templateIndex = due.templateIndex;
    record.address = due.address;
    record.view.repeatable = kind.repeatable;
    record.view.callId = this->options.idPrefix + "-" + std::to_string(due.number) + "-" + std::to_string(due.resend);
    record.view.key = kind.keyed ? this->options.idPrefix + "-key-" + std::to_string(due.number) : "";
    record.view.startMs = due.due.time_since_epoch().count();

    HttpMessage request = this->buildRequest(due, record.view);
    HttpStream* stream = this->connection(due.address, connections);
    if (!stream) {
        recordFailure(record, "caller cannot connect", true);
    } else if (!stream->connection().sendAll(request.encode())) {
        recordFailure(record, "caller cannot send", false);
    } else {
        HttpMessage answer;
        HttpReadResult result = stream->readAnswer(answer);
        this->judge(record, request, answer, result);
        bool keep = result == HttpReadResult::Complete && this->options.reuseConnections && answer.find("Connection") != "close";
        if (!keep)
            connections.erase(due.address);
    }
    record.view.endMs = machineTimeMs();
    record.latency = Milliseconds(record.view.endMs - record.view.startMs);
    return record;
}

/** Builds the request of a call. */
HttpMessage LoadGenerator::buildRequest(const DueCall& due, const CallerView& view) const
{
    const CallTemplate& kind = this->options.mix[due.templateIndex];
    HttpMessage request;
    request.startLine = kind.method + " " + kind.path + " HTTP/1.1";
    request.add("Host", kind.host.empty() ? "kingcup" : kind.host);
    request.add("X-Call-Id", view.callId);
    request.add("X-Answer-Bytes", std::to_string(kind.answerBytes));
    if (kind.keyed)
        request.add("Idempotency-Key", view.key);
    if (kind.requestBytes > 0)
        request.body = makeEchoBody("request-" + std::to_string(due.number), "", kind.requestBytes);
    return request;
}

/** Returns a usable connection, or null. */
HttpStream* LoadGenerator::connection(const std::string& address, Connections& connections) const
{
    auto found = connections.find(address);
    if (found != connections.end() && !found->second.connection().staleWhenIdle())
        return &found->second;
    Socket socket = connectTo(address, connectLimit);
    if (!socket.valid()) {
        connections.erase(address);
        return nullptr;
    }
    socket.setTimeout(this->options.timeout);
    return &(connections[address] = HttpStream(std::move(socket)));
}

/** Turns an answer into the view of its caller. */
void LoadGenerator::judge(CallRecord& record, const HttpMessage& request, const HttpMessage& answer, HttpReadResult result) const
{
    CallerView& view = record.view;
    if (result != HttpReadResult::Complete) {
        view.body = BodyState::Broken;
        recordFailure(record, result == HttpReadResult::TimedOut ? "caller timed out" : "connection lost", false);
        return;
    }
    view.status = answer.status();
    record.result = answer.find("Kingcup-Result");
    view.resultCode = std::atoi(record.result.c_str());
    if (record.result.empty())
        record.result = "status " + std::to_string(view.status);
    EchoBody echo = readEchoBody(answer.body);
    view.bodyCallId = echo.callId;
    view.requestWhole = echo.requestChecksum == checksumOf(request.body);
    std::string run = answer.find("Kingcup-Run");
    bool fromTarget = run.empty() || run == "ran";
    bool lostContent = fromTarget && view.status / 100 == 2 && echo.state == BodyState::None;
    view.body = lostContent ? BodyState::Damaged : echo.state;
    view.told = fromTarget ? ToldRun::Ran : ToldRun::Unknown;
    if (run == "not-run")
        view.told = ToldRun::NotRun;
}

/** Sends a keyed call again, through any VM, when its outcome is open. */
void LoadGenerator::resendLater(const DueCall& due, const CallRecord& record)
{
    bool wanted = !record.view.key.empty() && record.view.told != ToldRun::Ran && due.resend < this->options.resends;
    if (!wanted)
        return;
    std::this_thread::sleep_for(this->options.resendDelay);
    std::lock_guard lock(this->mutex);
    this->queue.push_back({ MillisecondClock::now(), due.templateIndex, due.number, due.resend + 1, this->drawAddress() });
    this->changed.notify_one();
}

} // namespace kingcup::testing
