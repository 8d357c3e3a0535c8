/** @file JsonLog.cpp One JSON object a line, through an asynchronous Boost.Log sink. */
#include "kingcup/JsonLog.h"

#include "kingcup/EnumNames.h"
#include "kingcup/MillisecondClock.h"

#include <fstream>
#include <iostream>
#include <mutex>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
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

constexpr size_t maxQueuedLines = 10000; ///< Further lines are dropped, so that a slow disk never blocks a request.

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::asynchronous_sink<Backend, boost::log::sinks::bounded_fifo_queue<maxQueuedLines, boost::log::sinks::drop_on_overflow>>;

/** The one log of a process. */
struct LogState {
    std::mutex mutex; ///< Guards the pointers below.
    boost::shared_ptr<Sink> sink; ///< Open sink, if any.
    std::string vm; ///< Field of each line.
};

LogState& logState()
{
    static LogState state;
    return state;
}

} // namespace

void openLog(const std::string& file, const std::string& vm)
{
    auto backend = boost::make_shared<Backend>();
    if (file.empty())
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    else
        backend->add_stream(boost::make_shared<std::ofstream>(file, std::ios::app));
    backend->auto_flush(true);
    auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    LogState& state = logState();
    std::lock_guard<std::mutex> lock(state.mutex);
    state.sink = sink;
    state.vm = vm;
}

void logLine(LogLevel level, std::string_view event, const nlohmann::json& fields)
{
    LogState& state = logState();
    nlohmann::ordered_json line;
    line["timeMs"] = MillisecondClock::wallTimeMs();
    line["level"] = nameOf(logLevelNames, level);
    line["event"] = event;
    {
        std::lock_guard<std::mutex> lock(state.mutex);
        if (!state.sink)
            return;
        line["vm"] = state.vm;
    }
    for (const auto& [name, value] : fields.items())
        line[name] = value;
    boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void closeLog()
{
    LogState& state = logState();
    std::lock_guard<std::mutex> lock(state.mutex);
    if (!state.sink)
        return;
    boost::log::core::get()->remove_sink(state.sink);
    state.sink->stop();
    state.sink->flush();
    state.sink.reset();
}

} // namespace kingcup
