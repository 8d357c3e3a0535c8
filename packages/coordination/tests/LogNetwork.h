/** @file LogNetwork.h Simulated network and disks for members of a replicated log, with checks of their safety. */
#pragma once

#include "kingcup/ReplicatedLog.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>

namespace kingcup::testing {

/** Member with a simulated disk. Its writes reach the disk when the network simulates a sync. */
struct LogNode {
    VmId vm = 0;
    uint64_t incarnation = 0;
    DurableLogState disk; ///< State that survives a crash.
    std::string diskSnapshotData; ///< Bytes of the stored snapshot.
    std::unique_ptr<ReplicatedLog> log; ///< Null while crashed.
    std::vector<ReplicatedLogOutput> unsyncedOutputs; ///< Outputs whose writes are not synced.
    std::string appliedPayloads; ///< State machine: all applied payloads in order.
    SnapshotMeta appliedPosition; ///< Index, term and membership up to which entries are applied.
    int runNumber = 0; ///< Number of starts; timers of earlier runs are ignored.
};

/** Storage that the members use beside their simulated disks. Functions that are not set are not called. */
struct LogDiskHooks {
    std::function<void(LogNode&)> load; ///< Reads LogNode::disk and LogNode::diskSnapshotData before a member starts.
    std::function<void(LogNode&, const LogWrite&)> write; ///< Writes without a sync.
    std::function<void(LogNode&)> sync; ///< Syncs the earlier writes of a member.
    std::function<void(LogNode&, const SnapshotMeta&, const std::string&)> storeSnapshot; ///< Stores a snapshot durably.
    std::function<void(LogNode&)> losePower; ///< Called before a member that loses power is stopped.
    std::function<void(LogNode&)> kill; ///< Called before a member is stopped whose files stay as they were written.
};

/** Members, the links between them, and a record of all entries for the checks. */
class LogNetwork {
public:
    LogNetwork(uint64_t seed, ReplicatedLogOptions options, uint32_t size = 3)
        : random(seed)
        , options(options)
    {
        wire::Membership membership;
        for (VmId vm = 1; vm <= size; ++vm) {
            this->nodes[vm].vm = vm;
            this->nodes[vm].incarnation = this->nextIncarnation++;
            *membership.add_members() = this->member(this->nodes[vm], true);
            this->start(vm);
        }
        for (auto& [vm, node] : this->nodes) {
            ReplicatedLogOutput output;
            this->check(node.log->bootstrap(membership, this->now, output) == ResultCode::Ok, "bootstrap was refused");
            this->processOutput(node, std::move(output));
        }
    }

    void runFor(double ms)
    {
        TimePoint end = this->now + Milliseconds(ms);
        while (!this->events.empty() && this->events.top().at <= end) {
            Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
            this->checkLeaders();
        }
        this->now = end;
    }

    bool runUntil(const std::function<bool()>& condition, double limitMs = 20000)
    {
        for (double waited = 0; waited < limitMs && !condition(); waited += 10)
            this->runFor(10);
        return condition();
    }

    void start(VmId vm)
    {
        LogNode& node = this->nodes[vm];
        if (this->diskHooks.load)
            this->diskHooks.load(node);
        ReplicatedLogOptions memberOptions = this->options;
        memberOptions.self = vm;
        memberOptions.incarnation = node.incarnation;
        node.appliedPayloads = node.diskSnapshotData;
        node.appliedPosition = node.disk.snapshot;
        ++node.runNumber;
        node.log = std::make_unique<ReplicatedLog>(
            memberOptions, node.disk, RandomSource(this->random.next()), [&node] { return node.diskSnapshotData; }, this->now);
        this->scheduleTick(node, node.runNumber);
    }

    /** Stops a member. Its unsynced writes are lost. */
    void crash(VmId vm)
    {
        this->nodes[vm].log.reset();
        this->nodes[vm].unsyncedOutputs.clear();
    }

    /** Stops a member without power. Its storage may keep any part of the unsynced writes. */
    void losePower(VmId vm)
    {
        if (this->diskHooks.losePower)
            this->diskHooks.losePower(this->nodes[vm]);
        this->crash(vm);
    }

    /** Kills the process of a member. Its storage keeps what was written, also without a sync. */
    void kill(VmId vm)
    {
        if (this->diskHooks.kill)
            this->diskHooks.kill(this->nodes[vm]);
        this->crash(vm);
    }

    /** Restarts a VM with an empty disk and a new incarnation. */
    void wipeDisk(VmId vm)
    {
        this->crash(vm);
        int runNumber = this->nodes[vm].runNumber;
        this->nodes[vm] = LogNode {};
        this->nodes[vm].vm = vm;
        this->nodes[vm].runNumber = runNumber;
        this->nodes[vm].incarnation = this->nextIncarnation++;
        this->start(vm);
    }

