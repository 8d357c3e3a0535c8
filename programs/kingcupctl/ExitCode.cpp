/** @file ExitCode.cpp Meanings of the exit codes and their mapping from result codes. */
#include "ExitCode.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr ExitCodeRow exitCodes[] = {
    { ExitCode::Success, "Success; for manifest apply: accepted now or before, and with --wait in force everywhere." },
    { ExitCode::Usage, "The command line is wrong or a local file cannot be read." },
    { ExitCode::InvalidDocument, "The manifest is not valid." },
    { ExitCode::Conflict, "An earlier decision rules the command out: the manifest conflicts, is outdated or has a changed base, or the group is already formed." },
    { ExitCode::NoAnswer, "No VM decided before the timeout; the command may still take effect and can be sent again." },
    { ExitCode::NotInForce, "The manifest is accepted, but was not in force everywhere before the timeout." },
    { ExitCode::Unauthorized, "The operator token is missing or wrong." },
    { ExitCode::Refused, "The command was refused for another reason." },
};

/** Exit code of a result code that maps to neither NoAnswer nor Refused. */
struct ResultRow {
    ResultCode result; ///< Result code of an answer.
    ExitCode exit; ///< Exit code of the process.
};

constexpr ResultRow resultRows[] = {
    { ResultCode::Ok, ExitCode::Success },
    { ResultCode::ManifestSuperseded, ExitCode::Success },
    { ResultCode::ManifestSyntax, ExitCode::InvalidDocument },
    { ResultCode::ManifestUnknownKey, ExitCode::InvalidDocument },
    { ResultCode::ManifestWrongType, ExitCode::InvalidDocument },
    { ResultCode::ManifestOutOfRange, ExitCode::InvalidDocument },
    { ResultCode::ManifestOverlap, ExitCode::InvalidDocument },
    { ResultCode::ManifestMissingKey, ExitCode::InvalidDocument },
    { ResultCode::ManifestTooLarge, ExitCode::InvalidDocument },
    { ResultCode::ManifestConflict, ExitCode::Conflict },
    { ResultCode::ManifestOutdated, ExitCode::Conflict },
    { ResultCode::ManifestBaseChanged, ExitCode::Conflict },
    { ResultCode::AlreadyBootstrapped, ExitCode::Conflict },
    { ResultCode::Unauthorized, ExitCode::Unauthorized },
};

} // namespace

std::span<const ExitCodeRow> exitCodeTable()
{
    return exitCodes;
}

ExitCode exitCodeFor(ResultCode code)
{
    auto isRow = [&](const ResultRow& row) { return row.result == code; };
    const ResultRow* row = std::find_if(std::begin(resultRows), std::end(resultRows), isRow);
    if (row != std::end(resultRows))
        return row->exit;
    return resultCodeRow(code).retryAfter ? ExitCode::NoAnswer : ExitCode::Refused;
}

} // namespace kingcup
