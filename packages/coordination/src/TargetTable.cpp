/** @file TargetTable.cpp State transitions of targets. */
#include "TargetTable.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <google/protobuf/util/message_differencer.h>

namespace kingcup {

namespace {

constexpr size_t maxFormerInstanceBytes = 1024; ///< Of one address; the oldest names are forgotten first.

/** Returns the key of a record. */
NamePair keyOf(const wire::TargetRecord& record)
{
    return { record.service(), record.address() };
}

/** Returns whether all members are present and bounded. */
bool isWellFormed(const wire::TargetRecord& record)
{
    bool named = hasValidLength(record.service(), maxNameBytes) && hasValidLength(record.address(), maxAddressBytes);
    return named && record.availability_zone().size() <= maxNameBytes && wire::TargetState_IsValid(record.state());
}

/** Returns whether two records are the same. */
bool areEqual(const wire::TargetRecord& first, const wire::TargetRecord& second)
{
    return google::protobuf::util::MessageDifferencer::Equals(first, second);
}

/**
 * Returns whether one incarnation may go from its recorded state to another. States only advance, because a delayed
 * message must not bring a draining target back. A target that went without draining lost its lease and may return.
 */
bool mayFollow(const TargetRow& row, wire::TargetState next)
{
    if (row.record.state() == wire::TARGET_GONE)
        return next == wire::TARGET_GONE || !row.drained;
    return next >= row.record.state();
}

/** Returns when a tombstone expires; 0 for a target that is not gone. */
uint64_t expiryOf(const TargetRow& row)
{
    return row.goneAtMs ? expiryAfter(row.goneAtMs, tombstoneRetentionMs) : 0;
}

/** Returns whether a list of names, one a line, holds a name. */
bool holdsLine(std::string_view lines, std::string_view name)
{
    for (size_t start = 0; start < lines.size();) {
        size_t end = std::min(lines.find('\n', start), lines.size());
        if (lines.substr(start, end - start) == name)
            return true;
        start = end + 1;
    }
    return false;
}

/** Returns the names of earlier incarnations once a record replaces another one. */
std::string formerInstancesAfter(const TargetRow& held, const wire::TargetRecord& next)
{
    if (held.record.instance().empty() || held.record.instance() == next.instance())
        return held.formerInstances;
    std::string lines = held.formerInstances + held.record.instance() + '\n';
    while (lines.size() > maxFormerInstanceBytes)
        lines.erase(0, lines.find('\n') + 1);
    return lines;
}

/** Returns whether two records name different instances. */
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
        if (holdsLine(row.formerInstances, record.instance()))
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
        return refusal(ResultCode::CommandMalformed, "service, address, zone or state of the target is malformed");
    auto found = this->rows.find(keyOf(record));
    if (found == this->rows.end() && record.state() == wire::TARGET_GONE)
        return refusal(ResultCode::UnknownTarget, "the target is not known");
    if (found == this->rows.end())
        return acceptance();
    const TargetRow& row = found->second;
    if (areEqual(row.record, record) && (!command.left() || row.drained))
        return acceptanceWithoutChange(row.index);
    if (!rules.checkIncarnations || record.incarnation() > row.record.incarnation())
        return acceptance();
    if (record.incarnation() < row.record.incarnation() || instancesDiffer(record, row.record))
        return refusal(ResultCode::OldIncarnation, absl::StrCat("incarnation ", row.record.incarnation(), " is known"), row.index);
    if (!mayFollow(row, record.state()))
        return refusal(ResultCode::OldIncarnation, "this incarnation is already in a later state", row.index);
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
        const TargetRow& held = this->rows.at(keyOf(row.record));
        bool sameIncarnation = held.record.incarnation() == row.record.incarnation();
        row.drained = command.left() || (sameIncarnation && (held.record.state() == wire::TARGET_DRAINING || held.drained));
        row.goneAtMs = std::max<uint64_t>(nowMs, 1);
    }
    this->put(std::move(row));
}

void TargetTable::put(TargetRow row)
{
    NamePair key = keyOf(row.record);
    TargetRow& held = this->rows[key];
    this->modified.move(held.index, row.index, key);
    this->departures.move(expiryOf(held), expiryOf(row), key);
    held = std::move(row);
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
    for (const NamePair& key : this->departures.keysUpTo(nowMs)) {
        const TargetRow& row = this->rows.at(key);
        newest = std::max(newest, row.index);
        this->modified.move(row.index, 0, key);
        this->departures.move(expiryOf(row), 0, key);
        this->rows.erase(key);
    }
    return newest;
}

bool TargetTable::restore(TargetRow row)
{
    bool goneIsTimed = (row.record.state() == wire::TARGET_GONE) == (row.goneAtMs != 0);
    if (!isWellFormed(row.record) || row.index == 0 || !goneIsTimed || this->rows.contains(keyOf(row.record)))
        return false;
    this->put(std::move(row));
    return true;
}

} // namespace kingcup
