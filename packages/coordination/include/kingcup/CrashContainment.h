/** @file CrashContainment.h Finds requests that crash targets and keeps them from further targets. */
#pragma once

#include "kingcup/EntryConfiguration.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** 16 bytes that name a request: method, path with query, body and service. */
using Fingerprint = std::string;

/** Computes the fingerprint of a request. */
Fingerprint requestFingerprint(std::string_view service, std::string_view method, std::string_view target, std::string_view body);

/** What to do with a request before an attempt. */
enum class ContainmentVerdict {
    Run, ///< Nothing known against it.
    RunAlone, ///< A suspect: on a target with no other suspect in flight.
    Refuse, ///< Quarantined.
};

/** Suspicions and quarantine on one entry VM. Thread-safe. */
class CrashContainment {
public:
    CrashContainment();
    ~CrashContainment();

    /** Takes over the quarantines decided by the leader. */
    void update(const ConfigurationSnapshot& snapshot);

    /** Returns the verdict for a request. @param logMs Log time. */
    ContainmentVerdict verdict(const std::string& service, const Fingerprint& fingerprint, int64_t logMs) const;

    /**
     * Notes that a request is in flight on a target. Returns false when it is a suspect and another suspect is in flight there,
     * which two threads can bring about together; the caller then notes ended() and picks again.
     */
    bool started(const std::string& service, const Fingerprint& fingerprint, const std::string& address);

    /** Returns the targets on which suspects are in flight, to be excluded for another suspect. */
    std::vector<std::string> targetsWithSuspects(const std::string& service) const;

    /** Notes a whole answer. Returns whether a suspicion has to be cleared at the leader. */
    bool succeeded(const std::string& service, const Fingerprint& fingerprint, const std::string& address);

    /**
     * Notes that the connection was lost with no answer.
     * Returns whether the leader has to be told: not for requests that were answered elsewhere meanwhile.
     */
    bool connectionLost(const std::string& service, const Fingerprint& fingerprint, const std::string& address);

    /** Notes any other end of an attempt. */
    void ended(const std::string& service, const Fingerprint& fingerprint, const std::string& address);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
