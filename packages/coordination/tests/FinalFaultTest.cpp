/** @file FinalFaultTest.cpp Guards against the loss of acknowledged entries when all VMs lose power and as many as tolerated lose their disks. */
#include "LossyDisk.h"
#include "PlannedGroup.h"

#include "kingcup/LogStorage.h"

#include "testing/ScratchFolder.h"
#include "testing/Story.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr uint64_t seedCount = 300;
constexpr double electionLimitMs = 5000; ///< Time after the fault within which a leader with a quorum must be elected.
constexpr double appliedLimitMs = 500; ///< Time in which a leader applies its committed entries; a simulated sync takes up to 200 ms.
constexpr double replacementLimitMs = 8000; ///< Time after the fault within which the VMs that lost their disks must be voters again.
constexpr double slowSyncMs = 40; ///< Longest sync in half of the seeds, so that the fault happens during a sync more often.
constexpr VmId spareVm = groupSize + 1; ///< Control VM at an address of its own that joins the group.

/** Rules that a test disables to show that it sees a loss. */
struct FaultRules {
    bool areSyncsHonoured = true; ///< Whether a disk keeps what was synced.
    bool doAnswersAwaitSync = true; ///< Whether a member answers only after the sync on which its answer depends.
};

/** What the group does at the time of the fault. */
enum class Situation {
    Calm,
    SpareJoining, ///< An additional VM joins.
    VoterReplaced, ///< A VM was lost for good, and an empty one at another address replaces it.
    LeaderTransfer, ///< Leadership was just transferred.
    LeaderRestarted, ///< The leader was killed and starts again.
    AllKilled, ///< All processes were killed and started again, so the next leader depends on writes that were not synced before.
    PowerLostAtElection, ///< All VMs lost power just after a vote or an election.
};
constexpr uint64_t situationCount = 7;

/** Group whose members store their logs in files on disks that lose what was not synced. */
class FaultyGroup {
public:
    FaultyGroup(uint64_t seed, FaultRules rules)
        : rules(rules)
        , random(seed)
        , folder(std::filesystem::is_directory("/dev/shm") ? "/dev/shm" : std::filesystem::temp_directory_path())
        , group(seed, this->diskHooks())
    {
        this->network().doMessagesAwaitSync = rules.doAnswersAwaitSync;
        this->network().snapshotIntervalEntries = 5 + this->random.below(20);
        this->network().maxSyncMs = this->random.below(2) ? slowSyncMs : this->network().maxSyncMs;
        this->network().slowDiskVm = static_cast<VmId>(this->random.below(groupSize + 1));
    }

    /** Lets clients propose entries for a time. */
    void serve(double ms)
    {
        for (double waited = 0; waited < ms; waited += 10) {
            this->propose();
            this->network().runFor(10);
        }
    }

    /** Proposes until an entry is acknowledged, and stops at a random moment shortly after. Returns false if none is. */
    bool serveUntilAcknowledged()
    {
        size_t before = this->network().acknowledged.size();
        for (int step = 0; step < 50000 && this->network().acknowledged.size() == before; step++) {
            if (step % 100 == 0)
                this->propose();
            this->network().runFor(0.1);
        }
        if (this->random.below(2))
            this->network().runFor(this->random.fraction() * 4);
        return this->network().acknowledged.size() > before;
    }

    /** Brings the group into a situation in which the fault happens. Returns how many more disks may be lost in it. */
    size_t enter(Situation situation)
    {
        LogNode* leading = this->network().leaderWithQuorum();
        VmId leadingVm = leading ? leading->vm : 1;
        switch (situation) {
        case Situation::Calm:
            break;
        case Situation::SpareJoining:
            this->group.startNewVm(spareVm);
            this->serve(this->random.fraction() * 800);
            break;
        case Situation::VoterReplaced:
            this->network().losePower(leadingVm % groupSize + 1);
            this->serve(this->random.fraction() * 1000);
            this->group.startNewVm(spareVm);
            this->serve(this->random.fraction() * 3000);
            return this->isWhole() ? toleratedLosses : toleratedLosses - 1;
        case Situation::LeaderTransfer:
            if (leading)
                this->network().processOutput(*leading, leading->log->transferLeadership(this->network().now));
            this->network().runFor(this->random.fraction() * 100);
            break;
        case Situation::LeaderRestarted:
            this->network().kill(leadingVm);
            this->network().runFor(this->random.fraction() * 800);
            this->group.startAgain(leadingVm);
            this->network().runFor(this->random.fraction() * 800);
            break;
        case Situation::AllKilled:
            this->group.killAll();
            if (this->random.below(2))
                this->loseDisksAndPower(0);
            break;
        case Situation::PowerLostAtElection:
            this->loseDisksAndPower(0);
            this->runUntilTermAfter(this->newestTerm());
            this->network().runFor(this->random.fraction() * this->network().maxSyncMs * 2);
            this->loseDisksAndPower(0);
            break;
        }
        return toleratedLosses;
    }

