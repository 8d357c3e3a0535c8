/** @file LogOutput.h Writes log lines to a descriptor without ever waiting for long. */
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

namespace kingcup {

/** Backend of the log. A reader that does not read loses lines; they are counted and reported once it reads again. */
class LogOutput : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
public:
    /** @param file Path to append to; empty: standard output. */
    explicit LogOutput(const std::string& file);
    ~LogOutput();
    LogOutput(const LogOutput&) = delete;
    LogOutput& operator=(const LogOutput&) = delete;

    /** Writes one line. Called by the thread of the log. */
    void consume(const boost::log::record_view& record, const string_type& line);

    /** From now on lines that cannot be written at once are lost. */
    void stopWaiting() { this->closing.store(true); }

private:
    bool write(const std::string& text);
    void reportLost();

    int descriptor; ///< Written to.
    bool ownsDescriptor; ///< Whether it is closed at the end.
    std::atomic<bool> closing { false }; ///< No more waiting.
    uint64_t lost = 0; ///< Lines not written since the last report.
};

} // namespace kingcup
