/** @file OrderedIndex.h Keys ordered by a number: the log index of their last change, or the time when they expire. */
#pragma once

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace kingcup {

/** Finds keys by number without a scan of their table. A key with number 0 is not held. */
template <typename Key>
class OrderedIndex {
public:
    /** Moves a key from its old number to a new one. */
    void move(uint64_t from, uint64_t to, const Key& key)
    {
        if (from)
            this->entries.erase({ from, key });
        if (to)
            this->entries.insert({ to, key });
    }

    /** Returns the keys with a number up to and including the given one. */
    std::vector<Key> upTo(uint64_t number) const
    {
        std::vector<Key> keys;
        for (auto entry = this->entries.begin(); entry != this->entries.end() && entry->first <= number; ++entry)
            keys.push_back(entry->second);
        return keys;
    }

    /** Returns whether upTo() would return any key. */
    bool anyUpTo(uint64_t number) const { return !this->entries.empty() && this->entries.begin()->first <= number; }

    /** Returns the keys with a number above the given one. */
    std::vector<Key> after(uint64_t number) const
    {
        std::vector<Key> keys;
        for (auto entry = this->entries.lower_bound({ number + 1, Key() }); entry != this->entries.end(); ++entry)
            keys.push_back(entry->second);
        return keys;
    }

private:
    std::set<std::pair<uint64_t, Key>> entries; ///< Ordered by number, then key.
};

} // namespace kingcup
