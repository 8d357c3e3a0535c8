/** @file OrderedIndex.h Secondary index of a table: keys ordered by a number, such as the log index of their last change or their time of expiry. */
#pragma once

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace kingcup {

/** Finds the keys of a range of numbers without a scan of their table. A key with number 0 is not in the index. */
template <typename Key>
class OrderedIndex {
public:
    /** Changes the number of a key. `from` 0 adds the key, `to` 0 removes it. */
    void move(uint64_t from, uint64_t to, const Key& key)
    {
        if (from)
            this->entries.erase({ from, key });
        if (to)
            this->entries.insert({ to, key });
    }

    /** Returns the keys whose number is at most the given one, in ascending order. */
    std::vector<Key> keysUpTo(uint64_t number) const
    {
        std::vector<Key> keys;
        for (auto entry = this->entries.begin(); entry != this->entries.end() && entry->first <= number; ++entry)
            keys.push_back(entry->second);
        return keys;
    }

    /** Returns whether keysUpTo() would return any key. It takes constant time. */
    bool hasKeyUpTo(uint64_t number) const { return !this->entries.empty() && this->entries.begin()->first <= number; }

    /** Returns the keys whose number is greater than the given one, in ascending order. */
    std::vector<Key> keysAfter(uint64_t number) const
    {
        std::vector<Key> keys;
        for (auto entry = this->entries.lower_bound({ number + 1, Key() }); entry != this->entries.end(); ++entry)
            keys.push_back(entry->second);
        return keys;
    }

private:
    std::set<std::pair<uint64_t, Key>> entries; ///< Pairs of number and key.
};

} // namespace kingcup
