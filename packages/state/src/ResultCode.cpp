/** @file ResultCode.cpp Table of the result codes. */
#include "kingcup/ResultCode.h"

#include "kingcup/EnumNames.h"

#include <algorithm>
#include <string>

namespace kingcup {

namespace {

constexpr ResultCodeRow resultCodes[] = {
    { ResultCode::Ok, "ok", 200, RunState::NotApplicable, false, "Success." },
    { ResultCode::NoService, "no_service", 404, RunState::NotRun, false, "No service of the manifest matches the request." },
    { ResultCode::NoKind, "no_kind", 404, RunState::NotRun, false, "The service has no kind that matches method and path." },
    { ResultCode::QueueFull, "queue_full", 503, RunState::NotRun, true, "The admission queue of the service is full." },
    { ResultCode::WaitTooLong, "wait_too_long", 503, RunState::NotRun, true, "The request cannot start within the time its kind may wait." },
    { ResultCode::NoTarget, "no_target", 503, RunState::NotRun, true, "No target of the service takes work." },
    { ResultCode::ConnectFailed, "connect_failed", 503, RunState::NotRun, true, "No connection to a target could be opened." },
    { ResultCode::Isolated, "isolated", 503, RunState::NotRun, true, "This VM does not know that its configuration is current." },
    { ResultCode::Stopping, "stopping", 503, RunState::NotRun, true, "This VM is stopping." },
    { ResultCode::ClaimUnavailable, "claim_unavailable", 503, RunState::NotRun, true, "The idempotency key could not be claimed in time." },
    { ResultCode::KeyRequired, "key_required", 400, RunState::NotRun, false, "The kind requires an Idempotency-Key." },
    { ResultCode::KeyMismatch, "key_mismatch", 422, RunState::NotRun, false, "The Idempotency-Key was used with another request." },
    { ResultCode::KeyRunning, "key_running", 409, RunState::Unknown, true, "A request with this Idempotency-Key is still running." },
    { ResultCode::Quarantined, "quarantined", 503, RunState::NotRun, true, "The request is quarantined because targets crashed while running it." },
    { ResultCode::DeadlineBeforeSend, "deadline_before_send", 504, RunState::NotRun, true, "The deadline passed before the request was sent." },
    { ResultCode::BadRequest, "bad_request", 400, RunState::NotRun, false, "The request is malformed." },
    { ResultCode::BodyTooLarge, "body_too_large", 413, RunState::NotRun, false, "The body exceeds its limit." },
    { ResultCode::HeaderTooLarge, "header_too_large", 431, RunState::NotRun, false, "The header exceeds its limit." },
    { ResultCode::SlowSender, "slow_sender", 408, RunState::NotRun, false, "The request did not arrive in time." },
    { ResultCode::DepthExceeded, "depth_exceeded", 508, RunState::NotRun, false, "The call depth exceeds its limit." },
    { ResultCode::NotRunByTarget, "not_run_by_target", 503, RunState::NotRun, true, "The target answered with a status that promises it did not run the request." },
    { ResultCode::ApiKeyUnknown, "api_key_unknown", 401, RunState::NotRun, false, "The API key is missing or no organisation holds it." },
    { ResultCode::UsageCapReached, "usage_cap_reached", 429, RunState::NotRun, true, "The organisation has used up its usage cap." },
    { ResultCode::ConnectionLost, "connection_lost", 502, RunState::Unknown, true, "The connection to the target was lost after the request was sent." },
    { ResultCode::DeadlineAfterSend, "deadline_after_send", 504, RunState::Unknown, true, "The deadline passed after the request was sent." },
    { ResultCode::AnswerTruncated, "answer_truncated", 502, RunState::Unknown, true, "The answer of the target ended early." },
    { ResultCode::KeyOutcomeUnknown, "key_outcome_unknown", 409, RunState::Unknown, false, "The outcome of the request with this Idempotency-Key is unknown; it is not run again." },
    { ResultCode::KeyFinished, "key_finished", 409, RunState::Ran, false, "The request with this Idempotency-Key ran; its answer was too large to record." },
    { ResultCode::AnswerInvalid, "answer_invalid", 502, RunState::Unknown, true, "The target's answer is not valid HTTP." },
    { ResultCode::StoppedAfterSend, "stopped_after_send", 502, RunState::Unknown, true, "This VM stopped before the target had answered." },
    { ResultCode::ManifestSyntax, "manifest_syntax", 400, RunState::NotApplicable, false, "The manifest is not valid JSON." },
    { ResultCode::ManifestUnknownKey, "manifest_unknown_key", 400, RunState::NotApplicable, false, "The manifest holds an unknown key." },
    { ResultCode::ManifestWrongType, "manifest_wrong_type", 400, RunState::NotApplicable, false, "A value of the manifest has the wrong type." },
    { ResultCode::ManifestOutOfRange, "manifest_out_of_range", 400, RunState::NotApplicable, false, "A value of the manifest is out of range." },
    { ResultCode::ManifestOverlap, "manifest_overlap", 400, RunState::NotApplicable, false, "Two services or kinds match the same requests." },
    { ResultCode::ManifestConflict, "manifest_conflict", 409, RunState::NotApplicable, false, "Another manifest with this number was accepted." },
    { ResultCode::ManifestOutdated, "manifest_outdated", 409, RunState::NotApplicable, false, "The manifest's number is lower than the one in force and was never accepted." },
    { ResultCode::ManifestSuperseded, "manifest_superseded", 200, RunState::NotApplicable, false, "The manifest was accepted before and a higher number is in force." },
    { ResultCode::ManifestBaseChanged, "manifest_base_changed", 409, RunState::NotApplicable, false, "The manifest that the change is based on is no longer in force." },
    { ResultCode::UnknownTarget, "unknown_target", 404, RunState::NotApplicable, false, "The target is not known." },
    { ResultCode::OldIncarnation, "old_incarnation", 409, RunState::NotApplicable, false, "The message comes from an incarnation that was replaced." },
    { ResultCode::CommandMalformed, "command_malformed", 400, RunState::NotApplicable, false, "The command is malformed." },
    { ResultCode::ManifestMissingKey, "manifest_missing_key", 400, RunState::NotApplicable, false, "The manifest lacks a required key." },
    { ResultCode::ManifestTooLarge, "manifest_too_large", 413, RunState::NotApplicable, false, "The manifest exceeds its size limit." },
    { ResultCode::ClaimReleased, "claim_released", 409, RunState::NotApplicable, false, "The attempt released its claim before the claim was applied." },
    { ResultCode::NotLeader, "not_leader", 421, RunState::NotApplicable, true, "This VM is not the leader of the group." },
    { ResultCode::NoQuorum, "no_quorum", 503, RunState::NotApplicable, true, "The group has no quorum." },
    { ResultCode::NotBootstrapped, "not_bootstrapped", 503, RunState::NotApplicable, true, "The group was not formed yet." },
    { ResultCode::AlreadyBootstrapped, "already_bootstrapped", 409, RunState::NotApplicable, false, "The group was formed before." },
    { ResultCode::MembershipChangePending, "membership_change_pending", 409, RunState::NotApplicable, true, "Another change of voters is not committed yet." },
    { ResultCode::NotCaughtUp, "not_caught_up", 409, RunState::NotApplicable, true, "The new voter has not caught up with the log." },
    { ResultCode::UnknownVm, "unknown_vm", 404, RunState::NotApplicable, false, "The VM is not a member of the group." },
    { ResultCode::JournalDamaged, "journal_damaged", 500, RunState::NotApplicable, false, "The journal is damaged before its tail." },
    { ResultCode::ForeignDataFolder, "foreign_data_folder", 500, RunState::NotApplicable, false, "The data folder belongs to another deployment or VM." },
    { ResultCode::DiskFull, "disk_full", 507, RunState::NotApplicable, true, "The disk is full." },
    { ResultCode::SyncFailed, "sync_failed", 500, RunState::NotApplicable, false, "Syncing the journal failed." },
    { ResultCode::DataFolderLocked, "data_folder_locked", 500, RunState::NotApplicable, false, "Another process uses the data folder." },
    { ResultCode::SnapshotVersion, "snapshot_version", 500, RunState::NotApplicable, false, "The snapshot was written by a newer version." },
    { ResultCode::FileError, "file_error", 500, RunState::NotApplicable, false, "A file could not be read or written." },
    { ResultCode::CommandTooLarge, "command_too_large", 413, RunState::NotApplicable, false, "The command exceeds its size limit." },
    { ResultCode::CommandTimeout, "command_timeout", 504, RunState::NotApplicable, true, "The command was not committed in time; it may still be." },
    { ResultCode::CommandAbandoned, "command_abandoned", 503, RunState::NotApplicable, true, "The leader changed before the command was committed; it may still be." },
    { ResultCode::SettingsSyntax, "settings_syntax", 400, RunState::NotApplicable, false, "The settings are not valid JSON." },
    { ResultCode::SettingsUnknownKey, "settings_unknown_key", 400, RunState::NotApplicable, false, "The settings hold an unknown key." },
    { ResultCode::SettingsWrongType, "settings_wrong_type", 400, RunState::NotApplicable, false, "A value of the settings has the wrong type." },
    { ResultCode::SettingsOutOfRange, "settings_out_of_range", 400, RunState::NotApplicable, false, "A value of the settings is out of range." },
    { ResultCode::SettingsMissingKey, "settings_missing_key", 400, RunState::NotApplicable, false, "The settings lack a required key." },
    { ResultCode::Unauthorized, "unauthorized", 401, RunState::NotApplicable, false, "The token is missing or wrong." },
    { ResultCode::NotFound, "not_found", 404, RunState::NotApplicable, false, "The path is not known." },
    { ResultCode::MethodNotAllowed, "method_not_allowed", 405, RunState::NotApplicable, false, "The path does not accept this method." },
    { ResultCode::ListenFailed, "listen_failed", 500, RunState::NotApplicable, false, "An address could not be listened on." },
    { ResultCode::LinkFailed, "link_failed", 500, RunState::NotApplicable, false, "A link could not be opened." },
    { ResultCode::Unreachable, "unreachable", 503, RunState::NotApplicable, true, "The VM did not answer." },
};

constexpr EnumName<RunState> runStateNames[] = {
    { RunState::NotRun, "not-run" },
    { RunState::Unknown, "unknown" },
    { RunState::Ran, "ran" },
    { RunState::NotApplicable, "none" },
};

/** Error category whose messages come from the table of result codes. */
class ResultCategory : public std::error_category {
public:
    const char* name() const noexcept override { return "kingcup"; }
    std::string message(int code) const override { return std::string(resultCodeRow(static_cast<ResultCode>(code)).text); }
};

} // namespace

std::span<const ResultCodeRow> resultCodeTable()
{
    return resultCodes;
}

const ResultCodeRow& resultCodeRow(ResultCode code)
{
    auto precedes = [](const ResultCodeRow& row, ResultCode wanted) { return row.code < wanted; };
    const ResultCodeRow* row = std::lower_bound(std::begin(resultCodes), std::end(resultCodes), code, precedes);
    return row != std::end(resultCodes) && row->code == code ? *row : resultCodes[0];
}

std::string_view runStateName(RunState state)
{
    return nameOf(runStateNames, state);
}

const std::error_category& resultCategory()
{
    static const ResultCategory category;
    return category;
}

std::error_code make_error_code(ResultCode code)
{
    return { static_cast<int>(code), resultCategory() };
}

} // namespace kingcup
