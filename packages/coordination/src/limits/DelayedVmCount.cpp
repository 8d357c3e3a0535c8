/** @file DelayedVmCount.cpp Largest number of entry VMs within a delay. */
#include "kingcup/DelayedVmCount.h"

namespace kingcup {

void DelayedVmCount::set(uint32_t count, Milliseconds delay, TimePoint now)
{
    std::erase_if(this->numbers, [&](const Number& number) { return number.count <= count || number.end <= now; });
    if (!this->numbers.empty() && this->numbers.back().end == TimePoint::max())
        this->numbers.back().end = now + delay;
    this->numbers.push_back({ count });
}

void DelayedVmCount::reset(uint32_t count)
{
    this->numbers.clear();
    if (count)
        this->numbers.push_back({ count });
}

} // namespace kingcup
