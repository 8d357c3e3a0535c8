/** @file UsageFleet.h Simulated fleet of one leader and many entry VMs that share usage caps, without a network. */
#pragma once

#include "kingcup/EntryVmCount.h"
#include "kingcup/UsageLender.h"
#include "kingcup/UsageShare.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcup {

constexpr double stepMs = 5; ///< Also the travel time of a message.
constexpr double intervalMs = 450;
constexpr double termMs = 1000;

/** Requests of one organisation in a simulation. */
struct SimulatedOrganisation {
    std::string name;
    UsageCap cap;
    std::vector<size_t> vms; ///< VMs that its callers use, each request one at random.
    std::function<double(double nowMs)> demand; ///< Requests per second.
    std::vector<uint32_t> asked {}; ///< Requests by step.
    std::vector<uint32_t> admitted {}; ///< Admitted requests by step.
    std::vector<uint32_t> exact {}; ///< Requests that an exact token bucket would admit, by step.
    double bucket = -1; ///< Its level; below 0: not started.
    double inWindow = 0; ///< Admitted requests of the last window.
    double askedBelowCap = 0; ///< Requests at times at which fewer than the cap were admitted in the window.
    double lostBelowCap = 0; ///< Refused ones of them.

    double total(const std::vector<uint32_t>& counts, double fromMs, double toMs) const
    {
        double sum = 0;
        for (auto step = static_cast<size_t>(std::max(fromMs, 0.0) / stepMs); step < std::min(counts.size(), static_cast<size_t>(toMs / stepMs)); step++)
            sum += counts[step];
        return sum;
    }
};

/** Error of an organisation in both directions. */
struct UsageError {
    double highest = 0; ///< Most admitted requests in a sliding window, as a share of the bound.
    double lowest = 1; ///< Fewest admitted requests in a window in which the cap was asked for, as a share of the cap.
    double lost = 0; ///< Share refused of the requests at times at which fewer than the cap were admitted in the window.
    double shortage = 0; ///< Requests that a token bucket would have admitted in the same 5 s and that were not, as a share of those it admits.
};

/** Leader and entry VMs, in steps of 5 ms. Requests are a Poisson process, session requests have random phases. */
class UsageFleet {
public:
    UsageFleet(size_t vms, uint64_t seed)
        : random(seed)
        , lender(UsageCapLimits(), Milliseconds(termMs), Milliseconds(intervalMs))
    {
        this->lender.becomeLeader(timeAt(this->nowMs));
        for (size_t vm = 0; vm < vms; vm++)
            this->nodes.push_back({ this->createShare(), 1, static_cast<double>(this->random.below(static_cast<uint64_t>(intervalMs))), true, true });
    }

    /** Adds an organisation, whose requests start when all VMs have been in contact. */
    void add(SimulatedOrganisation organisation)
    {
        organisation.demand = [demand = organisation.demand](double elapsedMs) { return elapsedMs < 2 * intervalMs ? 0 : demand(elapsedMs); };
        this->organisations.push_back(std::move(organisation));
        this->updateCaps();
    }

    void updateCaps()
    {
        std::map<std::string, UsageCap> caps;
        for (const SimulatedOrganisation& organisation : this->organisations)
            caps[organisation.name] = organisation.cap;
        this->lender.setCaps(caps, timeAt(this->nowMs));
    }

    void kill(size_t vm) { this->nodes[vm].isRunning = false; }
    void setConnected(size_t vm, bool isConnected) { this->nodes[vm].isConnected = isConnected; }

    void restart(size_t vm)
    {
        Node& node = this->nodes[vm];
        node.share = this->createShare();
        node.incarnation++;
        node.isRunning = true;
    }

    /** Replaces the leader after a time without one. */
    void changeLeader(double gapMs)
    {
        this->leaderAtMs = this->nowMs + gapMs;
        this->hasLeader = false;
    }

    void runUntil(double endMs)
    {
        for (; this->nowMs < endMs; this->nowMs += stepMs)
            this->step();
    }

    /** Returns the errors of windows that end in a time. */
    UsageError error(const SimulatedOrganisation& organisation, double fromMs, double toMs) const
    {
        UsageCapLimits limits;
        double windowMs = limits.window.count();
        UsageError error;
        for (double end = fromMs; end <= toMs; end += stepMs) {
            double count = organisation.total(organisation.admitted, end - windowMs, end);
            error.highest = std::max(error.highest, count / limits.bound(organisation.cap));
            double sustained = organisation.cap.requestsPerSecond * windowMs / 1000;
            if (end >= windowMs && organisation.total(organisation.asked, end - windowMs, end) >= sustained * 1.2)
                error.lowest = std::min(error.lowest, count / sustained);
        }
        error.lost = organisation.askedBelowCap > 0 ? organisation.lostBelowCap / organisation.askedBelowCap : 0;
        double exact = 0;
        for (double end = fromMs + windowMs; end <= toMs; end += windowMs) {
            exact += organisation.total(organisation.exact, end - windowMs, end);
            error.shortage += std::max(organisation.total(organisation.exact, end - windowMs, end) - organisation.total(organisation.admitted, end - windowMs, end), 0.0);
        }
        error.shortage /= std::max(exact, 1.0);
        return error;
    }

