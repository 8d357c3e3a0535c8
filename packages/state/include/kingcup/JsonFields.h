/** @file JsonFields.h Reads fields of untrusted JSON objects. */
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcup {

/** Returns a string field; empty if it is missing or not a string. */
std::string textField(const nlohmann::json& object, const char* name);

/** Returns an integer field; 0 if it is missing, negative or not an integer. */
uint64_t numberField(const nlohmann::json& object, const char* name);

/** Returns whether a text is valid UTF-8. Messages between VMs with any other text cannot be parsed by their receivers. */
bool isUtf8(const std::string& text);

} // namespace kingcup
