/** @file Story.cpp Implementation of the nested test sections. */
#include "testing/Story.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>

namespace kingcup::testing {

void section(const std::string& title, const std::function<void()>& body)
{
    if (::testing::Test::HasFatalFailure())
        return;
    SCOPED_TRACE(title);
    body();
}

unsigned long long testSeed(unsigned long long fallback)
{
    const char* text = std::getenv("KINGCUP_SEED");
    unsigned long long seed = text ? std::strtoull(text, nullptr, 10) : fallback;
    std::cout << "seed " << seed << std::endl;
    return seed;
}

} // namespace kingcup::testing
