/** @file FieldTable.h Serialization of rows in snapshots, described by static tables of their fields. */
#pragma once

#include <cstdint>
#include <google/protobuf/io/coded_stream.h>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace kingcup {

/** Encoding of a field. */
enum class FieldType {
    Uint64, ///< Varint of up to 64 bits.
    Uint32, ///< Varint of up to 32 bits.
    Bool, ///< Varint, 0 or 1.
    String, ///< Length as varint, followed by the bytes.
};

/** Pointer to the member of a row that holds a field. The empty alternative stands for a field that only older versions have; its value is read and discarded. */
template <typename Row>
using FieldMember = std::variant<std::monostate, uint64_t Row::*, uint32_t Row::*, bool Row::*, std::string Row::*>;

/** Description of one field of a row. */
template <typename Row>
struct Field {
    std::string_view name; ///< Not stored in the snapshot.
    FieldType type;
    FieldMember<Row> member;
    uint32_t firstVersion; ///< First format version with this field.
    uint32_t lastVersion; ///< Last format version with this field, or latestVersion.
};

constexpr uint32_t latestVersion = UINT32_MAX; ///< Last version of a field that has not been removed from the format.

/** Returns whether a format version contains a field. */
template <typename Row>
constexpr bool hasField(const Field<Row>& field, uint32_t version)
{
    return field.firstVersion <= version && version <= field.lastVersion;
}

/** Returns whether the type of each member matches its encoding and no range of versions is empty. Meant for static_assert. */
template <typename Row, size_t size>
constexpr bool isConsistent(const Field<Row> (&fields)[size])
{
    constexpr FieldType memberTypes[] = { FieldType::String, FieldType::Uint64, FieldType::Uint32, FieldType::Bool, FieldType::String };
    for (const Field<Row>& field : fields) {
        bool isDropped = std::holds_alternative<std::monostate>(field.member);
        bool hasMatchingType = isDropped ? field.lastVersion != latestVersion : memberTypes[field.member.index()] == field.type;
        if (!hasMatchingType || field.firstVersion < 1 || field.lastVersion < field.firstVersion)
            return false;
    }
    return true;
}

/** Writes a text. */
inline void writeValue(google::protobuf::io::CodedOutputStream& out, const std::string& value)
{
    out.WriteVarint64(value.size());
    out.WriteString(value);
}

/** Writes a number or flag. */
inline void writeValue(google::protobuf::io::CodedOutputStream& out, uint64_t value)
{
    out.WriteVarint64(value);
}

/** Reads a text. Returns false if the input is too short for its length; the length is checked before memory is allocated. */
inline bool readValue(google::protobuf::io::CodedInputStream& in, std::string& value)
{
    uint64_t size = 0;
    int remaining = in.BytesUntilLimit();
    if (!in.ReadVarint64(&size) || remaining < 0 || size > static_cast<uint64_t>(remaining))
        return false;
    return in.ReadString(&value, static_cast<int>(size));
}

/** Reads a number or flag. Returns false at the end of the input and for a number that is out of range. */
template <typename Number>
bool readValue(google::protobuf::io::CodedInputStream& in, Number& value)
{
    uint64_t number = 0;
    if (!in.ReadVarint64(&number))
        return false;
    value = static_cast<Number>(number);
    return static_cast<uint64_t>(value) == number;
}

/** Writes one field. A field without a member is written as 0 or an empty text; only tests write such versions. */
template <typename Row>
void writeField(google::protobuf::io::CodedOutputStream& out, const Field<Row>& field, const Row& row)
{
    auto write = [&](auto member) {
        if constexpr (std::is_same_v<decltype(member), std::monostate>)
            out.WriteVarint64(0);
        else
            writeValue(out, row.*member);
    };
    std::visit(write, field.member);
}

/** Reads one field. Returns false if the input is invalid. */
template <typename Row>
bool readField(google::protobuf::io::CodedInputStream& in, const Field<Row>& field, Row& row)
{
    auto read = [&](auto member) {
        if constexpr (!std::is_same_v<decltype(member), std::monostate>)
            return readValue(in, row.*member);
        std::string text;
        uint64_t number = 0;
        return field.type == FieldType::String ? readValue(in, text) : readValue(in, number);
    };
    return std::visit(read, field.member);
}

/** Writes the fields of a row that a format version contains. */
template <typename Row, size_t size>
void writeRow(google::protobuf::io::CodedOutputStream& out, const Field<Row> (&fields)[size], uint32_t version, const Row& row)
{
    for (const Field<Row>& field : fields) {
        if (hasField(field, version))
            writeField(out, field, row);
    }
}

/** Reads the fields of a row that a format version contains; other members keep their values. Returns false if the input is invalid. */
template <typename Row, size_t size>
bool readRow(google::protobuf::io::CodedInputStream& in, const Field<Row> (&fields)[size], uint32_t version, Row& row)
{
    for (const Field<Row>& field : fields) {
        if (hasField(field, version) && !readField(in, field, row))
            return false;
    }
    return true;
}

/** Reads a count and that many rows, and passes each to `restore`. Returns false if the input is invalid or `restore` returns false. */
template <typename Row, size_t size, typename Restore>
bool readRows(google::protobuf::io::CodedInputStream& in, const Field<Row> (&fields)[size], uint32_t version, Restore restore)
{
    uint64_t count = 0;
    if (!in.ReadVarint64(&count))
        return false;
    for (uint64_t i = 0; i < count; i++) {
        Row row;
        if (!readRow(in, fields, version, row) || !restore(std::move(row)))
            return false;
    }
    return true;
}

} // namespace kingcup
