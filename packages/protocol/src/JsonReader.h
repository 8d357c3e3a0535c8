/** @file JsonReader.h Typed access to the members of a JSON object; stores the first error with its JSON pointer. */
#pragma once

#include "kingcup/EnumNames.h"
#include "kingcup/ManifestParser.h"
#include "kingcup/MillisecondClock.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcup {

/** Where a document comes from. */
enum class DocumentOrigin {
    Submitted, ///< From a person or a pipeline; everything is checked.
    Stored, ///< From the replicated log, which accepted it. A list may be longer than a submitted one, since it holds what two submitted ones held.
};

/** Error codes for one type of document. */
struct DocumentCodes {
    ResultCode syntax; ///< Not JSON, a repeated key, or nested too deeply.
    ResultCode unknownKey; ///< A key that the format does not define.
    ResultCode wrongType; ///< A value of another JSON type.
    ResultCode outOfRange; ///< A value outside its bounds.
    ResultCode missingKey; ///< A required key is absent.
    UnknownKeys unknownKeys = UnknownKeys::Refuse; ///< Whether unknown keys are errors.
    DocumentOrigin origin = DocumentOrigin::Submitted; ///< Whether the document was accepted before.
};

/** Whether a key must be present. */
enum class Presence {
    Required, ///< Absence is an error.
    Optional, ///< Absence keeps the default.
};

/** Validation rule for a string. */
struct TextRule {
    size_t minBytes; ///< Minimum length.
    size_t maxBytes; ///< Maximum length.
    bool (*accepts)(std::string_view text); ///< Returns whether the content is valid.
    std::string_view expectation; ///< Description of valid content, for the error message.
};

/** Printable ASCII; used for file paths. */
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

    /** Reads a string. */
    void text(std::string_view key, std::string& out, Presence presence, const TextRule& rule);

    /** Reads a boolean. */
    void flag(std::string_view key, bool& out, Presence presence);

    /** Reads a number, whole or fractional. */
    void number(std::string_view key, double& out, Presence presence, double min, double max);

    /** Reads a duration in milliseconds. */
    void milliseconds(std::string_view key, Milliseconds& out, Presence presence, double min, double max);

    /** Reads an integer. A value in the range that the type cannot hold becomes its largest one. */
    template <typename Integer>
    void integer(std::string_view key, Integer& out, Presence presence, uint64_t min, uint64_t max)
    {
        if (std::optional<uint64_t> value = this->whole(key, presence, min, max))
            out = static_cast<Integer>(std::min(*value, static_cast<uint64_t>(std::numeric_limits<Integer>::max())));
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

    /** Returns an array whose size is within the bounds, or null if it is absent or invalid. Arrays of stored documents have no upper bound. */
    const nlohmann::json* array(std::string_view key, Presence presence, size_t minElements, size_t maxElements);

    /** Returns a nested object, or null if it is absent or no object. */
    const nlohmann::json* object(std::string_view key, Presence presence);

    /** Reports unknown keys and then missing keys; in this order because a misspelt required key is missing, too. */
    void finish();

    /** Stores an error at a member unless the document already has one. */
    void fail(ResultCode code, std::string_view key, std::string text);

    /** Reads one string of an array. */
    std::string textElement(const nlohmann::json& array, size_t position, std::string_view key, const TextRule& rule);

    /** Reads one integer of an array. Returns whether it is valid. */
    bool integerElement(const nlohmann::json& array, size_t position, std::string_view key, uint64_t& out, uint64_t min, uint64_t max);

    /** Returns whether the document has no error so far. */
    bool good() const { return this->error.code == ResultCode::Ok; }

    const DocumentCodes& documentCodes() const { return this->codes; } ///< Error codes of the document.
    std::string pointerOf(std::string_view key) const { return pointerTo(this->pointer, key); } ///< Pointer of a member.

private:
    const nlohmann::json* member(std::string_view key, Presence presence, nlohmann::json::value_t type);
    std::optional<uint64_t> whole(std::string_view key, Presence presence, uint64_t min, uint64_t max);
    bool checkWhole(const nlohmann::json& found, const std::string& place, uint64_t min, uint64_t max);
    void failAt(ResultCode code, const std::string& place, std::string text);
    void checkText(std::string_view text, const std::string& place, const TextRule& rule);

    const nlohmann::json& value; ///< The object.
    std::string pointer; ///< JSON pointer of the object.
    const DocumentCodes& codes; ///< Error codes of the document.
    DocumentError& error; ///< First error of the document.
    std::vector<std::string_view> known; ///< Keys that were read.
    std::string_view missing; ///< First required key that is absent.
};

/** Writes the members of one object; has the same functions as JsonReader, so that one template lists the members for both. */
class JsonWriter {
public:
    void text(std::string_view key, const std::string& value, Presence, const TextRule&) { this->set(key, value); } ///< Writes a string.
    void flag(std::string_view key, bool value, Presence) { this->set(key, value); } ///< Writes a boolean.
    void number(std::string_view key, double value, Presence, double, double) { this->set(key, canonicalNumber(value)); } ///< Writes a number.
    void milliseconds(std::string_view key, Milliseconds value, Presence, double, double) { this->set(key, canonicalNumber(value.count())); } ///< Writes a duration in milliseconds.

    /** Writes an integer. */
    template <typename Integer>
    void integer(std::string_view key, Integer value, Presence, uint64_t, uint64_t) { this->set(key, value); }

    /** Writes a value of an enumeration as its name. */
    template <typename Enum, size_t size>
    void choice(std::string_view key, Enum value, Presence, const EnumName<Enum> (&table)[size]) { this->set(key, nameOf(table, value)); }

    /** Sets a member to any JSON value. */
    void set(std::string_view key, nlohmann::json value) { this->object[std::string(key)] = std::move(value); }

    /** Converts whole numbers to integers, so that 1000 and 1000.0 have the same text. */
    static nlohmann::json canonicalNumber(double value);

    nlohmann::json object = nlohmann::json::object(); ///< Result, ordered by key.
};

} // namespace kingcup
