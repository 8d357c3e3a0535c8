/** @file ControlCommands.h Commands for tests of the control state machine, a random command generator, and a checker of command histories. */
#pragma once

#include "kingcup/ApplyManifest.h"
#include "kingcup/ControlStateMachine.h"
#include "kingcup/ManifestDigest.h"
#include "kingcup/RandomSource.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcup::testing {

using Documents = std::map<std::string, std::string>; ///< Document texts by service name.

inline ResultCode codeOf(const wire::CommandResult& result)
{
    return static_cast<ResultCode>(result.result_code());
}

/** Makes the command that replaces the manifest of a machine by the given documents. */
inline wire::Command manifestCommand(const ControlStateMachine& machine, uint64_t number, const Documents& documents, uint64_t logTimeMs = 1000)
{
    CheckedManifest manifest;
    ManifestDigest digest;
    manifest.manifest.number = number;
    for (const auto& [name, json] : documents) {
        manifest.documents.emplace_back(name, json);
        digest.add(json);
    }
    manifest.digest = digest.text();
    wire::Command command;
    command.set_log_time_ms(logTimeMs);
    *command.mutable_apply_manifest() = makeApplyManifest(machine, manifest);
    return command;
}

/** Makes a change of a target of service "ledger". */
inline wire::Command targetCommand(const std::string& address, uint64_t incarnation, wire::TargetState state, uint64_t logTimeMs = 1000)
{
    wire::Command command;
    command.set_log_time_ms(logTimeMs);
    wire::TargetRecord& target = *command.mutable_change_target()->mutable_target();
    target.set_service("ledger");
    target.set_address(address);
    target.set_availability_zone("espoo");
    target.set_slots(6);
    target.set_incarnation(incarnation);
    target.set_state(state);
    return command;
}

inline wire::AttemptId attemptId(const std::string& vm, uint64_t incarnation, uint64_t sequence)
{
    wire::AttemptId id;
    id.set_entry_vm(vm);
    id.set_incarnation(incarnation);
    id.set_sequence(sequence);
    return id;
}

/** Makes a claim of a key with a retention of one hour. @param request Byte that the fingerprint repeats. */
inline wire::Command claimCommand(const std::string& key, const wire::AttemptId& attempt, char request = 'a', uint64_t logTimeMs = 1000)
{
    wire::Command command;
    command.set_log_time_ms(logTimeMs);
    wire::Claim& claim = *command.mutable_claim();
    claim.set_service("ledger");
    claim.set_key(key);
    claim.set_fingerprint(std::string(16, request));
    *claim.mutable_attempt() = attempt;
    claim.set_retention_ms(3600000);
    return command;
}

/** Makes the report of a claim's outcome, with an answer if the request has finished. */
inline wire::Command finishClaimCommand(const std::string& key, const wire::AttemptId& attempt, wire::ClaimOutcome outcome, uint64_t logTimeMs = 1000)
{
    wire::Command command;
    command.set_log_time_ms(logTimeMs);
    wire::FinishClaim& finish = *command.mutable_finish_claim();
    finish.set_service("ledger");
    finish.set_key(key);
    *finish.mutable_attempt() = attempt;
    finish.set_outcome(outcome);
    if (outcome == wire::OUTCOME_FINISHED) {
        finish.mutable_answer()->set_status(201);
        finish.mutable_answer()->set_body("posted by " + std::to_string(attempt.sequence()));
        finish.mutable_answer()->set_complete(true);
    }
    return command;
}

/** Makes the report that all incarnations of an entry VM before the given one have ended. */
inline wire::Command entryVmGoneCommand(const std::string& vm, uint64_t incarnation, uint64_t logTimeMs = 1000)
{
    wire::Command command;
    command.set_log_time_ms(logTimeMs);
    command.mutable_entry_vm_gone()->set_entry_vm(vm);
    command.mutable_entry_vm_gone()->set_incarnation(incarnation);
    return command;
}

/** Makes the report that a target was lost while it ran a request, with a quarantine of one minute. @param request Byte that the fingerprint repeats. */
inline wire::Command suspicionCommand(char request, const std::string& target, uint64_t incarnation, uint64_t logTimeMs = 1000)
{
    wire::Command command;
    command.set_log_time_ms(logTimeMs);
    wire::Suspicion& suspicion = *command.mutable_suspicion();
    suspicion.set_service("ledger");
    suspicion.set_fingerprint(std::string(16, request));
    suspicion.set_target(target);
    suspicion.set_target_incarnation(incarnation);
    suspicion.set_quarantine_ms(60000);
    return command;
}

/** Makes the removal of the suspicion against a request. */
inline wire::Command clearSuspicionCommand(char request, uint64_t logTimeMs = 1000)
{
    wire::Command command;
    command.set_log_time_ms(logTimeMs);
    command.mutable_clear_suspicion()->set_service("ledger");
    command.mutable_clear_suspicion()->set_fingerprint(std::string(16, request));
    return command;
}

/** Makes the command that expires rows. */
inline wire::Command expireCommand(uint64_t logTimeMs)
{
    wire::Command command;
    command.set_log_time_ms(logTimeMs);
    command.mutable_expire();
    return command;
}

/** Generates random commands. The names come from small sets, so that commands often refer to the same rows. */
class RandomCommandGenerator {
public:
    /** @param maxStepMs Largest increase of the log time between two commands. */
    RandomCommandGenerator(uint64_t seed, uint64_t maxStepMs)
        : random(seed)
        , maxStepMs(maxStepMs)
    {
    }