    /** Isolates a voter until a learner at another address replaces it, and stops at a random moment of the replacement. */
    VmId replaceIsolatedVoter()
    {
        this->group.startNewVm(spareVm);
        this->serve(600);
        VmId isolated = this->network().leader()->vm % groupSize + 1;
        this->network().isolate(isolated);
        std::string membership = this->network().leader()->log->membership().SerializeAsString();
        for (int step = 0; step < 60000 && this->network().leader()->log->membership().SerializeAsString() == membership; step++)
            this->network().runFor(0.1);
        this->network().runFor(this->random.fraction() * 50);
        this->network().blockedLinks.clear();
        return isolated;
    }

    /** Lets all running VMs lose power, and some of them, chosen at random, their disks as well. @param kept VM that keeps its disk; 0: none. */
    void loseDisksAndPower(size_t lostDisks, VmId kept = 0)
    {
        std::vector<VmId> vms = this->group.runningVms();
        std::erase(vms, kept);
        for (size_t position = 0; position < lostDisks; position++)
            std::swap(vms[position], vms[position + this->random.below(vms.size() - position)]);
        vms.resize(lostDisks);
        this->group.losePower(vms);
    }

    bool electsLeader()
    {
        return this->network().runUntil([this] { return this->network().leaderWithQuorum() != nullptr; }, electionLimitMs);
    }

    /** Returns whether the leader has applied every acknowledged entry. */
    bool hasAllAcknowledged()
    {
        LogNode* leading = this->network().leaderWithQuorum();
        return leading && std::all_of(this->network().acknowledged.begin(), this->network().acknowledged.end(), [leading](const std::string& payload) {
            return (";" + leading->appliedPayloads).find(";" + payload) != std::string::npos;
        });
    }

    /** Returns whether the group has at least as many voters as wanted, and all of them run. */
    bool isWhole()
    {
        LogNode* leading = this->network().leaderWithQuorum();
        if (!leading || !leading->log->isMembershipCommitted())
            return false;
        size_t voters = 0;
        for (const wire::Member& member : leading->log->membership().members()) {
            const LogNode& node = this->network().nodes[member.vm_id()];
            if (member.voter() && (!node.log || node.incarnation != member.incarnation()))
                return false;
            voters += member.voter() ? 1 : 0;
        }
        return voters >= groupSize;
    }

    LogNetwork& network() { return this->group.network; }

    FaultRules rules;
    RandomSource random;

private:
    /** Stored log of one incarnation of a VM. */
    struct StoredLog {
        std::unique_ptr<LossyDisk> disk;
        std::string path;
        std::unique_ptr<DataFolder> folder;
        std::unique_ptr<LogStorage> storage;
        bool mayBeTruncated = false; ///< Whether an unsynced write may have removed synced entries.
    };

    Term newestTerm()
    {
        Term newest = 0;
        for (const auto& [vm, node] : this->network().nodes)
            newest = std::max(newest, node.log ? node.log->term() : 0);
        return newest;
    }

    /** Runs until a member starts an election. */
    void runUntilTermAfter(Term term)
    {
        for (int step = 0; step < 20000 && this->newestTerm() == term; step++)
            this->network().runFor(0.1);
    }

    void propose()
    {
        if (LogNode* leading = this->network().leaderWithQuorum())
            this->network().propose(*leading);
    }

