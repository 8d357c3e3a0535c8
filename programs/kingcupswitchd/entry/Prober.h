/** @file Prober.h Probes the load of targets that were not observed lately, within the probe budget. */
#pragma once

#include "Gateway.h"

namespace kingcup {

/** Sends probes. Runs on the timers of the gateway. */
class Prober {
public:
    explicit Prober(Gateway& gateway);

    /** Starts probing. */
    void start();

private:
    void round();
    void probe(const std::shared_ptr<ServiceRuntime>& runtime, const std::string& service, const std::string& address);

    Gateway& gateway; ///< Services and client.
};

} // namespace kingcup
