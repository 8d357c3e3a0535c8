/** @file Prober.h Probes the load of the least recently observed targets, within the probe budget. */
#pragma once

#include "Gateway.h"

namespace kingcup {

/** Sends probes to targets at a fixed interval. Runs on the timer thread of the gateway. */
class Prober {
public:
    explicit Prober(Gateway& gateway);

    /** Schedules the next round of probes, after which it schedules the following one, until the timers of the gateway stop. */
    void start();

private:
    void probeTargets();
    void sendProbe(const RequestTableRow& row, const std::string& address);

    Gateway& gateway; ///< Gateway whose services are probed and whose client sends the probes.
};

} // namespace kingcup
