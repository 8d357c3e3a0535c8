/** @file ByteQueue.h FIFO byte buffer between a producer and a consumer. */
#pragma once

#include <algorithm>
#include <cstring>
#include <string>
#include <string_view>

namespace kingcup {

/** FIFO byte buffer. Not thread-safe. */
class ByteQueue {
public:
    /** Appends bytes. */
    void append(std::string_view added) { this->bytes.append(added); }

    /** Returns the number of bytes that were appended and not yet taken. */
    size_t size() const { return this->bytes.size() - this->taken; }

    /** Moves up to `limit` bytes to `target` and returns their number. */
    size_t take(char* target, size_t limit)
    {
        size_t count = std::min(limit, this->size());
        std::memcpy(target, this->bytes.data() + this->taken, count);
        this->drop(count);
        return count;
    }

    /** Discards all bytes and releases the memory. */
    void clear()
    {
        std::string().swap(this->bytes);
        this->taken = 0;
    }

private:
    /** Removes bytes from the front; the remaining bytes are moved only when at least half of the buffer is unused. */
    void drop(size_t count)
    {
        this->taken += count;
        if (this->taken * 2 < this->bytes.size())
            return;
        this->bytes.erase(0, this->taken);
        this->taken = 0;
    }

    std::string bytes; ///< Bytes already taken, followed by the queued ones.
    size_t taken = 0; ///< Number of bytes at the front that were already taken.
};

} // namespace kingcup
