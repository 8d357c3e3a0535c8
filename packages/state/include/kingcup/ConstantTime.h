/** @file ConstantTime.h Comparison of secrets. */
#pragma once

#include <string_view>

namespace kingcup {

/** Compares two texts in a time that depends only on their lengths. False if `expected` is empty. */
inline bool isEqualInConstantTime(std::string_view candidate, std::string_view expected)
{
    if (expected.empty())
        return false;
    unsigned difference = candidate.size() == expected.size() ? 0 : 1;
    for (size_t position = 0; position < candidate.size(); position++)
        difference |= static_cast<unsigned char>(candidate[position]) ^ static_cast<unsigned char>(expected[position % expected.size()]);
    return difference == 0;
}

} // namespace kingcup
