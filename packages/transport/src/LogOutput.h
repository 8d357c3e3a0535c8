/** @file LogOutput.h Writes log lines to a file descriptor with bounded waits. */
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

namespace kingcup {

/** Boost.Log backend of the log. Lines are dropped while the reader is not reading; their number is written once it reads again. */
class LogOutput : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
public:
    /** @param file Path to append to; empty for standard output. */
    explicit LogOutput(const std::string& file);
    ~LogOutput();
    LogOutput(const LogOutput&) = delete;
    LogOutput& operator=(const LogOutput&) = delete;

    /** Writes one line. Called on the logging thread. */
    void consume(const boost::log::record_view& record, const string_type& line);

    /** Makes later writes fail at once instead of waiting for the reader. */
    void stopWaiting() { this->isClosing.store(true); }

private:
    bool write(const std::string& text);
    void reportLostLines();

    int descriptor; ///< File descriptor for the output; negative if the file could not be opened.
    bool ownsDescriptor; ///< Whether the destructor closes the descriptor.
    std::atomic<bool> isClosing { false }; ///< Set by stopWaiting().
    uint64_t lostLines = 0; ///< Number of lines dropped since the last report.
};

} // namespace kingcup
