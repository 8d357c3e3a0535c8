/** @file KeyTable.cpp Lookup of API keys. */
#include "kingcup/KeyTable.h"

#include <algorithm>
#include <cstring>

namespace kingcup {

namespace {

/** Returns the first bytes of a hash, by which the rows are ordered. They say nothing about the key, so their comparison need not be constant in time. */
uint64_t prefixOf(const ApiKeyHash& hash)
{
    uint64_t prefix = 0;
    std::memcpy(&prefix, hash.data(), sizeof prefix);
    return prefix;
}

} // namespace

KeyTable::KeyTable(OrganisationMap givenOrganisations)
    : organisations(std::move(givenOrganisations))
{
    for (const auto& [name, organisation] : this->organisations) {
        for (const std::string& text : organisation->keyHashes) {
            if (std::optional<ApiKeyHash> hash = parseKeyHash(text))
                this->rows.push_back({ *hash, &organisation });
        }
    }
    std::sort(this->rows.begin(), this->rows.end(), [](const Row& one, const Row& other) { return prefixOf(one.hash) < prefixOf(other.hash); });
}

std::shared_ptr<const Organisation> KeyTable::find(const ApiKeyHash& hash) const
{
    uint64_t prefix = prefixOf(hash);
    auto row = std::lower_bound(this->rows.begin(), this->rows.end(), prefix, [](const Row& candidate, uint64_t wanted) { return prefixOf(candidate.hash) < wanted; });
    std::shared_ptr<const Organisation> holder;
    for (; row != this->rows.end() && prefixOf(row->hash) == prefix; ++row) {
        if (areSameKeyHash(row->hash, hash))
            holder = *row->holder;
    }
    return holder;
}

KeyDecision checkApiKey(const KeyTable& keys, const std::optional<ApiKeyHash>& key, bool isPublic, bool isLeaseValid)
{
    if (!keys.isKeyRequired())
        return {};
    if (!key)
        return { isPublic ? KeyRefusal::None : KeyRefusal::Unknown, nullptr };
    if (!isLeaseValid)
        return { isPublic ? KeyRefusal::None : KeyRefusal::Lease, nullptr };
    std::shared_ptr<const Organisation> holder = keys.find(*key);
    KeyRefusal refusal = holder || isPublic ? KeyRefusal::None : KeyRefusal::Unknown;
    return { refusal, std::move(holder) };
}

} // namespace kingcup
