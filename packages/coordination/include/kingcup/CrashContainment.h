/** @file CrashContainment.h Detects requests that crash targets, and quarantines them. */
#pragma once

#include "kingcup/EntryConfiguration.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** 16-byte hash of the service, the method, the path with query and the body of a request. */
using Fingerprint = std::string;

/** Computes the fingerprint of a request. @param target Path with query. */
Fingerprint requestFingerprint(std::string_view service, std::string_view method, std::string_view target, std::string_view body);

/** Whether an attempt of a request may start. */
enum class ContainmentVerdict {
    Run, ///< Not suspected.
    RunAlone, ///< Suspected: may run only on a target with no other suspect in flight.
    Refuse, ///< Quarantined: must not run.
};

/** Suspected and quarantined requests on one entry VM. Thread-safe. */
class CrashContainment {
public:
    CrashContainment();
    ~CrashContainment();

    /** Replaces the leader's quarantines by those of a new snapshot. */
    void applySnapshot(const ConfigurationSnapshot& snapshot);

    /** Returns the verdict for a request. @param logMs Log time in milliseconds. */
    ContainmentVerdict verdict(const std::string& service, const Fingerprint& fingerprint, int64_t logMs) const;

    /**
     * Records that a request is in flight on a target. Returns false if it is a suspect and another suspect is in flight there,
     * which a race between two threads can cause; the caller then has to call recordEnd() and to pick another target.
     */
    bool recordStart(const std::string& service, const Fingerprint& fingerprint, const std::string& address);

    /** Returns the addresses of the targets on which suspects are in flight; another suspect must not run there. */
    std::vector<std::string> targetsWithSuspects(const std::string& service) const;

    /** Records that an attempt got a complete answer. Returns whether the leader has to clear its suspicion. */
    bool recordSuccess(const std::string& service, const Fingerprint& fingerprint, const std::string& address);

    /**
     * Records that the connection of an attempt was lost before an answer.
     * Returns whether the suspicion has to be sent to the leader, which is not so if the request was answered in the meantime or shortly before.
     */
    bool recordConnectionLoss(const std::string& service, const Fingerprint& fingerprint, const std::string& address);

    /** Records that an attempt ended in any other way. */
    void recordEnd(const std::string& service, const Fingerprint& fingerprint, const std::string& address);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace kingcup
