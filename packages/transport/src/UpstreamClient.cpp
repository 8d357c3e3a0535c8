/** @file UpstreamClient.cpp Distributes attempts over the event loops. */
#include "kingcup/UpstreamClient.h"

#include "UpstreamLoop.h"

namespace kingcup {

/** Event loops of the client. The handle of an attempt determines its loop. */
struct UpstreamClient::State {
    std::atomic<uint64_t> openAttempts = 0; ///< Number of attempts that were started and have not ended.
    std::atomic<AttemptHandle> lastHandle = 0; ///< Handle of the latest attempt; handles are consecutive.
    std::vector<std::unique_ptr<UpstreamLoop>> loops; ///< At least one.

    /** Returns the loop of an attempt. */
    UpstreamLoop& loopOf(AttemptHandle handle) { return *this->loops[handle % this->loops.size()]; }

    /** Posts a command for an attempt to its loop. */
    void post(UpstreamLoop::Action action, AttemptHandle handle)
    {
        UpstreamLoop::Command command { action, handle, nullptr };
        this->loopOf(handle).post(command);
    }
};

UpstreamClient::UpstreamClient(uint32_t threads, uint32_t maxIdlePerThread)
    : state(std::make_unique<State>())
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)initialized;
    for (uint32_t index = 0; index < std::max(threads, 1u); ++index)
        this->state->loops.push_back(std::make_unique<UpstreamLoop>(maxIdlePerThread, this->state->openAttempts));
}

UpstreamClient::~UpstreamClient()
{
    this->stop();
}

UpstreamClient::AttemptHandle UpstreamClient::start(UpstreamRequest request)
{
    AttemptHandle handle = ++this->state->lastHandle;
    auto attempt = std::make_unique<UpstreamAttempt>(handle, std::move(request), MillisecondClock::now());
    UpstreamLoop::Command command { UpstreamLoop::Action::Start, handle, std::move(attempt) };
    ++this->state->openAttempts;
    if (!this->state->loopOf(handle).post(command)) {
        --this->state->openAttempts;
        command.attempt->endWith(UpstreamOutcome::Cancelled);
    }
    return handle;
}

void UpstreamClient::cancel(AttemptHandle handle)
{
    this->state->post(UpstreamLoop::Action::Cancel, handle);
}

void UpstreamClient::resume(AttemptHandle handle)
{
    this->state->post(UpstreamLoop::Action::Resume, handle);
}

void UpstreamClient::resumeBody(AttemptHandle handle)
{
    this->state->post(UpstreamLoop::Action::ResumeBody, handle);
}

uint64_t UpstreamClient::openAttempts() const
{
    return this->state->openAttempts;
}

void UpstreamClient::stop()
{
    for (std::unique_ptr<UpstreamLoop>& loop : this->state->loops)
        loop->stop();
}

} // namespace kingcup
