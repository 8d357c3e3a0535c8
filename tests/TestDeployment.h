/** @file TestDeployment.h Options that all integration tests start from. */
#pragma once

#include "testing/Scenario.h"
#include "testing/Story.h"

namespace kingcup::testing {

/** Returns options with the programs under test. @param fallbackSeed Seed unless KINGCUP_SEED is set. */
inline DeploymentOptions testOptions(uint64_t fallbackSeed, uint32_t entryVms = 2, std::vector<ServiceLayout> services = { { "matters", 2, 6 } })
{
    DeploymentOptions options;
    options.daemon = KINGCUPSWITCHD;
    options.controlTool = KINGCUPCTL;
    options.seed = testSeed(fallbackSeed);
    options.entryVms = entryVms;
    options.services = std::move(services);
    return options;
}

/** Returns the number of a result code. */
inline int numberOf(ResultCode code)
{
    return static_cast<int>(code);
}

} // namespace kingcup::testing
