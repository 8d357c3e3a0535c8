/** @file LogDriver.h Connects the replicated log to the clock, the disk and the links. */
#pragma once

#include "LogWriter.h"

#include "kingcup/LogClock.h"
#include "kingcup/ReplicatedLog.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace kingcup {

/** Callbacks of a log driver. They are called on the hub's thread unless stated otherwise. */
struct LogDriverHooks {
    std::function<wire::CommandResult(LogIndex, const wire::Command&)> apply; ///< Applies a committed command to the state machine and returns its result.
    std::function<std::string()> save; ///< Returns the state machine as snapshot data.
    std::function<void(const std::string&)> load; ///< Replaces the state machine by snapshot data.
    std::function<uint64_t()> logTimeMs; ///< Returns the newest log time in the state machine, in milliseconds.
    std::function<void()> entriesCommitted; ///< Called after committed entries have been applied, also those without a command.
    std::function<void()> roleChanged; ///< Called after the role or the leader has changed.
    std::function<void(std::error_code)> diskFailed; ///< Called on the writer's thread after a disk error; the process must end.
    std::function<void(VmId, wire::Envelope)> send; ///< Sends a message to another control VM; drops it if there is no connection.
    std::function<void(std::function<void()>)> post; ///< Queues a task for the hub's thread. Called on the writer's thread, too.
    std::function<TimePoint()> now = MillisecondClock::now;
};

/**
 * Runs one replicated log: passes it time and messages, writes and sends its output and applies committed entries. All functions
 * must be called on the hub's thread unless stated otherwise.
 */
class LogDriver {
public:
    /** Receives the result of a command, which is CommandAbandoned if it may or may not be committed. */
    using Done = std::function<void(const wire::CommandResult&)>;

    /**
     * The storage must outlive this object.
     * @param durable Log as read from the storage. @param snapshotData Snapshot data of `durable`; empty: none.
     * @param snapshotEntries Number of applied entries after which a snapshot is taken. A large journal calls for one earlier.
     */
    LogDriver(ReplicatedLogOptions options, const DurableLogState& durable, std::string snapshotData, LogStorage& storage, uint64_t seed, uint64_t snapshotEntries, LogDriverHooks hooks, LogWriter::Thread writerThread = LogWriter::Thread::Own);

    /**
     * Proposes a command. Proposals that arrive during a sync are batched into the next one.
     * @param done Called on the hub's thread, before the function returns if this VM is not the leader.
     */
    void propose(wire::Command command, Done done);

    /** Proposes a membership. Returns whether the log has accepted the proposal; it is not committed yet. */
    ResultCode proposeMembership(const wire::Membership& next);

    /**
     * Writes the first membership of a new group. Returns AlreadyBootstrapped if the log has any state, or the error of
     * an invalid membership.
     */
    ResultCode bootstrap(const wire::Membership& membership);

    /** Passes a message of another control VM to the log. */
    void receive(VmId from, uint64_t fromIncarnation, const wire::LogMessage& message);

    /** Runs the timeouts of the log and proposes waiting commands. */
    void tick();

    /** Starts to transfer leadership to another voter. */
    void transferLeadership();

    /** Sets whether the disk space is short. The log refuses new commands while it is. */
    void setSpaceShort(bool isShort);

    /** Writes as LogWriter::writeJobs() does. Only for LogWriter::Thread::Caller. */
    bool writeJobs() { return this->writer.writeJobs(); }

    /** Finishes all pending writes. Must be called after the hub's thread has ended. */
    void stop() { this->writer.stop(); }

    const ReplicatedLog& log() const { return this->replicatedLog; } ///< Role, term, quorum and membership of the log.
    bool isIdle() const { return this->writer.isIdle(); } ///< Whether no write is pending.
    LogIndex appliedIndex() const { return this->lastAppliedIndex; } ///< Index of the last applied entry; 0: none.
    uint64_t logTimeMs(TimePoint now) const; ///< Current log time in milliseconds.
    uint64_t syncs() const { return this->writer.syncs(); } ///< Number of journal syncs since the start.

private:
    /** Command that is not yet passed to the log. */
    struct PendingProposal {
        wire::Command command; ///< Command without its log time, which is set when it is proposed.
        Done done; ///< Receives the result.
    };
    /** Proposed entry that is not yet committed. */
    struct UncommittedEntry {
        Term term = 0; ///< Term in which it was proposed.
        Done done; ///< Receives the result.
    };
    void setWriterBlocked(bool isBlocked);
    void updateDiskSpace();
    bool mustProposalsWait() const;
    void flushProposals();
    void processOutput(ReplicatedLogOutput output);
    void sendMessages(const std::vector<OutgoingLogMessage>& messages);
    void applyEntry(const wire::LogEntry& entry);
    void completeProposal(LogIndex index, Term term, const wire::CommandResult& result);
    void failAllProposals(ResultCode code);
    bool isSnapshotDue() const;
    void takeSnapshotIfDue();

    ReplicatedLogOptions options; ///< Identity, timing and size limits of the log.
    LogDriverHooks hooks; ///< Callbacks of the owner.
    std::string snapshotData; ///< Data of the newest snapshot. Its position is always the one that the log records as its newest.
    ReplicatedLog replicatedLog; ///< Consensus algorithm, which does no I/O of its own.
    LogIndex lastAppliedIndex; ///< Index of the last applied entry; 0: none.
    Term lastAppliedTerm; ///< Term of the last applied entry.
    LogIndex snapshotIndex; ///< Index of the last entry in the newest snapshot; 0: none.
    uint64_t snapshotEntries; ///< Number of applied entries after which a snapshot is taken.
    mutable LogClock clock; ///< Extrapolates the log time between commands.
    bool isSpaceShort = false; ///< Whether the free disk space is below the reserve.
    bool isWriterBlocked = false; ///< Whether the writer waits for disk space.
    std::optional<TimePoint> spaceLackingSince; ///< Since when one of the two holds; empty: neither does.
    bool isSnapshotRunning = false; ///< Whether a snapshot is being written.
    TimePoint nextSnapshotTime {}; ///< Earliest time of the next snapshot.
    bool isFlushPosted = false; ///< Whether a flush of the proposals is posted to the hub.
    std::deque<PendingProposal> pendingProposals; ///< Commands that are not yet passed to the log, oldest first.
    std::map<LogIndex, UncommittedEntry> uncommittedEntries; ///< Proposed entries that are not yet committed, by index.
    LogWriter writer; ///< Declared last, so that its thread ends before the other members are destroyed.
};

} // namespace kingcup
