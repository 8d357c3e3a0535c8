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
    size_t size() const { return this->bytes.size() - this->takenBytes; }

    /** Moves up to `limit` bytes to `target` and returns their number. */
    size_t take(char* target, size_t limit)
    {
        size_t count = std::min(limit, this->size());
        std::memcpy(target, this->bytes.data() + this->takenBytes, count);
        this->drop(count);
        return count;
    }

    /** Discards all bytes and releases the memory. */
    void clear()
    {
        std::string().swap(this->bytes);
        this->takenBytes = 0;
    }

private:
    /** Removes bytes from the front; the remaining bytes are moved only when at least half of the buffer is unused. */
    void drop(size_t count)
    {
        this->takenBytes += count;
        if (this->takenBytes * 2 < this->bytes.size())
            return;
        this->bytes.erase(0, this->takenBytes);
        this->takenBytes = 0;
    }

    std::string bytes; ///< Bytes already taken, followed by the queued ones.
    size_t takenBytes = 0; ///< Number of bytes at the front that were already taken.
};

} // namespace kingcup