    LogDiskHooks diskHooks()
    {
        LogDiskHooks hooks;
        hooks.load = [this](LogNode& node) { this->load(node); };
        hooks.write = [this](LogNode& node, const LogWrite& write) { this->useStorage(node, [&](LogStorage& storage) { return storage.write(write); }); };
        hooks.sync = [this](LogNode& node) { this->useStorage(node, [](LogStorage& storage) { return storage.sync(); }); };
        hooks.storeSnapshot = [this](LogNode& node, const SnapshotMeta& meta, const std::string& data) {
            this->useStorage(node, [&](LogStorage& storage) { return storage.storeSnapshot(meta, data); });
        };
        hooks.losePower = [this](LogNode& node) { this->stop(node, true); };
        hooks.kill = [this](LogNode& node) { this->stop(node, false); };
        return hooks;
    }

    void checkStored(std::error_code error) { this->network().check(!error, "storage failed: " + error.message()); }

    void useStorage(const LogNode& node, const std::function<std::error_code(LogStorage&)>& use)
    {
        StoredLog& stored = this->storedLog(node);
        if (stored.storage)
            this->checkStored(use(*stored.storage));
    }

    StoredLog& storedLog(const LogNode& node)
    {
        StoredLog& stored = this->storedLogs[node.incarnation];
        if (!stored.storage) {
            DurableLogState state;
            std::string snapshot;
            this->open(node, stored, state, snapshot);
        }
        return stored;
    }

    void open(const LogNode& node, StoredLog& stored, DurableLogState& state, std::string& snapshot)
    {
        if (!stored.disk) {
            stored.path = this->folder.path() + "/" + std::to_string(node.incarnation);
            stored.disk = std::make_unique<LossyDisk>(stored.path, this->random, this->rules.areSyncsHonoured);
        }
        stored.storage.reset();
        stored.folder.reset();
        std::error_code error = DataFolder::open(stored.path, "deployment", node.vm, node.incarnation, stored.folder);
        if (!error)
            error = LogStorage::open(*stored.folder, stored.disk->hooks(), stored.storage, state, snapshot);
        this->checkStored(error);
    }

    /** Reads the state of a member after a loss of power, and checks that it holds all that was synced. */
    void load(LogNode& node)
    {
        auto found = this->storedLogs.find(node.incarnation);
        if (found == this->storedLogs.end())
            return;
        DurableLogState state;
        std::string snapshot;
        this->open(node, found->second, state, snapshot);
        if (!found->second.storage)
            return;
        auto lastIndex = [](const DurableLogState& durable) { return durable.entries.empty() ? durable.snapshot.lastIndex : durable.entries.back().index(); };
        bool isComplete = found->second.mayBeTruncated || lastIndex(state) >= lastIndex(node.disk);
        this->network().check(isComplete && state.snapshot.lastIndex >= node.disk.snapshot.lastIndex, "synced entries are lost");
        bool isVoteKept = state.hardState.term > node.disk.hardState.term || state.hardState.votedFor == node.disk.hardState.votedFor || !node.disk.hardState.votedFor;
        this->network().check(isVoteKept && state.hardState.term >= node.disk.hardState.term, "a synced term or vote is lost");
        node.disk = std::move(state);
        node.diskSnapshotData = std::move(snapshot);
    }

    /** Stops a member at a random moment of the writes that wait for a sync, or of a snapshot that is stored. */
    void stop(LogNode& node, bool isPowerLost)
    {
        StoredLog& stored = this->storedLog(node);
        stored.disk->failAfter(this->random.below(10));
        stored.mayBeTruncated = false;
        std::error_code error = stored.storage ? ResultCode::Ok : ResultCode::JournalDamaged;
        for (const ReplicatedLogOutput& output : node.unsyncedOutputs) {
            stored.mayBeTruncated = stored.mayBeTruncated || output.write.truncateFrom || output.receivedSnapshot;
            if (!error && output.receivedSnapshot)
                error = stored.storage->storeSnapshot(output.receivedSnapshot->meta, output.receivedSnapshot->data);
            if (!error)
                error = stored.storage->write(output.write);
        }
        if (!error && this->random.below(2))
            error = stored.storage->sync();
        // A leader does not send a snapshot without data, which no state machine writes.
        if (!error && !node.appliedPayloads.empty() && this->random.below(2))
            error = stored.storage->storeSnapshot(node.appliedPosition, node.appliedPayloads);
        stored.storage.reset();
        stored.folder.reset();
        if (isPowerLost)
            stored.disk->losePower();
        else
            stored.disk->failAfter(LossyDisk::noFailure);
    }

