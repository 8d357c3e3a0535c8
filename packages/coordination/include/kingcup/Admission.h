/** @file Admission.h Bounded request queue and adaptive concurrency limit of one service on one entry VM. */
#pragma once

#include "kingcup/ManifestTypes.h"
#include "kingcup/ResultCode.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace kingcup {

/** A request submitted for admission. */
struct AdmissionRequest {
    uint64_t id = 0; ///< Chosen by the user of this class; unique among the requests it submits.
    int priority = 5; ///< 0 (highest) to 9.
    TimePoint deadline {}; ///< Time after which the response is of no use to the caller.
    Milliseconds maxWait { 100 }; ///< Longest time that the request may be queued.
    bool mayBeRefused = true; ///< Whether it may be refused early if it is not expected to start or to end in time, and evicted from a full queue.
};

/** The decision about a request. */
struct AdmissionDecision {
    uint64_t id = 0; ///< Identifier of the request.
    ResultCode code = ResultCode::Ok; ///< Ok: start now. Otherwise QueueFull, WaitTooLong or DeadlineBeforeSend.
    Milliseconds retryAfter { 0 }; ///< Delay after which the caller should retry a refused request; 0 if it was admitted.
};

/** Admits requests in the order of priority, raised by waiting time, and deadline. Not thread-safe. */
class Admission {
public:
    explicit Admission(const ServiceLimits& limits);
    ~Admission();

    /** Changes the limits; queued requests stay queued. @param usableSlots Slots of the usable targets, as computed by the router; 0 if unknown. */
    void setLimits(const ServiceLimits& limits, uint32_t usableSlots, TimePoint now);

    /** Submits a request. Returns all decisions made by this call; if this request is not among them, it is queued. */
    std::vector<AdmissionDecision> submitRequest(const AdmissionRequest& request, TimePoint now);

    /** Records the end of an admitted call. Returns all decisions made by this call. @param overloaded Whether the target shed the call or it timed out. */
    std::vector<AdmissionDecision> finishCall(Milliseconds latency, bool overloaded, TimePoint now);

    /** Refuses expired requests and admits queued ones up to the limit. Has to be called at nextEvent(). */
    std::vector<AdmissionDecision> tick(TimePoint now);

    /** Removes a queued request whose caller has disconnected. Returns whether it was queued. */
    bool cancel(uint64_t id);

    /** Returns the time at which tick() has to be called next; TimePoint::max() if the queue is empty. */
    TimePoint nextEvent() const;

    uint32_t inFlight() const; ///< Number of admitted calls that have not finished.
    uint32_t queueLength() const; ///< Number of queued requests.
    uint32_t limit() const; ///< Current concurrency limit.

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
