/** @file JsonFields.cpp Implementation of the field readers. */
#include "kingcup/JsonFields.h"

namespace kingcup {

std::string textField(const nlohmann::json& object, const char* name)
{
    auto field = object.find(name);
    return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

uint64_t numberField(const nlohmann::json& object, const char* name)
{
    auto field = object.find(name);
    return field != object.end() && field->is_number_unsigned() ? field->get<uint64_t>() : 0;
}

bool isUtf8(const std::string& text)
{
    try {
        return !nlohmann::json(text).dump().empty();
    } catch (const nlohmann::json::type_error&) {
        return false;
    }
}

} // namespace kingcup
