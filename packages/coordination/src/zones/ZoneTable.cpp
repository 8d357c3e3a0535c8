/** @file ZoneTable.cpp Decisions on zones out of use, and the expiry of their tombstones. */
#include "ZoneTable.h"

namespace kingcup {

namespace {

/** Returns the log time at which the tombstone of a restored zone expires; 0 for a zone out of use. */
uint64_t expiryOf(const ZoneRow& row)
{
    return row.index && !row.isOutOfUse ? expiryAfter(row.changedAtMs, tombstoneRetentionMs) : 0;
}

} // namespace

Decision ZoneTable::decide(const wire::ChangeZone& command) const
{
    if (!hasValidLength(command.availability_zone(), maxNameBytes))
        return refusal(ResultCode::CommandMalformed, "the name of the availability zone is missing or longer than 64 bytes");
    auto found = this->rows.find(command.availability_zone());
    bool isOutOfUse = found != this->rows.end() && found->second.isOutOfUse;
    if (isOutOfUse == command.out_of_use())
        return acceptanceWithoutChange(found == this->rows.end() ? 0 : found->second.index);
    return acceptance();
}

void ZoneTable::apply(LogIndex index, uint64_t nowMs, const wire::ChangeZone& command)
{
    this->storeRow({ command.availability_zone(), command.out_of_use(), nowMs, index });
}

void ZoneTable::storeRow(ZoneRow row)
{
    ZoneRow& stored = this->rows[row.zone];
    this->modified.move(stored.index, row.index, row.zone);
    this->tombstoneExpiries.move(expiryOf(stored), expiryOf(row), row.zone);
    stored = std::move(row);
}

void ZoneTable::addChanges(LogIndex index, bool full, wire::ConfigurationChanges& changes) const
{
    for (const std::string& name : this->modified.keysAfter(full ? 0 : index)) {
        const ZoneRow& row = this->rows.at(name);
        if (full && !row.isOutOfUse)
            continue;
        wire::ZoneState& zone = *changes.add_zones();
        zone.set_availability_zone(row.zone);
        zone.set_out_of_use(row.isOutOfUse);
    }
}

LogIndex ZoneTable::expire(uint64_t nowMs)
{
    LogIndex newest = 0;
    for (const std::string& name : this->tombstoneExpiries.keysUpTo(nowMs)) {
        const ZoneRow& row = this->rows.at(name);
        newest = std::max(newest, row.index);
        this->modified.move(row.index, 0, name);
        this->tombstoneExpiries.move(expiryOf(row), 0, name);
        this->rows.erase(name);
    }
    return newest;
}

bool ZoneTable::restore(ZoneRow row)
{
    bool isValid = hasValidLength(row.zone, maxNameBytes) && row.index > 0;
    if (!isValid || this->rows.contains(row.zone))
        return false;
    this->storeRow(std::move(row));
    return true;
}

} // namespace kingcup
