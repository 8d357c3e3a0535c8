/** @file ResultCodeTest.cpp Tests that the table of result codes is complete, sorted and states correctly whether a request has run. */
#include "kingcup/ResultCode.h"

#include "testing/Story.h"

#include <gtest/gtest.h>
#include <set>

using namespace kingcup;
using kingcup::testing::section;

TEST(ResultCodeTest, tableIsConsistent)
{
    section("rows are sorted by number and found by it, and names are unique", [] {
        std::set<std::string_view> names;
        int previous = -1;
        for (const ResultCodeRow& row : resultCodeTable()) {
            EXPECT_LT(previous, static_cast<int>(row.code));
            previous = static_cast<int>(row.code);
            EXPECT_EQ(&resultCodeRow(row.code), &row);
            EXPECT_TRUE(names.insert(row.name).second) << row.name;
        }
    });
    section("codes of the 2xxx range never state that a request did not run", [] {
        for (const ResultCodeRow& row : resultCodeTable()) {
            if (static_cast<int>(row.code) / 1000 == 2) {
                EXPECT_NE(row.runState, RunState::NotRun) << row.name;
            }
        }
    });
    section("an error code has the number and the text of its result code", [] {
        std::error_code error = ResultCode::QueueFull;
        EXPECT_EQ(error.value(), 1003);
        EXPECT_EQ(error.message(), resultCodeRow(ResultCode::QueueFull).text);
    });
}
