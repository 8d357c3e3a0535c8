/** @file HttpText.h Text operations of HTTP fields on std::string_view, which Debian's Abseil does not take. */
#pragma once

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace kingcup {

/** Returns the lower-case form of an ASCII letter and any other character unchanged. */
constexpr char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

/** Returns the text without the blanks and tabs around it. */
constexpr std::string_view trimBlanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    size_t start = text.find_first_not_of(blanks);
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find_last_not_of(blanks) - start + 1);
}

/** Parses a text that consists of decimal digits only. */
inline std::optional<uint64_t> parseDigits(std::string_view text)
{
    uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace kingcup
