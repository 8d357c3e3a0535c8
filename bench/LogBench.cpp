/** @file LogBench.cpp Throughput of group commit, recovery time and snapshot cost of the replicated log on a real folder. */
#include "kingcup/LogStorage.h"
#include "kingcup/ReplicatedLog.h"

#include "testing/ScratchFolder.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <numeric>

using namespace kingcup;
using kingcup::testing::ScratchFolder;

namespace {

constexpr Milliseconds turnTime { 200 };
constexpr int turns = 8;
constexpr size_t commandBytes = 256;
constexpr uint64_t seed = 1;
constexpr int repetitions = 5;

/** Ends the benchmark on an error, which would make its figures meaningless. */
void require(std::error_code error)
{
    if (!error)
        return;
    std::fprintf(stderr, "%s\n", error.message().c_str());
    std::exit(1);
}

/** A group of one member with its storage. */
class Member {
public:
    explicit Member(const std::string& path) { this->open(path); }

    /** Reads the folder, as at the start of a process. */
    void open(const std::string& path)
    {
        this->log.reset();
        this->storage.reset();
        this->folder.reset();
        require(DataFolder::open(path, "bench", 1, 1, this->folder));
        DurableLogState state;
        std::string snapshot;
        require(LogStorage::open(*this->folder, systemFileHooks(), this->storage, state, snapshot));
        ReplicatedLogOptions options;
        options.self = 1;
        options.incarnation = 1;
        auto read = [this] { return this->readSnapshot(); };
        this->log = std::make_unique<ReplicatedLog>(options, std::move(state), RandomSource(seed), read, MillisecondClock::now());
    }

    /** Forms the group and becomes its leader. */
    void lead()
    {
        wire::Membership membership;
        wire::Member& self = *membership.add_members();
        self.set_vm_id(1);
        self.set_incarnation(1);
        self.set_voter(true);
        ReplicatedLogOutput output;
        this->log->bootstrap(membership, MillisecondClock::now(), output);
        this->store(output);
        this->store(this->log->tick(MillisecondClock::now() + 2 * ReplicatedLogOptions().electionTimeout));
    }

    /** Proposes a batch of commands, and returns once it is committed. */
    void commit(size_t batch)
    {
        ReplicatedLog::Proposal proposal;
        std::vector<std::string> payloads(batch, std::string(commandBytes, 'c'));
        ReplicatedLogOutput output = this->log->propose(payloads, MillisecondClock::now(), proposal);
        require(proposal.code);
        this->store(output);
    }

    /** Stores a snapshot of everything committed. */
    void takeSnapshot(const std::string& data)
    {
        SnapshotMeta meta { this->log->commitIndex(), this->log->term(), this->log->membership() };
        require(this->storage->storeSnapshot(meta, data));
        this->log->compact(meta);
    }

    std::string readSnapshot() const
    {
        std::string data;
        require(this->storage->readSnapshot(data));
        return data;
    }

    uint64_t journalBytes() const { return this->storage->journalBytes(); }

private:
    void store(const ReplicatedLogOutput& output)
    {
        require(this->storage->write(output.write));
        require(this->storage->sync());
        this->log->recordSync(this->log->lastIndex(), this->log->term(), MillisecondClock::now());
    }

