/** @file ControlLeader.cpp Periodic work of the leader: lease expiry, target timeouts, expiry of records and configuration pushes. */
#include "ControlNode.h"

#include "kingcup/JsonLog.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr Milliseconds expiryInterval { 10000 };
constexpr Milliseconds confirmationLimit { 400 }; ///< Limit for confirmations, so that a failed entry VM does not delay an answer for its whole lease.

} // namespace

/** Runs the periodic work of the leader. */
void ControlNode::leaderTick(TimePoint now)
{
    if (!this->soundLeader) {
        this->soundLeader = true;
        this->sessions->becomeLeader(now, this->machine.targets());
    }
    for (const EntrySession& session : this->sessions->takeExpiredSessions(now))
        this->proposeEntryVmGone(session.entryVm, session.incarnation + 1);
    for (const wire::TargetRecord& target : this->sessions->takeTimedOutTargets(now)) {
        const wire::TargetRecord* known = this->machine.findTarget(target.service(), target.address());
        if (!known || known->state() == wire::TARGET_GONE)
            continue;
        wire::TargetRecord gone = *known;
        gone.set_state(wire::TARGET_GONE);
        logLine(LogLevel::Info, "target_silent", { { "service", gone.service() }, { "target", gone.address() } });
        this->proposeTarget(gone);
    }
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        wire::Command command;
        command.mutable_expire();
        if (this->machine.check(command).result_code() == 0)
            this->proposeInternal(std::move(command));
    }
    this->pushConfiguration();
    this->answerConfirmed(now);
}

/** Posts a push that runs after the current batch of entries is applied, without waiting for the next tick. */
void ControlNode::schedulePush()
{
    if (this->pushPosted)
        return;
    this->pushPosted = true;
    this->hub->post([this] {
        this->pushPosted = false;
        if (this->leaderCode() == ResultCode::Ok)
            this->pushConfiguration();
    });
}

/**
 * Returns a callback that delays the answer to a new quarantine until every entry VM with a lease has confirmed it, because the
 * caller may retry the request through any of them. Other results are passed on at once.
 */
LogDriver::Done ControlNode::answeredOnceInForce(LogDriver::Done done)
{
    return [this, done = std::move(done)](const wire::CommandResult& result) {
        bool quarantined = result.result_code() == 0 && result.quarantined_until_ms() > 0;
        if (!quarantined) {
            done(result);
            return;
        }
        TimePoint deadline = MillisecondClock::now() + confirmationLimit;
        this->awaitedConfigurations.push_back({ this->machine.configurationIndex(), deadline, [done, result] { done(result); } });
    };
}

/** Sends the answers whose configuration all entry VMs with a lease have confirmed, or whose deadline has passed. */
void ControlNode::answerConfirmed(TimePoint now)
{
    auto held = [this](LogIndex index) {
        const auto& sessions = this->sessions->sessions();
        return std::all_of(sessions.begin(), sessions.end(), [index](const auto& entry) { return entry.second.heldIndex >= index; });
    };
    std::vector<AwaitedConfiguration> waiting;
    waiting.swap(this->awaitedConfigurations);
    for (AwaitedConfiguration& awaited : waiting) {
        if (now >= awaited.deadline || held(awaited.index))
            awaited.answer();
        else
            this->awaitedConfigurations.push_back(std::move(awaited));
    }
}

/**
 * Returns the configuration changes after an index, with the current log time, against which entry VMs compare the ends of
 * quarantines.
 */
wire::ConfigurationChanges ControlNode::changesSince(LogIndex index) const
{
    wire::ConfigurationChanges changes = this->machine.changesSince(index);
    changes.set_log_time_ms(this->driver->logTimeMs(MillisecondClock::now()));
    return changes;
}

/** Sends the configuration changes to every subscribed entry VM to which they were not sent yet. */
void ControlNode::pushConfiguration()
{
    LogIndex newest = this->machine.configurationIndex();
    for (auto& [name, subscriber] : this->subscribers) {
        if (subscriber.sentIndex >= newest)
            continue;
        wire::Envelope envelope;
        *envelope.mutable_configuration_push()->mutable_changes() = this->changesSince(subscriber.sentIndex);
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
void ControlNode::roleChanged()
{
    const ReplicatedLog& log = this->driver->log();
    logLine(LogLevel::Info, "role_changed", { { "leads", this->leads() }, { "leader", log.leader() }, { "term", log.term() } });
    if (this->leads() == this->wasLeader)
        return;
    this->wasLeader = this->leads();
    this->membership->roleChanged();
    this->soundLeader = false;
    this->subscribers.clear();
    this->pendingTargets.clear();
    std::vector<AwaitedConfiguration> waiting;
    waiting.swap(this->awaitedConfigurations);
    for (const AwaitedConfiguration& awaited : waiting)
        awaited.answer();
}

/** Removes a target that is gone from the session table, so that it does not time out again. */
void ControlNode::forgetHeartbeat(const wire::TargetRecord& target)
{
    wire::TargetLoad load;
    *load.mutable_target() = target;
    this->sessions->recordHeartbeat(load, MillisecondClock::now());
}

} // namespace kingcup
