/** @file ControlStateMachine.cpp Dispatches commands to the replicated tables and collects configuration changes. */
#include "kingcup/ControlStateMachine.h"

#include "ControlSnapshot.h"
#include "ControlTables.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace kingcup {

struct ControlStateMachine::State {
    ControlRules rules;
    ControlTables tables;

    /** Returns the log time at which a command takes effect. It does not decrease, and is limited to maxLogTimeMs. */
    uint64_t effectiveLogTimeMs(const wire::Command& command) const { return std::max(this->tables.position.logTimeMs, std::min(command.log_time_ms(), maxLogTimeMs)); }
    Decision decide(const wire::Command& command) const;
    void apply(LogIndex index, uint64_t nowMs, const wire::Command& command);
    void expire(LogIndex index, uint64_t nowMs);
    void recordDeletedTombstone(LogIndex index) { this->tables.position.forgottenIndex = std::max(this->tables.position.forgottenIndex, index); } ///< Records the modification index of a deleted tombstone.
};

/** Checks a command against its table, without changing it. */
Decision ControlStateMachine::State::decide(const wire::Command& command) const
{
    const ControlTables& controlTables = this->tables;
    uint64_t nowMs = this->effectiveLogTimeMs(command);
    switch (command.body_case()) {
    case wire::Command::kApplyManifest:
        return controlTables.manifest.decide(command.apply_manifest(), this->rules);
    case wire::Command::kChangeTarget:
        return controlTables.targets.decide(command.change_target(), this->rules);
    case wire::Command::kClaim:
        return controlTables.claims.decide(command.claim(), this->rules);
    case wire::Command::kFinishClaim:
        return controlTables.claims.decide(command.finish_claim());
    case wire::Command::kSuspicion:
        return controlTables.suspicions.decide(nowMs, command.suspicion());
    case wire::Command::kClearSuspicion:
        return controlTables.suspicions.decide(nowMs, command.clear_suspicion());
    case wire::Command::kEntryVmGone:
        return controlTables.claims.decide(command.entry_vm_gone());
    case wire::Command::kChangeZone:
        return controlTables.zones.decide(command.change_zone());
    case wire::Command::kExpire: {
        bool anyDue = controlTables.manifest.anyDue(nowMs) || controlTables.targets.anyDue(nowMs) || controlTables.claims.anyDue(nowMs) || controlTables.suspicions.anyDue(nowMs) || controlTables.zones.anyDue(nowMs);
        return anyDue ? acceptance() : acceptanceWithoutChange(0);
    }
    case wire::Command::BODY_NOT_SET:
        break;
    }
    return refusal(ResultCode::CommandMalformed, "the type of the command is missing or unknown");
}

/** Applies an accepted command to its table. The configuration index advances if entry VMs receive the change. */
void ControlStateMachine::State::apply(LogIndex index, uint64_t nowMs, const wire::Command& command)
{
    ControlTables& controlTables = this->tables;
    switch (command.body_case()) {
    case wire::Command::kApplyManifest:
        controlTables.manifest.apply(index, nowMs, command.apply_manifest());
        break;
    case wire::Command::kChangeTarget:
        controlTables.targets.apply(index, nowMs, command.change_target());
        break;
    case wire::Command::kSuspicion:
        controlTables.suspicions.apply(index, nowMs, command.suspicion());
        break;
    case wire::Command::kClearSuspicion:
        controlTables.suspicions.apply(index, nowMs, command.clear_suspicion());
        break;
    case wire::Command::kChangeZone:
        controlTables.zones.apply(index, nowMs, command.change_zone());
        break;
    case wire::Command::kClaim:
        controlTables.claims.apply(index, nowMs, command.claim());
        return;
    case wire::Command::kFinishClaim:
        controlTables.claims.apply(nowMs, command.finish_claim(), this->rules);
        return;
    case wire::Command::kEntryVmGone:
        controlTables.claims.apply(nowMs, command.entry_vm_gone());
        return;
    case wire::Command::kExpire:
        this->expire(index, nowMs);
        return;
    case wire::Command::BODY_NOT_SET:
        return;
    }
    controlTables.position.configurationIndex = index;
}

