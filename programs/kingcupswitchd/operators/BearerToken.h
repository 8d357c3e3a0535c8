/** @file BearerToken.h Checks bearer tokens in constant time. */
#pragma once

#include "kingcup/HttpTypes.h"

#include <string>
#include <system_error>

namespace kingcup {

/** A token read from a file. */
class BearerToken {
public:
    /** Reads the first line of a file. Errors: FileError, or Unauthorized when the token is shorter than 16 characters. */
    std::error_code load(const std::string& file);

    /** Returns whether the Authorization field holds this token. Takes the same time wherever the first difference is. */
    bool matches(const HttpHeaders& headers) const;

private:
    std::string token; ///< Empty: matches nothing.
};

} // namespace kingcup
