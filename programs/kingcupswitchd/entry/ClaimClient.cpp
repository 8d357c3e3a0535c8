/** @file ClaimClient.cpp Implementation of the claim client. */
#include "ClaimClient.h"

#include "kingcup/JsonLog.h"

namespace kingcup {

namespace {

constexpr Milliseconds reportTimeout { 60000 }; ///< An outcome that the leader does not confirm within this time is not reported further; the claim keeps its state.

} // namespace

ClaimClient::ClaimClient(LeaderClient& leader, std::string entryVm, uint64_t incarnation)
    : leader(leader)
    , entryVm(std::move(entryVm))
    , incarnation(incarnation)
{
}

ClaimTicket ClaimClient::createTicket(const std::string& service, const std::string& key)
{
    ClaimTicket ticket { service, key, {} };
    ticket.attempt.set_entry_vm(this->entryVm);
    ticket.attempt.set_incarnation(this->incarnation.load());
    ticket.attempt.set_sequence(++this->lastSequence);
    return ticket;
}

void ClaimClient::claimKey(const ClaimTicket& ticket, const std::string& fingerprint, Milliseconds retention, Milliseconds timeout, Done done)
{
    wire::Command command;
    wire::Claim* claim = command.mutable_claim();
    claim->set_service(ticket.service);
    claim->set_key(ticket.key);
    claim->set_fingerprint(fingerprint);
    *claim->mutable_attempt() = ticket.attempt;
    claim->set_retention_ms(static_cast<uint64_t>(retention.count()));
    this->leader.sendCommand(std::move(command), timeout, std::move(done));
}

void ClaimClient::finishClaim(const ClaimTicket& ticket, wire::ClaimOutcome outcome, wire::RecordedAnswer answer)
{
    wire::Command command;
    wire::FinishClaim* finish = command.mutable_finish_claim();
    finish->set_service(ticket.service);
    finish->set_key(ticket.key);
    *finish->mutable_attempt() = ticket.attempt;
    finish->set_outcome(outcome);
    if (outcome == wire::OUTCOME_FINISHED)
        *finish->mutable_answer() = std::move(answer);
    this->pendingReportCount++;
    this->leader.sendCommand(std::move(command), reportTimeout, [this, key = ticket.key](const wire::CommandResult& result) {
        this->pendingReportCount--;
        if (result.result_code() != 0)
            logLine(LogLevel::Warning, "claim_report_failed", { { "key", key }, { "result", result.result_code() } });
    });
}

void ClaimClient::renewIncarnation()
{
    this->incarnation.store(static_cast<uint64_t>(MillisecondClock::wallTimeMs()));
}

} // namespace kingcup
