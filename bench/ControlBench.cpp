/** @file ControlBench.cpp Cost of control decisions against the number of targets, services and claims. */
#include "kingcup/ApplyManifest.h"
#include "kingcup/EntryConfiguration.h"

#include <cstdio>
#include <functional>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <utility>

using namespace kingcup;
using nlohmann::json;

namespace {

constexpr int repetitions = 200; ///< Runs of each timed step.

/** Returns the bytes in use on the heap. */
size_t heapBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Returns the mean time of a step in microseconds. */
double microseconds(int count, const std::function<void(int)>& step)
{
    TimePoint start = MillisecondClock::now();
    for (int i = 0; i < count; i++)
        step(i);
    return (MillisecondClock::now() - start).count() * 1000 / count;
}

/** Returns a checked manifest of services with three kinds each. @param priority Value of one kind of the first service. */
CheckedManifest makeManifest(uint64_t number, size_t services, int priority)
{
    json document = { { "number", number }, { "services", json::array() } };
    for (size_t i = 0; i < services; i++) {
        std::string prefix = "/service-" + std::to_string(i);
        json kinds = json::array();
        kinds.push_back({ { "name", "lookup" }, { "method", "GET" }, { "path", prefix + "/*" }, { "repeatable", true }, { "hedge", json::object() }, { "priority", i ? 5 : priority } });
        kinds.push_back({ { "name", "post" }, { "method", "POST" }, { "path", prefix + "/invoices" }, { "keyRequired", true }, { "notRunStatuses", { 429, 503 } } });
        kinds.push_back({ { "name", "drop" }, { "method", "DELETE" }, { "path", prefix + "/*" } });
        document["services"].push_back({ { "name", "service-" + std::to_string(i) }, { "pathPrefix", prefix }, { "kinds", kinds } });
    }
    return std::get<CheckedManifest>(parseManifest(document.dump()));
}

/** Makes a record change of one target. */
wire::Command targetCommand(size_t services, size_t target, uint32_t slots)
{
    wire::Command command;
    wire::TargetRecord& record = *command.mutable_change_target()->mutable_target();
    record.set_service("service-" + std::to_string(target % services));
    record.set_address("10." + std::to_string(target / 65536) + "." + std::to_string(target / 256 % 256) + "." + std::to_string(target % 256) + ":8080");
    record.set_availability_zone("zone-" + std::to_string(target % 27));
    record.set_slots(slots);
    record.set_incarnation(1);
    record.set_state(wire::TARGET_SERVING);
    return command;
}

/** A machine with a manifest and targets. */
struct Fleet {
    ControlStateMachine machine; ///< State.
    LogIndex index = 0; ///< Last entry.
    size_t services; ///< Services.
    size_t targets; ///< Targets.

    Fleet(size_t services, size_t targets)
        : services(services)
        , targets(targets)
    {
        this->applyManifest(makeManifest(1, services, 5));
        for (size_t i = 0; i < targets; i++)
            this->machine.apply(++this->index, targetCommand(services, i, 6));
    }

