/** @file BearerToken.h Constant-time check of bearer tokens. */
#pragma once

#include "kingcup/HttpTypes.h"

#include <string>
#include <system_error>

namespace kingcup {

/** Expected bearer token, read from a file. */
class BearerToken {
public:
    /** Reads the token from the first line of a file. Errors: FileError, or Unauthorized if the token is shorter than 16 characters. */
    std::error_code load(const std::string& file);

    /** Returns whether the Authorization field contains this token. The duration does not depend on the position of the first difference. */
    bool matches(const HttpHeaders& headers) const;

private:
    std::string token; ///< Expected token; while empty, no request matches.
};

} // namespace kingcup
