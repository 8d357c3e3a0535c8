/** @file FakeTarget.cpp Serves requests of entry VMs with the faults that a test asks for. */
#include "testing/FakeTarget.h"

#include "testing/EchoBody.h"
#include "testing/MachineTime.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace kingcup::testing {

namespace {

constexpr Milliseconds announceInterval { 500 };
constexpr Milliseconds announceTimeout { 1000 };
constexpr double latencyAverageWeight = 0.1; ///< Weight of the newest run time in the reported average.
constexpr size_t defaultAnswerBytes = 256;
constexpr std::string_view jsonType = "application/json";

/** Returns a number with a standard normal distribution. */
double normal(RandomSource& random)
{
    double radius = std::sqrt(-2 * std::log(1 - random.fraction()));
    return radius * std::cos(2 * 3.14159265358979323846 * random.fraction());
}

} // namespace

FakeTarget::FakeTarget(FakeTargetOptions givenOptions)
    : options(std::move(givenOptions))
    , incarnation(static_cast<uint64_t>(MillisecondClock::wallTimeMs()))
    , random(this->options.seed)
{
    if (this->options.announcedAddress.empty())
        this->options.announcedAddress = this->options.listen;
    from_json(this->options.faults, this->currentFaults);
}

FakeTarget::~FakeTarget()
{
    this->stop();
}

bool FakeTarget::start()
{
    this->listener = listenOn(this->options.listen);
    if (!this->listener.valid())
        return false;
    if (!this->options.executionLog.empty())
        this->logDescriptor = ::open(this->options.executionLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    this->acceptThread = std::thread([this] { this->acceptLoop(); });
    this->announceThread = std::thread([this] { this->announceLoop(); });
    return true;
}

void FakeTarget::drain(Milliseconds limit)
{
    this->changeFaults({ { "state", "draining" } });
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, limit, [this] { return this->counters.inFlight == 0; });
}

void FakeTarget::stop()
{
    {
        std::lock_guard lock(this->mutex);
        if (this->stopping)
            return;
        this->stopping = true;
    }
    this->changed.notify_all();
    this->listener.shutDown();
    if (this->acceptThread.joinable())
        this->acceptThread.join();
    for (Connection& connection : this->connections) {
        connection.stream.connection().shutDown();
        connection.thread.join();
    }
    this->connections.clear();
    if (this->announceThread.joinable())
        this->announceThread.join();
    this->listener.close();
    if (this->logDescriptor >= 0)
        ::close(this->logDescriptor);
    this->logDescriptor = -1;
}

void FakeTarget::changeFaults(const nlohmann::json& patch)
{
    {
        std::lock_guard lock(this->mutex);
        from_json(patch, this->currentFaults);
        ++this->announcedChanges;
    }
    this->changed.notify_all();
}

FakeTargetFaults FakeTarget::faults() const
{
    std::lock_guard lock(this->mutex);
    return this->currentFaults;
}

FakeTargetStats FakeTarget::stats() const
{
    std::lock_guard lock(this->mutex);
    return this->counters;
}

std::vector<Execution> FakeTarget::executions() const
{
    std::lock_guard lock(this->mutex);
    return this->history;
}

/** Accepts connections and starts a thread for each. */
void FakeTarget::acceptLoop()
{
    while (true) {
        Socket socket = acceptFrom(this->listener);
        if (!socket.valid())
            return;
        this->forgetFinishedConnections();
        Connection& connection = this->connections.emplace_back();
        connection.stream = HttpStream(std::move(socket));
        connection.thread = std::thread([this, &connection] { this->serve(connection); });
        std::lock_guard lock(this->mutex);
        ++this->counters.connections;
    }
}

/** Joins the threads of closed connections. */
void FakeTarget::forgetFinishedConnections()
{
    this->connections.remove_if([](Connection& connection) {
        if (!connection.finished)
            return false;
        connection.thread.join();
        return true;
    });
}

/** Answers the requests of one connection. */
void FakeTarget::serve(Connection& connection)
{
    HttpMessage request;
    bool reused = false;
    while (connection.stream.readRequest(request) == HttpReadResult::Complete) {
        if (!this->answerRequest(connection, request, reused))
            break;
        reused = true;
    }
    connection.stream.connection().shutDown();
    connection.finished = true;
}

