/** @file ResultCode.h Numbered result codes of the programs and their answers. */
#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace kingcup {

/** Result codes. The numbers are part of the public interface and are never reused. */
enum class ResultCode : int {
    Ok = 0,

    // 1xxx: refused requests. Except for KeyRunning, the request has not run.
    NoService = 1001,
    NoKind = 1002,
    QueueFull = 1003,
    WaitTooLong = 1004,
    NoTarget = 1005,
    ConnectFailed = 1006,
    Isolated = 1007,
    Stopping = 1008,
    ClaimUnavailable = 1009,
    KeyRequired = 1010,
    KeyMismatch = 1011,
    KeyRunning = 1012,
    Quarantined = 1013,
    DeadlineBeforeSend = 1014,
    BadRequest = 1015,
    BodyTooLarge = 1016,
    HeaderTooLarge = 1017,
    SlowSender = 1018,
    DepthExceeded = 1019,
    NotRunByTarget = 1020,
    ApiKeyUnknown = 1021,
    UsageCapReached = 1022,

    // 2xxx: the request may have run.
    ConnectionLost = 2001,
    DeadlineAfterSend = 2002,
    AnswerTruncated = 2003,
    KeyOutcomeUnknown = 2004,
    KeyFinished = 2005,
    AnswerInvalid = 2006,
    StoppedAfterSend = 2007,

    // 3xxx: manifests and commands.
    ManifestSyntax = 3001,
    ManifestUnknownKey = 3002,
    ManifestWrongType = 3003,
    ManifestOutOfRange = 3004,
    ManifestOverlap = 3005,
    ManifestConflict = 3006,
    ManifestOutdated = 3007,
    ManifestSuperseded = 3008,
    ManifestBaseChanged = 3009,
    UnknownTarget = 3010,
    OldIncarnation = 3011,
    CommandMalformed = 3012,
    ManifestMissingKey = 3013,
    ManifestTooLarge = 3014,
    ClaimReleased = 3015,

    // 4xxx: replicated log and durable state.
    NotLeader = 4001,
    NoQuorum = 4002,
    NotBootstrapped = 4003,
    AlreadyBootstrapped = 4004,
    MembershipChangePending = 4005,
    NotCaughtUp = 4006,
    UnknownVm = 4007,
    JournalDamaged = 4101,
    ForeignDataFolder = 4102,
    DiskFull = 4103,
    SyncFailed = 4104,
    DataFolderLocked = 4105,
    SnapshotVersion = 4106,
    FileError = 4107,
    CommandTooLarge = 4108,
    CommandTimeout = 4109,
    CommandAbandoned = 4110,

    // 5xxx: settings, command line and access.
    SettingsSyntax = 5001,
    SettingsUnknownKey = 5002,
    SettingsWrongType = 5003,
    SettingsOutOfRange = 5004,
    SettingsMissingKey = 5005,
    Unauthorized = 5101,
    NotFound = 5102,
    MethodNotAllowed = 5103,
    ListenFailed = 5104,
    LinkFailed = 5105,
    Unreachable = 5106,
};

/** Whether the request that is answered with a result code has run. */
enum class RunState {
    NotRun, ///< No byte of the request reached a target, or the target stated that it did not run the request.
    Unknown, ///< The request may have run.
    Ran, ///< The request ran once and its outcome is known.
    NotApplicable, ///< The code is not an answer to a caller's request.
};

/** Row of the table of result codes. */
struct ResultCodeRow {
    ResultCode code;
    std::string_view name; ///< Name in headers, logs and JSON.
    int httpStatus; ///< Status of an HTTP answer with this code.
    RunState runState; ///< Whether the request has run.
    bool hasRetryAfter; ///< Whether an HTTP answer with this code has the header Retry-After.
    std::string_view text; ///< Meaning in one sentence.
};

/** Returns the table of result codes, in ascending order of the numbers. */
std::span<const ResultCodeRow> resultCodeTable();

/** Returns the row of a code; the row of Ok for a number that is no result code. */
const ResultCodeRow& resultCodeRow(ResultCode code);

/** Returns the value of the header Kingcup-Run for a run state. */
std::string_view runStateName(RunState state);

/** Returns the error category of the result codes, named "kingcup". */
const std::error_category& resultCategory();

/** Converts a result code to a std::error_code; std::error_code calls this implicitly. */
std::error_code make_error_code(ResultCode code); // NOLINT(readability-identifier-naming) name set by <system_error>

} // namespace kingcup

template <>
struct std::is_error_code_enum<kingcup::ResultCode> : std::true_type {
};