    double nowMs = 100000;
    double startMs = nowMs;
    std::vector<SimulatedOrganisation> organisations;

private:
    struct Node {
        std::unique_ptr<UsageShare> share;
        uint64_t incarnation;
        double nextMs;
        bool isRunning;
        bool isConnected;
    };
    struct Message {
        double atMs;
        size_t vm;
        uint64_t incarnation;
        uint64_t id;
        wire::SessionRequest request;
        std::optional<wire::SessionAnswer> answer;
    };

    std::unique_ptr<UsageShare> createShare() { return std::make_unique<UsageShare>(UsageCapLimits(), Milliseconds(termMs), 128, this->random.next()); }

    void step()
    {
        TimePoint now = timeAt(this->nowMs);
        if (!this->hasLeader && this->nowMs >= this->leaderAtMs) {
            this->hasLeader = true;
            this->lender.becomeLeader(now);
        }
        this->lender.tick(now);
        this->deliver(now);
        for (size_t vm = 0; vm < this->nodes.size(); vm++)
            this->send(vm, now);
        for (SimulatedOrganisation& organisation : this->organisations)
            this->ask(organisation, now);
    }

    void send(size_t vm, TimePoint now)
    {
        Node& node = this->nodes[vm];
        node.nextMs -= stepMs;
        if (!node.isRunning || node.nextMs > 0)
            return;
        node.nextMs += intervalMs;
        Message message { this->nowMs + stepMs, vm, node.incarnation, ++this->lastId, {}, {} };
        message.request.set_entry_vm(std::to_string(vm));
        message.request.set_incarnation(node.incarnation);
        node.share->addUsage(message.id, now, message.request);
        if (node.isConnected && this->hasLeader)
            this->messages.push_back(std::move(message));
    }

    void deliver(TimePoint now)
    {
        while (!this->messages.empty() && this->messages.front().atMs <= this->nowMs) {
            Message message = std::move(this->messages.front());
            this->messages.pop_front();
            Node& node = this->nodes[message.vm];
            if (message.answer) {
                if (node.isRunning && node.isConnected && node.incarnation == message.incarnation)
                    node.share->receiveShares(message.id, *message.answer, now);
                continue;
            }
            auto live = static_cast<uint32_t>(std::count_if(this->nodes.begin(), this->nodes.end(), [](const Node& other) { return other.isRunning && other.isConnected; }));
            message.answer.emplace();
            if (this->nowMs < this->leaderAtMs + termMs)
                live = 0;
            message.answer->set_live_entry_vms(live);
            this->lender.exchange(message.request, live ? live : initialAssumedEntryVms, now, *message.answer);
            message.atMs = this->nowMs + stepMs;
            this->messages.push_back(std::move(message));
        }
    }

    void ask(SimulatedOrganisation& organisation, TimePoint now)
    {
        double elapsed = this->nowMs - this->startMs;
        UsageCapLimits limits;
        auto windowSteps = static_cast<size_t>(limits.window.count() / stepMs);
        if (organisation.admitted.size() >= windowSteps)
            organisation.inWindow -= organisation.admitted[organisation.admitted.size() - windowSteps];
        std::poisson_distribution<uint32_t> count(organisation.demand(elapsed) * stepMs / 1000);
        uint32_t asked = count(this->engine);
        uint32_t admitted = 0;
        uint32_t exact = 0;
        double burst = std::max(organisation.cap.burst, 1.0);
        organisation.bucket = organisation.bucket < 0 ? burst : std::min(organisation.bucket + organisation.cap.requestsPerSecond * stepMs / 1000, burst);
        for (uint32_t i = 0; i < asked; i++) {
            size_t vm = organisation.vms[this->random.below(organisation.vms.size())];
            while (!this->nodes[vm].isRunning)
                vm = organisation.vms[this->random.below(organisation.vms.size())];
            bool isBelowCap = organisation.inWindow < limits.nominal(organisation.cap);
            bool isGranted = this->nodes[vm].share->takePermit(organisation.name, organisation.cap, now).isGranted;
            admitted += isGranted ? 1 : 0;
            exact += organisation.bucket >= 1 ? 1 : 0;
            organisation.bucket -= organisation.bucket >= 1 ? 1 : 0;
            organisation.inWindow += isGranted ? 1 : 0;
            organisation.askedBelowCap += isBelowCap ? 1 : 0;
            organisation.lostBelowCap += isBelowCap && !isGranted ? 1 : 0;
        }
        organisation.asked.push_back(asked);
        organisation.admitted.push_back(admitted);
        organisation.exact.push_back(exact);
    }

    RandomSource random;
    std::mt19937_64 engine { this->random.next() };
    UsageLender lender;
    std::vector<Node> nodes;
    std::deque<Message> messages;
    uint64_t lastId = 0;
    bool hasLeader = true;
    double leaderAtMs = 0;
};

} // namespace kingcup
