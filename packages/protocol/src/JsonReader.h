/** @file JsonReader.h Reads the typed members of a JSON object and notes the first error with its JSON pointer. */
#pragma once

#include "kingcup/EnumNames.h"
#include "kingcup/ManifestParser.h"
#include "kingcup/MillisecondClock.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcup {

/** Result codes of one type of document. */
struct DocumentCodes {
    ResultCode syntax; ///< Not JSON, a repeated key, or nested too deeply.
    ResultCode unknownKey; ///< A key that the document does not have.
    ResultCode wrongType; ///< A value of another JSON type.
    ResultCode outOfRange; ///< A value outside its bounds.
    ResultCode missingKey; ///< A required key is absent.
    UnknownKeys unknownKeys = UnknownKeys::Refuse; ///< Whether unknown keys are errors.
};

/** Whether a key must be present. */
enum class Presence {
    Required, ///< Absence is an error.
    Optional, ///< Absence keeps the default.
};

/** What a text must look like. */
struct TextRule {
    size_t minBytes; ///< Shortest.
    size_t maxBytes; ///< Longest.
    bool (*accepts)(std::string_view text); ///< Check of the content.
    std::string_view expectation; ///< What is expected, for the error text.
};

/** Accepts printable ASCII of any content; the common rule for paths of files. */
extern const TextRule printableText;
/** Names of services, kinds, VMs, zones and deployments. */
extern const TextRule nameText;
/** host:port with a port from 1 to 65535. */
extern const TextRule endpointText;

/** Returns the JSON pointer of a member or element. */
std::string pointerTo(const std::string& parent, std::string_view key);

/**
 * Parses a text, refusing repeated keys and deep nesting.
 * @return The document, or the error with an empty pointer.
 */
std::variant<nlohmann::json, DocumentError> parseJson(std::string_view text, const DocumentCodes& codes);

/** Reads the members of one object. Only the first error of a document is kept. */
class JsonReader {
public:
    JsonReader(const nlohmann::json& value, std::string pointer, const DocumentCodes& codes, DocumentError& error);

    /** Reads a text. */
    void text(std::string_view key, std::string& out, Presence presence, const TextRule& rule);

    /** Reads a boolean. */
    void flag(std::string_view key, bool& out, Presence presence);

    /** Reads a number, whole or fractional. */
    void number(std::string_view key, double& out, Presence presence, double min, double max);

    /** Reads a length of time. */
    void milliseconds(std::string_view key, Milliseconds& out, Presence presence, double min, double max);

    /** Reads a whole number. */
    template <typename Integer>
    void integer(std::string_view key, Integer& out, Presence presence, uint64_t min, uint64_t max)
    {
        if (std::optional<uint64_t> value = this->whole(key, presence, min, max))
            out = static_cast<Integer>(*value);
    }

    /** Reads a value of an enumeration by its name. */
    template <typename Enum, size_t size>
    void choice(std::string_view key, Enum& out, Presence presence, const EnumName<Enum> (&table)[size])
    {
        const nlohmann::json* value = this->member(key, presence, nlohmann::json::value_t::string);
        if (!value)
            return;
        std::optional<Enum> found = valueOf(table, value->get_ref<const std::string&>());
        if (found)
            out = *found;
        else
            this->fail(this->codes.outOfRange, key, "not one of the allowed names");
    }

    /** Returns an array with a bounded number of elements, or null. */
    const nlohmann::json* array(std::string_view key, Presence presence, size_t minElements, size_t maxElements);

    /** Returns a nested object, or null. */
    const nlohmann::json* object(std::string_view key, Presence presence);

    /** Ends the object: refuses unknown keys first, because a misspelt key is also a missing one, then missing ones. */
    void finish();

    /** Notes an error at a member, unless there is one already. */
    void fail(ResultCode code, std::string_view key, std::string text);

    /** Reads one text element of an array. */
    std::string textElement(const nlohmann::json& array, size_t position, std::string_view key, const TextRule& rule);

    /** Reads one whole number of an array. Returns whether it is valid. */
    bool integerElement(const nlohmann::json& array, size_t position, std::string_view key, uint64_t& out, uint64_t min, uint64_t max);

    /** Returns whether no error was found so far in the whole document. */
    bool good() const { return this->error.code == ResultCode::Ok; }

    const DocumentCodes& documentCodes() const { return this->codes; } ///< Codes in use.
    std::string pointerOf(std::string_view key) const { return pointerTo(this->pointer, key); } ///< Pointer of a member.

private:
    const nlohmann::json* member(std::string_view key, Presence presence, nlohmann::json::value_t type);
    std::optional<uint64_t> whole(std::string_view key, Presence presence, uint64_t min, uint64_t max);
    bool checkWhole(const nlohmann::json& found, const std::string& place, uint64_t min, uint64_t max);
    void failAt(ResultCode code, const std::string& place, std::string text);
    void checkText(std::string_view text, const std::string& place, const TextRule& rule);

    const nlohmann::json& value; ///< The object.
    std::string pointer; ///< Its place.
    const DocumentCodes& codes; ///< Codes of the document.
    DocumentError& error; ///< First error of the document.
    std::vector<std::string_view> known; ///< Keys that were asked for.
    std::string_view missing; ///< First required key that is absent.
};

/** Writes the members of one object; has the same calls as JsonReader, so that one description serves both. */
class JsonWriter {
public:
    void text(std::string_view key, const std::string& value, Presence, const TextRule&) { this->set(key, value); } ///< Writes a text.
    void flag(std::string_view key, bool value, Presence) { this->set(key, value); } ///< Writes a boolean.
    void number(std::string_view key, double value, Presence, double, double) { this->set(key, canonicalNumber(value)); } ///< Writes a number.
    void milliseconds(std::string_view key, Milliseconds value, Presence, double, double) { this->set(key, canonicalNumber(value.count())); } ///< Writes a length of time.

    /** Writes a whole number. */
    template <typename Integer>
    void integer(std::string_view key, Integer value, Presence, uint64_t, uint64_t) { this->set(key, value); }

    /** Writes a value of an enumeration as its name. */
    template <typename Enum, size_t size>
    void choice(std::string_view key, Enum value, Presence, const EnumName<Enum> (&table)[size]) { this->set(key, nameOf(table, value)); }

    /** Sets a member to any JSON value. */
    void set(std::string_view key, nlohmann::json value) { this->object[std::string(key)] = std::move(value); }

    /** Returns whole numbers as integers, so that 1000 and 1000.0 have one text. */
    static nlohmann::json canonicalNumber(double value);

    nlohmann::json object = nlohmann::json::object(); ///< Result, ordered by key.
};

} // namespace kingcup
