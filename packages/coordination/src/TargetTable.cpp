/** @file TargetTable.cpp Validation and application of state transitions of targets. */
#include "TargetTable.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <google/protobuf/util/message_differencer.h>

namespace kingcup {

namespace {

constexpr size_t maxFormerInstanceBytes = 1024; ///< Limit for the names of former instances of one target; the oldest are removed first.

NamePair keyOf(const wire::TargetRecord& record)
{
    return { record.service(), record.address() };
}

/** Returns whether the service and address are present, the names are within their size limits, and the state is valid. */
bool isWellFormed(const wire::TargetRecord& record)
{
    bool isNamed = hasValidLength(record.service(), maxNameBytes) && hasValidLength(record.address(), maxAddressBytes);
    return isNamed && record.availability_zone().size() <= maxNameBytes && wire::TargetState_IsValid(record.state());
}

bool areEqual(const wire::TargetRecord& first, const wire::TargetRecord& second)
{
    return google::protobuf::util::MessageDifferencer::Equals(first, second);
}

/**
 * Returns whether an incarnation may change from its recorded state to another. States only advance, so that a delayed
 * message cannot return a draining target to service. A target that became gone without draining has lost its lease and
 * may return.
 */
bool mayTransition(const TargetRow& row, wire::TargetState next)
{
    if (row.record.state() == wire::TARGET_GONE)
        return next == wire::TARGET_GONE || !row.drained;
    return next >= row.record.state();
}

/** Returns the log time at which a tombstone expires; 0 for a target that is not gone. */
uint64_t expiryOf(const TargetRow& row)
{
    return row.goneAtMs ? expiryAfter(row.goneAtMs, tombstoneRetentionMs) : 0;
}

/** Returns whether a text consisting of one name per line contains a name. */
bool containsLine(std::string_view lines, std::string_view name)
{
    for (size_t start = 0; start < lines.size();) {
        size_t end = std::min(lines.find('\n', start), lines.size());
        if (lines.substr(start, end - start) == name)
            return true;
        start = end + 1;
    }
    return false;
}

/** Returns the names of former instances, one a line, after `next` has replaced the previous record. */
std::string formerInstancesAfter(const TargetRow& previous, const wire::TargetRecord& next)
{
    if (previous.record.instance().empty() || previous.record.instance() == next.instance())
        return previous.formerInstances;
    std::string lines = previous.formerInstances + previous.record.instance() + '\n';
    while (lines.size() > maxFormerInstanceBytes)
        lines.erase(0, lines.find('\n') + 1);
    return lines;
}

/** Returns whether two records have different instance names. A record without one differs from none. */
bool instancesDiffer(const wire::TargetRecord& first, const wire::TargetRecord& second)
{
    return !first.instance().empty() && !second.instance().empty() && first.instance() != second.instance();
}

} // namespace

bool TargetTable::assignIncarnation(wire::TargetRecord& record) const
{
    if (record.incarnation())
        return true;
    uint64_t newest = 0;
    for (const auto& [key, row] : this->rows) {
        if (key.second != record.address())
            continue;
        if (containsLine(row.formerInstances, record.instance()))
            return false;
        newest = std::max(newest, row.record.incarnation());
        if (row.record.instance() == record.instance() && key.first == record.service()) {
            record.set_incarnation(row.record.incarnation());
            return true;
        }
    }
    record.set_incarnation(newest + 1);
    return true;
}

Decision TargetTable::decide(const wire::ChangeTarget& command, const ControlRules& rules) const
{
    const wire::TargetRecord& record = command.target();
    if (!isWellFormed(record))
        return refusal(ResultCode::CommandMalformed, "the service, address, availability zone or state of the target is missing, too long or invalid");
    auto found = this->rows.find(keyOf(record));
    if (found == this->rows.end() && record.state() == wire::TARGET_GONE)
        return refusal(ResultCode::UnknownTarget, "no target with this service and address is recorded");
    if (found == this->rows.end())
        return acceptance();
    const TargetRow& row = found->second;
    if (areEqual(row.record, record) && (!command.left() || row.drained))
        return acceptanceWithoutChange(row.index);
    if (!rules.checkIncarnations || record.incarnation() > row.record.incarnation())
        return acceptance();
    if (record.incarnation() < row.record.incarnation() || instancesDiffer(record, row.record))
        return refusal(ResultCode::OldIncarnation, absl::StrCat("the recorded incarnation ", row.record.incarnation(), " of the target is newer or has another instance name"), row.index);
    if (!mayTransition(row, record.state()))
        return refusal(ResultCode::OldIncarnation, "this incarnation of the target is already recorded in a later state", row.index);
    return acceptance();
}

void TargetTable::apply(LogIndex index, uint64_t nowMs, const wire::ChangeTarget& command)
{
    TargetRow row;
    row.record = command.target();
    row.index = index;
    auto previous = this->rows.find(keyOf(row.record));
    if (previous != this->rows.end())
        row.formerInstances = formerInstancesAfter(previous->second, row.record);
    if (row.record.state() == wire::TARGET_GONE) {
        const TargetRow& current = this->rows.at(keyOf(row.record));
        bool isSameIncarnation = current.record.incarnation() == row.record.incarnation();
        row.drained = command.left() || (isSameIncarnation && (current.record.state() == wire::TARGET_DRAINING || current.drained));
        row.goneAtMs = std::max<uint64_t>(nowMs, 1);
    }
    this->storeRow(std::move(row));
}

void TargetTable::storeRow(TargetRow row)
{
    NamePair key = keyOf(row.record);
    TargetRow& stored = this->rows[key];
    this->modified.move(stored.index, row.index, key);
    this->tombstoneExpiries.move(expiryOf(stored), expiryOf(row), key);
    stored = std::move(row);
}

void TargetTable::addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const
{
    for (const NamePair& key : this->modified.keysAfter(full ? 0 : index)) {
        const TargetRow& row = this->rows.at(key);
        if (!full || !row.goneAtMs)
            *changes.add_targets() = row.record;
    }
}

LogIndex TargetTable::expire(uint64_t nowMs)
{
    LogIndex newest = 0;
    for (const NamePair& key : this->tombstoneExpiries.keysUpTo(nowMs)) {
        const TargetRow& row = this->rows.at(key);
        newest = std::max(newest, row.index);
        this->modified.move(row.index, 0, key);
        this->tombstoneExpiries.move(expiryOf(row), 0, key);
        this->rows.erase(key);
    }
    return newest;
}

bool TargetTable::restore(TargetRow row)
{
    bool hasConsistentGoneTime = (row.record.state() == wire::TARGET_GONE) == (row.goneAtMs != 0);
    if (!isWellFormed(row.record) || row.index == 0 || !hasConsistentGoneTime || this->rows.contains(keyOf(row.record)))
        return false;
    this->storeRow(std::move(row));
    return true;
}

} // namespace kingcup
