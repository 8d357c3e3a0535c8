/** @file HistoryChecker.cpp Finds violations of the rules towards callers in a history. */
#include "testing/HistoryChecker.h"

#include "kingcup/EnumNames.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace kingcup::testing {

namespace {

constexpr EnumName<ViolationKind> violationNames[] = {
    { ViolationKind::Doubled, "doubled" },
    { ViolationKind::RanThoughRefused, "ran_though_refused" },
    { ViolationKind::WrongAnswer, "wrong_answer" },
    { ViolationKind::DamagedAnswer, "damaged_answer" },
    { ViolationKind::ConfigurationWentBack, "configuration_went_back" },
};

using CallIndex = std::unordered_map<std::string, const CallerView*>;

/** Returns the calls by their id. */
CallIndex indexCalls(const std::vector<CallerView>& calls)
{
    CallIndex index;
    for (const CallerView& call : calls)
        index.emplace(call.callId, &call);
    return index;
}

/** Names the places of executions. */
std::string describeExecutions(const std::vector<const Execution*>& executions)
{
    std::string text;
    for (const Execution* execution : executions)
        text += " " + execution->callId + " on " + execution->target + " at " + std::to_string(execution->startMs) + ";";
    return text;
}

/** Finds keys, and calls without key that may not be repeated, that ran more than once. */
void findDoubled(const History& history, const CallIndex& calls, std::vector<Violation>& violations)
{
    std::map<std::string, std::vector<const Execution*>> bySubject;
    for (const Execution& execution : history.executions) {
        auto call = calls.find(execution.callId);
        bool repeatable = call == calls.end() || call->second->repeatable;
        if (!execution.key.empty())
            bySubject["key " + execution.key].push_back(&execution);
        else if (!repeatable)
            bySubject["call " + execution.callId].push_back(&execution);
    }
    for (const auto& [subject, executions] : bySubject) {
        if (executions.size() > 1)
            violations.push_back({ ViolationKind::Doubled, subject, "executed" + describeExecutions(executions) });
    }
}

/** Finds executions of calls that were answered as not run. */
void findRanThoughRefused(const History& history, const CallIndex& calls, std::vector<Violation>& violations)
{
    for (const Execution& execution : history.executions) {
        auto call = calls.find(execution.callId);
        if (call != calls.end() && call->second->told == ToldRun::NotRun)
            violations.push_back({ ViolationKind::RanThoughRefused, execution.callId, "answered " + std::to_string(call->second->resultCode) + " but executed" + describeExecutions({ &execution }) });
    }
}

/** Returns whether a body may answer a call: its own, or a recorded one of the same key. */
bool bodyFits(const CallerView& call, const CallIndex& calls)
{
    if (call.bodyCallId == call.callId)
        return true;
    auto other = calls.find(call.bodyCallId);
    return !call.key.empty() && other != calls.end() && other->second->key == call.key;
}

/** Finds answers that belong to another call or are not whole. */
void findBadAnswers(const History& history, const CallIndex& calls, std::vector<Violation>& violations)
{
    for (const CallerView& call : history.calls) {
        if (call.body == BodyState::Damaged)
            violations.push_back({ ViolationKind::DamagedAnswer, call.callId, "status " + std::to_string(call.status) + " with a body that is not whole" });
        if (call.body != BodyState::Whole)
            continue;
        if (!bodyFits(call, calls))
            violations.push_back({ ViolationKind::WrongAnswer, call.callId, "got the answer of " + call.bodyCallId });
        else if (!call.requestWhole)
            violations.push_back({ ViolationKind::DamagedAnswer, call.callId, "the target received another request body" });
    }
}

/** Finds VMs whose configuration number fell. */
void findConfigurationsThatWentBack(const History& history, std::vector<Violation>& violations)
{
    std::vector<ConfigurationView> views = history.configurations;
    std::stable_sort(views.begin(), views.end(), [](const ConfigurationView& left, const ConfigurationView& right) { return left.ms < right.ms; });
    std::map<std::string, uint64_t> highest;
    for (const ConfigurationView& view : views) {
        uint64_t& before = highest[view.vm];
        if (view.number < before)
            violations.push_back({ ViolationKind::ConfigurationWentBack, view.vm, std::to_string(view.number) + " after " + std::to_string(before) + " at " + std::to_string(view.ms) });
        before = std::max(before, view.number);
    }
}

} // namespace

std::string_view violationName(ViolationKind kind)
{
    return nameOf(violationNames, kind);
}

std::vector<Violation> checkHistory(const History& history)
{
    std::vector<Violation> violations;
    CallIndex calls = indexCalls(history.calls);
    findDoubled(history, calls, violations);
    findRanThoughRefused(history, calls, violations);
    findBadAnswers(history, calls, violations);
    findConfigurationsThatWentBack(history, violations);
    return violations;
}

size_t countViolations(const std::vector<Violation>& violations, ViolationKind kind)
{
    auto matches = [kind](const Violation& violation) { return violation.kind == kind; };
    return static_cast<size_t>(std::count_if(violations.begin(), violations.end(), matches));
}

std::string describeViolations(const std::vector<Violation>& violations)
{
    std::string text;
    for (const Violation& violation : violations)
        text += std::string(violationName(violation.kind)) + " " + violation.subject + ": " + violation.text + "\n";
    return text;
}

} // namespace kingcup::testing
