/** @file ControlLeader.cpp Periodic work of the leader: lease expiry, target timeouts, expiry of records and configuration pushes. */
#include "ControlNode.h"

#include "kingcup/JsonLog.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr Milliseconds expiryInterval { 10000 };
constexpr Milliseconds confirmationTimeout { 400 }; ///< Time limit for confirmations, so that a failed entry VM does not delay an answer for its whole lease.

} // namespace

/** Runs the periodic work of the leader. */
void ControlNode::tickLeader(TimePoint now)
{
    if (!this->hasInitialisedSessions) {
        this->hasInitialisedSessions = true;
        this->sessions->becomeLeader(now, this->stateMachine.targets());
        this->relayDirectory->clear();
        this->usageLender->becomeLeader(now);
    }
    this->updateUsageCaps(now);
    for (const EntrySession& session : this->sessions->takeExpiredSessions(now))
        this->proposeEntryVmGone(session.entryVm, session.incarnation + 1);
    for (const wire::TargetRecord& target : this->sessions->takeTimedOutTargets(now)) {
        const wire::TargetRecord* recorded = this->stateMachine.findTarget(target.service(), target.address());
        if (!recorded || recorded->state() == wire::TARGET_GONE)
            continue;
        wire::TargetRecord gone = *recorded;
        gone.set_state(wire::TARGET_GONE);
        logLine(LogLevel::Info, "target_silent", { { "service", gone.service() }, { "target", gone.address() } });
        this->proposeTarget(gone);
    }
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        wire::Command command;
        command.mutable_expire();
        if (this->stateMachine.check(command).result_code() == 0)
            this->proposeInternal(std::move(command));
    }
    this->pushConfiguration();
    this->sendConfirmedAnswers(now);
}

/** Posts a push that runs after the current batch of entries is applied, without waiting for the next tick. */
void ControlNode::schedulePush()
{
    if (this->isPushPosted)
        return;
    this->isPushPosted = true;
    this->hub->post([this] {
        this->isPushPosted = false;
        if (this->leaderCode() == ResultCode::Ok)
            this->pushConfiguration();
    });
}

/** Starts to serve entry VMs as soon as a new leader has committed the first entry of its term, without waiting for the next tick. */
void ControlNode::scheduleLeaderStart()
{
    if (!this->isLeader() || this->hasInitialisedSessions)
        return;
    this->hub->post([this] {
        if (this->leaderCode() == ResultCode::Ok && !this->hasInitialisedSessions)
            this->tickLeader(MillisecondClock::now());
    });
}

/**
 * Returns a callback that delays the answer to a new quarantine until every entry VM with a lease has confirmed it, because the
 * caller may retry the request through any of them. Other results are passed on at once.
 */
LogDriver::Done ControlNode::delayUntilInForce(LogDriver::Done done)
{
    return [this, done = std::move(done)](const wire::CommandResult& result) {
        bool isQuarantined = result.result_code() == 0 && result.quarantined_until_ms() > 0;
        if (!isQuarantined) {
            done(result);
            return;
        }
        TimePoint deadline = MillisecondClock::now() + confirmationTimeout;
        this->delayedAnswers.push_back({ this->stateMachine.configurationIndex(), deadline, [done, result] { done(result); } });
    };
}

/** Sends the answers whose configuration all entry VMs with a lease have confirmed, or whose deadline has passed. */
void ControlNode::sendConfirmedAnswers(TimePoint now)
{
    auto isConfirmed = [this](LogIndex index) {
        const auto& sessions = this->sessions->sessions();
        return std::all_of(sessions.begin(), sessions.end(), [index](const auto& entry) { return entry.second.heldIndex >= index; });
    };
    std::vector<DelayedAnswer> answers;
    answers.swap(this->delayedAnswers);
    for (DelayedAnswer& delayed : answers) {
        if (now >= delayed.deadline || isConfirmed(delayed.index))
            delayed.send();
        else
            this->delayedAnswers.push_back(std::move(delayed));
    }
}

/**
 * Returns the configuration changes after an index, with the current log time, against which entry VMs compare the ends of
 * quarantines.
 */
wire::ConfigurationChanges ControlNode::changesSince(LogIndex index, bool acceptsCompressed)
{
    wire::ConfigurationChanges changes = acceptsCompressed ? this->changesCache.changesSince(index, this->stateMachine) : this->stateMachine.changesSince(index);
    changes.set_log_time_ms(this->driver->logTimeMs(MillisecondClock::now()));
    return changes;
}

/** Sends the configuration changes to every subscribed entry VM to which they were not sent yet. */
void ControlNode::pushConfiguration()
{
    LogIndex newest = this->stateMachine.configurationIndex();
    for (auto& [name, subscriber] : this->subscribers) {
        if (subscriber.sentIndex >= newest)
            continue;
        wire::Envelope envelope;
        *envelope.mutable_configuration_push()->mutable_changes() = this->changesSince(subscriber.sentIndex, subscriber.acceptsCompressed);
        subscriber.sentIndex = newest;
        this->hub->reply(subscriber.origin, std::move(envelope));
    }
}

void ControlNode::proposeEntryVmGone(const std::string& entryVm, uint64_t incarnation)
{
    logLine(LogLevel::Info, "entry_vm_gone", { { "entryVm", entryVm }, { "before", incarnation } });
    wire::Command command;
    command.mutable_entry_vm_gone()->set_entry_vm(entryVm);
    command.mutable_entry_vm_gone()->set_incarnation(incarnation);
    this->subscribers.erase(entryVm);
    this->proposeInternal(std::move(command));
}

/** Proposes a command and ignores its result. */
void ControlNode::proposeInternal(wire::Command command)
{
    this->driver->propose(std::move(command), [](const wire::CommandResult&) {});
}

/**
 * Discards the state of the former leadership when this VM becomes the leader or steps down. Delayed answers are sent at once.
 */
void ControlNode::handleRoleChange()
{
    const ReplicatedLog& log = this->driver->log();
    logLine(LogLevel::Info, "role_changed", { { "leads", this->isLeader() }, { "leader", log.leader() }, { "term", log.term() } });
    if (this->isLeader() == this->wasLeader)
        return;
    this->wasLeader = this->isLeader();
    this->membershipManager->handleRoleChange();
    this->hasInitialisedSessions = false;
    this->subscribers.clear();
    this->pendingTargets.clear();
    std::vector<DelayedAnswer> answers;
    answers.swap(this->delayedAnswers);
    for (const DelayedAnswer& delayed : answers)
        delayed.send();
}

/** Removes a target that is gone from the session table, so that it does not time out again. */
void ControlNode::removeHeartbeat(const wire::TargetRecord& target)
{
    wire::TargetLoad load;
    *load.mutable_target() = target;
    this->sessions->recordHeartbeat(load, MillisecondClock::now());
}

} // namespace kingcup