    /** Returns the next command. @param machine State on which manifest commands are based, as on a leader. */
    wire::Command next(const ControlStateMachine& machine)
    {
        this->logTimeMs += this->random.below(this->maxStepMs + 1);
        char request = static_cast<char>('a' + this->random.below(3));
        std::string key = "key" + std::to_string(this->random.below(4));
        std::string address = "10.0.0." + std::to_string(this->random.below(4)) + ":80";
        switch (this->random.below(10)) {
        case 0:
            return this->randomManifestCommand(machine);
        case 1:
        case 2:
            return targetCommand(address, 1 + this->random.below(4), static_cast<wire::TargetState>(this->random.below(4)), this->logTimeMs);
        case 3:
        case 4:
            return claimCommand(key, this->randomAttempt(), this->random.below(8) ? 'a' : 'b', this->logTimeMs);
        case 5:
        case 6:
            return finishClaimCommand(key, this->randomAttempt(), static_cast<wire::ClaimOutcome>(this->random.below(3)), this->logTimeMs);
        case 7:
            return this->random.below(3) ? suspicionCommand(request, address, this->random.below(2), this->logTimeMs) : clearSuspicionCommand(request, this->logTimeMs);
        case 8:
            return entryVmGoneCommand(this->randomVmName(), this->random.below(3), this->logTimeMs);
        default:
            return expireCommand(this->logTimeMs);
        }
    }

private:
    std::string randomVmName() { return "vm" + std::to_string(this->random.below(2)); }
    wire::AttemptId randomAttempt()
    {
        std::string vm = this->randomVmName();
        uint64_t incarnation = 1 + this->random.below(2);
        return attemptId(vm, incarnation, this->random.below(4));
    }
    wire::Command randomManifestCommand(const ControlStateMachine& machine)
    {
        Documents documents;
        for (uint64_t i = 0; i < 4; i++) {
            if (this->random.below(4))
                documents["service" + std::to_string(i)] = "{\"v\":" + std::to_string(this->random.below(3)) + "}";
        }
        uint64_t lowest = machine.manifestNumber() > 2 ? machine.manifestNumber() - 2 : 1;
        return manifestCommand(machine, lowest + this->random.below(5), documents, this->logTimeMs);
    }

    RandomSource random;
    uint64_t maxStepMs;
    uint64_t logTimeMs = 1000;
};

/** Finds violations of the control rules in a history of commands and results, independently of the implementation of the state machine. */
class HistoryChecker {
public:
    /** Adds the next applied command and checks it against the earlier ones. */
    void add(const wire::Command& command, const wire::CommandResult& result)
    {
        if (codeOf(result) != ResultCode::Ok)
            return;
        if (command.has_claim())
            this->addClaim(command.claim());
        if (command.has_finish_claim())
            this->addFinish(command.finish_claim());
        if (command.has_entry_vm_gone())
            this->addEntryVmGone(command.entry_vm_gone());
        if (command.has_apply_manifest())
            this->addManifest(command.apply_manifest());
        if (command.has_change_target())
            this->addTarget(command.change_target().target());
    }

    std::set<std::string> violations; ///< Kinds of violations found so far.

private:
    /** Attempt that holds a key, and its outcome. */
    struct Holder {
        wire::AttemptId attempt;
        bool isFinished = false; ///< The outcome is recorded.
        bool isUnknown = false; ///< The outcome is unknown.
    };

    void addClaim(const wire::Claim& claim)
    {
        std::string attempt = claim.attempt().SerializeAsString();
        if (this->released.contains(attempt))
            this->violations.insert("released attempt granted");
        auto found = this->holders.find(claim.key());
        if (found != this->holders.end() && found->second.isUnknown)
            this->violations.insert("unknown outcome granted again");
        else if (found != this->holders.end() && found->second.attempt.SerializeAsString() != attempt)
            this->violations.insert("key granted twice");
        this->holders[claim.key()] = { claim.attempt() };
    }

    void addFinish(const wire::FinishClaim& finish)
    {
        auto found = this->holders.find(finish.key());
        bool isHolder = found != this->holders.end() && found->second.attempt.SerializeAsString() == finish.attempt().SerializeAsString();
        if (finish.outcome() == wire::OUTCOME_NOT_RUN) {
            this->released.insert(finish.attempt().SerializeAsString());
            if (isHolder)
                this->holders.erase(found);
        } else if (isHolder) {
            found->second.isFinished = found->second.isFinished || finish.outcome() == wire::OUTCOME_FINISHED;
            found->second.isUnknown = !found->second.isFinished;
        }
    }

    void addEntryVmGone(const wire::EntryVmGone& gone)
    {
        for (auto& [key, holder] : this->holders) {
            bool isOlder = holder.attempt.entry_vm() == gone.entry_vm() && holder.attempt.incarnation() < gone.incarnation();
            holder.isUnknown = holder.isUnknown || (isOlder && !holder.isFinished);
        }
    }

    void addManifest(const wire::ApplyManifest& manifest)
    {
        auto [accepted, isNew] = this->digests.emplace(manifest.number(), manifest.digest());
        if (!isNew && accepted->second != manifest.digest())
            this->violations.insert("manifest number accepted with two digests");
        if (manifest.number() < this->digests.rbegin()->first)
            this->violations.insert("manifest number decreased");
    }

    void addTarget(const wire::TargetRecord& target)
    {
        uint64_t& newest = this->incarnations[target.address()];
        if (target.incarnation() < newest)
            this->violations.insert("old incarnation of a target accepted");
        newest = std::max(newest, target.incarnation());
    }

    std::map<std::string, Holder> holders; ///< Holders by key.
    std::set<std::string> released; ///< Serialized attempts.
    std::map<uint64_t, std::string> digests; ///< Digests of accepted manifests by number.
    std::map<std::string, uint64_t> incarnations; ///< Newest accepted incarnations by target address.
};

} // namespace kingcup::testing
