/** @file UsageLender.cpp Accounts of the organisations with recent demand, and the exchange with the entry VMs. */
#include "kingcup/UsageLender.h"

#include "UsageAccount.h"

#include <algorithm>

namespace kingcup {

namespace {

constexpr Milliseconds estimateInterval { 100 }; ///< Interval of the estimates for VMs without reports.

} // namespace

UsageLender::UsageLender(const UsageCapLimits& limits, Milliseconds shareTerm, Milliseconds sessionInterval)
    : limits(limits)
    , shareTerm(shareTerm)
    , sessionInterval(sessionInterval)
{
}

UsageLender::~UsageLender() = default;

void UsageLender::becomeLeader(TimePoint now)
{
    this->leaderSince = now;
    this->nextTick = now;
    this->accounts.clear();
    this->reported.clear();
}

void UsageLender::setCaps(const std::map<std::string, UsageCap>& next, TimePoint now)
{
    this->caps = next;
    std::erase_if(this->caps, [](const auto& entry) { return entry.second.requestsPerSecond <= 0; });
    std::erase_if(this->accounts, [&](const auto& entry) { return !this->caps.contains(entry.first); });
    for (auto& [name, account] : this->accounts)
        account->setCap(this->caps.at(name), now);
}

void UsageLender::exchange(const wire::SessionRequest& request, uint32_t vms, TimePoint now, wire::SessionAnswer& answer)
{
    std::set<std::string> before;
    before.swap(this->reported[request.entry_vm()]);
    std::set<std::string>& organisations = this->reported[request.entry_vm()];
    for (const wire::OrganisationUsage& usage : request.usage()) {
        auto cap = this->caps.find(usage.organisation());
        if (cap == this->caps.end())
            continue;
        std::unique_ptr<UsageAccount>& account = this->accounts[usage.organisation()];
        if (!account)
            account = std::make_unique<UsageAccount>(cap->second, this->limits, UsageTimes { this->shareTerm, this->sessionInterval, this->leaderSince });
        account->record(request.entry_vm(), request.incarnation(), usage, now);
        organisations.insert(usage.organisation());
    }
    for (const std::string& name : before) {
        auto account = this->accounts.find(name);
        if (account != this->accounts.end() && (request.leaving() || !organisations.contains(name)))
            account->second->forget(request.entry_vm());
    }
    if (request.leaving()) {
        for (const std::string& name : organisations)
            this->accounts.at(name)->forget(request.entry_vm());
        this->reported.erase(request.entry_vm());
        return;
    }
    this->addShares(request.entry_vm(), organisations, vms, now, answer);
}

/** Adds the shares of the organisations that a VM reported, and those of all others whose window is nearly used up. */
void UsageLender::addShares(const std::string& vm, const std::set<std::string>& organisations, uint32_t vms, TimePoint now, wire::SessionAnswer& answer)
{
    // Until all VMs have reported to a new leader, the parts by demand are unknown; they continue with the shares of the former leader.
    bool knowsDemand = now >= this->leaderSince + this->sessionInterval;
    for (const std::string& name : organisations) {
        if (!knowsDemand)
            break;
        wire::OrganisationShare share = this->accounts.at(name)->lend(vm, now);
        share.set_organisation(name);
        *answer.add_shares() = std::move(share);
    }
    for (const std::string& name : this->tightOrganisations) {
        auto account = this->accounts.find(name);
        if (account == this->accounts.end() || organisations.contains(name))
            continue;
        wire::OrganisationShare share = account->second->lendWithoutDemand(vms, now);
        share.set_organisation(name);
        *answer.add_shares() = std::move(share);
    }
}

void UsageLender::tick(TimePoint now)
{
    if (now < this->nextTick)
        return;
    this->nextTick = now + estimateInterval;
    this->tightOrganisations.clear();
    for (auto& [name, account] : this->accounts) {
        account->estimateUnreported(now);
        if (account->isTight(now))
            this->tightOrganisations.push_back(name);
    }
    std::erase_if(this->accounts, [](const auto& entry) { return entry.second->isEmpty(); });
}

size_t UsageLender::closedOrganisations(TimePoint now)
{
    return static_cast<size_t>(std::count_if(this->accounts.begin(), this->accounts.end(), [now](const auto& entry) { return entry.second->isClosed(now); }));
}

} // namespace kingcup
