/** @file ControlStateMachine.cpp Gives each command to its table and collects configuration changes. */
#include "kingcup/ControlStateMachine.h"

#include "ControlSnapshot.h"
#include "ControlTables.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace kingcup {

/** Rules and tables. */
struct ControlStateMachine::State {
    ControlRules rules; ///< Test switches.
    ControlTables tables; ///< Replicated state.

    /** Returns the time at which a command is decided. */
    uint64_t timeOf(const wire::Command& command) const { return std::max(this->tables.position.logTimeMs, std::min(command.log_time_ms(), maxLogTimeMs)); }
    Decision decide(const wire::Command& command) const;
    void apply(LogIndex index, uint64_t nowMs, const wire::Command& command);
    void expire(LogIndex index, uint64_t nowMs);
    void forget(LogIndex index) { this->tables.position.forgotten = std::max(this->tables.position.forgotten, index); } ///< Notes a forgotten tombstone.
};

/** Checks a command against its table. */
Decision ControlStateMachine::State::decide(const wire::Command& command) const
{
    const ControlTables& all = this->tables;
    uint64_t nowMs = this->timeOf(command);
    switch (command.body_case()) {
    case wire::Command::kApplyManifest:
        return all.manifest.decide(command.apply_manifest(), this->rules);
    case wire::Command::kChangeTarget:
        return all.targets.decide(command.change_target(), this->rules);
    case wire::Command::kClaim:
        return all.claims.decide(command.claim(), this->rules);
    case wire::Command::kFinishClaim:
        return all.claims.decide(command.finish_claim());
    case wire::Command::kSuspicion:
        return all.suspicions.decide(nowMs, command.suspicion());
    case wire::Command::kClearSuspicion:
        return all.suspicions.decide(nowMs, command.clear_suspicion());
    case wire::Command::kEntryVmGone:
        return all.claims.decide(command.entry_vm_gone());
    case wire::Command::kExpire: {
        bool anyDue = all.manifest.anyDue(nowMs) || all.targets.anyDue(nowMs) || all.claims.anyDue(nowMs) || all.suspicions.anyDue(nowMs);
        return anyDue ? acceptance() : settled(0);
    }
    case wire::Command::BODY_NOT_SET:
        break;
    }
    return refusal(ResultCode::CommandMalformed, "the command has no known body");
}

/** Changes the table of an accepted command and notes whether entry VMs need to know. */
void ControlStateMachine::State::apply(LogIndex index, uint64_t nowMs, const wire::Command& command)
{
    ControlTables& all = this->tables;
    switch (command.body_case()) {
    case wire::Command::kApplyManifest:
        all.manifest.apply(index, nowMs, command.apply_manifest());
        break;
    case wire::Command::kChangeTarget:
        all.targets.apply(index, nowMs, command.change_target());
        break;
    case wire::Command::kSuspicion:
        all.suspicions.apply(index, nowMs, command.suspicion());
        break;
    case wire::Command::kClearSuspicion:
        all.suspicions.apply(index, nowMs, command.clear_suspicion());
        break;
    case wire::Command::kClaim:
        all.claims.apply(index, nowMs, command.claim());
        return;
    case wire::Command::kFinishClaim:
        all.claims.apply(nowMs, command.finish_claim(), this->rules);
        return;
    case wire::Command::kEntryVmGone:
        all.claims.apply(nowMs, command.entry_vm_gone());
        return;
    case wire::Command::kExpire:
        this->expire(index, nowMs);
        return;
    case wire::Command::BODY_NOT_SET:
        return;
    }
    all.position.configuration = index;
}

/** Removes what is due from all tables. */
void ControlStateMachine::State::expire(LogIndex index, uint64_t nowMs)
{
    this->tables.claims.expire(nowMs);
    this->forget(this->tables.manifest.expire(nowMs));
    this->forget(this->tables.targets.expire(nowMs));
    SuspicionTable::ExpiryResult expired = this->tables.suspicions.expire(index, nowMs);
    this->forget(expired.removedIndex);
    if (expired.hasCleared)
        this->tables.position.configuration = index;
}

ControlStateMachine::ControlStateMachine(ControlRules rules)
    : state(std::make_unique<State>())
{
    this->state->rules = rules;
}

ControlStateMachine::~ControlStateMachine() = default;

wire::CommandResult ControlStateMachine::check(const wire::Command& command) const
{
    wire::CommandResult result = this->state->decide(command).result;
    if (command.has_apply_manifest()) {
        result.set_manifest_number(this->manifestNumber());
        if (result.manifest_digest().empty())
            result.set_manifest_digest(this->manifestDigest());
    }
    return result;
}

