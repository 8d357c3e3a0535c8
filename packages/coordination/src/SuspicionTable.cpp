/** @file SuspicionTable.cpp Suspicions and quarantines of requests, and their expiry. */
#include "SuspicionTable.h"

namespace kingcup {

namespace {

constexpr size_t targetsForQuarantine = 2; ///< Number of distinct lost targets that causes a quarantine.
constexpr size_t maxSuspectTargets = 16; ///< Limit of the targets stored per request. It suffices, since a quarantined request is not sent to further targets.

/** Writes the number of suspected targets and the end of the quarantine to a result. */
void setSuspicionResult(size_t targets, uint64_t expiresAtMs, wire::CommandResult& result)
{
    result.set_suspected_targets(static_cast<uint32_t>(targets));
    result.set_quarantined_until_ms(targets >= targetsForQuarantine ? expiresAtMs : 0);
}

} // namespace

const SuspicionRow* SuspicionTable::findActive(uint64_t nowMs, const NamePair& key) const
{
    auto found = this->rows.find(key);
    bool isActive = found != this->rows.end() && !found->second.isCleared && nowMs < found->second.expiresAtMs;
    return isActive ? &found->second : nullptr;
}

Decision SuspicionTable::decide(uint64_t nowMs, const wire::Suspicion& command) const
{
    bool hasValidNames = hasValidLength(command.service(), maxNameBytes) && hasValidLength(command.target(), maxAddressBytes);
    if (!hasValidNames || command.fingerprint().size() != fingerprintBytes || command.quarantine_ms() == 0)
        return refusal(ResultCode::CommandMalformed, "service, fingerprint, target or quarantine is malformed");
    const SuspicionRow* row = this->findActive(nowMs, { command.service(), command.fingerprint() });
    size_t targets = row ? row->targets.size() : 0;
    if (row && (targets >= maxSuspectTargets || row->targets.contains({ command.target(), command.target_incarnation() }))) {
        Decision decision = acceptanceWithoutChange(row->index);
        setSuspicionResult(targets, row->expiresAtMs, decision.result);
        return decision;
    }
    Decision decision = acceptance();
    setSuspicionResult(targets + 1, expiryAfter(nowMs, command.quarantine_ms()), decision.result);
    return decision;
}

Decision SuspicionTable::decide(uint64_t nowMs, const wire::ClearSuspicion& command) const
{
    const SuspicionRow* row = this->findActive(nowMs, { command.service(), command.fingerprint() });
    if (!row)
        return acceptanceWithoutChange(0);
    if (row->targets.size() < targetsForQuarantine)
        return acceptance();
    Decision decision = refusal(ResultCode::Quarantined, "the request is quarantined because several targets were lost while running it", row->index);
    setSuspicionResult(row->targets.size(), row->expiresAtMs, decision.result);
    return decision;
}

void SuspicionTable::apply(LogIndex index, uint64_t nowMs, const wire::Suspicion& command)
{
    const SuspicionRow* stored = this->findActive(nowMs, { command.service(), command.fingerprint() });
    SuspicionRow row = stored ? *stored : SuspicionRow();
    row.service = command.service();
    row.fingerprint = command.fingerprint();
    row.targets.emplace(command.target(), command.target_incarnation());
    row.expiresAtMs = expiryAfter(nowMs, command.quarantine_ms());
    row.index = index;
    this->storeRow(std::move(row));
}

void SuspicionTable::apply(LogIndex index, uint64_t nowMs, const wire::ClearSuspicion& command)
{
    this->clearRow(this->rows.at({ command.service(), command.fingerprint() }), index, nowMs);
}

void SuspicionTable::clearRow(SuspicionRow row, LogIndex index, uint64_t nowMs)
{
    row.isCleared = true;
    row.targets.clear();
    row.expiresAtMs = expiryAfter(nowMs, tombstoneRetentionMs);
    row.index = index;
    this->storeRow(std::move(row));
}

void SuspicionTable::storeRow(SuspicionRow row)
{
    NamePair key { row.service, row.fingerprint };
    SuspicionRow& stored = this->rows[key];
    this->modified.move(stored.index, row.index, key);
    this->expiries.move(stored.expiresAtMs, row.expiresAtMs, key);
    stored = std::move(row);
}

void SuspicionTable::addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const
{
    for (const NamePair& key : this->modified.keysAfter(full ? 0 : index)) {
        const SuspicionRow& row = this->rows.at(key);
        if (full && row.isCleared)
            continue;
        wire::Quarantine& quarantine = *changes.add_quarantines();
        quarantine.set_service(row.service);
        quarantine.set_fingerprint(row.fingerprint);
        quarantine.set_suspected_targets(static_cast<uint32_t>(row.targets.size()));
        quarantine.set_until_log_ms(row.isCleared ? 0 : row.expiresAtMs);
        quarantine.set_cleared(row.isCleared);
    }
}

SuspicionTable::ExpiryResult SuspicionTable::expire(LogIndex index, uint64_t nowMs)
{
    ExpiryResult expired;
    for (const NamePair& key : this->expiries.keysUpTo(nowMs)) {
        const SuspicionRow& row = this->rows.at(key);
        if (!row.isCleared) {
            this->clearRow(row, index, nowMs);
            expired.hasCleared = true;
            continue;
        }
        expired.removedIndex = std::max(expired.removedIndex, row.index);
        this->modified.move(row.index, 0, key);
        this->expiries.move(row.expiresAtMs, 0, key);
        this->rows.erase(key);
    }
    return expired;
}

bool SuspicionTable::restore(SuspicionRow row)
{
    bool isValid = row.index > 0 && row.expiresAtMs > 0;
    if (!isValid || this->rows.contains({ row.service, row.fingerprint }))
        return false;
    this->storeRow(std::move(row));
    return true;
}

bool SuspicionTable::restore(const SuspectTargetRow& row)
{
    auto found = this->rows.find({ row.service, row.fingerprint });
    return found != this->rows.end() && found->second.targets.emplace(row.address, row.incarnation).second;
}

} // namespace kingcup
