/** @file SessionBacklog.h Session requests that a control VM cannot answer yet, because no leader is known or ready. */
#pragma once

#include "kingcup/MillisecondClock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kingcup {

/**
 * Holds the session requests of entry VMs without a configuration until there is a leader. Load pattern: after a loss of power of the whole
 * fleet all entry VMs are back before the control VMs have elected a leader. If they were refused, they would learn of the leader only by
 * polling, and callers would wait for the polling interval. Not thread-safe.
 */
class SessionBacklog {
public:
    /** Answers a request, or holds it again. */
    using Answer = std::function<void()>;

    /** @param maxHold Time after which a request is answered without a leader; shorter than the time after which an entry VM asks another control VM. */
    explicit SessionBacklog(Milliseconds maxHold);

    /** Holds a request. It replaces an older one of the same VM, which gets no answer. Returns false if there is no room. */
    bool hold(const std::string& entryVm, Answer answer, TimePoint now);

    /** Removes and returns all requests, in the order of the names of their VMs. */
    std::vector<Answer> takeAll();

    /** Removes and returns the requests that were held for `maxHold`. */
    std::vector<Answer> takeExpired(TimePoint now);

    size_t size() const { return this->requests.size(); } ///< Requests that are held.

private:
    struct HeldRequest {
        Answer answer;
        TimePoint end {}; ///< Time at which it expires.
    };
    Milliseconds maxHold;
    std::map<std::string, HeldRequest> requests; ///< By entry VM.
};

} // namespace kingcup
