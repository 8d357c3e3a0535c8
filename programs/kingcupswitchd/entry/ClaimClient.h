/** @file ClaimClient.h Claims of idempotency keys at the leader, seen from an entry VM. */
#pragma once

#include "LeaderClient.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace kingcup {

/** A claim of this VM. */
struct ClaimTicket {
    std::string service; ///< Service of the request.
    std::string key; ///< Idempotency key.
    wire::AttemptId attempt; ///< Names this claim; the same in all repetitions.
};

/** Claims keys and reports outcomes. Thread-safe. */
class ClaimClient {
public:
    using Done = std::function<void(const wire::CommandResult&)>;

    /** @param entryVm Own name. @param incarnation Start of this process. */
    ClaimClient(LeaderClient& leader, std::string entryVm, uint64_t incarnation);

    /** Returns a new ticket. */
    ClaimTicket ticket(const std::string& service, const std::string& key);

    /** Claims a key. @param timeout After this the result is CommandTimeout, and the claim may still be granted later: release it then. */
    void claim(const ClaimTicket& ticket, const std::string& fingerprint, Milliseconds retention, Milliseconds timeout, Done done);

    /** Reports an outcome; repeats it in the background until control has it. */
    void finish(const ClaimTicket& ticket, wire::ClaimOutcome outcome, wire::RecordedAnswer answer);

    /** Takes a new incarnation for further tickets, after control has declared the current one gone. */
    void renewIncarnation();

    uint64_t currentIncarnation() const { return this->incarnation.load(); } ///< Of new tickets; sessions carry it too, so that control knows which claims are whose.
    uint64_t unreported() const { return this->openReports.load(); } ///< Outcomes that control does not have yet.

private:
    LeaderClient& leader; ///< Sends.
    std::string entryVm; ///< Own name.
    std::atomic<uint64_t> incarnation; ///< Of new tickets.
    std::atomic<uint64_t> lastSequence { 0 }; ///< Of tickets.
    std::atomic<uint64_t> openReports { 0 }; ///< Outcomes under way.
};

} // namespace kingcup
