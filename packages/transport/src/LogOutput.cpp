/** @file LogOutput.cpp Writes log lines to a file descriptor with bounded waits. */
#include "LogOutput.h"

#include <algorithm>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace kingcup {

namespace {

constexpr int maxWriteWaitMs = 200; ///< Longest wait for the reader; only the logging thread waits.
constexpr size_t chunkBytes = 4096; ///< A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
constexpr int fileMode = 0644;

} // namespace

LogOutput::LogOutput(const std::string& file)
    : descriptor(file.empty() ? STDOUT_FILENO : open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, fileMode))
    , ownsDescriptor(!file.empty())
{
}

LogOutput::~LogOutput()
{
    if (this->ownsDescriptor && this->descriptor >= 0)
        close(this->descriptor);
}

void LogOutput::consume(const boost::log::record_view&, const string_type& line)
{
    if (this->lostLines)
        this->reportLostLines();
    if (this->lostLines || !this->write(line + "\n"))
        this->lostLines++;
}

/** Writes the number of lost lines; keeps the count if the write fails. */
void LogOutput::reportLostLines()
{
    if (this->write("{\"event\":\"log_lines_lost\",\"count\":" + std::to_string(this->lostLines) + "}\n"))
        this->lostLines = 0;
}

/** Writes a text in chunks. Returns false if the output does not become writable in time. */
bool LogOutput::write(const std::string& text)
{
    for (size_t done = 0; done < text.size();) {
        pollfd ready { this->descriptor, POLLOUT, 0 };
        bool isPartlyWritten = done > 0; // Waits for the rest of a partly written line even while closing, so that the line is not cut.
        // Does not wait again for a reader that has already lost lines.
        bool mayWait = isPartlyWritten || (!this->isClosing.load() && !this->lostLines);
        int timeoutMs = mayWait ? maxWriteWaitMs : 0;
        if (poll(&ready, 1, timeoutMs) <= 0 || !(ready.revents & POLLOUT))
            return false;
        ssize_t count = ::write(this->descriptor, text.data() + done, std::min(chunkBytes, text.size() - done));
        if (count <= 0)
            return false;
        done += static_cast<size_t>(count);
    }
    return true;
}

} // namespace kingcup
