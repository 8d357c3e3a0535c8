/** @file FaultSeries.h Seeded series of faults that overlap. */
#pragma once

#include "kingcup/EnumNames.h"
#include "kingcup/MillisecondClock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kingcup::testing {

/** What a fault does, from outside of the processes. */
enum class FaultKind {
    Kill, ///< SIGKILL; started again at its end.
    Stop, ///< SIGTERM; started again at its end.
    Pause, ///< SIGSTOP until its end.
    Wipe, ///< SIGKILL and loss of the data folder; started again and replaced.
    CutIn, ///< Bytes towards the subject do not arrive.
    CutOut, ///< Bytes from the subject do not arrive.
    Silence, ///< No bytes arrive.
    Delay, ///< Bytes arrive late.
    Reset, ///< All connections are reset, once.
    Divert, ///< New connections from an entry VM to targets are refused, or hang.
    Truncate, ///< A connection is reset in the middle of an answer, once.
    FullDisk, ///< The disk of a control VM refuses some or all operations.
};

constexpr EnumName<FaultKind> faultKindNames[] = {
    { FaultKind::Kill, "kill" },
    { FaultKind::Stop, "stop" },
    { FaultKind::Pause, "pause" },
    { FaultKind::Wipe, "wipe" },
    { FaultKind::CutIn, "cut_in" },
    { FaultKind::CutOut, "cut_out" },
    { FaultKind::Silence, "silence" },
    { FaultKind::Delay, "delay" },
    { FaultKind::Reset, "reset" },
    { FaultKind::Divert, "divert" },
    { FaultKind::Truncate, "truncate" },
    { FaultKind::FullDisk, "full_disk" },
};

/** What a fault strikes. */
enum class FaultSubject {
    Entry, ///< An entry VM.
    Control, ///< A control VM.
    Leader, ///< The control VM that leads when the fault begins.
    Everything, ///< All entry and control VMs.
    Target, ///< A target.
};

constexpr EnumName<FaultSubject> faultSubjectNames[] = {
    { FaultSubject::Entry, "entry" },
    { FaultSubject::Control, "control" },
    { FaultSubject::Leader, "leader" },
    { FaultSubject::Everything, "everything" },
    { FaultSubject::Target, "target" },
};

/** One fault of a series. */
struct Fault {
    FaultSubject subject = FaultSubject::Entry; ///< What it strikes.
    FaultKind kind = FaultKind::Kill; ///< What it does.
    uint64_t choice = 0; ///< Chooses among several subjects.
    Milliseconds start { 0 }; ///< From the start of the series.
    Milliseconds length { 0 }; ///< Until it is repaired.

    bool operator==(const Fault&) const = default;
};

/**
 * Draws a series.
 * @param seed One seed gives one series.
 * @param duration Time in which faults begin and end.
 * @param perSecond Mean number of faults that begin in a second.
 */
std::vector<Fault> drawFaults(uint64_t seed, Milliseconds duration, double perSecond);

/** Draws partitions between entry VMs and targets, which come on top of a series of the same seed and leave it as it is. */
std::vector<Fault> drawPartitions(uint64_t seed, Milliseconds duration, double perSecond);

/** Draws full disks of control VMs, half of them of the leader, which come on top of a series of the same seed and leave it as it is. */
std::vector<Fault> drawFullDisks(uint64_t seed, Milliseconds duration, double perSecond);

/** Returns a fault as one line. */
std::string describeFault(const Fault& fault);

} // namespace kingcup::testing
