/** @file LogEntries.cpp Access to the log entries held in memory. */
#include "LogEntries.h"

namespace kingcup {

LogEntries::LogEntries(const SnapshotMeta& snapshot, std::vector<wire::LogEntry> entries)
{
    this->reset(snapshot);
    for (wire::LogEntry& entry : entries)
        this->append(std::move(entry));
}

LogIndex LogEntries::lastIndex() const
{
    return this->baseIndex + this->entries.size();
}

Term LogEntries::lastTerm() const
{
    return this->entries.empty() ? this->baseTerm : this->entries.back().term();
}

const SnapshotMeta& LogEntries::snapshot() const
{
    return this->newestSnapshot;
}

std::optional<Term> LogEntries::termAt(LogIndex index) const
{
    if (index == this->baseIndex)
        return this->baseTerm;
    if (index < this->baseIndex || index > this->lastIndex())
        return std::nullopt;
    return this->entryAt(index).term();
}

const wire::LogEntry& LogEntries::entryAt(LogIndex index) const
{
    return this->entries[index - this->baseIndex - 1];
}

void LogEntries::append(wire::LogEntry entry)
{
    if (entry.type() == wire::ENTRY_MEMBERSHIP) {
        wire::Membership membership;
        membership.ParseFromString(entry.payload());
        this->memberships.emplace_back(entry.index(), std::move(membership));
    }
    this->entries.push_back(std::move(entry));
}

void LogEntries::truncateFrom(LogIndex index)
{
    while (this->lastIndex() >= index && !this->entries.empty())
        this->entries.pop_back();
    while (this->memberships.size() > 1 && this->memberships.back().first >= index)
        this->memberships.pop_back();
}

void LogEntries::compact(const SnapshotMeta& meta, size_t keepBytes)
{
    LogIndex newBaseIndex = meta.lastIndex;
    for (size_t keptBytes = 0; newBaseIndex > this->baseIndex; --newBaseIndex) {
        keptBytes += this->entryAt(newBaseIndex).payload().size();
        if (keptBytes > keepBytes)
            break;
    }
    while (this->baseIndex < newBaseIndex) {
        this->baseTerm = this->entries.front().term();
        this->entries.pop_front();
        ++this->baseIndex;
    }
    this->newestSnapshot = meta;
    while (this->memberships.size() > 1 && this->memberships[1].first <= meta.lastIndex)
        this->memberships.pop_front();
    this->memberships.front() = { meta.lastIndex, meta.membership };
}

void LogEntries::reset(const SnapshotMeta& meta)
{
    this->newestSnapshot = meta;
    this->baseIndex = meta.lastIndex;
    this->baseTerm = meta.lastTerm;
    this->entries.clear();
    this->memberships.clear();
    this->memberships.emplace_back(meta.lastIndex, meta.membership);
}

std::vector<wire::LogEntry> LogEntries::slice(LogIndex from, size_t maxEntries, size_t maxBytes) const
{
    std::vector<wire::LogEntry> result;
    size_t bytes = 0;
    for (LogIndex index = from; index <= this->lastIndex() && result.size() < maxEntries; ++index) {
        const wire::LogEntry& entry = this->entryAt(index);
        bytes += entry.payload().size();
        if (!result.empty() && bytes > maxBytes)
            break;
        result.push_back(entry);
    }
    return result;
}

const wire::Membership& LogEntries::membership() const
{
    return this->memberships.back().second;
}

LogIndex LogEntries::membershipIndex() const
{
    return this->memberships.back().first;
}

} // namespace kingcup
