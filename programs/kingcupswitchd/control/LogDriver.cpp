/** @file LogDriver.cpp Implementation of the log driver: batches of proposals, output of the log and snapshots. */
#include "LogDriver.h"

#include "kingcup/CommandCodec.h"
#include "kingcup/FailPoint.h"
#include "kingcup/JsonLog.h"

#include <algorithm>
#include <cstdlib>

namespace kingcup {

namespace {

constexpr size_t maxProposalsPerBatch = 512;
constexpr uint64_t maxJournalBytes = 16u << 20; ///< Size of the journal above which a snapshot is taken before its number of entries is reached, unless the snapshot is as large.
constexpr double transferTimeoutRatio = 5; ///< Time in election timeouts after which commands are refused if a leader that lacks disk space could not transfer its leadership.
constexpr Milliseconds minSnapshotInterval { 1000 };
constexpr Milliseconds refusedSnapshotInterval { 10000 }; ///< After a snapshot for which the disk had no room, since each attempt writes until the disk is full.

/** Returns a result that contains only a code. */
wire::CommandResult resultWithCode(ResultCode code)
{
    wire::CommandResult result;
    result.set_result_code(static_cast<int>(code));
    return result;
}

} // namespace

LogDriver::LogDriver(ReplicatedLogOptions options, const DurableLogState& durable, std::string snapshotData, LogStorage& storage, uint64_t seed, uint64_t snapshotEntries, LogDriverHooks hooks, LogWriter::Thread writerThread)
    : options(options)
    , hooks(std::move(hooks))
    , snapshotData(std::move(snapshotData))
    , replicatedLog(
          options, durable, RandomSource(seed), [this] { return this->snapshotData; }, this->hooks.now())
    , lastAppliedIndex(durable.snapshot.lastIndex)
    , lastAppliedTerm(durable.snapshot.lastTerm)
    , snapshotIndex(durable.snapshot.lastIndex)
    , snapshotEntries(snapshotEntries)
    , writer(
          storage, [this](bool isFull) { this->hooks.post([this, isFull] { this->setWriterBlocked(isFull); }); }, [this](std::error_code error) { this->hooks.diskFailed(error); }, writerThread)
{
}

void LogDriver::propose(wire::Command command, Done done)
{
    if (this->replicatedLog.role() != LogRole::Leader) {
        done(resultWithCode(ResultCode::NotLeader));
        return;
    }
    this->pendingProposals.push_back({ std::move(command), std::move(done) });
    if (this->isFlushPosted)
        return;
    this->isFlushPosted = true;
    this->hooks.post([this] { this->flushProposals(); });
}

/** Returns whether the waiting commands wait on: for an earlier write, or for the transfer of the leadership to a voter with space, where their senders repeat them. */
bool LogDriver::mustProposalsWait() const
{
    if (!this->spaceLackingSince)
        return !this->writer.isIdle();
    TimePoint now = this->hooks.now();
    bool isTransferOverdue = now - *this->spaceLackingSince >= this->options.electionTimeout * transferTimeoutRatio;
    return !isTransferOverdue && this->replicatedLog.canTransferLeadership(now);
}

/** Proposes the waiting commands as one batch, unless they must wait. */
void LogDriver::flushProposals()
{
    this->isFlushPosted = false;
    if (this->pendingProposals.empty() || this->mustProposalsWait())
        return;
    std::vector<std::string> payloads;
    std::vector<Done> done;
    uint64_t logTimeMs = this->logTimeMs(this->hooks.now());
    while (!this->pendingProposals.empty() && payloads.size() < maxProposalsPerBatch) {
        PendingProposal& next = this->pendingProposals.front();
        next.command.set_log_time_ms(logTimeMs);
        payloads.push_back(encodeCommand(next.command));
        done.push_back(std::move(next.done));
        this->pendingProposals.pop_front();
    }
    ReplicatedLog::Proposal proposal;
    ReplicatedLogOutput output = this->replicatedLog.propose(payloads, this->hooks.now(), proposal);
    for (size_t position = 0; position < done.size(); position++) {
        if (proposal.code == ResultCode::Ok)
            this->uncommittedEntries[proposal.index + position] = { proposal.term, std::move(done[position]) };
        else
            done[position](resultWithCode(proposal.code));
    }
    this->processOutput(std::move(output));
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
    this->processOutput(this->replicatedLog.proposeMembership(next, this->hooks.now(), proposal));
    return proposal.code;
}

ResultCode LogDriver::bootstrap(const wire::Membership& membership)
{
    ReplicatedLogOutput output;
    ResultCode code = this->replicatedLog.bootstrap(membership, this->hooks.now(), output);
    this->processOutput(std::move(output));
    return code;
}

void LogDriver::receive(VmId from, uint64_t fromIncarnation, const wire::LogMessage& message)
{
    this->processOutput(this->replicatedLog.receive(from, fromIncarnation, message, this->hooks.now()));
}

void LogDriver::tick()
{
    this->processOutput(this->replicatedLog.tick(this->hooks.now()));
    this->flushProposals();
}

void LogDriver::transferLeadership()
{
    this->processOutput(this->replicatedLog.transferLeadership(this->hooks.now()));
}

void LogDriver::setSpaceShort(bool isShort)
{
    if (isShort != this->isSpaceShort)
        logLine(LogLevel::Warning, isShort ? "disk_space_short" : "disk_space_regained");
    this->isSpaceShort = isShort;
    this->updateDiskSpace();
}

void LogDriver::setWriterBlocked(bool isBlocked)
{
    logLine(LogLevel::Warning, isBlocked ? "disk_full" : "disk_writable");
    this->isWriterBlocked = isBlocked;
    this->updateDiskSpace();
    this->flushProposals();
}

void LogDriver::updateDiskSpace()
{
    if (!this->isSpaceShort && !this->isWriterBlocked)
        this->spaceLackingSince.reset();
    else if (!this->spaceLackingSince)
        this->spaceLackingSince = this->hooks.now();
    DiskSpace space = this->isSpaceShort ? DiskSpace::Short : DiskSpace::Sufficient;
    this->replicatedLog.setDiskSpace(this->isWriterBlocked ? DiskSpace::Full : space);
}

/** Processes an output of the log: sends the messages that need no sync, queues the write and applies the committed entries. */
void LogDriver::processOutput(ReplicatedLogOutput output)
{
    this->sendMessages(output.messagesBeforeSync);
    if (output.receivedSnapshot) {
        this->hooks.load(output.receivedSnapshot->data);
        this->lastAppliedIndex = output.receivedSnapshot->meta.lastIndex;
        this->lastAppliedTerm = output.receivedSnapshot->meta.lastTerm;
        this->snapshotIndex = this->lastAppliedIndex;
        this->snapshotData = output.receivedSnapshot->data;
    }
    bool hasWrites = output.receivedSnapshot || !output.write.empty();
    // On a full disk messages without a write are dropped as if lost; otherwise those of each heartbeat would be kept until it has room.
    bool areMessagesKept = !output.messagesAfterSync.empty() && !this->isWriterBlocked;
    if (!hasWrites && this->writer.isIdle()) {
        this->sendMessages(output.messagesAfterSync);
    } else if (hasWrites || areMessagesKept) {
        LogIndex lastIndex = output.write.entries.empty() ? 0 : output.write.entries.back().index();
        Term lastTerm = output.write.entries.empty() ? 0 : output.write.entries.back().term();
        Term hardStateTerm = output.write.hardState ? output.write.hardState->term : 0;
        LogWriteJob job;
        job.write = std::move(output.write);
        job.receivedSnapshot = std::move(output.receivedSnapshot);
        job.written = [this, lastIndex, lastTerm, hardStateTerm, messages = std::move(output.messagesAfterSync)] {
            this->hooks.post([this, lastIndex, lastTerm, hardStateTerm, messages] {
                this->replicatedLog.recordHardStateSync(hardStateTerm);
                this->sendMessages(messages);
                if (lastIndex) {
                    checkFailPoint("log.batch_synced");
                    this->processOutput(this->replicatedLog.recordSync(lastIndex, lastTerm, this->hooks.now()));
                }
                this->flushProposals();
            });
        };
        this->writer.addJob(std::move(job));
    }
    for (const wire::LogEntry& entry : output.committedEntries)
        this->applyEntry(entry);
    if (!output.committedEntries.empty())
        this->hooks.entriesCommitted();
    this->takeSnapshotIfDue();
    if (output.hasRoleChanged) {
        if (this->replicatedLog.role() != LogRole::Leader)
            this->failAllProposals(ResultCode::CommandAbandoned);
        this->hooks.roleChanged();
    }
}

void LogDriver::sendMessages(const std::vector<OutgoingLogMessage>& messages)
{
    for (const OutgoingLogMessage& outgoing : messages) {
        wire::Envelope envelope;
        envelope.set_group(this->options.group);
        *envelope.mutable_log() = outgoing.message;
        this->hooks.send(outgoing.to, std::move(envelope));
    }
}

/** Applies a committed entry and passes its result to the proposal, if it was made here. */
void LogDriver::applyEntry(const wire::LogEntry& entry)
{
    wire::CommandResult result;
    if (entry.type() == wire::ENTRY_COMMAND) {
        if (std::optional<wire::Command> command = decodeCommand(entry.payload()))
            result = this->hooks.apply(entry.index(), *command);
        else
            result = resultWithCode(ResultCode::CommandMalformed);
    }
    this->lastAppliedIndex = entry.index();
    this->lastAppliedTerm = entry.term();
    this->completeProposal(entry.index(), entry.term(), result);
}

/** Completes the proposal at an index. A proposal from another term was overwritten there and gets CommandAbandoned. */
void LogDriver::completeProposal(LogIndex index, Term term, const wire::CommandResult& result)
{
    auto entry = this->uncommittedEntries.find(index);
    if (entry == this->uncommittedEntries.end())
        return;
    UncommittedEntry uncommitted = std::move(entry->second);
    this->uncommittedEntries.erase(entry);
    uncommitted.done(uncommitted.term == term ? result : resultWithCode(ResultCode::CommandAbandoned));
}

/**
 * Completes all proposals after a loss of leadership: with `code` those in the log, which may still be committed, with
 * NotLeader the others.
 */
void LogDriver::failAllProposals(ResultCode code)
{
    std::map<LogIndex, UncommittedEntry> entries;
    entries.swap(this->uncommittedEntries);
    std::deque<PendingProposal> proposals;
    proposals.swap(this->pendingProposals);
    for (auto& [index, entry] : entries)
        entry.done(resultWithCode(code));
    for (PendingProposal& proposal : proposals)
        proposal.done(resultWithCode(ResultCode::NotLeader));
}

/** Returns whether enough entries were applied since the last snapshot, or the journal is so large that a snapshot saves space. */
bool LogDriver::isSnapshotDue() const
{
    bool isJournalLarge = this->writer.journalBytes() > std::max<uint64_t>(maxJournalBytes, this->snapshotData.size());
    return this->lastAppliedIndex >= this->snapshotIndex + this->snapshotEntries || (isJournalLarge && this->lastAppliedIndex > this->snapshotIndex);
}

/** Takes a snapshot if one is due, no other is being written and the disk is not full. */
void LogDriver::takeSnapshotIfDue()
{
    TimePoint now = this->hooks.now();
    bool canTake = !this->isSnapshotRunning && !this->isWriterBlocked && now >= this->nextSnapshotTime && this->replicatedLog.isMembershipCommitted();
    if (!canTake || !this->isSnapshotDue())
        return;
    this->isSnapshotRunning = true;
    this->nextSnapshotTime = now + minSnapshotInterval;
    ReceivedSnapshot snapshot;
    snapshot.meta = { this->lastAppliedIndex, this->lastAppliedTerm, this->replicatedLog.membership() };
    snapshot.data = this->hooks.save();
    logLine(LogLevel::Info, "snapshot_taken", { { "index", this->lastAppliedIndex }, { "bytes", snapshot.data.size() } });
    LogWriteJob job;
    job.written = [this, snapshot] {
        this->hooks.post([this, snapshot] {
            this->isSnapshotRunning = false;
            // A newer snapshot may have been received from the leader in the meantime.
            if (snapshot.meta.lastIndex <= this->snapshotIndex)
                return;
            this->snapshotIndex = snapshot.meta.lastIndex;
            this->snapshotData = snapshot.data;
            this->replicatedLog.compact(snapshot.meta);
        });
    };
    job.snapshotRefused = [this] {
        this->hooks.post([this] {
            this->isSnapshotRunning = false;
            this->nextSnapshotTime = this->hooks.now() + refusedSnapshotInterval;
        });
    };
    job.takenSnapshot = std::move(snapshot);
    this->writer.addJob(std::move(job));
}

} // namespace kingcup
