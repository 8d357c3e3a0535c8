/** @file EchoBody.cpp Makes and checks the bodies of fake targets' answers. */
#include "testing/EchoBody.h"

#include <cstdint>
#include <cstdio>
#include <functional>
#include <sstream>
#include <xxhash.h>

namespace kingcup::testing {

namespace {

constexpr std::string_view echoMark = "echo "; ///< First word of each body.
constexpr std::string_view noBody = "-"; ///< Stands for an empty call id.

/** Makes filler that depends on the call, so that bytes of another answer do not go unnoticed. */
std::string makeFiller(std::string_view callId, size_t size)
{
    uint64_t state = std::hash<std::string_view> {}(callId) | 1;
    std::string filler(size, ' ');
    for (char& letter : filler) {
        state = state * 6364136223846793005u + 1442695040888963407u;
        letter = static_cast<char>('a' + (state >> 33) % 26);
    }
    return filler;
}

} // namespace

std::string checksumOf(std::string_view bytes)
{
    char text[17] = {};
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return text;
}

std::string makeEchoBody(std::string_view callId, std::string_view requestBody, size_t size)
{
    std::string filler = makeFiller(callId, size);
    std::string head(echoMark);
    head += callId.empty() ? noBody : callId;
    head += " " + checksumOf(requestBody) + " " + std::to_string(size) + " " + checksumOf(filler) + "\n";
    return head + filler;
}

EchoBody readEchoBody(std::string_view body)
{
    if (!body.starts_with(echoMark))
        return {};
    EchoBody result { BodyState::Damaged, {}, {} };
    size_t lineEnd = body.find('\n');
    if (lineEnd == std::string_view::npos)
        return result;
    std::istringstream words { std::string(body.substr(echoMark.size(), lineEnd - echoMark.size())) };
    size_t size = 0;
    std::string checksum;
    words >> result.callId >> result.requestChecksum >> size >> checksum;
    std::string_view filler = body.substr(lineEnd + 1);
    if (filler.size() == size && checksumOf(filler) == checksum)
        result.state = BodyState::Whole;
    return result;
}

} // namespace kingcup::testing