wire::CommandResult ControlStateMachine::apply(LogIndex index, const wire::Command& command)
{
    ControlPosition& position = this->state->tables.position;
    Decision decision = this->state->decide(command);
    uint64_t nowMs = this->state->timeOf(command);
    if (decision.changes) {
        this->state->apply(index, nowMs, command);
        decision.result.set_index(index);
    }
    position.applied = index;
    position.logTimeMs = nowMs;
    if (command.has_apply_manifest()) {
        decision.result.set_manifest_number(this->manifestNumber());
        if (decision.result.manifest_digest().empty())
            decision.result.set_manifest_digest(this->manifestDigest());
    }
    return std::move(decision.result);
}

wire::ConfigurationChanges ControlStateMachine::changesSince(LogIndex index) const
{
    const ControlTables& all = this->state->tables;
    wire::ConfigurationChanges changes;
    changes.set_from_index(index);
    changes.set_to_index(all.position.configuration);
    bool full = index == 0 || index < all.position.forgotten;
    changes.set_full(full);
    all.manifest.addChanges(index, full, changes);
    all.targets.addChanges(index, full, changes);
    all.suspicions.addChanges(index, full, changes);
    return changes;
}

LogIndex ControlStateMachine::configurationIndex() const
{
    return this->state->tables.position.configuration;
}

LogIndex ControlStateMachine::appliedIndex() const
{
    return this->state->tables.position.applied;
}

std::string ControlStateMachine::save() const
{
    return saveTables(this->state->tables);
}

ResultCode ControlStateMachine::load(const std::string& data)
{
    ControlTables tables;
    ResultCode code = loadTables(data, tables);
    if (code == ResultCode::Ok)
        this->state->tables = std::move(tables);
    return code;
}

bool ControlStateMachine::assignIncarnation(wire::TargetRecord& record) const
{
    return this->state->tables.targets.assignIncarnation(record);
}

const wire::TargetRecord* ControlStateMachine::findTarget(const std::string& service, const std::string& address) const
{
    const std::map<NamePair, TargetRow>& targets = this->state->tables.targets.targets();
    auto found = targets.find({ service, address });
    return found == targets.end() ? nullptr : &found->second.record;
}

std::vector<wire::TargetRecord> ControlStateMachine::targets() const
{
    std::vector<wire::TargetRecord> records;
    for (const auto& [key, row] : this->state->tables.targets.targets()) {
        if (row.record.state() != wire::TARGET_GONE)
            records.push_back(row.record);
    }
    return records;
}

uint64_t ControlStateMachine::logTimeMs() const
{
    return this->state->tables.position.logTimeMs;
}

uint64_t ControlStateMachine::manifestNumber() const
{
    return this->state->tables.manifest.head().number;
}

const std::string& ControlStateMachine::manifestDigest() const
{
    return this->state->tables.manifest.head().digest;
}

std::vector<wire::ServiceDocument> ControlStateMachine::serviceDocuments() const
{
    std::vector<wire::ServiceDocument> documents;
    for (const auto& [name, row] : this->state->tables.manifest.services()) {
        if (row.removedAtMs)
            continue;
        documents.emplace_back().set_name(name);
        documents.back().set_json(row.json);
    }
    return documents;
}

std::string ControlStateMachine::dump() const
{
    const ControlTables& all = this->state->tables;
    std::map<std::string, size_t> targetStates;
    for (const auto& [key, row] : all.targets.targets())
        targetStates[wire::TargetState_Name(row.record.state())]++;
    constexpr const char* claimStateNames[] = { "running", "finished", "unknown" };
    std::map<std::string, size_t> claimStates;
    for (const auto& [key, row] : all.claims.claims())
        claimStates[claimStateNames[row.state]]++;
    auto accepted = all.manifest.accepted().find(this->manifestNumber());
    uint64_t acceptedAtMs = accepted == all.manifest.accepted().end() ? 0 : accepted->second.acceptedAtMs;
    nlohmann::json dump = {
        { "appliedIndex", all.position.applied },
        { "configurationIndex", all.position.configuration },
        { "forgottenIndex", all.position.forgotten },
        { "logTimeMs", all.position.logTimeMs },
        { "manifest", { { "number", this->manifestNumber() }, { "digest", this->manifestDigest() }, { "acceptedAtMs", acceptedAtMs }, { "acceptedNumbers", all.manifest.accepted().size() } } },
        { "services", this->serviceDocuments().size() },
        { "targets", targetStates },
        { "claims", claimStates },
        { "releasedAttempts", all.claims.released().size() },
        { "entryVms", all.claims.entryVms().size() },
        { "suspicions", all.suspicions.suspicions().size() },
        { "stateDigest", this->stateDigest() },
    };
    return dump.dump();
}

uint64_t ControlStateMachine::stateDigest() const
{
    std::string saved = this->save();
    return XXH3_64bits(saved.data(), saved.size());
}

} // namespace kingcup
