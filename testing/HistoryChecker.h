/** @file HistoryChecker.h Compares what callers were told with what targets executed. */
#pragma once

#include "testing/EchoBody.h"
#include "testing/FakeTarget.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kingcup::testing {

/** What a caller may conclude about the execution of its call. */
enum class ToldRun {
    Ran, ///< It got an answer of a target.
    NotRun, ///< It was told that the call did not run.
    Unknown, ///< It was told that the outcome is unknown, or got no answer.
};

/** One call as its caller saw it. */
struct CallerView {
    std::string callId; ///< Unique per call.
    std::string key; ///< Idempotency-Key, shared by resends; empty: none.
    bool repeatable = false; ///< Whether its kind allows more than one execution.
    ToldRun told = ToldRun::Unknown; ///< What it was told.
    int status = 0; ///< HTTP status; 0: no answer.
    int resultCode = 0; ///< Numbered result code; 0: none.
    BodyState body = BodyState::None; ///< State of the body.
    std::string bodyCallId; ///< Call named in the body.
    bool requestWhole = true; ///< Whether the target received the whole request body, by its checksum.
    double startMs = 0; ///< When it was due.
    double endMs = 0; ///< When its outcome was known.
};

/** The number of the configuration in force on a VM, as observed once. */
struct ConfigurationView {
    std::string vm; ///< Name of the VM.
    double ms = 0; ///< Time of the observation.
    uint64_t number = 0; ///< Number in force.
};

/** Everything observed in one run. */
struct History {
    std::vector<CallerView> calls; ///< Callers' views.
    std::vector<Execution> executions; ///< Of all targets.
    std::vector<ConfigurationView> configurations; ///< In any order.
};

/** Which rule was broken. */
enum class ViolationKind {
    Doubled, ///< Two executions for one key, or for one call that may not be repeated.
    RanThoughRefused, ///< An execution of a call that was answered as not run.
    WrongAnswer, ///< An answer that belongs to another call.
    DamagedAnswer, ///< An answer or request body that is not whole although it ended cleanly.
    ConfigurationWentBack, ///< A VM had a lower configuration number than before.
};

/** One broken rule. */
struct Violation {
    ViolationKind kind; ///< Which rule.
    std::string subject; ///< Key, call id or VM.
    std::string text; ///< What was seen, one sentence.
};

/** Returns the name of a kind of violation. */
std::string_view violationName(ViolationKind kind);

/** Returns all violations in a history, ordered by kind. */
std::vector<Violation> checkHistory(const History& history);

/** Returns the number of violations of one kind. */
size_t countViolations(const std::vector<Violation>& violations, ViolationKind kind);

/** Returns one line per violation; empty when there are none. */
std::string describeViolations(const std::vector<Violation>& violations);

} // namespace kingcup::testing
