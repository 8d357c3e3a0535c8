/** @file HttpTypes.cpp Lookup and classification of header fields. */
#include "kingcup/HttpTypes.h"

#include "HttpText.h"

#include <algorithm>
#include <iterator>

namespace kingcup {

namespace {

constexpr std::string_view hopByHopNames[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
};

} // namespace

bool equalsIgnoreCase(std::string_view one, std::string_view other)
{
    return std::equal(one.begin(), one.end(), other.begin(), other.end(), [](char left, char right) { return lowerCase(left) == lowerCase(right); });
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const HttpHeader& field : this->fields) {
        if (equalsIgnoreCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

bool isHopByHop(std::string_view name, std::string_view connectionValue)
{
    auto isSameName = [name](std::string_view other) { return equalsIgnoreCase(name, trimBlanks(other)); };
    if (std::any_of(std::begin(hopByHopNames), std::end(hopByHopNames), isSameName))
        return true;
    while (!connectionValue.empty()) {
        size_t comma = connectionValue.find(',');
        if (isSameName(connectionValue.substr(0, comma)))
            return true;
        connectionValue.remove_prefix(comma == std::string_view::npos ? connectionValue.size() : comma + 1);
    }
    return false;
}

} // namespace kingcup
