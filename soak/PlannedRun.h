/** @file PlannedRun.h One run of planned work only: stops, reloads and manifests, and the calls that they must not harm. */
#pragma once

#include "SoakRun.h"

namespace kingcup::testing {

/**
 * Runs one seed. Entry VMs are stopped, restarted and told to reread changed settings, each by its own series, so that stops overlap; control VMs
 * are restarted in turn. Some callers keep their connections until the process is gone. Nothing else fails, so that each call which a
 * target began to run must be answered, and no call that arrived after the stop signal may be cut off.
 */
SoakResult runPlanned(const SoakPlan& plan);

} // namespace kingcup::testing
