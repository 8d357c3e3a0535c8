/** @file JsonFields.h Reads fields of JSON objects that others wrote. */
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcup {

/** Returns a text field; empty when it is missing or no text. */
std::string textField(const nlohmann::json& object, const char* name);

/** Returns a whole-number field; 0 when it is missing, negative or no whole number. */
uint64_t numberField(const nlohmann::json& object, const char* name);

} // namespace kingcup
