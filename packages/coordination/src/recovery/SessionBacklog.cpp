/** @file SessionBacklog.cpp Session requests that wait for a leader. */
#include "kingcup/SessionBacklog.h"

#include <utility>

namespace kingcup {

namespace {

constexpr size_t maxRequests = 4096; ///< More entry VMs than a deployment has.

} // namespace

SessionBacklog::SessionBacklog(Milliseconds maxHold)
    : maxHold(maxHold)
{
}

bool SessionBacklog::hold(const std::string& entryVm, Answer answer, TimePoint now)
{
    if (this->requests.size() >= maxRequests && !this->requests.contains(entryVm))
        return false;
    this->requests[entryVm] = { std::move(answer), now + this->maxHold };
    return true;
}

std::vector<SessionBacklog::Answer> SessionBacklog::takeAll()
{
    std::vector<Answer> answers;
    for (auto& [entryVm, request] : std::exchange(this->requests, {}))
        answers.push_back(std::move(request.answer));
    return answers;
}

std::vector<SessionBacklog::Answer> SessionBacklog::takeExpired(TimePoint now)
{
    std::vector<Answer> answers;
    std::erase_if(this->requests, [&](auto& entry) {
        if (now < entry.second.end)
            return false;
        answers.push_back(std::move(entry.second.answer));
        return true;
    });
    return answers;
}

} // namespace kingcup
