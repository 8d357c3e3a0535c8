/** @file DocumentPage.h Reads the pages of docs/ for the tests that compare them with the code. */
#pragma once

#include "testing/ProcessHarness.h"

#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace kingcup::testing {

/** Returns a file of the source tree. @param path Relative to its root. */
inline std::string sourceText(const std::string& path)
{
    return readFile(std::string(KINGCUP_SOURCE) + "/" + path);
}

/** Returns the lines of a text. */
inline std::vector<std::string> linesOf(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

/** Returns the fenced blocks of a language. */
inline std::vector<std::string> codeBlocks(const std::string& page, const std::string& language)
{
    std::vector<std::string> blocks;
    bool inside = false;
    for (const std::string& line : linesOf(page)) {
        if (inside && line == "```")
            inside = false;
        else if (inside)
            blocks.back() += line + "\n";
        else if (line == "```" + language)
            blocks.emplace_back();
        inside = inside || line == "```" + language;
    }
    return blocks;
}

/** Returns the cells of a table line. */
inline std::vector<std::string> cellsOf(const std::string& line)
{
    std::vector<std::string> cells;
    std::istringstream stream(line.substr(1));
    for (std::string cell; std::getline(stream, cell, '|');) {
        size_t first = cell.find_first_not_of(' ');
        cells.push_back(first == std::string::npos ? "" : cell.substr(first, cell.find_last_not_of(' ') + 1 - first));
    }
    return cells;
}

/** Returns the rows of all tables whose first column has a title. */
inline std::vector<std::vector<std::string>> tableRows(const std::string& page, const std::string& title)
{
    std::vector<std::vector<std::string>> rows;
    bool inside = false;
    for (const std::string& line : linesOf(page)) {
        if (!line.starts_with("| "))
            inside = false;
        else if (inside && !line.starts_with("| ---"))
            rows.push_back(cellsOf(line));
        inside = inside || line.starts_with("| " + title + " |");
    }
    return rows;
}

/** Returns a cell without its backticks. */
inline std::string plain(const std::string& cell)
{
    return cell.size() >= 2 && cell.front() == '`' && cell.back() == '`' ? cell.substr(1, cell.size() - 2) : cell;
}

/** Returns the first cells of all tables with a title, without backticks. */
inline std::set<std::string> firstCells(const std::string& page, const std::string& title)
{
    std::set<std::string> cells;
    for (const std::vector<std::string>& row : tableRows(page, title))
        cells.insert(plain(row[0]));
    return cells;
}

/** Returns the first group of every match. */
inline std::set<std::string> matches(const std::string& text, const std::string& pattern)
{
    std::set<std::string> found;
    std::regex regex(pattern);
    for (std::sregex_iterator match(text.begin(), text.end(), regex), end; match != end; ++match)
        found.insert((*match)[1]);
    return found;
}

} // namespace kingcup::testing