/** Expires rows of all tables. */
void ControlStateMachine::State::expire(LogIndex index, uint64_t nowMs)
{
    this->tables.claims.expire(nowMs);
    this->recordDeletedTombstone(this->tables.manifest.expire(nowMs));
    this->recordDeletedTombstone(this->tables.targets.expire(nowMs));
    this->recordDeletedTombstone(this->tables.zones.expire(nowMs));
    SuspicionTable::ExpiryResult expired = this->tables.suspicions.expire(index, nowMs);
    this->recordDeletedTombstone(expired.removedIndex);
    if (expired.hasCleared)
        this->tables.position.configurationIndex = index;
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
    uint64_t nowMs = this->state->effectiveLogTimeMs(command);
    if (decision.changesTable) {
        this->state->apply(index, nowMs, command);
        decision.result.set_index(index);
    }
    position.appliedIndex = index;
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
    const ControlTables& controlTables = this->state->tables;
    wire::ConfigurationChanges changes;
    changes.set_from_index(index);
    changes.set_to_index(controlTables.position.configurationIndex);
    bool full = index == 0 || index < controlTables.position.forgottenIndex;
    changes.set_full(full);
    controlTables.manifest.addChanges(index, full, changes);
    controlTables.targets.addChanges(index, full, changes);
    controlTables.suspicions.addChanges(index, full, changes);
    controlTables.zones.addChanges(index, full, changes);
    return changes;
}

LogIndex ControlStateMachine::configurationIndex() const
{
    return this->state->tables.position.configurationIndex;
}

LogIndex ControlStateMachine::appliedIndex() const
{
    return this->state->tables.position.appliedIndex;
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

ZonesOutOfUse ControlStateMachine::zonesOutOfUse() const
{
    ZonesOutOfUse zones;
    for (const auto& [name, row] : this->state->tables.zones.zones()) {
        if (row.isOutOfUse)
            zones[name] = row.changedAtMs;
    }
    return zones;
}

uint64_t ControlStateMachine::logTimeMs() const
{
    return this->state->tables.position.logTimeMs;
}

uint64_t ControlStateMachine::manifestNumber() const
{
    return this->state->tables.manifest.current().number;
}

const std::string& ControlStateMachine::manifestDigest() const
{
    return this->state->tables.manifest.current().digest;
}

const std::string* ControlStateMachine::findDocument(const std::string& name) const
{
    const std::map<std::string, ServiceRow>& rows = this->state->tables.manifest.services();
    auto found = rows.find(name);
    return found == rows.end() || found->second.removedAtMs ? nullptr : &found->second.json;
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
    const ControlTables& controlTables = this->state->tables;
    std::map<std::string, size_t> targetCounts;
    for (const auto& [key, row] : controlTables.targets.targets())
        targetCounts[wire::TargetState_Name(row.record.state())]++;
    constexpr const char* claimStateNames[] = { "running", "finished", "unknown" };
    std::map<std::string, size_t> claimCounts;
    for (const auto& [key, row] : controlTables.claims.claims())
        claimCounts[claimStateNames[row.state]]++;
    auto accepted = controlTables.manifest.acceptedManifests().find(this->manifestNumber());
    uint64_t acceptedAtMs = accepted == controlTables.manifest.acceptedManifests().end() ? 0 : accepted->second.acceptedAtMs;
    nlohmann::json dump = {
        { "appliedIndex", controlTables.position.appliedIndex },
        { "configurationIndex", controlTables.position.configurationIndex },
        { "forgottenIndex", controlTables.position.forgottenIndex },
        { "logTimeMs", controlTables.position.logTimeMs },
        { "manifest", { { "number", this->manifestNumber() }, { "digest", this->manifestDigest() }, { "acceptedAtMs", acceptedAtMs }, { "acceptedNumbers", controlTables.manifest.acceptedManifests().size() } } },
        { "services", this->serviceDocuments().size() },
        { "targets", targetCounts },
        { "claims", claimCounts },
        { "releasedAttempts", controlTables.claims.releasedAttempts().size() },
        { "entryVms", controlTables.claims.entryVms().size() },
        { "suspicions", controlTables.suspicions.suspicions().size() },
        { "zonesOutOfUse", this->zonesOutOfUse() },
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
