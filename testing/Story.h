/** @file Story.h Nested test sections on top of GoogleTest, so that a test reads as a story. */
#pragma once

#include <functional>
#include <string>

namespace kingcup::testing {

/**
 * Runs one part of a test; a failure inside names all enclosing sections.
 * @param title What this part establishes.
 * @param body The statements of this part, which may hold further sections.
 */
void section(const std::string& title, const std::function<void()>& body);

/**
 * Returns the seed of this test run and prints it.
 * @param fallback Seed used when the environment variable KINGCUP_SEED is not set.
 */
unsigned long long testSeed(unsigned long long fallback);

} // namespace kingcup::testing
