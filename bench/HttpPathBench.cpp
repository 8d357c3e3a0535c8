/** @file HttpPathBench.cpp Measures listener plus client as a pass-through against direct calls of the same target. */
#include "packages/transport/tests/RawSocket.h"
#include "packages/transport/tests/TestProxy.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>
#include <thread>
#include <vector>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr int warmUpCalls = 100; ///< For each caller, not measured.

/** One row of the table. */
struct Measurement {
    double p50Ms = 0; ///< Median.
    double p99Ms = 0; ///< 99th percentile.
    double callsPerSecond = 0; ///< Of all callers together.
    double callsPerCore = 0; ///< Calls for each second of processor time of the threads under test.
    int failures = 0; ///< Calls without a correct answer.
};

/** How a run calls. */
struct Load {
    std::string name; ///< First column.
    uint16_t port = 0; ///< Called.
    std::string request; ///< Sent in each call.
    int callers = 1; ///< Kept-alive connections, each with one call at a time.
    int callsEach = 0; ///< Measured calls of each caller.
    double paceMs = 0; ///< Time between the starts of a caller's calls; 0: as fast as possible.
};

/** Returns the processor time of this process in seconds. */
double processSeconds()
{
    timespec now {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

/** Makes the calls of one caller. Returns their durations in milliseconds, negative for failures. */
std::vector<double> runCaller(const Load& load, int calls)
{
    RawSocket caller = RawSocket::connectTo(load.port);
    std::vector<double> durations;
    TimePoint next = MillisecondClock::now();
    for (int call = 0; call < calls; ++call) {
        std::this_thread::sleep_until(std::chrono::steady_clock::time_point(std::chrono::duration_cast<std::chrono::nanoseconds>(next.time_since_epoch())));
        next += Milliseconds(load.paceMs);
        TimePoint start = MillisecondClock::now();
        bool correct = caller.send(load.request) && caller.receiveMessage().starts_with("HTTP/1.1 200");
        double duration = (MillisecondClock::now() - start).count();
        durations.push_back(correct ? duration : -1);
    }
    return durations;
}

/** Runs all callers at once. */
std::vector<double> runCallers(const Load& load, int callsEach)
{
    std::vector<std::vector<double>> results(static_cast<size_t>(load.callers));
    std::vector<std::thread> threads;
    threads.reserve(results.size());
    for (std::vector<double>& result : results)
        threads.emplace_back([&load, &result, callsEach] { result = runCaller(load, callsEach); });
    for (std::thread& thread : threads)
        thread.join();
    std::vector<double> all;
    for (const std::vector<double>& result : results)
        all.insert(all.end(), result.begin(), result.end());
    return all;
}

/** Measures one load. */
Measurement measure(const Load& load)
{
    runCallers(load, warmUpCalls);
    double processorStart = processSeconds();
    TimePoint start = MillisecondClock::now();
    std::vector<double> durations = runCallers(load, load.callsEach);
    double seconds = (MillisecondClock::now() - start).count() / 1000;
    double processor = processSeconds() - processorStart;
    std::sort(durations.begin(), durations.end());
    auto calls = static_cast<double>(durations.size());
    Measurement result;
    result.failures = static_cast<int>(std::count_if(durations.begin(), durations.end(), [](double duration) { return duration < 0; }));
    result.p50Ms = durations[durations.size() / 2];
    result.p99Ms = durations[durations.size() * 99 / 100];
    result.callsPerSecond = calls / seconds;
    result.callsPerCore = calls / processor;
    return result;
}

/** Prints the rows for direct and forwarded calls, and what the path adds. */
void compare(Load load, uint16_t targetPort, uint16_t pathPort)
{
    load.port = targetPort;
    Measurement direct = measure(load);
    load.port = pathPort;
    Measurement forwarded = measure(load);
    std::printf("%-28s %9.3f %9.3f %9.3f %9.3f %9.3f %9.3f %10.0f %10.0f %8d\n", load.name.c_str(), direct.p50Ms, forwarded.p50Ms, forwarded.p50Ms - direct.p50Ms,
        direct.p99Ms, forwarded.p99Ms, forwarded.p99Ms - direct.p99Ms, forwarded.callsPerSecond,
        // The difference of the processor times of a call belongs to the path; callers and target cost the same in both runs.
        1 / (1 / forwarded.callsPerCore - 1 / direct.callsPerCore), direct.failures + forwarded.failures);
    std::fflush(stdout);
}

/** Answers once the body has ended. */
void answerAfterBody(const std::shared_ptr<HttpExchange>& exchange)
{
    auto read = [exchange] {
        std::string bytes;
        HttpExchange::BodyState state = HttpExchange::BodyState::More;
        while (state == HttpExchange::BodyState::More)
            state = exchange->readBody(bytes, 4096);
        if (state == HttpExchange::BodyState::End)
            exchange->answer({ 200, {}, std::nullopt }, std::string(200, 'x'));
    };
    exchange->setReadableHook(read);
    read();
}

} // namespace

/** Prints the table. */
int main()
{
    HttpListener target({ .address = "127.0.0.1:0" }, answerAfterBody);
    bool targetFailed = static_cast<bool>(target.start());
    TestProxy proxy({ .address = "127.0.0.1:0" }, "127.0.0.1:" + std::to_string(target.port()));
    if (targetFailed || !proxy.isStarted)
        return 1;
    const std::string get = "GET /balance HTTP/1.1\r\nHost: service\r\n\r\n";
    const std::string post = "POST /invoice HTTP/1.1\r\nHost: service\r\nContent-Length: 4\r\n\r\nbody";
    const Load loads[] = {
        { "GET, 1 caller", 0, get, 1, 5000, 0 },
        { "GET, 8 callers", 0, get, 8, 5000, 0 },
        { "GET, 64 callers", 0, get, 64, 1000, 0 },
        { "GET, 32 callers, 2000/s", 0, get, 32, 500, 16 },
        { "POST fresh conn., 1 caller", 0, post, 1, 3000, 0 },
        { "POST fresh conn., 2000/s", 0, post, 32, 500, 16 },
    };
    std::printf("%-28s %9s %9s %9s %9s %9s %9s %10s %10s %8s\n", "load (ms)", "p50 dir.", "p50 path", "added", "p99 dir.", "p99 path", "added", "calls/s", "calls/core", "failures");
    for (const Load& load : loads)
        compare(load, target.port(), proxy.listener.port());
    proxy.listener.stop();
    target.stop();
    return 0;
}
