/** @file JsonReader.cpp Typed access to JSON objects with errors that hold a JSON pointer. */
#include "JsonReader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

namespace kingcup {

using nlohmann::json;

namespace {

constexpr int maxNesting = 16; ///< Valid documents need five levels.

/** Returns whether all characters are printable ASCII. */
bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return absl::ascii_isprint(static_cast<unsigned char>(c)); });
}

/** Returns whether all characters are valid in a name. */
bool isName(std::string_view text)
{
    auto allowed = [](char c) { return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.'; };
    return std::all_of(text.begin(), text.end(), allowed);
}

/** Returns whether the text is host:port with a port from 1 to 65535. */
bool isEndpoint(std::string_view text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    uint32_t port = 0;
    const char* end = text.data() + text.size();
    auto [parsedEnd, failure] = std::from_chars(text.data() + colon + 1, end, port);
    if (failure != std::errc() || parsedEnd != end)
        return false;
    std::string_view host = text.substr(0, colon);
    return port >= 1 && port <= 65535 && isPrintable(host) && host.find_first_of(" /") == std::string_view::npos;
}

/** Parser callback that detects repeated keys and nesting beyond the limit. */
struct StructureCheck {
    std::vector<std::set<std::string>> keys; ///< Keys of the open objects.
    std::string problem; ///< Empty: none.

    /** Handles one parser event. Returns false to discard the value. */
    bool operator()(int depth, json::parse_event_t event, json& parsed)
    {
        if (depth > maxNesting)
            this->problem = "nested too deeply";
        if (event == json::parse_event_t::object_start)
            this->keys.emplace_back();
        if (event == json::parse_event_t::object_end)
            this->keys.pop_back();
        if (event == json::parse_event_t::key && !this->keys.back().insert(parsed.get<std::string>()).second)
            this->problem = absl::StrCat("key \"", parsed.get<std::string>(), "\" is repeated");
        return this->problem.empty();
    }
};

/** Returns the name of a JSON type for error messages. */
std::string_view typeName(json::value_t type)
{
    switch (type) {
    case json::value_t::object:
        return "an object";
    case json::value_t::array:
        return "an array";
    case json::value_t::string:
        return "a string";
    case json::value_t::boolean:
        return "a boolean";
    default:
        return "a number";
    }
}

/** Returns whether a value has the expected type; integers and floating-point numbers are not distinguished. */
bool hasType(const json& value, json::value_t type)
{
    if (type == json::value_t::number_float)
        return value.is_number();
    return value.type() == type;
}

/** Returns the message of a parser error without the text that the parser quotes, which may be part of an API key. */
std::string syntaxErrorText(const json::exception& failure)
{
    std::string_view text = failure.what();
    return std::string(text.substr(0, text.find("; last read")));
}

} // namespace

const TextRule printableText = { 1, 4096, isPrintable, "printable ASCII" };
const TextRule nameText = { 1, 64, isName, "letters, digits, '-', '_' and '.'" };
const TextRule endpointText = { 3, 255, isEndpoint, "host:port" };

std::string pointerTo(const std::string& parent, std::string_view key)
{
    return absl::StrCat(parent, "/", absl::StrReplaceAll(std::string(key), { { "~", "~0" }, { "/", "~1" } }));
}

std::variant<json, DocumentError> parseJson(std::string_view text, const DocumentCodes& codes)
{
    StructureCheck check;
    try {
        json document = json::parse(text, std::ref(check));
        if (check.problem.empty())
            return document;
    } catch (const json::exception& failure) {
        check.problem = check.problem.empty() ? syntaxErrorText(failure) : check.problem;
    }
    return DocumentError { codes.syntax, "", check.problem };
}

JsonReader::JsonReader(const json& value, std::string pointer, const DocumentCodes& codes, DocumentError& error)
    : value(value)
    , pointer(std::move(pointer))
    , codes(codes)
    , error(error)
{
    if (!value.is_object())
        this->failAt(codes.wrongType, this->pointer, "must be an object");
}

void JsonReader::fail(ResultCode code, std::string_view key, std::string text)
{
    this->failAt(code, this->pointerOf(key), std::move(text));
}

/** Stores an error at a JSON pointer unless the document already has one. */
void JsonReader::failAt(ResultCode code, const std::string& place, std::string text)
{
    if (this->good())
        this->error = { code, place, std::move(text) };
}

const json* JsonReader::member(std::string_view key, Presence presence, json::value_t type)
{
    this->known.push_back(key);
    if (!this->value.is_object())
        return nullptr;
    auto found = this->value.find(std::string(key));
    if (found == this->value.end()) {
        if (presence == Presence::Required && this->missing.empty())
            this->missing = key;
        return nullptr;
    }
    if (hasType(*found, type))
        return &*found;
    this->fail(this->codes.wrongType, key, "must be " + std::string(typeName(type)));
    return nullptr;
}

