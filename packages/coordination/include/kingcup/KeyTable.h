/** @file KeyTable.h API keys of the organisations in force, and the decision whether a request may be sent. */
#pragma once

#include "kingcup/ApiKey.h"
#include "kingcup/ManifestTypes.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcup {

/** Organisations by document key, as in a ConfigurationSnapshot. */
using OrganisationMap = std::map<std::string, std::shared_ptr<const Organisation>>;

/**
 * Holders of API keys by the hash of the key. Immutable. It handles one lookup for each request and for each attempt of it, with up to
 * a million keys.
 */
class KeyTable {
public:
    KeyTable() = default;
    explicit KeyTable(OrganisationMap organisations);
    KeyTable(const KeyTable&) = delete;
    KeyTable& operator=(const KeyTable&) = delete;

    /** Returns the holder of a key, or null. Hashes are compared in constant time. */
    std::shared_ptr<const Organisation> find(const ApiKeyHash& hash) const;

    /** Returns whether requests need a key: there are organisations, even if none of them has a key. */
    bool isKeyRequired() const { return !this->organisations.empty(); }

    /** Returns whether the table was built from these organisations, so that it can be used further. */
    bool isBuiltFrom(const OrganisationMap& others) const { return this->organisations == others; }

private:
    /** One key. */
    struct Row {
        ApiKeyHash hash; ///< Hash of the key.
        const std::shared_ptr<const Organisation>* holder; ///< Element of `organisations`.
    };

    OrganisationMap organisations; ///< Organisations by document key.
    std::vector<Row> rows; ///< Keys, ordered by the first bytes of their hashes.
};

/** Reasons for which a request may not be sent. */
enum class KeyRefusal {
    None, ///< It may be sent.
    Unknown, ///< It has no key, or no organisation holds its key.
    Lease, ///< The key lease has expired, so that its key may have been withdrawn.
};

/** Result of the check of a request. */
struct KeyDecision {
    KeyRefusal refusal = KeyRefusal::None; ///< Why the request may not be sent.
    std::shared_ptr<const Organisation> organisation; ///< Holder of the key; null: refused, or the request needs no key and has no valid one.
};

/**
 * Decides whether a request may be sent with its key. On a public route, a key that cannot be checked counts as none.
 * @param key Hash of the key; empty: the request has none. @param isPublic Whether the route of the request is public.
 */
KeyDecision checkApiKey(const KeyTable& keys, const std::optional<ApiKeyHash>& key, bool isPublic, bool isLeaseValid);

} // namespace kingcup