    ScratchFolder folder;
    std::map<uint64_t, StoredLog> storedLogs; ///< By incarnation.
    PlannedGroup group;
};

/** Plays a final fault, and in some seeds another one. Returns the first broken rule; empty: none. */
std::string playFinalFault(uint64_t seed, FaultRules rules)
{
    FaultyGroup group(seed, rules);
    auto result = [&group](const std::string& text) { return group.network().violations.empty() ? text : group.network().violations.front(); };
    group.serve(group.random.fraction() * 600);
    uint64_t faults = 1 + group.random.below(2);
    for (uint64_t fault = 0; fault < faults; fault++) {
        // A lost VM and its replacement are played only once, because no second spare is left.
        Situation situation = static_cast<Situation>(group.random.below(situationCount));
        if (fault && (situation == Situation::VoterReplaced || situation == Situation::SpareJoining))
            situation = Situation::Calm;
        size_t mayBeLost = group.enter(situation);
        bool isAcknowledged = group.serveUntilAcknowledged();
        if (!isAcknowledged)
            return result("no entry is acknowledged before the fault");
        group.loseDisksAndPower(mayBeLost);
        if (group.random.below(3) == 0) {
            group.network().runFor(group.random.fraction() * 1500);
            group.loseDisksAndPower(0);
        }
        if (!group.electsLeader())
            return result("no leader is elected");
        if (!group.network().runUntil([&group] { return group.hasAllAcknowledged(); }, appliedLimitMs))
            return result("an acknowledged entry is lost");
        if (!group.network().runUntil([&group] { return group.isWhole(); }, replacementLimitMs))
            return result("a VM that lost its disk is not replaced");
        if (!group.serveUntilAcknowledged())
            return result("no entry is acknowledged after the fault");
    }
    return result("");
}

/** Returns how many of the seeds break a rule. */
uint64_t countBroken(uint64_t seeds, FaultRules rules)
{
    uint64_t broken = 0;
    for (uint64_t seed = 1; seed <= seeds; seed++)
        broken += playFinalFault(seed, rules).empty() ? 0 : 1;
    return broken;
}

} // namespace

TEST(FinalFaultTest, acknowledgedEntriesSurviveLostDisksAndLostPower)
{
    uint64_t first = testSeed(1);
    for (uint64_t seed = first; seed < first + seedCount; seed++)
        EXPECT_EQ(playFinalFault(seed, {}), "") << "seed " << seed;
}

/** Guards against a group of one voter less than wanted while a silent voter is replaced, which tolerated losses leave without a majority. */
TEST(FinalFaultTest, isolatedVoterComesBackWhileItIsReplaced)
{
    uint64_t first = testSeed(1);
    for (uint64_t seed = first; seed < first + 100; seed++) {
        FaultyGroup group(seed, {});
        group.serve(200);
        VmId isolated = group.replaceIsolatedVoter();
        group.loseDisksAndPower(toleratedLosses, isolated);
        EXPECT_TRUE(group.electsLeader()) << "seed " << seed;
        EXPECT_TRUE(group.network().runUntil([&group] { return group.hasAllAcknowledged(); }, appliedLimitMs)) << "seed " << seed;
        EXPECT_TRUE(group.network().violations.empty()) << "seed " << seed << ": " << group.network().violations.front();
    }
}

TEST(FinalFaultTest, lossesAreSeenWhenARuleIsDisabled)
{
    section("answers that do not wait for the sync", [] {
        FaultRules rules;
        rules.doAnswersAwaitSync = false;
        EXPECT_GT(countBroken(100, rules), 0u);
    });
    section("disks that report a sync which they did not make", [] {
        FaultRules rules;
        rules.areSyncsHonoured = false;
        EXPECT_GT(countBroken(100, rules), 0u);
    });
}
