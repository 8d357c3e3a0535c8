/** @file ClaimTable.cpp Granting, finishing and releasing claims. */
#include "ClaimTable.h"

#include "kingcup/HttpRules.h"

#include <absl/strings/str_cat.h>

namespace kingcup {

namespace {

/** How long a released attempt is remembered. A claim can wait in the queue of a link for the minutes of a partition. */
constexpr uint64_t releasedRetentionMs = 10 * 60 * 1000;

/** How long an entry VM without claims is remembered. Names of replaced VMs must not accumulate. */
constexpr uint64_t entryVmRetentionMs = 7 * 24 * hourInMs;

constexpr size_t maxAnswerBytes = 1u << 20; ///< Largest recorded body that any manifest allows.

/** Returns the attempt of a command. */
AttemptKey attemptOf(const wire::AttemptId& id)
{
    return { id.entry_vm(), id.incarnation(), id.sequence() };
}

/** Returns whether service, key and attempt are present and bounded. */
template <typename Command>
bool isWellFormed(const Command& command)
{
    bool named = hasValidLength(command.service(), maxNameBytes) && hasValidLength(command.key(), maxIdempotencyKeyBytes);
    return named && hasValidLength(command.attempt().entry_vm(), maxNameBytes);
}

/** Returns the state of a claim. */
ClaimState stateOf(const ClaimRow& row)
{
    return static_cast<ClaimState>(row.state);
}

/** Returns the decision about a claim whose key is in use, by the state of its holder. */
Decision decideByHolder(const ClaimRow& row)
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

/** Returns whether a test switch lets a claim through although its key is in use. */
bool isRuleOff(const ClaimRow& row, const ControlRules& rules)
{
    if (stateOf(row) == ClaimState::Running)
        return !rules.claimsAreExclusive;
    return stateOf(row) == ClaimState::Unknown && !rules.unknownIsFinal;
}

} // namespace

Decision ClaimTable::decide(const wire::Claim& command, const ControlRules& rules) const
{
    if (!isWellFormed(command) || command.fingerprint().size() != fingerprintBytes)
        return refusal(ResultCode::CommandMalformed, "service, key, fingerprint or attempt is malformed");
    AttemptKey attempt = attemptOf(command.attempt());
    auto vm = this->vms.find(attempt.entryVm);
    if (vm != this->vms.end() && attempt.incarnation < vm->second.incarnation)
        return refusal(ResultCode::OldIncarnation, absl::StrCat("incarnation ", vm->second.incarnation, " of the entry VM is known"));
    if (this->tombstones.contains(attempt))
        return refusal(ResultCode::ClaimReleased, "the attempt was released");
    auto found = this->rows.find({ command.service(), command.key() });
    if (found == this->rows.end())
        return acceptance();
    const ClaimRow& row = found->second;
    if (row.fingerprint != command.fingerprint())
        return refusal(ResultCode::KeyMismatch, "the key was claimed for another request", row.index);
    if (row.attempt == attempt && stateOf(row) == ClaimState::Running)
        return acceptanceWithoutChange(row.index);
    return isRuleOff(row, rules) ? acceptance() : decideByHolder(row);
}

Decision ClaimTable::decide(const wire::FinishClaim& command) const
{
    if (!isWellFormed(command) || !wire::ClaimOutcome_IsValid(command.outcome()))
        return refusal(ResultCode::CommandMalformed, "service, key, attempt or outcome is malformed");
    if (command.answer().body().size() > maxAnswerBytes || command.answer().content_type().size() > maxAddressBytes)
        return refusal(ResultCode::CommandTooLarge, "the recorded answer is too large");
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
        return decideByHolder(row);
    bool recordsOutcome = stateOf(row) == ClaimState::Unknown && command.outcome() == wire::OUTCOME_FINISHED;
    return recordsOutcome ? acceptance() : acceptanceWithoutChange(row.index);
}

Decision ClaimTable::decide(const wire::EntryVmGone& command) const
{
    if (!hasValidLength(command.entry_vm(), maxNameBytes))
        return refusal(ResultCode::CommandMalformed, "the name of the entry VM is malformed");
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
    this->see(row.attempt.entryVm, row.attempt.incarnation, nowMs);
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
            this->remove(key);
        if (rules.releaseLeavesTombstone)
            this->release({ attempt, expiryAfter(nowMs, releasedRetentionMs) });
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
    this->see(command.entry_vm(), command.incarnation(), nowMs);
    auto claims = this->running.find(command.entry_vm());
    std::set<NamePair> keys = claims == this->running.end() ? std::set<NamePair>() : claims->second;
    for (const NamePair& key : keys) {
        const ClaimRow& row = this->rows.at(key);
        if (row.attempt.incarnation < command.incarnation())
            this->setState(row, ClaimState::Unknown, nowMs);
    }
}

void ClaimTable::see(const std::string& entryVm, uint64_t incarnation, uint64_t nowMs)
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
    this->put(std::move(row));
}

void ClaimTable::put(ClaimRow row)
{
    NamePair key { row.service, row.key };
    ClaimRow& held = this->rows[key];
    if (held.expiresAtMs && stateOf(held) == ClaimState::Running)
        this->running[held.attempt.entryVm].erase(key);
    if (stateOf(row) == ClaimState::Running)
        this->running[row.attempt.entryVm].insert(key);
    this->expiries.move(held.expiresAtMs, row.expiresAtMs, key);
    held = std::move(row);
}

void ClaimTable::remove(const NamePair& key)
{
    const ClaimRow& row = this->rows.at(key);
    this->running[row.attempt.entryVm].erase(key);
    this->expiries.move(row.expiresAtMs, 0, key);
    this->rows.erase(key);
}

void ClaimTable::release(ReleasedRow row)
{
    ReleasedRow& held = this->tombstones[row.attempt];
    this->tombstoneExpiries.move(held.expiresAtMs, row.expiresAtMs, row.attempt);
    held = std::move(row);
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
            this->remove(key);
    }
    for (const AttemptKey& attempt : this->tombstoneExpiries.keysUpTo(nowMs)) {
        this->tombstoneExpiries.move(this->tombstones.at(attempt).expiresAtMs, 0, attempt);
        this->tombstones.erase(attempt);
    }
    std::erase_if(this->running, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(this->vms, [&](const auto& entry) { return entry.second.seenAtMs + entryVmRetentionMs <= nowMs; });
}

bool ClaimTable::restore(ClaimRow row)
{
    bool valid = row.state <= static_cast<uint32_t>(ClaimState::Unknown) && row.expiresAtMs > 0;
    if (!valid || this->rows.contains({ row.service, row.key }))
        return false;
    this->put(std::move(row));
    return true;
}

bool ClaimTable::restore(ReleasedRow row)
{
    if (row.expiresAtMs == 0 || this->tombstones.contains(row.attempt))
        return false;
    this->release(std::move(row));
    return true;
}

bool ClaimTable::restore(EntryVmRow row)
{
    return this->vms.emplace(row.name, row).second;
}

} // namespace kingcup