void JsonReader::checkText(std::string_view text, const std::string& place, const TextRule& rule)
{
    if (text.size() < rule.minBytes || text.size() > rule.maxBytes)
        this->failAt(this->codes.outOfRange, place, absl::StrCat("must have ", rule.minBytes, " to ", rule.maxBytes, " bytes"));
    else if (!rule.accepts(text))
        this->failAt(this->codes.outOfRange, place, "must be " + std::string(rule.expectation));
}

void JsonReader::text(std::string_view key, std::string& out, Presence presence, const TextRule& rule)
{
    const json* found = this->member(key, presence, json::value_t::string);
    if (!found)
        return;
    out = found->get<std::string>();
    this->checkText(out, this->pointerOf(key), rule);
}

std::string JsonReader::textElement(const json& array, size_t position, std::string_view key, const TextRule& rule)
{
    std::string place = pointerTo(this->pointerOf(key), std::to_string(position));
    if (!array[position].is_string()) {
        this->failAt(this->codes.wrongType, place, "must be a string");
        return {};
    }
    std::string text = array[position].get<std::string>();
    this->checkText(text, place, rule);
    return text;
}

void JsonReader::flag(std::string_view key, bool& out, Presence presence)
{
    if (const json* found = this->member(key, presence, json::value_t::boolean))
        out = found->get<bool>();
}

void JsonReader::number(std::string_view key, double& out, Presence presence, double min, double max)
{
    const json* found = this->member(key, presence, json::value_t::number_float);
    if (!found)
        return;
    out = found->get<double>();
    if (!(out >= min && out <= max))
        this->fail(this->codes.outOfRange, key, absl::StrCat("must be from ", min, " to ", max));
}

void JsonReader::milliseconds(std::string_view key, Milliseconds& out, Presence presence, double min, double max)
{
    double count = out.count();
    this->number(key, count, presence, min, max);
    out = Milliseconds(count);
}

std::optional<uint64_t> JsonReader::whole(std::string_view key, Presence presence, uint64_t min, uint64_t max)
{
    const json* found = this->member(key, presence, json::value_t::number_float);
    if (!found)
        return std::nullopt;
    // Earlier builds stored an integer from 2^31 to 2^32 - 1 as a negative one.
    bool wasWrapped = this->codes.origin == DocumentOrigin::Stored && found->is_number_integer() && !found->is_number_unsigned() && found->get<int64_t>() >= INT32_MIN;
    const json original = wasWrapped ? json(static_cast<uint32_t>(found->get<int64_t>())) : *found;
    bool isValid = this->checkWhole(original, this->pointerOf(key), min, max);
    return isValid ? std::optional(original.get<uint64_t>()) : std::nullopt;
}

bool JsonReader::integerElement(const json& array, size_t position, std::string_view key, uint64_t& out, uint64_t min, uint64_t max)
{
    const json& found = array[position];
    bool isValid = this->checkWhole(found, pointerTo(this->pointerOf(key), std::to_string(position)), min, max);
    out = isValid ? found.get<uint64_t>() : out;
    return isValid;
}

/** Checks type and range of an integer. */
bool JsonReader::checkWhole(const json& found, const std::string& place, uint64_t min, uint64_t max)
{
    if (!found.is_number_integer()) {
        this->failAt(this->codes.wrongType, place, "must be an integer");
        return false;
    }
    bool isNegative = !found.is_number_unsigned() && found.get<int64_t>() < 0;
    bool isValid = !isNegative && found.get<uint64_t>() >= min && found.get<uint64_t>() <= max;
    if (!isValid)
        this->failAt(this->codes.outOfRange, place, absl::StrCat("must be from ", min, " to ", max));
    return isValid;
}

const json* JsonReader::array(std::string_view key, Presence presence, size_t minElements, size_t maxElements)
{
    const json* found = this->member(key, presence, json::value_t::array);
    if (!found)
        return nullptr;
    bool isTooLong = found->size() > maxElements && this->codes.origin == DocumentOrigin::Submitted;
    if (found->size() >= minElements && !isTooLong)
        return found;
    this->fail(this->codes.outOfRange, key, absl::StrCat("must have ", minElements, " to ", maxElements, " elements"));
    return nullptr;
}

const json* JsonReader::object(std::string_view key, Presence presence)
{
    return this->member(key, presence, json::value_t::object);
}

void JsonReader::finish()
{
    if (!this->good() || !this->value.is_object())
        return;
    for (const auto& [key, ignored] : this->value.items()) {
        if (this->codes.unknownKeys == UnknownKeys::Ignore)
            break;
        if (std::find(this->known.begin(), this->known.end(), key) == this->known.end()) {
            this->fail(this->codes.unknownKey, key, "is not a known key");
            return;
        }
    }
    if (!this->missing.empty())
        this->fail(this->codes.missingKey, this->missing, "is required");
}

json JsonWriter::canonicalNumber(double value)
{
    constexpr double largestExact = 9007199254740992.0; // 2^53
    if (std::floor(value) == value && std::abs(value) < largestExact)
        return static_cast<int64_t>(value);
    return value;
}

} // namespace kingcup
