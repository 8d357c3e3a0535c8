/** @file CallAttempt.cpp Translates upstream outcomes to router outcomes and result codes. */
#include "CallAttempt.h"

#include "kingcup/ResultCode.h"

namespace kingcup {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int firstServerErrorStatus = 500;

/** Router outcome and result codes of an upstream outcome. */
struct OutcomeRow {
    UpstreamOutcome outcome; ///< Outcome reported by the upstream client.
    AttemptOutcome attemptOutcome; ///< Outcome recorded in the router.
    ResultCode sentCode; ///< Result code when the request may have reached the target.
    ResultCode notSentCode; ///< Result code when the request cannot have reached the target.
};

constexpr OutcomeRow outcomeTable[] = {
    { UpstreamOutcome::Complete, AttemptOutcome::Answered, ResultCode::Ok, ResultCode::Ok },
    { UpstreamOutcome::ConnectFailed, AttemptOutcome::ConnectFailed, ResultCode::ConnectionLost, ResultCode::ConnectFailed },
    { UpstreamOutcome::ConnectionLost, AttemptOutcome::ConnectionLost, ResultCode::ConnectionLost, ResultCode::ConnectFailed },
    { UpstreamOutcome::Truncated, AttemptOutcome::ConnectionLost, ResultCode::AnswerTruncated, ResultCode::ConnectFailed },
    { UpstreamOutcome::TimedOut, AttemptOutcome::TimedOut, ResultCode::DeadlineAfterSend, ResultCode::DeadlineBeforeSend },
    { UpstreamOutcome::Cancelled, AttemptOutcome::Cancelled, ResultCode::ConnectionLost, ResultCode::ConnectFailed },
    { UpstreamOutcome::Invalid, AttemptOutcome::ServerError, ResultCode::AnswerInvalid, ResultCode::ConnectFailed },
};

const OutcomeRow& outcomeRow(UpstreamOutcome outcome)
{
    for (const OutcomeRow& row : outcomeTable) {
        if (row.outcome == outcome)
            return row;
    }
    return outcomeTable[0];
}

} // namespace

AttemptOutcome routerOutcome(const UpstreamResult& result, const CallAttempt& attempt)
{
    if (attempt.isMisdirected)
        return AttemptOutcome::Cancelled;
    if (attempt.isStalled)
        return AttemptOutcome::TimedOut;
    bool serverError = result.outcome == UpstreamOutcome::Complete && (attempt.head.status >= firstServerErrorStatus || attempt.head.status == statusTooManyRequests);
    return serverError ? AttemptOutcome::ServerError : outcomeRow(result.outcome).attemptOutcome;
}

ResultCode failureCode(const UpstreamResult& result)
{
    const OutcomeRow& row = outcomeRow(result.outcome);
    return result.maybeSent ? row.sentCode : row.notSentCode;
}

bool isServerFailure(int status)
{
    return status == statusTooManyRequests || status >= firstServerErrorStatus;
}

} // namespace kingcup