    /** Blocks messages between a member and all others in both directions. */
    void isolate(VmId vm)
    {
        for (const auto& [other, node] : this->nodes) {
            this->blockedLinks.insert({ vm, other });
            this->blockedLinks.insert({ other, vm });
        }
    }

    LogNode* leader()
    {
        LogNode* best = nullptr;
        for (auto& [vm, node] : this->nodes) {
            if (node.log && node.log->role() == LogRole::Leader && (!best || node.log->term() > best->log->term()))
                best = &node;
        }
        return best;
    }

    LogNode* leaderWithQuorum()
    {
        LogNode* node = this->leader();
        return node && node->log->hasQuorum(this->now) ? node : nullptr;
    }

    ResultCode propose(LogNode& node)
    {
        ReplicatedLog::Proposal proposal;
        std::string payload = std::to_string(++this->lastPayload) + ";";
        ReplicatedLogOutput output = node.log->propose({ payload }, this->now, proposal);
        if (proposal.code == ResultCode::Ok)
            this->proposals[{ proposal.index, proposal.term }] = payload;
        this->processOutput(node, std::move(output));
        return proposal.code;
    }

    /** Proposes the next membership change on the way to make the current incarnation of a VM a voter. Returns whether it is one and no other incarnation is listed. */
    bool advanceReplacement(VmId vm)
    {
        LogNode* leading = this->leaderWithQuorum();
        if (!leading || !leading->log->isMembershipCommitted())
            return false;
        wire::Membership next;
        bool isListed = false;
        bool isOldListed = false;
        wire::Member* learner = nullptr;
        for (const wire::Member& member : leading->log->membership().members()) {
            bool isCurrent = member.vm_id() == vm && member.incarnation() == this->nodes[vm].incarnation;
            isListed = isListed || isCurrent;
            isOldListed = isOldListed || (member.vm_id() == vm && !isCurrent);
            *next.add_members() = member;
            if (isCurrent && !member.voter())
                learner = next.mutable_members(next.members_size() - 1);
        }
        if (isListed && !learner && !isOldListed)
            return true;
        if (!isListed)
            *next.add_members() = this->member(this->nodes[vm], false);
        else if (isOldListed)
            this->removeOldIncarnation(next, this->nodes[vm]);
        else
            learner->set_voter(true);
        ReplicatedLog::Proposal proposal;
        this->processOutput(*leading, leading->log->proposeMembership(next, this->now, proposal));
        return false;
    }

    /** Sends the messages that need no sync and queues the rest of an output for the next sync. Also checks that each term has one leader. */
    void processOutput(LogNode& node, ReplicatedLogOutput output)
    {
        if (node.log->role() == LogRole::Leader) {
            uint64_t& leaderIncarnation = this->leaderIncarnations[node.log->term()];
            this->check(!leaderIncarnation || leaderIncarnation == node.incarnation, "two leaders were elected in term " + std::to_string(node.log->term()));
            leaderIncarnation = node.incarnation;
        }
        for (const OutgoingLogMessage& message : output.messagesBeforeSync)
            this->send(node, message);
        output.messagesBeforeSync.clear();
        if (!this->doMessagesAwaitSync) {
            for (const OutgoingLogMessage& message : output.messagesAfterSync)
                this->send(node, message);
            output.messagesAfterSync.clear();
        }
        if (node.unsyncedOutputs.empty())
            this->schedule(this->random.fraction() * (node.vm == this->slowDiskVm ? 200 : this->maxSyncMs), [this, &node, runNumber = node.runNumber] { this->syncDisk(node, runNumber); });
        node.unsyncedOutputs.push_back(std::move(output));
    }

    /** Returns whether all members run and have applied the same payloads, among them every acknowledged one. */
    bool hasConverged()
    {
        const LogNode* first = nullptr;
        for (auto& [vm, node] : this->nodes) {
            if (!node.log || (first && node.appliedPayloads != first->appliedPayloads))
                return false;
            first = &node;
        }
        return std::all_of(this->acknowledged.begin(), this->acknowledged.end(), [&](const std::string& payload) {
            return (";" + first->appliedPayloads).find(";" + payload) != std::string::npos;
        });
    }

    void check(bool condition, const std::string& text)
    {
        if (!condition)
            this->violations.push_back(text + " at " + std::to_string(this->now.time_since_epoch().count()) + " ms");
    }