/** Answers one request. Returns whether the connection stays open. */
bool FakeTarget::answerRequest(Connection& connection, const HttpMessage& request, bool reused)
{
    Socket& socket = connection.stream.connection();
    if (request.word(1).starts_with("/fake/"))
        return this->answerControl(connection.stream, request);
    if (request.word(1) == "/load")
        return socket.sendAll(this->answerProbe().encode());
    FakeTargetFaults faults = this->faults();
    std::string callId = request.find("X-Call-Id");
    if (this->happens(faults.shedShare))
        return socket.sendAll(this->shedRequest(makeEchoBody(callId, request.body, 0)).encode());
    if (this->happens(faults.failFastShare))
        return socket.sendAll(this->makeAnswer(500, makeEchoBody(callId, request.body, 0)).encode());
    std::string answer = this->runRequest(request).encode();
    if ((reused || !faults.closeOnlyReused) && this->happens(faults.closeShare))
        return false;
    if (this->happens(faults.truncateShare)) {
        socket.sendAll(std::string_view(answer).substr(0, answer.size() - answer.size() / 4));
        return false;
    }
    return socket.sendAll(answer) && request.find("Connection") != "close";
}

/** Counts a request that is turned away and makes its answer. */
HttpMessage FakeTarget::shedRequest(std::string body)
{
    HttpMessage answer = this->makeAnswer(503, std::move(body));
    std::lock_guard lock(this->mutex);
    ++this->counters.shed;
    if (!this->currentFaults.shedRetryAfter.empty())
        answer.add("Retry-After", this->currentFaults.shedRetryAfter);
    return answer;
}

/** Counts a probe and answers it with the load. */
HttpMessage FakeTarget::answerProbe()
{
    nlohmann::json load;
    {
        std::lock_guard lock(this->mutex);
        ++this->counters.probes;
        this->counters.lastProbeMs = machineTimeMs();
        if (this->counters.probes == 1)
            this->counters.firstProbeMs = this->counters.lastProbeMs;
        load = { { "inFlight", this->counters.inFlight }, { "slots", this->options.slots }, { "latencyMs", this->latencyEstimateMs } };
    }
    return this->makeAnswer(200, load.dump());
}

/** Runs a request in a slot and returns its answer. */
HttpMessage FakeTarget::runRequest(const HttpMessage& request)
{
    size_t execution = this->recordStart(request);
    if (!request.find("X-Crash").empty() && this->faults().crashOnMark)
        ::kill(::getpid(), SIGKILL);
    std::unique_lock lock(this->mutex);
    TimePoint started = MillisecondClock::now();
    this->waitForSlot(lock);
    double runTime = this->currentFaults.latencyMedianMs * this->currentFaults.stragglerFactor;
    runTime *= std::exp(this->currentFaults.latencySigma * normal(this->random));
    this->changed.wait_for(lock, Milliseconds(runTime), [this] { return this->stopping; });
    this->changed.wait(lock, [this] { return this->stopping || !this->currentFaults.stall; });
    --this->running;
    lock.unlock();
    this->recordEnd(execution, MillisecondClock::now() - started);
    this->changed.notify_all();
    std::string wanted = request.find("X-Answer-Bytes");
    size_t size = wanted.empty() ? defaultAnswerBytes : std::strtoull(wanted.c_str(), nullptr, 10);
    HttpMessage answer = this->makeAnswer(200, makeEchoBody(request.find("X-Call-Id"), request.body, size));
    if (!request.find("X-Echo-Fields").empty())
        answer.body = listFields(request).dump();
    answer.add("X-Call-Id", request.find("X-Call-Id"));
    answer.add("X-Target", this->options.listen);
    return answer;
}

/** Returns the names and values of all fields of a request, in order of arrival. */
nlohmann::json FakeTarget::listFields(const HttpMessage& request)
{
    nlohmann::json fields = nlohmann::json::array();
    for (const HttpField& field : request.fields)
        fields.push_back({ field.name, field.value });
    return fields;
}

/** Waits until a slot is free and takes it. */
void FakeTarget::waitForSlot(std::unique_lock<std::mutex>& lock)
{
    this->changed.wait(lock, [this] { return this->stopping || this->running < this->options.slots; });
    ++this->running;
}

