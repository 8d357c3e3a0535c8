/** @file FieldTableTest.cpp Tests that rows of other format versions are read field by field at the right positions. */
#include "../src/FieldTable.h"

#include "testing/Story.h"

#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <gtest/gtest.h>

using namespace kingcup;
using kingcup::testing::section;

namespace {

/** Row type whose text was removed and whose flag was added in version 2. */
struct Row {
    uint64_t number = 0; ///< In all versions.
    std::string text; ///< Only in version 1.
    bool flag = true; ///< Since version 2.
    uint32_t last = 0; ///< In all versions.
};

constexpr Field<Row> versionOneFields[] = {
    { "number", FieldType::Uint64, &Row::number, 1, latestVersion },
    { "text", FieldType::String, &Row::text, 1, latestVersion },
    { "last", FieldType::Uint32, &Row::last, 1, latestVersion },
};

constexpr Field<Row> versionTwoFields[] = {
    { "number", FieldType::Uint64, &Row::number, 1, latestVersion },
    { "text", FieldType::String, std::monostate(), 1, 1 },
    { "flag", FieldType::Bool, &Row::flag, 2, latestVersion },
    { "last", FieldType::Uint32, &Row::last, 1, latestVersion },
};

static_assert(isConsistent(versionOneFields) && isConsistent(versionTwoFields));

template <size_t size>
std::string encode(const Field<Row> (&fields)[size], uint32_t version, const Row& row)
{
    std::string data;
    google::protobuf::io::StringOutputStream stream(&data);
    google::protobuf::io::CodedOutputStream out(&stream);
    writeRow(out, fields, version, row);
    out.Trim();
    return data;
}

/** Decodes a row with the field table of version 2. Returns false if the data is invalid or longer than the row. */
bool decode(const std::string& data, uint32_t version, Row& row)
{
    google::protobuf::io::CodedInputStream in(reinterpret_cast<const uint8_t*>(data.data()), static_cast<int>(data.size()));
    in.PushLimit(static_cast<int>(data.size()));
    return readRow(in, versionTwoFields, version, row) && in.BytesUntilLimit() == 0;
}

} // namespace

TEST(FieldTableTest, readsOtherVersions)
{
    const Row written { uint64_t(1) << 40, "dropped", false, 7 };
    section("a removed field is skipped and an added one has its default", [&] {
        Row row;
        ASSERT_TRUE(decode(encode(versionOneFields, 1, written), 1, row));
        EXPECT_EQ(row.number, written.number);
        EXPECT_EQ(row.text, "");
        EXPECT_TRUE(row.flag);
        EXPECT_EQ(row.last, 7u);
    });
    section("the current version omits the removed field and stores the added one", [&] {
        Row row;
        ASSERT_TRUE(decode(encode(versionTwoFields, 2, written), 2, row));
        EXPECT_FALSE(row.flag);
        EXPECT_EQ(row.last, 7u);
    });
    section("out-of-range values, lengths beyond the input and empty input are refused", [&] {
        Row row;
        EXPECT_FALSE(decode("\x01\x05", 2, row));
        EXPECT_FALSE(decode(std::string("\x01\xff\xff\xff\xff\x7f", 6), 1, row));
        EXPECT_FALSE(decode("", 2, row));
    });
}
