/** @file CompressionTest.cpp Guards against data that change on their way through compression, and against damaged or oversized input. */
#include "kingcup/Compression.h"

#include "kingcup/RandomSource.h"
#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;
using kingcup::testing::testSeed;

TEST(CompressionTest, keepsData)
{
    RandomSource random(testSeed(5));
    std::string noise;
    for (int i = 0; i < 100000; ++i)
        noise += static_cast<char>(random.below(256));
    std::string repetitive;
    for (int i = 0; i < 10000; ++i)
        repetitive += R"({"name":"route-)" + std::to_string(i) + R"(","kind":"safe"})";
    section("all data come back as they were, and repetitive data take less room", [&] {
        for (const std::string& data : { std::string(), std::string("x"), noise, repetitive })
            EXPECT_EQ(decompress(compress(data), data.size()), data);
        EXPECT_LT(compress(repetitive).size(), repetitive.size() / 5);
    });
    section("damaged input gives nothing", [&] {
        std::string compressed = compress(repetitive);
        EXPECT_FALSE(decompress(compressed.substr(0, compressed.size() / 2), repetitive.size()));
        EXPECT_FALSE(decompress("no frame", 100));
        EXPECT_FALSE(decompress("", 100));
    });
    section("input that stands for more than the limit gives nothing", [&] {
        EXPECT_FALSE(decompress(compress(repetitive), repetitive.size() - 1));
    });
}
