/** @file TextTable.h Aligned columns for people. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** One column of a table over JSON objects. */
struct Column {
    std::string_view title; ///< Heading.
    std::string_view pointer; ///< JSON pointer of the value within a row.
};

/** Returns a value as text without quotes; "-" for an absent one. */
std::string cellText(const nlohmann::json& row, std::string_view pointer);

/** Returns the rows as aligned columns with a heading. */
std::string formatTable(const std::vector<Column>& columns, const nlohmann::json& rows);

} // namespace kingcup
