/** @file LogOutput.cpp Writing of log lines with bounded waits. */
#include "LogOutput.h"

#include <algorithm>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace kingcup {

namespace {

constexpr int waitMs = 200; ///< Longest wait for a reader, by the thread of the log only.
constexpr size_t pieceBytes = 4096; ///< A pipe that is ready for writing takes so much without blocking (PIPE_BUF).
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
    if (this->lost)
        this->reportLost();
    if (this->lost || !this->write(line + "\n"))
        this->lost++;
}

/** Says how many lines were lost, if that can be written. */
void LogOutput::reportLost()
{
    if (this->write("{\"event\":\"log_lines_lost\",\"count\":" + std::to_string(this->lost) + "}\n"))
        this->lost = 0;
}

/** Writes a text in pieces. Returns false when a piece would have to wait for too long. */
bool LogOutput::write(const std::string& text)
{
    for (size_t done = 0; done < text.size();) {
        pollfd ready { this->descriptor, POLLOUT, 0 };
        bool begun = done > 0; // The rest of a line that was begun is worth a wait, also at the end.
        // A reader that has already lost lines is not waited for again.
        bool waits = begun || (!this->closing.load() && !this->lost);
        int limitMs = waits ? waitMs : 0;
        if (poll(&ready, 1, limitMs) <= 0 || !(ready.revents & POLLOUT))
            return false;
        ssize_t count = ::write(this->descriptor, text.data() + done, std::min(pieceBytes, text.size() - done));
        if (count <= 0)
            return false;
        done += static_cast<size_t>(count);
    }
    return true;
}

} // namespace kingcup
