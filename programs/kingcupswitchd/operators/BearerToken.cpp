/** @file BearerToken.cpp Loading and comparison of bearer tokens. */
#include "BearerToken.h"

#include "kingcup/ConstantTime.h"
#include "kingcup/ResultCode.h"

#include <fstream>

namespace kingcup {

namespace {

constexpr size_t minTokenBytes = 16;
constexpr std::string_view authenticationScheme = "Bearer ";

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
    if (!value.starts_with(authenticationScheme))
        return false;
    return isEqualInConstantTime(value.substr(authenticationScheme.size()), this->token);
}

} // namespace kingcup
