/** @file ClaimClient.h Sends claims of idempotency keys, and the outcomes of claimed requests, to the leader of the control group. */
#pragma once

#include "LeaderClient.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace kingcup {

/** Identifies one claim of an idempotency key by this VM. */
struct ClaimTicket {
    std::string service; ///< Service of the request.
    std::string key; ///< Idempotency key.
    wire::AttemptId attempt; ///< Identifier of the claim; the same when the command is resent.
};

/** Claims idempotency keys for this VM and reports the outcomes of the requests that hold them. Thread-safe. */
class ClaimClient {
public:
    using Done = std::function<void(const wire::CommandResult&)>;

    /** @param entryVm Name of this VM. @param incarnation Incarnation of this process: wall time of its start in milliseconds. */
    ClaimClient(LeaderClient& leader, std::string entryVm, uint64_t incarnation);

    /** Returns a ticket with a new sequence number, to be used for one claim. */
    ClaimTicket createTicket(const std::string& service, const std::string& key);

    /**
     * Claims a key for a request.
     * @param fingerprint Hash of the request. @param retention Time for which the finished claim is kept.
     * @param timeout Time after which the result is CommandTimeout. The leader may still grant the claim afterwards, so it has to be released.
     */
    void claimKey(const ClaimTicket& ticket, const std::string& fingerprint, Milliseconds retention, Milliseconds timeout, Done done);

    /** Reports the outcome of a claimed request. The report is resent in the background until the leader answers or 60 s have passed; a failure is logged. @param answer Recorded only if the outcome is OUTCOME_FINISHED. */
    void finishClaim(const ClaimTicket& ticket, wire::ClaimOutcome outcome, wire::RecordedAnswer answer);

    /** Sets a new incarnation for later tickets. Needed after the control group has declared the current one gone. */
    void renewIncarnation();

    uint64_t currentIncarnation() const { return this->incarnation.load(); } ///< Incarnation of new tickets. Session requests carry it too, so that the leader can match claims with the VM that holds them.
    uint64_t pendingReports() const { return this->pendingReportCount.load(); } ///< Number of outcome reports that the leader has not answered and that have not timed out.

private:
    LeaderClient& leader; ///< Sends the commands.
    std::string entryVm; ///< Name of this VM.
    std::atomic<uint64_t> incarnation; ///< Incarnation of new tickets.
    std::atomic<uint64_t> lastSequence { 0 }; ///< Sequence number of the latest ticket.
    std::atomic<uint64_t> pendingReportCount { 0 }; ///< Number of outcome reports that the leader has not answered and that have not timed out.
};

} // namespace kingcup
