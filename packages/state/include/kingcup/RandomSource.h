/** @file RandomSource.h Seeded random numbers for classes that make random decisions. */
#pragma once

#include <cstdint>
#include <random>

namespace kingcup {

/** Seeded pseudo-random generator. It is injected into its users, so that every decision can be reproduced from the seed. */
class RandomSource {
public:
    /** @param seed Sources with the same seed return the same sequence. */
    explicit RandomSource(uint64_t seed)
        : engine(seed)
    {
    }

    /** Returns a number in [0, bound); 0 if bound is 0. */
    uint64_t below(uint64_t bound) { return bound ? this->engine() % bound : 0; }

    /** Returns a number in [0, 1). */
    double fraction() { return static_cast<double>(this->engine() >> 11) * 0x1.0p-53; }

    /** Returns a number from the full 64-bit range. */
    uint64_t next() { return this->engine(); }

private:
    std::mt19937_64 engine;
};

} // namespace kingcup
