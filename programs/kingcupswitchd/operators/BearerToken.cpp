/** @file BearerToken.cpp Loading and comparison of bearer tokens. */
#include "BearerToken.h"

#include "kingcup/ResultCode.h"

#include <fstream>

namespace kingcup {

namespace {

constexpr size_t minTokenBytes = 16;
constexpr std::string_view authenticationScheme = "Bearer ";

/** Compares two texts in a time that depends only on their lengths. `expected` must not be empty. */
bool isEqualInConstantTime(std::string_view candidate, std::string_view expected)
{
    unsigned difference = candidate.size() == expected.size() ? 0 : 1;
    for (size_t position = 0; position < candidate.size(); position++)
        difference |= static_cast<unsigned char>(candidate[position]) ^ static_cast<unsigned char>(expected[position % expected.size()]);
    return difference == 0;
}

} // namespace

std::error_code BearerToken::load(const std::string& file)
{
    std::ifstream stream(file);
    std::string line;
    if (!std::getline(stream, line))
        return ResultCode::FileError;
    if (line.size() < minTokenBytes)
        return ResultCode::Unauthorized;
    this->token = line;
    return {};
}

bool BearerToken::matches(const HttpHeaders& headers) const
{
    std::string_view value = headers.find("Authorization").value_or("");
    if (this->token.empty() || !value.starts_with(authenticationScheme))
        return false;
    return isEqualInConstantTime(value.substr(authenticationScheme.size()), this->token);
}

} // namespace kingcup
