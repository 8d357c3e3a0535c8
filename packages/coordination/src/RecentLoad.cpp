/** @file RecentLoad.cpp Computes the typical load from recent answers to probes. */
#include "kingcup/RecentLoad.h"

#include <algorithm>
#include <vector>

namespace kingcup {

namespace {

constexpr Milliseconds answerLifetime { 300 }; ///< The load of a service changes within a few service times.
constexpr size_t maxAnswers = 32;
constexpr size_t minAnswers = 3;

} // namespace

/** Removes answers that have expired or exceed the maximum number. */
void RecentLoad::removeExpired(TimePoint now)
{
    while (!this->answers.empty() && (now - this->answers.front().arrivedAt > answerLifetime || this->answers.size() > maxAnswers))
        this->answers.pop_front();
}

void RecentLoad::add(double cost, bool hasNoFreeSlot, TimePoint now)
{
    this->answers.push_back({ now, cost, hasNoFreeSlot });
    this->removeExpired(now);
}

std::optional<TypicalLoad> RecentLoad::typicalLoad(TimePoint now)
{
    this->removeExpired(now);
    if (this->answers.size() < minAnswers)
        return std::nullopt;
    std::vector<double> costs;
    size_t fullTargets = 0;
    for (const Answer& answer : this->answers) {
        costs.push_back(answer.cost);
        fullTargets += answer.hasNoFreeSlot;
    }
    auto middle = costs.begin() + static_cast<ptrdiff_t>(costs.size() / 2);
    std::nth_element(costs.begin(), middle, costs.end());
    return TypicalLoad { *middle, fullTargets * 2 > this->answers.size() };
}

} // namespace kingcup
