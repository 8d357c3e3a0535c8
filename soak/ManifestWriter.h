/** @file ManifestWriter.h Operator of a soak, who applies manifests while processes fail or stop. */
#pragma once

#include "testing/Deployment.h"

#include <atomic>
#include <thread>

namespace kingcup::testing {

/** Applies manifests with growing numbers and remembers which were acknowledged. */
class ManifestWriter {
public:
    explicit ManifestWriter(const Deployment& deployment, std::vector<Vm>& vms)
        : deployment(deployment)
        , vms(vms)
        , thread([this] { this->write(); })
    {
    }
    ~ManifestWriter() { this->stop(); }

    /** Ends the writing; an application under way is finished first. */
    void stop()
    {
        this->stopping = true;
        if (this->thread.joinable())
            this->thread.join();
    }

    uint64_t acknowledged() const { return this->highest; } ///< Highest number that was acknowledged.

private:
    void write()
    {
        constexpr Milliseconds interval { 700 };
        constexpr uint64_t firstNumber = 2; // The deployment starts with 1.
        for (uint64_t number = firstNumber; !this->stopping; ++number) {
            const Vm& vm = this->vms[number % this->vms.size()];
            if (this->deployment.applyManifest(vm, makeManifest(number, this->deployment.plan().services)).code() == 0)
                this->highest = number;
            waitUntil(interval, [this] { return this->stopping.load(); });
        }
    }

    const Deployment& deployment; ///< Where manifests go.
    std::vector<Vm>& vms; ///< VMs that are asked in turn.
    std::atomic<bool> stopping = false; ///< Whether to stop.
    std::atomic<uint64_t> highest = 1; ///< Acknowledged.
    std::thread thread; ///< Writes.
};

} // namespace kingcup::testing
