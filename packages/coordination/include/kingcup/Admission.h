/** @file Admission.h Bounded queue and adaptive concurrency of one service on one entry VM. */
#pragma once

#include "kingcup/ManifestTypes.h"
#include "kingcup/ResultCode.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace kingcup {

/** A request that asks for admission. */
struct AdmissionRequest {
    uint64_t id = 0; ///< Chosen by the caller of this class, unique.
    int priority = 5; ///< 0 (highest) to 9.
    TimePoint deadline {}; ///< After which an answer is of no use.
    Milliseconds mayWait { 100 }; ///< Longest wait.
    bool mayRefuse = true; ///< Whether it may be refused early because it would not start in time.
};

/** What became of a request. */
struct AdmissionDecision {
    uint64_t id = 0; ///< The request.
    ResultCode code = ResultCode::Ok; ///< Ok: start now. Otherwise QueueFull, WaitTooLong or DeadlineBeforeSend.
    Milliseconds retryAfter { 0 }; ///< When the caller should come back, if refused.
};

/** Admits requests by priority and deadline, with ageing. Not thread-safe. */
class Admission {
public:
    explicit Admission(const ServiceLimits& limits);
    ~Admission();

    /** Changes the limits; what waits stays. @param usableSlots From the router. */
    void setLimits(const ServiceLimits& limits, uint32_t usableSlots);

    /** Asks for admission. Returns every decision made now, which may leave out this request (it waits). */
    std::vector<AdmissionDecision> request(const AdmissionRequest& request, TimePoint now);

    /** A started call ended. @param latency Its duration. @param overloaded The target shed it or it timed out. */
    std::vector<AdmissionDecision> finish(Milliseconds latency, bool overloaded, TimePoint now);

    /** Refuses what has waited too long and starts what fits. To be called at nextEvent(). */
    std::vector<AdmissionDecision> tick(TimePoint now);

    /** Removes a waiting request whose caller went away. Returns whether it was waiting. */
    bool cancel(uint64_t id);

    /** Returns when tick() is next needed. */
    TimePoint nextEvent() const;

    uint32_t inFlight() const; ///< Started and not finished.
    uint32_t waiting() const; ///< In the queue.
    uint32_t limit() const; ///< Current concurrency limit.

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
