/** @file FaultSeries.cpp Draws faults from a table of what can happen to what. */
#include "FaultSeries.h"

#include "kingcup/RandomSource.h"

#include <algorithm>
#include <cstdio>
#include <iterator>

namespace kingcup::testing {

namespace {

/** What can happen to a subject. */
struct FaultRow {
    FaultSubject subject; ///< What is struck.
    FaultKind kind; ///< What happens.
    uint32_t weight; ///< Relative frequency.
    double longestMs; ///< Longest time until the repair.
};

constexpr double shortestMs = 100; ///< Shortest time until a repair.
constexpr double longMs = 3500; ///< Longer than the lease of an entry VM and than several elections.
constexpr double briefMs = 1200; ///< About two elections.

constexpr FaultRow faultRows[] = {
    { FaultSubject::Entry, FaultKind::Kill, 3, briefMs },
    { FaultSubject::Entry, FaultKind::Stop, 2, longMs },
    { FaultSubject::Entry, FaultKind::Pause, 3, longMs },
    { FaultSubject::Entry, FaultKind::CutIn, 1, longMs },
    { FaultSubject::Entry, FaultKind::CutOut, 1, longMs },
    { FaultSubject::Entry, FaultKind::Silence, 1, longMs },
    { FaultSubject::Control, FaultKind::Kill, 2, longMs },
    { FaultSubject::Control, FaultKind::Stop, 1, briefMs },
    { FaultSubject::Control, FaultKind::Pause, 2, longMs },
    { FaultSubject::Control, FaultKind::Wipe, 1, longMs },
    { FaultSubject::Control, FaultKind::CutIn, 2, longMs },
    { FaultSubject::Control, FaultKind::CutOut, 2, longMs },
    { FaultSubject::Control, FaultKind::Silence, 1, longMs },
    { FaultSubject::Control, FaultKind::Delay, 2, longMs },
    { FaultSubject::Control, FaultKind::Reset, 1, shortestMs },
    { FaultSubject::Leader, FaultKind::Kill, 3, briefMs },
    { FaultSubject::Leader, FaultKind::Pause, 3, longMs },
    { FaultSubject::Leader, FaultKind::CutIn, 1, longMs },
    { FaultSubject::Leader, FaultKind::CutOut, 1, longMs },
    { FaultSubject::Everything, FaultKind::Kill, 1, briefMs },
    { FaultSubject::Target, FaultKind::Kill, 3, longMs },
    { FaultSubject::Target, FaultKind::Pause, 3, briefMs },
    { FaultSubject::Target, FaultKind::CutIn, 1, briefMs },
    { FaultSubject::Target, FaultKind::CutOut, 2, briefMs },
    { FaultSubject::Target, FaultKind::Silence, 1, briefMs },
    { FaultSubject::Target, FaultKind::Delay, 2, briefMs },
    { FaultSubject::Target, FaultKind::Reset, 2, shortestMs },
    { FaultSubject::Target, FaultKind::Truncate, 3, shortestMs },
};

/** Draws a row by weight. */
const FaultRow& drawRow(RandomSource& random)
{
    uint64_t total = 0;
    for (const FaultRow& row : faultRows)
        total += row.weight;
    uint64_t place = random.below(total);
    for (const FaultRow& row : faultRows) {
        if (place < row.weight)
            return row;
        place -= row.weight;
    }
    return faultRows[0];
}

/** Draws faults of one kind, with the subjects in turn. */
std::vector<Fault> drawFaultsOfKind(FaultKind kind, const std::vector<FaultSubject>& subjects, uint64_t seed, Milliseconds duration, double perSecond)
{
    RandomSource random(seed);
    std::vector<Fault> faults(static_cast<size_t>(duration.count() / 1000 * perSecond));
    for (size_t position = 0; position < faults.size(); position++) {
        Fault& fault = faults[position];
        fault.subject = subjects[position % subjects.size()];
        fault.kind = kind;
        fault.choice = random.next();
        fault.start = duration * random.fraction();
        Milliseconds drawn(shortestMs + (longMs - shortestMs) * random.fraction());
        fault.length = std::min(drawn, duration - fault.start);
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.start < b.start; });
    return faults;
}

} // namespace

std::vector<Fault> drawFaults(uint64_t seed, Milliseconds duration, double perSecond)
{
    RandomSource random(seed);
    std::vector<Fault> faults(static_cast<size_t>(duration.count() / 1000 * perSecond));
    for (Fault& fault : faults) {
        const FaultRow& row = drawRow(random);
        fault.subject = row.subject;
        fault.kind = row.kind;
        fault.choice = random.next();
        fault.start = duration * random.fraction();
        Milliseconds drawn(shortestMs + (row.longestMs - shortestMs) * random.fraction());
        fault.length = std::min(drawn, duration - fault.start);
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.start < b.start; });
    return faults;
}

std::vector<Fault> drawPartitions(uint64_t seed, Milliseconds duration, double perSecond)
{
    constexpr uint64_t streamOfPartitions = 0x7061727469746e;
    return drawFaultsOfKind(FaultKind::Divert, { FaultSubject::Entry }, seed ^ streamOfPartitions, duration, perSecond);
}

std::vector<Fault> drawFullDisks(uint64_t seed, Milliseconds duration, double perSecond)
{
    constexpr uint64_t streamOfFullDisks = 0x66756c6c6469736b;
    return drawFaultsOfKind(FaultKind::FullDisk, { FaultSubject::Control, FaultSubject::Leader }, seed ^ streamOfFullDisks, duration, perSecond);
}

std::string describeFault(const Fault& fault)
{
    char line[120];
    std::snprintf(line, sizeof(line), "%6.0f ms for %5.0f ms: %s %s", fault.start.count(), fault.length.count(),
        std::string(nameOf(faultKindNames, fault.kind)).c_str(), std::string(nameOf(faultSubjectNames, fault.subject)).c_str());
    return line;
}

} // namespace kingcup::testing
