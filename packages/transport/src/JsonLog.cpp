/** @file JsonLog.cpp Log of one JSON object per line, through an asynchronous Boost.Log sink with rate limits. */
#include "kingcup/JsonLog.h"

#include "LogOutput.h"
#include "kingcup/EnumNames.h"
#include "kingcup/LogLimiter.h"
#include "kingcup/MillisecondClock.h"

#include <mutex>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>

namespace kingcup {

namespace {

constexpr EnumName<LogLevel> logLevelNames[] = {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
};

constexpr size_t maxQueuedLines = 2000; ///< Further lines are dropped, so that a slow reader never blocks a request.

using Sink = boost::log::sinks::asynchronous_sink<LogOutput, boost::log::sinks::bounded_fifo_queue<maxQueuedLines, boost::log::sinks::drop_on_overflow>>;

/** Process-wide state of the log. */
struct LogState {
    std::mutex mutex; ///< Guards the members below.
    boost::shared_ptr<Sink> sink; ///< Sink; null while the log is closed.
    std::string vm; ///< VM name, added to each line.
    LogLimiter limiter; ///< Rate limiter of this process.
};

LogState& logState()
{
    static LogState state;
    return state;
}

/** Queues a line for the logging thread. */
void enqueueLine(const std::string& vm, LogLevel level, std::string_view event, const nlohmann::json& fields)
{
    nlohmann::ordered_json line;
    line["timeMs"] = MillisecondClock::wallTimeMs();
    line["level"] = nameOf(logLevelNames, level);
    line["event"] = event;
    line["vm"] = vm;
    for (const auto& [name, value] : fields.items())
        line[name] = value;
    boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void openLog(const std::string& file, const std::string& vm)
{
    auto sink = boost::make_shared<Sink>(boost::make_shared<LogOutput>(file));
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    LogState& state = logState();
    std::lock_guard<std::mutex> lock(state.mutex);
    state.sink = sink;
    state.vm = vm;
    state.limiter = LogLimiter();
}

void logLine(LogLevel level, std::string_view event, const nlohmann::json& fields)
{
    LogState& state = logState();
    std::vector<SuppressedLines> suppressed;
    std::string vm;
    bool isAllowed = false;
    {
        std::lock_guard<std::mutex> lock(state.mutex);
        if (!state.sink)
            return;
        vm = state.vm;
        TimePoint now = MillisecondClock::now();
        isAllowed = state.limiter.tryAcquire(event, now);
        suppressed = state.limiter.takeSuppressed(now);
    }
    for (const SuppressedLines& lines : suppressed)
        enqueueLine(vm, LogLevel::Warning, "log_lines_suppressed", { { "of", lines.event }, { "count", lines.count } });
    if (isAllowed)
        enqueueLine(vm, level, event, fields);
}

void closeLog()
{
    LogState& state = logState();
    boost::shared_ptr<Sink> sink;
    {
        std::lock_guard<std::mutex> lock(state.mutex);
        sink.swap(state.sink);
    }
    if (!sink)
        return;
    boost::log::core::get()->remove_sink(sink);
    sink->locked_backend()->stopWaiting();
    sink->stop();
    sink->flush();
}

} // namespace kingcup
