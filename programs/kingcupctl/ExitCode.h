/** @file ExitCode.h Exit codes of kingcupctl. They are part of its interface towards pipelines. */
#pragma once

#include "kingcup/ResultCode.h"

#include <span>
#include <string_view>

namespace kingcup {

/** Exit code of the process. */
enum class ExitCode : int {
    Success = 0,
    Usage = 1,
    InvalidDocument = 2,
    Conflict = 3,
    NoAnswer = 4,
    NotInForce = 5,
    Unauthorized = 6,
    Refused = 7,
};

/** One row of the table of exit codes. */
struct ExitCodeRow {
    ExitCode code; ///< Number.
    std::string_view text; ///< Meaning, one sentence.
};

/** Returns the table, ordered by number. */
std::span<const ExitCodeRow> exitCodeTable();

/** Returns the exit code for a result code of an answer. */
ExitCode exitCodeFor(ResultCode code);

} // namespace kingcup