    /** Brings a manifest into force, as a leader does: build the command, check it, apply it. */
    void applyManifest(const CheckedManifest& manifest)
    {
        wire::Command command;
        *command.mutable_apply_manifest() = makeApplyManifest(this->machine, manifest);
        this->machine.check(command);
        if (this->machine.apply(++this->index, command).result_code() != 0)
            std::printf("manifest refused\n");
    }
};

/** Prints one row of the table of sizes. */
void measureFleet(size_t services, size_t targets)
{
    size_t heapBefore = heapBytes();
    Fleet fleet(services, targets);
    size_t heap = heapBytes() - heapBefore;
    std::vector<CheckedManifest> manifests;
    manifests.reserve(10);
    for (int i = 0; i < 10; i++)
        manifests.push_back(makeManifest(2 + static_cast<uint64_t>(i), services, i % 5));
    double manifestUs = microseconds(10, [&](int i) { fleet.applyManifest(manifests[static_cast<size_t>(i)]); });
    size_t manifestBytes = fleet.machine.changesSince(fleet.index - 1).ByteSizeLong();
    double targetUs = microseconds(repetitions, [&](int i) { fleet.machine.apply(++fleet.index, targetCommand(services, static_cast<size_t>(i) % targets, 7 + static_cast<uint32_t>(i))); });
    double changesUs = microseconds(repetitions, [&](int) { fleet.machine.changesSince(fleet.index - 1); });
    size_t targetBytes = fleet.machine.changesSince(fleet.index - 1).ByteSizeLong();
    EntryConfiguration entry("vm", 1, "zone-1", Milliseconds(2500));
    wire::ConfigurationPush push;
    *push.mutable_changes() = fleet.machine.changesSince(0);
    size_t fullBytes = push.ByteSizeLong();
    size_t entryBefore = heapBytes();
    entry.receivePush(push, MillisecondClock::now());
    size_t entryHeap = heapBytes() - entryBefore;
    double mergeUs = microseconds(20, [&](int i) {
        fleet.machine.apply(++fleet.index, targetCommand(services, static_cast<size_t>(i), 5000));
        *push.mutable_changes() = fleet.machine.changesSince(fleet.index - 1);
        entry.receivePush(push, MillisecondClock::now());
    });
    std::string saved;
    double saveUs = microseconds(5, [&](int) { saved = fleet.machine.save(); });
    ControlStateMachine loaded;
    double loadUs = microseconds(5, [&](int) { loaded.load(saved); });
    std::printf("%8zu %8zu %11.1f %9.2f %10.2f %12zu %11zu %9zu %10.1f %8zu %9zu %9zu %8.2f %8.2f\n", services, targets, manifestUs, targetUs, changesUs,
        manifestBytes, targetBytes, fullBytes, mergeUs, heap / 1024, entryHeap / 1024, saved.size() / 1024, saveUs / 1000, loadUs / 1000);
}

/** Makes a claim or its finish. */
wire::Command claimCommand(uint64_t number, bool finish)
{
    wire::Command command;
    wire::AttemptId attempt;
    attempt.set_entry_vm("vm" + std::to_string(number % 17));
    attempt.set_incarnation(1);
    attempt.set_sequence(number);
    std::string key = "7f3c1a90-5b7e-4c1f-9d00-" + std::to_string(number);
    command.set_log_time_ms(number / 10);
    if (finish) {
        *command.mutable_finish_claim()->mutable_attempt() = attempt;
        command.mutable_finish_claim()->set_service("ledger");
        command.mutable_finish_claim()->set_key(key);
        command.mutable_finish_claim()->set_outcome(wire::OUTCOME_FINISHED);
        command.mutable_finish_claim()->mutable_answer()->set_status(201);
        command.mutable_finish_claim()->mutable_answer()->set_body(std::string(200, 'x'));
    } else {
        *command.mutable_claim()->mutable_attempt() = attempt;
        command.mutable_claim()->set_service("ledger");
        command.mutable_claim()->set_key(key);
        command.mutable_claim()->set_fingerprint(std::string(16, 'f'));
        command.mutable_claim()->set_retention_ms(24 * 3600 * 1000);
    }
    return command;
}

/** Prints claims per second on top of a number of finished claims with answers of 200 bytes, and the snapshot after that. */
void measureClaims(uint64_t held)
{
    constexpr int measured = 20000;
    size_t heapBefore = heapBytes();
    ControlStateMachine machine;
    LogIndex index = 0;
    for (uint64_t i = 0; i < held; i++) {
        machine.apply(++index, claimCommand(i, false));
        machine.apply(++index, claimCommand(i, true));
    }
    double bytesPerClaim = held ? static_cast<double>(heapBytes() - heapBefore) / static_cast<double>(held) : 0;
    std::vector<wire::Command> claims;
    std::vector<wire::Command> finishes;
    for (int i = 0; i < measured; i++) {
        claims.push_back(claimCommand(held + static_cast<uint64_t>(i), false));
        finishes.push_back(claimCommand(held + static_cast<uint64_t>(i), true));
    }
    double claimUs = microseconds(measured, [&](int i) { machine.apply(++index, claims[static_cast<size_t>(i)]); });
    double finishUs = microseconds(measured, [&](int i) { machine.apply(++index, finishes[static_cast<size_t>(i)]); });
    std::string saved;
    double saveUs = microseconds(1, [&](int) { saved = machine.save(); });
    std::printf("%9lu %12.0f %12.0f %12.0f %10.1f %9.1f\n", held, 1e6 / claimUs, 1e6 / finishUs, bytesPerClaim, static_cast<double>(saved.size()) / (1 << 20), saveUs / 1000);
}

} // namespace

/** Prints both tables. */
int main()
{
    std::printf("manifest us: build, check and apply a change of one service; merge us: one changed target at an entry VM, with its apply\n");
    std::printf("%8s %8s %11s %9s %10s %12s %11s %9s %10s %8s %9s %9s %8s %8s\n", "services", "targets", "manifest us", "target us", "changes us",
        "service B", "target B", "full B", "merge us", "heap KB", "entry KB", "saved KB", "save ms", "load ms");
    for (size_t services : { 10, 100, 1000 }) {
        for (size_t targets : { 100, 1000, 5000, 20000 })
            measureFleet(services, targets);
    }
    std::printf("\nthe snapshot holds the measured 20000 claims as well\n%9s %12s %12s %12s %10s %9s\n", "held", "claims/s", "finishes/s", "B per claim", "saved MB", "save ms");
    for (uint64_t held : { 0, 10000, 100000, 500000 })
        measureClaims(held);
    return 0;
}
