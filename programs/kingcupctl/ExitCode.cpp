/** @file ExitCode.cpp Meanings of the exit codes and their mapping from result codes. */
#include "ExitCode.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr ExitCodeRow exitCodes[] = {
    { ExitCode::Success, "Success; for manifest apply: accepted now or before, and with --wait in force everywhere." },
    { ExitCode::UsageError, "The command line is wrong or a local file cannot be read." },
    { ExitCode::InvalidManifest, "The manifest is not valid." },
    { ExitCode::Conflict, "An earlier decision rules the command out: the manifest conflicts, is outdated or has a changed base, or the group is already formed." },
    { ExitCode::NoAnswer, "No VM decided before the timeout; the command may still take effect and can be sent again." },
    { ExitCode::NotInForce, "The manifest is accepted, but was not in force everywhere before the timeout." },
    { ExitCode::Unauthorized, "The operator token is missing or wrong." },
    { ExitCode::Refused, "The command was refused for another reason." },
};

/** Exit code of a result code that maps to neither NoAnswer nor Refused. */
struct ResultExitCodeRow {
    ResultCode result; ///< Result code of an answer.
    ExitCode exitCode; ///< Exit code of the process.
};

constexpr ResultExitCodeRow resultExitCodes[] = {
    { ResultCode::Ok, ExitCode::Success },
    { ResultCode::ManifestSuperseded, ExitCode::Success },
    { ResultCode::ManifestSyntax, ExitCode::InvalidManifest },
    { ResultCode::ManifestUnknownKey, ExitCode::InvalidManifest },
    { ResultCode::ManifestWrongType, ExitCode::InvalidManifest },
    { ResultCode::ManifestOutOfRange, ExitCode::InvalidManifest },
    { ResultCode::ManifestOverlap, ExitCode::InvalidManifest },
    { ResultCode::ManifestMissingKey, ExitCode::InvalidManifest },
    { ResultCode::ManifestTooLarge, ExitCode::InvalidManifest },
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
    auto hasCode = [&](const ResultExitCodeRow& row) { return row.result == code; };
    const ResultExitCodeRow* row = std::find_if(std::begin(resultExitCodes), std::end(resultExitCodes), hasCode);
    if (row != std::end(resultExitCodes))
        return row->exitCode;
    return resultCodeRow(code).hasRetryAfter ? ExitCode::NoAnswer : ExitCode::Refused;
}

} // namespace kingcup
