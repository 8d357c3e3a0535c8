/** @file ExitCode.h Exit codes of kingcupctl. Scripts depend on their numbers. */
#pragma once

#include "kingcup/ResultCode.h"

#include <span>
#include <string_view>

namespace kingcup {

/** Exit code of the process. exitCodeTable() holds the meaning of each. */
enum class ExitCode : int {
    Success = 0,
    UsageError = 1,
    InvalidManifest = 2,
    Conflict = 3,
    NoAnswer = 4,
    NotInForce = 5,
    Unauthorized = 6,
    Refused = 7,
};

/** An exit code and its description in the help text. */
struct ExitCodeRow {
    ExitCode code;
    std::string_view meaning; ///< Meaning in one sentence, as printed by --help.
};

/** Returns all exit codes, ordered by number. */
std::span<const ExitCodeRow> exitCodeTable();

/** Returns the exit code for the result code of an answer. Codes without an entry of their own map to NoAnswer if the request may be retried, otherwise to Refused. */
ExitCode exitCodeFor(ResultCode code);

} // namespace kingcup
