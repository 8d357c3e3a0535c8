/** @file HttpText.h Text functions for HTTP fields on std::string_view, which Debian's Abseil does not accept. */
#pragma once

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace kingcup {

/** Converts an ASCII letter to lower case; returns other characters unchanged. */
constexpr char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

/** Returns the text without leading and trailing spaces and tabs. */
constexpr std::string_view trimBlanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    size_t start = text.find_first_not_of(blanks);
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find_last_not_of(blanks) - start + 1);
}

/** Parses a text of decimal digits. Returns nothing for any other character, an empty text or an overflow. */
inline std::optional<uint64_t> parseDigits(std::string_view text)
{
    uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace kingcup
