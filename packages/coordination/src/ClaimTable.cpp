/** @file ClaimTable.cpp Granting, finishing, releasing and expiry of claims. */
#include "ClaimTable.h"

#include "kingcup/HttpRules.h"

#include <absl/strings/str_cat.h>

namespace kingcup {

namespace {

/** Retention of a released attempt. A claim can stay in the send queue of a link for minutes during a network partition. */
constexpr uint64_t releasedRetentionMs = 10 * 60 * 1000;

/** Retention of an entry VM after its last claim or departure, so that names of replaced VMs do not accumulate. */
constexpr uint64_t entryVmRetentionMs = 7 * 24 * hourInMs;

constexpr size_t maxRecordedBodyBytes = 1u << 20; ///< Limit for a recorded body; manifests cannot allow a larger one.

AttemptKey attemptOf(const wire::AttemptId& id)
{
    return { id.entry_vm(), id.incarnation(), id.sequence() };
}

/** Returns whether the service, key and entry VM of a command are present and within their size limits. */
template <typename Command>
bool isWellFormed(const Command& command)
{
    bool isNamed = hasValidLength(command.service(), maxNameBytes) && hasValidLength(command.key(), maxIdempotencyKeyBytes);
    return isNamed && hasValidLength(command.attempt().entry_vm(), maxNameBytes);
}

ClaimState stateOf(const ClaimRow& row)
{
    return static_cast<ClaimState>(row.state);
}

/** Returns the refusal of a command for a key that is already claimed, by the state of the claim. */
Decision refuseClaimedKey(const ClaimRow& row)
{
    if (stateOf(row) == ClaimState::Running)
        return refusal(ResultCode::KeyRunning, "", row.index);
    if (stateOf(row) == ClaimState::Unknown)
        return refusal(ResultCode::KeyOutcomeUnknown, "", row.index);
    Decision decision = refusal(ResultCode::KeyFinished, "", row.index);
    wire::RecordedAnswer& answer = *decision.result.mutable_answer();
    answer.set_status(row.answerStatus);
    answer.set_content_type(row.answerType);
    answer.set_body(row.answerBody);
    answer.set_complete(row.answerComplete);
    return decision;
}

/** Returns whether a rule that would refuse a claim of a key in use is disabled for tests. */
bool isRuleDisabled(const ClaimRow& row, const ControlRules& rules)
{
    if (stateOf(row) == ClaimState::Running)
        return !rules.claimsAreExclusive;
    return stateOf(row) == ClaimState::Unknown && !rules.unknownIsFinal;
}

} // namespace

Decision ClaimTable::decide(const wire::Claim& command, const ControlRules& rules) const
{
    if (!isWellFormed(command) || command.fingerprint().size() != fingerprintBytes)
        return refusal(ResultCode::CommandMalformed, "the service, key, fingerprint or attempt of the claim is missing or has an invalid length");
    AttemptKey attempt = attemptOf(command.attempt());
    auto vm = this->vms.find(attempt.entryVm);
    if (vm != this->vms.end() && attempt.incarnation < vm->second.incarnation)
        return refusal(ResultCode::OldIncarnation, absl::StrCat("the recorded incarnation ", vm->second.incarnation, " of the entry VM is newer"));
    if (this->tombstones.contains(attempt))
        return refusal(ResultCode::ClaimReleased, "the attempt has already been released");
    auto found = this->rows.find({ command.service(), command.key() });
    if (found == this->rows.end())
        return acceptance();
    const ClaimRow& row = found->second;
    if (row.fingerprint != command.fingerprint())
        return refusal(ResultCode::KeyMismatch, "the key is claimed for a request with another fingerprint", row.index);
    if (row.attempt == attempt && stateOf(row) == ClaimState::Running)
        return acceptanceWithoutChange(row.index);
    return isRuleDisabled(row, rules) ? acceptance() : refuseClaimedKey(row);
}

Decision ClaimTable::decide(const wire::FinishClaim& command) const
{
    if (!isWellFormed(command) || !wire::ClaimOutcome_IsValid(command.outcome()))
        return refusal(ResultCode::CommandMalformed, "the service, key, attempt or outcome of the claim is missing, too long or invalid");
    if (command.answer().body().size() > maxRecordedBodyBytes || command.answer().content_type().size() > maxAddressBytes)
        return refusal(ResultCode::CommandTooLarge, "the body or content type of the recorded answer exceeds its size limit");
    AttemptKey attempt = attemptOf(command.attempt());
    bool isRelease = command.outcome() == wire::OUTCOME_NOT_RUN;
    auto found = this->rows.find({ command.service(), command.key() });
    bool isHolder = found != this->rows.end() && found->second.attempt == attempt;
    if (!isHolder && isRelease)
        return this->tombstones.contains(attempt) ? acceptanceWithoutChange(0) : acceptance();
    if (!isHolder)
        return refusal(ResultCode::NotFound, "the attempt holds no claim on the key");
    const ClaimRow& row = found->second;
    if (stateOf(row) == ClaimState::Running)
        return acceptance();
    if (isRelease)
        return refuseClaimedKey(row);
    bool recordsLateAnswer = stateOf(row) == ClaimState::Unknown && command.outcome() == wire::OUTCOME_FINISHED;
    return recordsLateAnswer ? acceptance() : acceptanceWithoutChange(row.index);
}

Decision ClaimTable::decide(const wire::EntryVmGone& command) const
{
    if (!hasValidLength(command.entry_vm(), maxNameBytes))
        return refusal(ResultCode::CommandMalformed, "the name of the entry VM is missing or too long");
    return acceptance();
}

void ClaimTable::apply(LogIndex index, uint64_t nowMs, const wire::Claim& command)
{
    ClaimRow row;
    row.service = command.service();
    row.key = command.key();
    row.fingerprint = command.fingerprint();
    row.attempt = attemptOf(command.attempt());
    row.retentionMs = std::min(command.retention_ms(), maxRetentionMs);
    row.index = index;
    this->recordIncarnation(row.attempt.entryVm, row.attempt.incarnation, nowMs);
    this->setState(std::move(row), ClaimState::Running, nowMs);
}

void ClaimTable::apply(uint64_t nowMs, const wire::FinishClaim& command, const ControlRules& rules)
{
    NamePair key { command.service(), command.key() };
    AttemptKey attempt = attemptOf(command.attempt());
    auto found = this->rows.find(key);
    bool isHolder = found != this->rows.end() && found->second.attempt == attempt;
    if (command.outcome() == wire::OUTCOME_NOT_RUN) {
        if (isHolder)
            this->removeRow(key);
        if (rules.releaseLeavesTombstone)
            this->storeTombstone({ attempt, expiryAfter(nowMs, releasedRetentionMs) });
        return;
    }
    ClaimRow row = found->second;
    if (command.outcome() == wire::OUTCOME_UNKNOWN) {
        this->setState(std::move(row), ClaimState::Unknown, nowMs);
        return;
    }
    row.answerStatus = command.answer().status();
    row.answerType = command.answer().content_type();
    row.answerBody = command.answer().body();
    row.answerComplete = command.answer().complete();
    this->setState(std::move(row), ClaimState::Finished, nowMs);
}

void ClaimTable::apply(uint64_t nowMs, const wire::EntryVmGone& command)
{
    this->recordIncarnation(command.entry_vm(), command.incarnation(), nowMs);
    auto claims = this->runningClaims.find(command.entry_vm());
    std::set<NamePair> keys = claims == this->runningClaims.end() ? std::set<NamePair>() : claims->second;
    for (const NamePair& key : keys) {
        const ClaimRow& row = this->rows.at(key);
        if (row.attempt.incarnation < command.incarnation())
            this->setState(row, ClaimState::Unknown, nowMs);
    }
}

void ClaimTable::recordIncarnation(const std::string& entryVm, uint64_t incarnation, uint64_t nowMs)
{
    EntryVmRow& vm = this->vms[entryVm];
    vm.name = entryVm;
    vm.incarnation = std::max(vm.incarnation, incarnation);
    vm.seenAtMs = nowMs;
}

void ClaimTable::setState(ClaimRow row, ClaimState state, uint64_t nowMs)
{
    row.state = static_cast<uint32_t>(state);
    row.expiresAtMs = expiryAfter(nowMs, std::max<uint64_t>(row.retentionMs, 1));
    this->storeRow(std::move(row));
}

void ClaimTable::storeRow(ClaimRow row)
{
    NamePair key { row.service, row.key };
    ClaimRow& stored = this->rows[key];
    if (stored.expiresAtMs && stateOf(stored) == ClaimState::Running)
        this->runningClaims[stored.attempt.entryVm].erase(key);
    if (stateOf(row) == ClaimState::Running)
        this->runningClaims[row.attempt.entryVm].insert(key);
    this->expiries.move(stored.expiresAtMs, row.expiresAtMs, key);
    stored = std::move(row);
}

void ClaimTable::removeRow(const NamePair& key)
{
    const ClaimRow& row = this->rows.at(key);
    this->runningClaims[row.attempt.entryVm].erase(key);
    this->expiries.move(row.expiresAtMs, 0, key);
    this->rows.erase(key);
}

void ClaimTable::storeTombstone(ReleasedAttemptRow row)
{
    ReleasedAttemptRow& stored = this->tombstones[row.attempt];
    this->tombstoneExpiries.move(stored.expiresAtMs, row.expiresAtMs, row.attempt);
    stored = std::move(row);
}

bool ClaimTable::anyDue(uint64_t nowMs) const
{
    return this->expiries.hasKeyUpTo(nowMs) || this->tombstoneExpiries.hasKeyUpTo(nowMs);
}

void ClaimTable::expire(uint64_t nowMs)
{
    for (const NamePair& key : this->expiries.keysUpTo(nowMs)) {
        const ClaimRow& row = this->rows.at(key);
        if (stateOf(row) == ClaimState::Running)
            this->setState(row, ClaimState::Unknown, nowMs);
        else
            this->removeRow(key);
    }
    for (const AttemptKey& attempt : this->tombstoneExpiries.keysUpTo(nowMs)) {
        this->tombstoneExpiries.move(this->tombstones.at(attempt).expiresAtMs, 0, attempt);
        this->tombstones.erase(attempt);
    }
    std::erase_if(this->runningClaims, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(this->vms, [&](const auto& entry) { return entry.second.seenAtMs + entryVmRetentionMs <= nowMs; });
}

bool ClaimTable::restore(ClaimRow row)
{
    bool isValid = row.state <= static_cast<uint32_t>(ClaimState::Unknown) && row.expiresAtMs > 0;
    if (!isValid || this->rows.contains({ row.service, row.key }))
        return false;
    this->storeRow(std::move(row));
    return true;
}

bool ClaimTable::restore(ReleasedAttemptRow row)
{
    if (row.expiresAtMs == 0 || this->tombstones.contains(row.attempt))
        return false;
    this->storeTombstone(std::move(row));
    return true;
}

bool ClaimTable::restore(EntryVmRow row)
{
    return this->vms.emplace(row.name, row).second;
}

} // namespace kingcup