    std::unique_ptr<DataFolder> folder;
    std::unique_ptr<LogStorage> storage;
    std::unique_ptr<ReplicatedLog> log;
};

/** Returns the median of durations. */
Milliseconds medianOf(std::vector<Milliseconds> times)
{
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

/** Returns the median duration of several runs. */
Milliseconds median(const std::function<void()>& step)
{
    std::vector<Milliseconds> times;
    for (int run = 0; run < repetitions; ++run) {
        TimePoint start = MillisecondClock::now();
        step();
        times.push_back(MillisecondClock::now() - start);
    }
    return medianOf(std::move(times));
}

/** One size of the group that shares a sync. */
struct BatchSize {
    explicit BatchSize(size_t commands, const std::string& parent)
        : commands(commands)
        , folder(parent)
        , member(folder.path())
    {
        this->member.lead();
    }

    size_t commands; ///< Commands in a sync.
    ScratchFolder folder;
    Member member;
    std::vector<Milliseconds> times {}; ///< Duration of each commit.
};

/** Commits for a while and notes the durations. */
void commitFor(Milliseconds limit, BatchSize& size)
{
    TimePoint start = MillisecondClock::now();
    for (TimePoint before = start; before - start < limit;) {
        size.member.commit(size.commands);
        TimePoint after = MillisecondClock::now();
        size.times.push_back(after - before);
        before = after;
    }
}

/**
 * Measures commands per second for sizes of the group that shares a sync. The sizes take turns, because
 * other writers on the disk change its speed during a run; the medians leave out their bursts.
 */
void measureGroupCommit(const std::string& parent)
{
    std::deque<BatchSize> sizes;
    for (size_t commands : { 1, 4, 16, 64, 256 })
        sizes.emplace_back(commands, parent);
    for (int turn = 0; turn < turns; ++turn) {
        for (BatchSize& size : sizes)
            commitFor(turnTime, size);
    }
    std::printf("\n%10s %10s %16s %16s %18s\n", "batch", "syncs", "median ms", "commands/s", "commands/s (mean)");
    for (BatchSize& size : sizes) {
        double total = std::accumulate(size.times.begin(), size.times.end(), Milliseconds(0)).count();
        double middle = medianOf(size.times).count();
        double commands = static_cast<double>(size.commands);
        double mean = commands * static_cast<double>(size.times.size()) * 1000 / total;
        std::printf("%10zu %10zu %16.3f %16.0f %18.0f\n", size.commands, size.times.size(), middle, commands * 1000 / middle, mean);
    }
}

/** Measures the time from opening the folder to a log that can take part, for some numbers of entries. */
void measureRecovery(const std::string& parent)
{
    std::printf("\n%10s %14s %14s\n", "entries", "journal bytes", "recovery ms");
    for (size_t entries : { 100, 1000, 10000 }) {
        ScratchFolder folder(parent);
        Member member(folder.path());
        member.lead();
        for (size_t done = 0; done < entries; done += 100)
            member.commit(100);
        Milliseconds time = median([&] { member.open(folder.path()); });
        std::printf("%10zu %14llu %14.2f\n", entries, static_cast<unsigned long long>(member.journalBytes()), time.count());
    }
}

/** Measures storing and reading a snapshot that replaces 1,000 entries. */
void measureSnapshots(const std::string& parent)
{
    std::printf("\n%14s %12s %12s %16s %16s\n", "snapshot bytes", "store ms", "read ms", "journal before", "journal after");
    for (size_t bytes : { 64u << 10, 1u << 20, 16u << 20 }) {
        ScratchFolder folder(parent);
        Member member(folder.path());
        member.lead();
        std::string data(bytes, 's');
        uint64_t before = 0;
        std::vector<Milliseconds> storing;
        for (int run = 0; run < repetitions; ++run) {
            for (size_t done = 0; done < 1000; done += 100)
                member.commit(100);
            before = member.journalBytes();
            TimePoint start = MillisecondClock::now();
            member.takeSnapshot(data);
            storing.push_back(MillisecondClock::now() - start);
        }
        Milliseconds reading = median([&] { member.readSnapshot(); });
        uintmax_t size = std::filesystem::file_size(folder.path() + "/snapshot");
        std::printf("%14ju %12.2f %12.2f %16llu %16llu\n", size, medianOf(storing).count(), reading.count(),
            static_cast<unsigned long long>(before), static_cast<unsigned long long>(member.journalBytes()));
    }
}

} // namespace

/** Usage: LogBench [FOLDER]; the folder must be on the disk to be measured. */
int main(int argumentCount, char** arguments)
{
    std::string parent = argumentCount > 1 ? arguments[1] : std::filesystem::temp_directory_path().string();
    std::printf("folder %s, commands of %zu bytes, seed %llu\n", parent.c_str(), commandBytes, static_cast<unsigned long long>(seed));
    measureGroupCommit(parent);
    measureRecovery(parent);
    measureSnapshots(parent);
    return 0;
}
