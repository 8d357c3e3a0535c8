/** @file Scenario.cpp What most integration tests share. */
#include "testing/Scenario.h"

#include "testing/MachineTime.h"

namespace kingcup::testing {

namespace {

constexpr Milliseconds observeInterval { 50 };
constexpr Milliseconds steerInterval { 100 };
constexpr Milliseconds tableLimit { 15000 };

} // namespace

ConfigurationObserver::ConfigurationObserver(const Deployment& deployment, const std::vector<Vm>& vms)
    : deployment(deployment)
{
    for (const Vm& vm : vms)
        this->threads.emplace_back([this, &vm] { this->observe(vm); });
}

void ConfigurationObserver::stop()
{
    this->stopping = true;
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
}

std::vector<ConfigurationView> ConfigurationObserver::views() const
{
    std::lock_guard lock(this->mutex);
    return this->observed;
}

/** Polls one VM. A VM that holds no configuration has none in force. */
void ConfigurationObserver::observe(const Vm& vm)
{
    while (!this->stopping) {
        double asked = machineTimeMs();
        uint64_t number = this->deployment.manifestInForce(vm);
        if (number > 0) {
            std::lock_guard lock(this->mutex);
            this->observed.push_back({ vm.name, asked, number });
        }
        waitUntil(observeInterval, [this] { return this->stopping.load(); });
    }
}

PlatformBalancer::PlatformBalancer(const Deployment& deployment, const std::vector<Vm>& vms, LoadGenerator& load)
    : deployment(deployment)
    , vms(vms)
    , load(load)
    , thread([this] { this->steer(); })
{
}

PlatformBalancer::~PlatformBalancer()
{
    this->stopping = true;
    this->thread.join();
}

/** Polls the readiness of all VMs. */
void PlatformBalancer::steer()
{
    while (!this->stopping) {
        std::vector<std::string> ready;
        for (const Vm& vm : this->vms) {
            if (this->deployment.ready(vm))
                ready.push_back(vm.callerAddress);
        }
        if (!ready.empty())
            this->load.setAddresses(ready);
        waitUntil(steerInterval, [this] { return this->stopping.load(); });
    }
}

LoadOptions loadOn(const Deployment& deployment, double callsPerSecond, Milliseconds duration, double postWeight)
{
    LoadOptions options;
    options.addresses = deployment.callerAddresses();
    options.mix = makeMix(deployment.plan().services, postWeight);
    options.callsPerSecond = callsPerSecond;
    options.duration = duration;
    options.seed = deployment.plan().seed;
    options.timeout = Milliseconds(10000);
    return options;
}

std::string violationsAfter(Deployment& deployment, LoadGenerator& load, const ConfigurationObserver* observer)
{
    load.join();
    History history;
    history.calls = load.views();
    history.executions = deployment.executions();
    if (observer)
        history.configurations = observer->views();
    return describeViolations(checkHistory(history));
}

std::string describeResults(const LoadGenerator& load)
{
    std::string text;
    for (const auto& [name, count] : summarise(load.records()).results)
        text += name + ": " + std::to_string(count) + "\n";
    return text;
}

std::string startAll(Deployment& deployment)
{
    std::string failure = deployment.start(makeManifest(1, deployment.plan().services));
    if (failure.empty() && !waitUntil(tableLimit, [&] { return deployment.allTargetsKnown(); }))
        failure = "not all targets are known\n" + deployment.logs();
    return failure;
}

} // namespace kingcup::testing
