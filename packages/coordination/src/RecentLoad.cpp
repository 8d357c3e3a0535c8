/** @file RecentLoad.cpp Computes the typical load from recent answers to probes. */
#include "kingcup/RecentLoad.h"

#include <algorithm>
#include <vector>

namespace kingcup {

namespace {

constexpr Milliseconds answerLifetime { 300 }; ///< The load of a service changes within a few service times.
constexpr size_t maxAnswers = 32;
constexpr size_t fewestAnswers = 3;

} // namespace

/** Removes answers that have expired or exceed the maximum number. */
void RecentLoad::forget(TimePoint now)
{
    while (!this->answers.empty() && (now - this->answers.front().time > answerLifetime || this->answers.size() > maxAnswers))
        this->answers.pop_front();
}

void RecentLoad::add(double cost, bool full, TimePoint now)
{
    this->answers.push_back({ now, cost, full });
    this->forget(now);
}

std::optional<TypicalLoad> RecentLoad::typical(TimePoint now)
{
    this->forget(now);
    if (this->answers.size() < fewestAnswers)
        return std::nullopt;
    std::vector<double> costs;
    size_t fullTargets = 0;
    for (const Answer& answer : this->answers) {
        costs.push_back(answer.cost);
        fullTargets += answer.full;
    }
    auto middle = costs.begin() + static_cast<ptrdiff_t>(costs.size() / 2);
    std::nth_element(costs.begin(), middle, costs.end());
    return TypicalLoad { *middle, fullTargets * 2 > this->answers.size() };
}

} // namespace kingcup
