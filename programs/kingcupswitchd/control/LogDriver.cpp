/** @file LogDriver.cpp Implementation of the driver of a replicated log. */
#include "LogDriver.h"

#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"

#include <cstdlib>

namespace kingcup {

namespace {

constexpr size_t maxProposalsPerBatch = 512;

/** Returns a result that only carries a code. */
wire::CommandResult resultOf(ResultCode code)
{
    wire::CommandResult result;
    result.set_result_code(static_cast<int>(code));
    return result;
}

} // namespace

LogDriver::LogDriver(ReplicatedLogOptions options, const DurableLogState& durable, std::string snapshotBytes, LogStorage& storage, uint64_t seed, uint64_t snapshotEntries, LinkHub& hub, LogDriverHooks hooks)
    : options(options)
    , hub(hub)
    , hooks(std::move(hooks))
    , snapshotBytes(std::move(snapshotBytes))
    , replicatedLog(
          options, durable, RandomSource(seed), [this] { return this->snapshotBytes; }, MillisecondClock::now())
    , applied(durable.snapshot.lastIndex)
    , appliedTerm(durable.snapshot.lastTerm)
    , snapshotIndex(durable.snapshot.lastIndex)
    , snapshotEntries(snapshotEntries)
    , writer(
          storage, [this](bool full) { this->hub.post([this, full] { this->setWriterBlocked(full); }); }, [this](std::error_code error) { this->hooks.failed(error); })
{
}

void LogDriver::propose(wire::Command command, Done done)
{
    if (this->replicatedLog.role() != LogRole::Leader) {
        done(resultOf(ResultCode::NotLeader));
        return;
    }
    this->proposals.push_back({ std::move(command), std::move(done) });
    if (this->flushPosted)
        return;
    this->flushPosted = true;
    this->hub.post([this] { this->flushProposals(); });
}

/** Proposes what waits as one batch, unless the disk is busy with an earlier one. */
void LogDriver::flushProposals()
{
    this->flushPosted = false;
    if (this->proposals.empty() || !this->writer.idle())
        return;
    std::vector<std::string> payloads;
    std::vector<Done> done;
    uint64_t logTimeMs = this->logTimeMs(MillisecondClock::now());
    while (!this->proposals.empty() && payloads.size() < maxProposalsPerBatch) {
        Proposed& next = this->proposals.front();
        next.command.set_log_time_ms(logTimeMs);
        payloads.push_back(next.command.SerializeAsString());
        done.push_back(std::move(next.done));
        this->proposals.pop_front();
    }
    ReplicatedLog::Proposal proposal;
    LogOutput output = this->replicatedLog.propose(payloads, MillisecondClock::now(), proposal);
    for (size_t position = 0; position < done.size(); position++) {
        if (proposal.code == ResultCode::Ok)
            this->awaited[proposal.index + position] = { proposal.term, std::move(done[position]) };
        else
            done[position](resultOf(proposal.code));
    }
    this->process(std::move(output));
    checkFailPoint("leader.batch_proposed");
}

uint64_t LogDriver::logTimeMs(TimePoint now) const
{
    this->clock.advance(this->hooks.logTimeMs(), now);
    return this->clock.at(now);
}

ResultCode LogDriver::proposeMembership(const wire::Membership& next)
{
    ReplicatedLog::Proposal proposal;
    this->process(this->replicatedLog.proposeMembership(next, MillisecondClock::now(), proposal));
    return proposal.code;
}

ResultCode LogDriver::bootstrap(const wire::Membership& membership)
{
    LogOutput output;
    ResultCode code = this->replicatedLog.bootstrap(membership, MillisecondClock::now(), output);
    this->process(std::move(output));
    return code;
}

void LogDriver::receive(VmId from, uint64_t fromIncarnation, const wire::LogMessage& message)
{
    this->process(this->replicatedLog.receive(from, fromIncarnation, message, MillisecondClock::now()));
}

void LogDriver::tick()
{
    this->process(this->replicatedLog.tick(MillisecondClock::now()));
    this->flushProposals();
}

void LogDriver::handOver()
{
    this->process(this->replicatedLog.transferLeadership(MillisecondClock::now()));
}

void LogDriver::setDiskFull(bool full)
{
    if (full != this->spaceShort)
        logLine(LogLevel::Warning, full ? "disk_space_short" : "disk_space_regained");
    this->spaceShort = full;
    this->replicatedLog.setDiskFull(this->spaceShort || this->writerBlocked);
}

void LogDriver::setWriterBlocked(bool blocked)
{
    logLine(LogLevel::Warning, blocked ? "disk_full" : "disk_writable");
    this->writerBlocked = blocked;
    this->replicatedLog.setDiskFull(this->spaceShort || this->writerBlocked);
}

/** Carries out an output: messages that need no sync at once, then the disk, then the state machine. */
void LogDriver::process(LogOutput output)
{
    this->send(output.messagesBeforeSync);
    if (output.receivedSnapshot) {
        this->hooks.load(output.receivedSnapshot->data);
        this->applied = output.receivedSnapshot->meta.lastIndex;
        this->appliedTerm = output.receivedSnapshot->meta.lastTerm;
        this->snapshotIndex = this->applied;
        this->snapshotBytes = output.receivedSnapshot->data;
    }
    bool writes = output.receivedSnapshot || !output.write.empty();
    if (!writes && this->writer.idle()) {
        this->send(output.messagesAfterSync);
    } else if (writes || !output.messagesAfterSync.empty()) {
        LogIndex lastIndex = output.write.entries.empty() ? 0 : output.write.entries.back().index();
        Term lastTerm = output.write.entries.empty() ? 0 : output.write.entries.back().term();
        Term hardTerm = output.write.hardState ? output.write.hardState->term : 0;
        LogWriteJob job;
        job.write = std::move(output.write);
        job.receivedSnapshot = std::move(output.receivedSnapshot);
        job.written = [this, lastIndex, lastTerm, hardTerm, messages = std::move(output.messagesAfterSync)] {
            this->hub.post([this, lastIndex, lastTerm, hardTerm, messages] {
                this->replicatedLog.recordHardStateSync(hardTerm);
                this->send(messages);
                if (lastIndex) {
                    checkFailPoint("log.batch_synced");
                    this->process(this->replicatedLog.recordSync(lastIndex, lastTerm, MillisecondClock::now()));
                }
                this->flushProposals();
            });
        };
        this->writer.add(std::move(job));
    }
    for (const wire::LogEntry& entry : output.committedEntries)
        this->applyEntry(entry);
    this->takeSnapshotIfDue();
    if (output.hasRoleChanged) {
        if (this->replicatedLog.role() != LogRole::Leader)
            this->abandonAll(ResultCode::CommandAbandoned);
        this->hooks.roleChanged();
    }
}

void LogDriver::send(const std::vector<OutgoingLogMessage>& messages)
{
    for (const OutgoingLogMessage& outgoing : messages) {
        wire::Envelope envelope;
        envelope.set_group(this->options.group);
        *envelope.mutable_log() = outgoing.message;
        this->hub.send(outgoing.to, std::move(envelope));
    }
}

/** Applies one committed entry and answers whoever proposed it. */
void LogDriver::applyEntry(const wire::LogEntry& entry)
{
    wire::CommandResult result;
    if (entry.type() == wire::ENTRY_COMMAND) {
        wire::Command command;
        if (command.ParseFromString(entry.payload()))
            result = this->hooks.apply(entry.index(), command);
        else
            result = resultOf(ResultCode::CommandMalformed);
    }
    this->applied = entry.index();
    this->appliedTerm = entry.term();
    this->settle(entry.index(), entry.term(), result);
}

/** Answers the proposal at an index; a proposal of another term at this index was lost. */
void LogDriver::settle(LogIndex index, Term term, const wire::CommandResult& result)
{
    auto entry = this->awaited.find(index);
    if (entry == this->awaited.end())
        return;
    AwaitedEntry awaited = std::move(entry->second);
    this->awaited.erase(entry);
    awaited.done(awaited.term == term ? result : resultOf(ResultCode::CommandAbandoned));
}

/** Tells all who wait that their command may or may not be committed. */
void LogDriver::abandonAll(ResultCode code)
{
    std::map<LogIndex, AwaitedEntry> entries;
    entries.swap(this->awaited);
    std::deque<Proposed> waiting;
    waiting.swap(this->proposals);
    for (auto& [index, entry] : entries)
        entry.done(resultOf(code));
    for (Proposed& entry : waiting)
        entry.done(resultOf(ResultCode::NotLeader));
}

/** Saves the state machine when enough entries were applied since the last snapshot. */
void LogDriver::takeSnapshotIfDue()
{
    bool due = this->applied >= this->snapshotIndex + this->snapshotEntries;
    if (!due || this->snapshotRunning || !this->replicatedLog.isMembershipCommitted())
        return;
    this->snapshotRunning = true;
    ReceivedSnapshot snapshot;
    snapshot.meta = { this->applied, this->appliedTerm, this->replicatedLog.membership() };
    snapshot.data = this->hooks.save();
    logLine(LogLevel::Info, "snapshot_taken", { { "index", this->applied }, { "bytes", snapshot.data.size() } });
    LogWriteJob job;
    job.written = [this, snapshot] {
        this->hub.post([this, snapshot] {
            this->snapshotRunning = false;
            // A snapshot of the leader may have overtaken this one.
            if (snapshot.meta.lastIndex <= this->snapshotIndex)
                return;
            this->snapshotIndex = snapshot.meta.lastIndex;
            this->snapshotBytes = snapshot.data;
            this->replicatedLog.compact(snapshot.meta);
        });
    };
    job.takenSnapshot = std::move(snapshot);
    this->writer.add(std::move(job));
}

} // namespace kingcup
