/** @file Workload.h Manifests and mixes of calls that fit them. */
#pragma once

#include "testing/LoadGenerator.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kingcup::testing {

/** Targets of one service. */
struct ServiceLayout {
    std::string name; ///< Service.
    uint32_t targets = 2; ///< Number of targets.
    uint32_t slots = 6; ///< Slots of each.
};

/** Makes a manifest in which each service has the kinds "read" (GET, repeatable) and "post" (POST, at most once, keyed). */
nlohmann::json makeManifest(uint64_t number, const std::vector<ServiceLayout>& services);

/** Returns a mix of reads and keyed posts over all services. @param postWeight Weight of the posts, against 1 for the reads. */
std::vector<CallTemplate> makeMix(const std::vector<ServiceLayout>& services, double postWeight);

} // namespace kingcup::testing
