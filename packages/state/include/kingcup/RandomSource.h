/** @file RandomSource.h Seeded random numbers for decision classes. */
#pragma once

#include <cstdint>
#include <random>

namespace kingcup {

/** A seeded generator that is injected, so that every decision can be repeated from its seed. */
class RandomSource {
public:
    /** @param seed Two sources with one seed give the same numbers. */
    explicit RandomSource(uint64_t seed)
        : engine(seed)
    {
    }

    /** Returns a number in [0, bound); 0 when bound is 0. */
    uint64_t below(uint64_t bound) { return bound ? this->engine() % bound : 0; }

    /** Returns a number in [0, 1). */
    double fraction() { return static_cast<double>(this->engine() >> 11) * 0x1.0p-53; }

    /** Returns any 64-bit number. */
    uint64_t next() { return this->engine(); }

private:
    std::mt19937_64 engine;
};

} // namespace kingcup
