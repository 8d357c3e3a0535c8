/** @file main.cpp Runs the two example deployments in turn. Ends with 0 only if nothing ran twice and no answer was wrong. */
#include "demo/DemoRun.h"
#include "testing/Story.h"

#include <cstdio>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr uint64_t defaultSeed = 1;
constexpr size_t downloadBytes = 512u << 10; ///< Stands for an archive download or a proof bundle.
constexpr size_t formBytes = 600; ///< Body of a posting.

/** Returns a read that may be repeated. */
CallTemplate readCall(const std::string& name, const std::string& path, double weight, size_t answerBytes)
{
    CallTemplate call;
    call.name = name;
    call.path = path;
    call.weight = weight;
    call.answerBytes = answerBytes;
    return call;
}

/** Returns a posting that may run at most once. */
CallTemplate postCall(const std::string& name, const std::string& path, double weight)
{
    CallTemplate call;
    call.name = name;
    call.path = path;
    call.weight = weight;
    call.method = "POST";
    call.repeatable = false;
    call.keyed = true;
    call.requestBytes = formBytes;
    return call;
}

/** Returns what both deployments share. */
DemoPlan commonPlan(uint64_t seed)
{
    DemoPlan plan;
    plan.deployment.daemon = KINGCUPSWITCHD;
    plan.deployment.controlTool = KINGCUPCTL;
    plan.deployment.seed = seed;
    plan.deployment.entryVms = 4;
    plan.deployment.targetsPerProcess = 8;
    plan.deployment.targetsAlone = 1;
    return plan;
}

/** Returns the billing gateway. */
DemoPlan billingPlan(uint64_t seed)
{
    DemoPlan plan = commonPlan(seed);
    plan.title = "Laskutusliitto";
    plan.deployment.name = "laskutusliitto";
    plan.deployment.zones = { "pasila", "vantaa", "espoo" };
    plan.deployment.services = { { "matters", 13, 6 }, { "ledger", 8, 6 }, { "archive", 12, 6 } };
    plan.mix = {
        readCall("matter balance", "/matters/balance", 6, 400),
        postCall("log hours", "/matters/hours", 2),
        postCall("invoice posting", "/ledger/invoice", 1.5),
        readCall("archive download", "/archive/bundle", 0.5, downloadBytes),
    };
    plan.clientDelay = Milliseconds(1);
    return plan;
}

/** Returns the manuscript gateway. */
DemoPlan manuscriptPlan(uint64_t seed)
{
    DemoPlan plan = commonPlan(seed);
    plan.title = "Araucária";
    plan.deployment.name = "araucaria";
    plan.deployment.zones = { "moinhos", "menino", "cidade" };
    plan.deployment.services = { { "tracker", 11, 4 }, { "ledger", 6, 4 }, { "proofroom", 13, 4 } };
    plan.mix = {
        readCall("manuscript status", "/tracker/status", 6, 400),
        postCall("returned manuscript", "/tracker/return", 1.5),
        postCall("invoice", "/ledger/invoice", 1),
        readCall("proof bundle", "/proofroom/bundle", 0.7, downloadBytes),
    };
    plan.clientDelay = Milliseconds(8);
    return plan;
}

} // namespace

/** Runs and prints both deployments. */
int main()
{
    uint64_t seed = testSeed(defaultSeed);
    bool sound = true;
    for (const DemoPlan& plan : { billingPlan(seed), manuscriptPlan(seed) }) {
        DemoResult result = runDemo(plan);
        printDemo(plan, result);
        sound = sound && result.failure.empty() && result.violations.empty();
    }
    std::printf("\n%s\n", sound ? "Nothing ran twice and no answer was wrong." : "Failed: see above.");
    return sound ? 0 : 1;
}
