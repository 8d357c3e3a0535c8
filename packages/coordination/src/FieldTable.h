/** @file FieldTable.h Static tables of fields that describe how rows are stored in snapshots. */
#pragma once

#include <cstdint>
#include <google/protobuf/io/coded_stream.h>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace kingcup {

/** How a field is stored. */
enum class FieldType {
    Number, ///< Varint of up to 64 bits.
    ShortNumber, ///< Varint of up to 32 bits.
    Flag, ///< Varint 0 or 1.
    Text, ///< Length as varint, then bytes.
};

/** Member of a row that holds a field. The empty alternative marks a field that only older versions have; it is read and dropped. */
template <typename Row>
using FieldMember = std::variant<std::monostate, uint64_t Row::*, uint32_t Row::*, bool Row::*, std::string Row::*>;

/** One field of a row. */
template <typename Row>
struct Field {
    std::string_view name; ///< Name, for dumps and tests.
    FieldType type; ///< How it is stored.
    FieldMember<Row> member; ///< Where it is held.
    uint32_t firstVersion; ///< First format version that has it.
    uint32_t lastVersion; ///< Last format version that has it.
};

constexpr uint32_t latestVersion = UINT32_MAX; ///< Marks a field that the current version still has.

/** Returns whether a version has a field. */
template <typename Row>
constexpr bool hasField(const Field<Row>& field, uint32_t version)
{
    return field.firstVersion <= version && version <= field.lastVersion;
}

/** Returns whether each member holds its field type and each range of versions is not empty; for static_assert. */
template <typename Row, size_t size>
constexpr bool isConsistent(const Field<Row> (&fields)[size])
{
    constexpr FieldType memberTypes[] = { FieldType::Text, FieldType::Number, FieldType::ShortNumber, FieldType::Flag, FieldType::Text };
    for (const Field<Row>& field : fields) {
        bool isDropped = std::holds_alternative<std::monostate>(field.member);
        bool typeFits = isDropped ? field.lastVersion != latestVersion : memberTypes[field.member.index()] == field.type;
        if (!typeFits || field.firstVersion < 1 || field.lastVersion < field.firstVersion)
            return false;
    }
    return true;
}

/** Writes one value. */
inline void writeValue(google::protobuf::io::CodedOutputStream& out, const std::string& value)
{
    out.WriteVarint64(value.size());
    out.WriteString(value);
}

/** Writes one value. */
inline void writeValue(google::protobuf::io::CodedOutputStream& out, uint64_t value)
{
    out.WriteVarint64(value);
}

/** Reads a text. Returns false when the input ends before it; no memory is reserved for a length beyond the input. */
inline bool readValue(google::protobuf::io::CodedInputStream& in, std::string& value)
{
    uint64_t size = 0;
    int remaining = in.BytesUntilLimit();
    if (!in.ReadVarint64(&size) || remaining < 0 || size > static_cast<uint64_t>(remaining))
        return false;
    return in.ReadString(&value, static_cast<int>(size));
}

/** Reads a number or flag. Returns false when the input ends or the number does not fit. */
template <typename Number>
bool readValue(google::protobuf::io::CodedInputStream& in, Number& value)
{
    uint64_t number = 0;
    if (!in.ReadVarint64(&number))
        return false;
    value = static_cast<Number>(number);
    return static_cast<uint64_t>(value) == number;
}

/** Writes one field. Fields without a member are written empty; only tests write such versions. */
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

/** Reads one field. Returns false on damage. */
template <typename Row>
bool readField(google::protobuf::io::CodedInputStream& in, const Field<Row>& field, Row& row)
{
    auto read = [&](auto member) {
        if constexpr (!std::is_same_v<decltype(member), std::monostate>)
            return readValue(in, row.*member);
        std::string text;
        uint64_t number = 0;
        return field.type == FieldType::Text ? readValue(in, text) : readValue(in, number);
    };
    return std::visit(read, field.member);
}

/** Writes the fields that a version has. */
template <typename Row, size_t size>
void writeRow(google::protobuf::io::CodedOutputStream& out, const Field<Row> (&fields)[size], uint32_t version, const Row& row)
{
    for (const Field<Row>& field : fields) {
        if (hasField(field, version))
            writeField(out, field, row);
    }
}

/** Reads the fields that a version has; others keep their defaults. Returns false on damage. */
template <typename Row, size_t size>
bool readRow(google::protobuf::io::CodedInputStream& in, const Field<Row> (&fields)[size], uint32_t version, Row& row)
{
    for (const Field<Row>& field : fields) {
        if (hasField(field, version) && !readField(in, field, row))
            return false;
    }
    return true;
}

/** Reads a count and that many rows, giving each to `restore`. Returns false on damage or when `restore` does. */
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
