/** @file TextTable.h Plain text tables with aligned columns. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** Column of a table whose rows are JSON objects. */
struct Column {
    std::string_view title; ///< Heading of the column.
    std::string_view pointer; ///< JSON pointer to the value within a row.
};

/** Returns the value at a JSON pointer as text, with strings unquoted; "-" if the row has no such value. */
std::string cellText(const nlohmann::json& row, std::string_view pointer);

/** Formats the rows as a line of headings and one line per row, with all columns left-aligned. */
std::string formatTable(const std::vector<Column>& columns, const nlohmann::json& rows);

} // namespace kingcup
