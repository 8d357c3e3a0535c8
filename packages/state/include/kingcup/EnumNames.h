/** @file EnumNames.h Lookup in tables that map enumeration values to names. */
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace kingcup {

/** Row of a table that maps enumeration values to names. */
template <typename Enum>
struct EnumName {
    Enum value;
    std::string_view name; ///< Name in JSON, logs and tables.
};

/** Returns the name of a value, or "unknown" if the table does not contain the value. */
template <typename Enum, size_t size>
constexpr std::string_view nameOf(const EnumName<Enum> (&table)[size], Enum value)
{
    for (const EnumName<Enum>& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/** Returns the value with a name; empty if the table does not contain the name. */
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
