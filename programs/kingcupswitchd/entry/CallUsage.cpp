/** @file CallUsage.cpp Usage cap of the organisation that sends a call. */
#include "Call.h"

#include "kingcup/JsonLog.h"

#include <algorithm>
#include <cmath>

namespace kingcup {

/** Takes a permit of the organisation, if it has a usage cap. Returns false if the call is refused, which ends it. */
bool Call::takeUsagePermit()
{
    const Organisation* organisation = this->match.organisation.get();
    if (!organisation || organisation->requestsPerSecond <= 0)
        return true;
    UsagePermit permit = this->gateway.usage.takePermit(organisation->name, { organisation->requestsPerSecond, organisation->burst }, MillisecondClock::now());
    if (permit.isGranted) {
        this->usagePermitHolder = this->match.organisation;
        return true;
    }
    this->gateway.metrics.incrementCounter("kingcup_usage_cap_refusals_total", this->match.service->name);
    if (permit.isFirstRefusal) {
        logLine(LogLevel::Info, "usage_cap_reached",
            { { "request", this->parameters.requestId }, { "call", this->id }, { "organisation", organisation->name }, { "service", this->match.service->name },
                { "requestsPerSecond", organisation->requestsPerSecond }, { "retryAfterMs", std::round(permit.retryAfter.count()) } });
    }
    this->refuse(ResultCode::UsageCapReached, permit.retryAfter);
    return false;
}

/** Returns whether an attempt may have reached its target. An attempt without a handle was not sent. */
bool Call::hasReachedTarget() const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(), [](const AttemptPointer& attempt) { return attempt->handle && attempt->mayHaveArrived; });
}

/** Returns the permit of a call of which no attempt has reached a target. */
void Call::returnUsagePermit()
{
    if (!this->usagePermitHolder || this->hasReachedTarget())
        return;
    this->gateway.usage.returnPermit(this->usagePermitHolder->name, MillisecondClock::now());
    this->usagePermitHolder.reset();
}

} // namespace kingcup
