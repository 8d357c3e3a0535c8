/** @file main.cpp A process with one or more fake targets. Usage: fake_target CONFIG.json; SIGTERM drains and ends it. */
#include "testing/FakeTarget.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds drainLimit { 10000 };
constexpr Milliseconds noticePeriod { 2000 }; ///< Entry VMs stop sending new work to a leaving target within this time.

/** Reads the options of one target. */
FakeTargetOptions readOptions(const nlohmann::json& json, const nlohmann::json& common)
{
    FakeTargetOptions options;
    options.service = json.at("service");
    options.listen = json.at("listen");
    options.announcedAddress = json.value("announcedAddress", "");
    options.availabilityZone = json.at("availabilityZone");
    options.slots = json.at("slots");
    options.executionLog = json.value("executionLog", "");
    options.seed = json.value("seed", uint64_t { 1 });
    options.faults = json.value("faults", nlohmann::json::object());
    options.announceTo = common.at("announceTo").get<std::vector<std::string>>();
    options.token = common.at("token");
    return options;
}

/** Waits for SIGTERM or SIGINT, which all threads have blocked. */
void waitForSignal(const sigset_t& signals)
{
    int received = 0;
    ::sigwait(&signals, &received);
}

} // namespace

/** Runs the targets named in the configuration file. */
int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: fake_target CONFIG.json\n";
        return 2;
    }
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGTERM);
    ::sigaddset(&signals, SIGINT);
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    std::ifstream file(argv[1]);
    nlohmann::json config = nlohmann::json::parse(file);
    std::vector<std::unique_ptr<FakeTarget>> targets;
    for (const nlohmann::json& target : config.at("targets")) {
        targets.push_back(std::make_unique<FakeTarget>(readOptions(target, config)));
        if (!targets.back()->start()) {
            std::cerr << "cannot listen on " << targets.back()->address() << "\n";
            return 1;
        }
    }
    waitForSignal(signals);
    for (const auto& target : targets)
        target->changeFaults({ { "state", "draining" } });
    std::this_thread::sleep_for(noticePeriod);
    for (const auto& target : targets)
        target->drain(drainLimit);
    return 0;
}
