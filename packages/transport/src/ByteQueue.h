/** @file ByteQueue.h A queue of bytes between a producer and a consumer. */
#pragma once

#include <algorithm>
#include <cstring>
#include <string>
#include <string_view>

namespace kingcup {

/** Bytes in order of arrival. Not thread-safe. */
class ByteQueue {
public:
    /** Appends bytes. */
    void append(std::string_view added) { this->bytes.append(added); }

    /** Returns the number of bytes held. */
    size_t size() const { return this->bytes.size() - this->taken; }

    /** Moves up to `limit` bytes to `target` and returns their number. */
    size_t take(char* target, size_t limit)
    {
        size_t count = std::min(limit, this->size());
        std::memcpy(target, this->bytes.data() + this->taken, count);
        this->drop(count);
        return count;
    }

    /** Removes everything and returns the memory. */
    void clear()
    {
        std::string().swap(this->bytes);
        this->taken = 0;
    }

private:
    /** Removes bytes from the front; the memory moves only when at least half of it is unused. */
    void drop(size_t count)
    {
        this->taken += count;
        if (this->taken * 2 < this->bytes.size())
            return;
        this->bytes.erase(0, this->taken);
        this->taken = 0;
    }

    std::string bytes; ///< Taken and held bytes.
    size_t taken = 0; ///< Bytes at the front that were taken.
};

} // namespace kingcup
