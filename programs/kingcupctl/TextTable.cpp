/** @file TextTable.cpp Formats JSON rows as aligned columns. */
#include "TextTable.h"

#include <algorithm>

namespace kingcup {

namespace {

/** Joins cells to one line, each but the last padded to its column's width. */
std::string formatLine(const std::vector<std::string>& cells, const std::vector<size_t>& widths)
{
    std::string line;
    for (size_t i = 0; i < cells.size(); i++) {
        line += cells[i];
        if (i + 1 < cells.size())
            line.append(widths[i] - cells[i].size() + 2, ' ');
    }
    return line + "\n";
}

} // namespace

std::string cellText(const nlohmann::json& row, std::string_view pointer)
{
    nlohmann::json::json_pointer jsonPointer { std::string(pointer) };
    if (!row.contains(jsonPointer))
        return "-";
    const nlohmann::json& value = row.at(jsonPointer);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string formatTable(const std::vector<Column>& columns, const nlohmann::json& rows)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const Column& column : columns)
        lines[0].emplace_back(column.title);
    for (const nlohmann::json& row : rows) {
        std::vector<std::string>& line = lines.emplace_back();
        for (const Column& column : columns)
            line.push_back(cellText(row, column.pointer));
    }
    std::vector<size_t> widths(columns.size());
    for (const std::vector<std::string>& line : lines) {
        for (size_t i = 0; i < line.size(); i++)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (const std::vector<std::string>& line : lines)
        text += formatLine(line, widths);
    return text;
}

} // namespace kingcup
