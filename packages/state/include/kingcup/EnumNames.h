/** @file EnumNames.h Lookup in tables that give the values of an enumeration their names. */
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace kingcup {

/** One row of a table of names. */
template <typename Enum>
struct EnumName {
    Enum value; ///< The value.
    std::string_view name; ///< Its name in JSON, logs and tables.
};

/** Returns the name of a value, or "unknown" when the table lacks it. */
template <typename Enum, size_t size>
constexpr std::string_view nameOf(const EnumName<Enum> (&table)[size], Enum value)
{
    for (const EnumName<Enum>& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/** Returns the value with a name, if the table has it. */
template <typename Enum, size_t size>
constexpr std::optional<Enum> valueOf(const EnumName<Enum> (&table)[size], std::string_view name)
{
    for (const EnumName<Enum>& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace kingcup