/** Records that a request starts to run. Returns its number. */
size_t FakeTarget::recordStart(const HttpMessage& request)
{
    std::lock_guard lock(this->mutex);
    ++this->counters.executions;
    ++this->counters.inFlight;
    Execution execution { this->options.listen, request.find("X-Call-Id"), request.find("Idempotency-Key"), machineTimeMs(), -1 };
    this->logLine({ { "event", "start" }, { "number", this->history.size() }, { "target", execution.target }, { "callId", execution.callId }, { "key", execution.key }, { "ms", execution.startMs } });
    this->history.push_back(execution);
    return this->history.size() - 1;
}

/** Records that a request has run. */
void FakeTarget::recordEnd(size_t execution, Milliseconds elapsed)
{
    std::lock_guard lock(this->mutex);
    --this->counters.inFlight;
    this->latencyEstimateMs += latencyAverageWeight * (elapsed.count() - this->latencyEstimateMs);
    this->history[execution].endMs = machineTimeMs();
    this->logLine({ { "event", "end" }, { "number", execution }, { "ms", this->history[execution].endMs } });
}

/** Appends to the execution log with one write, so that a kill loses no line. */
void FakeTarget::logLine(const nlohmann::json& line) const
{
    if (this->logDescriptor < 0)
        return;
    std::string text = line.dump() + "\n";
    if (::write(this->logDescriptor, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        std::abort();
}

/** Draws whether a fault strikes. */
bool FakeTarget::happens(double share)
{
    std::lock_guard lock(this->mutex);
    return share > 0 && this->random.fraction() < share;
}

/** Makes an answer with a load report. */
HttpMessage FakeTarget::makeAnswer(int status, std::string body) const
{
    char load[96] = {};
    {
        std::lock_guard lock(this->mutex);
        std::snprintf(load, sizeof load, "inflight=%u, slots=%u, latency-ms=%.3f", this->counters.inFlight, this->options.slots, this->latencyEstimateMs);
    }
    HttpMessage answer;
    answer.startLine = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Fault");
    answer.add("Content-Type", body.starts_with('{') ? jsonType : "text/plain");
    answer.add("Kingcup-Load", load);
    std::lock_guard lock(this->mutex);
    if (!this->currentFaults.leavingHeader.empty())
        answer.add("Kingcup-Leaving", this->currentFaults.leavingHeader);
    if (!this->currentFaults.limitHeader.empty())
        answer.add("Kingcup-Limit", this->currentFaults.limitHeader);
    if (!this->currentFaults.coldHeader.empty())
        answer.add("Kingcup-Cold-Ms", this->currentFaults.coldHeader);
    answer.body = std::move(body);
    return answer;
}

/** Announces about twice a second and after each change. */
void FakeTarget::announceLoop()
{
    size_t next = this->options.seed;
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        uint64_t seen = this->announcedChanges;
        bool wanted = this->currentFaults.announce && !this->options.announceTo.empty();
        lock.unlock();
        bool accepted = false;
        for (size_t attempt = 0; wanted && !accepted && attempt < this->options.announceTo.size(); ++attempt)
            accepted = this->announceOnce(this->options.announceTo[next++ % this->options.announceTo.size()]);
        lock.lock();
        this->counters.announcements += accepted;
        this->counters.refusedAnnouncements += wanted && !accepted;
        this->changed.wait_for(lock, announceInterval, [this, seen] { return this->stopping || this->announcedChanges != seen; });
    }
}

/** Sends one announcement. Returns whether it was accepted. */
bool FakeTarget::announceOnce(const std::string& address)
{
    std::unique_lock lock(this->mutex);
    nlohmann::json announcement = {
        { "service", this->options.service },
        { "address", this->options.announcedAddress },
        { "availabilityZone", this->options.availabilityZone },
        { "slots", this->options.slots },
        { "incarnation", this->incarnation },
        { "state", this->currentFaults.state },
        { "inFlight", this->counters.inFlight },
        { "latencyMs", this->latencyEstimateMs },
    };
    lock.unlock();
    HttpMessage request = makeRequest("POST", "/v1/targets/announce", announcement.dump(), this->options.token);
    std::optional<HttpMessage> answer = exchangeOnce(address, request, announceTimeout);
    return answer && answer->status() / 100 == 2;
}

} // namespace kingcup::testing