    RandomSource random;
    ReplicatedLogOptions options;
    TimePoint now = timeAt(1000);
    std::map<VmId, LogNode> nodes;
    std::set<std::pair<VmId, VmId>> blockedLinks; ///< Directed links, as sender and receiver, that lose all messages.
    double dropShare = 0; ///< Share of messages that are lost.
    double duplicateShare = 0; ///< Share of messages that arrive twice.
    double maxDelayMs = 2; ///< Longest delay of a message; messages may overtake each other.
    double maxSyncMs = 3; ///< Longest time until a sync.
    bool doMessagesAwaitSync = true; ///< Whether messages that depend on a sync are sent after it. Disabled only to show that a test sees the loss.
    VmId slowDiskVm = 0; ///< Member whose syncs take up to 200 ms; 0 if there is none.
    LogIndex snapshotIntervalEntries = 20; ///< Applied entries between snapshots.
    uint64_t sentMessages = 0; ///< Messages sent and not lost.
    LogDiskHooks diskHooks;
    std::function<void(LogNode&)> tickHook; ///< Called after each tick of a member.
    std::function<void(LogNode& receiver, VmId from, uint64_t fromIncarnation)> messageHook; ///< Called before a member handles a message.
    std::vector<std::string> violations;
    std::set<std::string> acknowledged; ///< Payloads of accepted proposals that a member has applied.

private:
    struct Event {
        TimePoint at;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::pair(this->at, this->number) > std::pair(other.at, other.number); }
    };
    /** Payload of an entry and the term of the entry before it. Two entries with the same index and term must agree in both. */
    using EntryContent = std::pair<std::string, Term>;

    void schedule(double ms, std::function<void()> action)
    {
        this->events.push({ this->now + Milliseconds(ms), this->nextEventNumber++, std::move(action) });
    }

    wire::Member member(const LogNode& node, bool isVoter) const
    {
        wire::Member member;
        member.set_vm_id(node.vm);
        member.set_incarnation(node.incarnation);
        member.set_voter(isVoter);
        return member;
    }

    static void removeOldIncarnation(wire::Membership& membership, const LogNode& node)
    {
        auto& members = *membership.mutable_members();
        auto old = std::remove_if(members.begin(), members.end(), [&](const wire::Member& member) {
            return member.vm_id() == node.vm && member.incarnation() != node.incarnation;
        });
        members.erase(old, members.end());
    }

    void scheduleTick(LogNode& node, int runNumber)
    {
        this->schedule(20 + this->random.fraction(), [this, &node, runNumber] {
            if (!node.log || node.runNumber != runNumber)
                return;
            this->processOutput(node, node.log->tick(this->now));
            if (this->tickHook)
                this->tickHook(node);
            this->scheduleTick(node, runNumber);
        });
    }

