/** @file LogDriver.h Gives the replicated log its time, its disk and its links. */
#pragma once

#include "LogWriter.h"

#include "kingcup/Link.h"
#include "kingcup/LogClock.h"
#include "kingcup/ReplicatedLog.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace kingcup {

/** What the owner of a log driver supplies. All hooks run on the thread of the hub. */
struct LogDriverHooks {
    std::function<wire::CommandResult(LogIndex, const wire::Command&)> apply; ///< Applies a committed command.
    std::function<std::string()> save; ///< Saves the state machine.
    std::function<void(const std::string&)> load; ///< Loads a snapshot into the state machine.
    std::function<uint64_t()> logTimeMs; ///< Newest time in the state machine.
    std::function<void()> roleChanged; ///< The role or the leader changed.
    std::function<void(std::error_code)> failed; ///< The disk failed; the process must end. Called on the writer's thread.
};

/** Runs one replicated log. All functions run on the thread of the hub, but for those that say otherwise. */
class LogDriver {
public:
    using Done = std::function<void(const wire::CommandResult&)>;

    /** @param durable What the storage held. @param snapshotEntries Applied entries between two snapshots. */
    LogDriver(ReplicatedLogOptions options, const DurableLogState& durable, std::string snapshotBytes, LogStorage& storage, uint64_t seed, uint64_t snapshotEntries, LinkHub& hub, LogDriverHooks hooks);

    /** Proposes a command; proposals made while a sync runs share the next one. */
    void propose(wire::Command command, Done done);

    /** Proposes a membership. Returns what the log says of it. */
    ResultCode proposeMembership(const wire::Membership& next);

    /** Forms the group. */
    ResultCode bootstrap(const wire::Membership& membership);

    /** Handles a message of a member. */
    void receive(VmId from, uint64_t fromIncarnation, const wire::LogMessage& message);

    /** Advances time. */
    void tick();

    /** Starts a hand-over of leadership. */
    void handOver();

    /** Refuses or allows new commands because of the space on the disk. */
    void setDiskFull(bool full);

    /** Finishes all writes. Called after the hub was stopped. */
    void stop() { this->writer.stop(); }

    const ReplicatedLog& log() const { return this->replicatedLog; } ///< For questions about role, term and quorum.
    bool idle() const { return this->writer.idle(); } ///< Whether all that was written is synced.
    LogIndex appliedIndex() const { return this->applied; } ///< Last applied entry.
    uint64_t logTimeMs(TimePoint now) const; ///< Time of the log.
    uint64_t syncs() const { return this->writer.syncs(); } ///< Syncs so far.

private:
    struct Proposed {
        wire::Command command; ///< Waiting command.
        Done done; ///< Told of the result.
    };
    struct AwaitedEntry {
        Term term = 0; ///< Term in which it was proposed.
        Done done; ///< Told of the result.
    };
    void setWriterBlocked(bool blocked);
    void flushProposals();
    void process(LogOutput output);
    void send(const std::vector<OutgoingLogMessage>& messages);
    void applyEntry(const wire::LogEntry& entry);
    void settle(LogIndex index, Term term, const wire::CommandResult& result);
    void abandonAll(ResultCode code);
    void takeSnapshotIfDue();

    ReplicatedLogOptions options; ///< Limits.
    LinkHub& hub; ///< Sends messages and runs tasks.
    LogDriverHooks hooks; ///< See above.
    std::string snapshotBytes; ///< The snapshot that the log names as its newest; always of the same position as in the log.
    ReplicatedLog replicatedLog; ///< Decides.
    LogIndex applied; ///< Last applied entry.
    Term appliedTerm; ///< Its term.
    LogIndex snapshotIndex; ///< Position of the newest snapshot taken.
    uint64_t snapshotEntries; ///< Applied entries between two snapshots.
    mutable LogClock clock; ///< Carries the time of the log on.
    bool spaceShort = false; ///< Little space is left on the disk.
    bool writerBlocked = false; ///< The writer waits for space.
    bool snapshotRunning = false; ///< A snapshot is being written.
    bool flushPosted = false; ///< A flush of proposals is waiting in the hub.
    std::deque<Proposed> proposals; ///< Not yet proposed.
    std::map<LogIndex, AwaitedEntry> awaited; ///< Proposed, not yet committed.
    LogWriter writer; ///< Last member, so that it stops first.
};

} // namespace kingcup