    void send(const LogNode& from, const OutgoingLogMessage& message)
    {
        if (this->blockedLinks.contains({ from.vm, message.to }) || this->random.fraction() < this->dropShare)
            return;
        ++this->sentMessages;
        int copies = this->random.fraction() < this->duplicateShare ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            this->schedule(0.1 + this->random.fraction() * this->maxDelayMs, [this, vm = from.vm, incarnation = from.incarnation, message] {
                LogNode& node = this->nodes[message.to];
                bool isReceived = node.log && !this->blockedLinks.contains({ vm, message.to });
                if (isReceived && this->messageHook)
                    this->messageHook(node, vm, incarnation);
                if (isReceived)
                    this->processOutput(node, node.log->receive(vm, incarnation, message.message, this->now));
            });
        }
    }

    /** Writes all queued outputs of a member with one sync, then sends their messages and applies their entries. */
    void syncDisk(LogNode& node, int runNumber)
    {
        if (!node.log || node.runNumber != runNumber)
            return;
        std::vector<ReplicatedLogOutput> outputs = std::move(node.unsyncedOutputs);
        node.unsyncedOutputs.clear();
        for (const ReplicatedLogOutput& output : outputs)
            this->writeToDisk(node, output);
        if (this->diskHooks.sync)
            this->diskHooks.sync(node);
        for (const ReplicatedLogOutput& output : outputs) {
            for (const OutgoingLogMessage& message : output.messagesAfterSync)
                this->send(node, message);
            if (output.receivedSnapshot) {
                node.appliedPayloads = output.receivedSnapshot->data;
                node.appliedPosition = output.receivedSnapshot->meta;
            }
            for (const wire::LogEntry& entry : output.committedEntries)
                this->apply(node, entry);
        }
        bool isSnapshotDue = node.appliedPosition.lastIndex >= node.disk.snapshot.lastIndex + this->snapshotIntervalEntries;
        // A leader does not send a snapshot without data, which no state machine writes.
        if (isSnapshotDue && !node.appliedPayloads.empty())
            this->takeSnapshot(node);
        if (std::any_of(outputs.begin(), outputs.end(), [](const ReplicatedLogOutput& output) { return !output.write.empty(); })) {
            LogIndex last = node.disk.entries.empty() ? node.disk.snapshot.lastIndex : node.disk.entries.back().index();
            Term term = node.disk.entries.empty() ? node.disk.snapshot.lastTerm : node.disk.entries.back().term();
            this->processOutput(node, node.log->recordSync(last, term, this->now));
        }
    }

    void writeToDisk(LogNode& node, const ReplicatedLogOutput& output)
    {
        DurableLogState& disk = node.disk;
        if (output.receivedSnapshot && output.receivedSnapshot->meta.lastIndex > disk.snapshot.lastIndex)
            this->storeSnapshot(node, output.receivedSnapshot->meta, output.receivedSnapshot->data);
        if (this->diskHooks.write)
            this->diskHooks.write(node, output.write);
        if (output.write.hardState)
            disk.hardState = *output.write.hardState;
        if (output.write.truncateFrom)
            std::erase_if(disk.entries, [&](const wire::LogEntry& entry) { return entry.index() >= output.write.truncateFrom; });
        for (const wire::LogEntry& entry : output.write.entries) {
            if (entry.index() <= disk.snapshot.lastIndex)
                continue;
            Term before = disk.entries.empty() ? disk.snapshot.lastTerm : disk.entries.back().term();
            LogIndex last = disk.entries.empty() ? disk.snapshot.lastIndex : disk.entries.back().index();
            this->check(entry.index() == last + 1, "an entry is written after a gap in the log");
            EntryContent content { entry.payload(), before };
            this->check(this->writtenEntries.emplace(std::pair(entry.index(), entry.term()), content).first->second == content, "two logs hold different entries with the same index and term");
            disk.entries.push_back(entry);
        }
    }

    void storeSnapshot(LogNode& node, const SnapshotMeta& meta, const std::string& data)
    {
        if (this->diskHooks.storeSnapshot)
            this->diskHooks.storeSnapshot(node, meta, data);
        node.disk.snapshot = meta;
        node.diskSnapshotData = data;
        std::erase_if(node.disk.entries, [&](const wire::LogEntry& entry) { return entry.index() <= meta.lastIndex; });
    }

    void takeSnapshot(LogNode& node)
    {
        this->storeSnapshot(node, node.appliedPosition, node.appliedPayloads);
        node.log->compact(node.appliedPosition);
    }

    void apply(LogNode& node, const wire::LogEntry& entry)
    {
        this->check(entry.index() == node.appliedPosition.lastIndex + 1, "an entry is applied out of order");
        std::string content = std::to_string(entry.term()) + ":" + entry.payload();
        this->check(this->appliedEntries.emplace(entry.index(), content).first->second == content, "committed entry " + std::to_string(entry.index()) + " differs");
        this->lastCommittedIndexes[entry.term()] = std::max(this->lastCommittedIndexes[entry.term()], entry.index());
        node.appliedPosition.lastIndex = entry.index();
        node.appliedPosition.lastTerm = entry.term();
        if (entry.type() == wire::ENTRY_MEMBERSHIP)
            node.appliedPosition.membership.ParseFromString(entry.payload());
        if (entry.type() != wire::ENTRY_COMMAND)
            return;
        node.appliedPayloads += entry.payload();
        auto proposal = this->proposals.find({ entry.index(), entry.term() });
        if (proposal != this->proposals.end())
            this->acknowledged.insert(proposal->second);
    }

    /** Checks that a leader with a quorum, which may grant leases, has committed all entries committed in earlier terms, and that there is no leader of a later term. */
    void checkLeaders()
    {
        for (const auto& [vm, node] : this->nodes) {
            if (!node.log || !node.log->hasQuorum(this->now))
                continue;
            auto later = this->lastCommittedIndexes.lower_bound(node.log->term());
            bool hasAllCommitted = later == this->lastCommittedIndexes.begin() || std::prev(later)->second <= node.log->commitIndex();
            this->check(hasAllCommitted, "a leader reports a quorum although it lacks entries committed in earlier terms");
            for (const auto& [otherVm, other] : this->nodes) {
                bool isDeposed = other.log && otherVm != vm && other.log->role() == LogRole::Leader && other.log->term() > node.log->term();
                this->check(!isDeposed, "a leader reports a quorum although a leader of a later term is elected");
            }
        }
    }

    uint64_t nextIncarnation = 101;
    uint64_t lastPayload = 0;
    uint64_t nextEventNumber = 0;
    std::priority_queue<Event> events;
    std::map<Term, uint64_t> leaderIncarnations; ///< Incarnation of the leader of each term.
    std::map<std::pair<LogIndex, Term>, EntryContent> writtenEntries; ///< All entries that were written to any disk.
    std::map<Term, LogIndex> lastCommittedIndexes; ///< Last entry of each term that any member applied.
    std::map<LogIndex, std::string> appliedEntries; ///< All entries that any member applied.
    std::map<std::pair<LogIndex, Term>, std::string> proposals; ///< Payloads of accepted proposals.
};

} // namespace kingcup::testing
