/** @file Deployment.cpp Makes folders, keys and settings, and starts the processes of a deployment. */
#include "testing/Deployment.h"

#include "kingcup/ResultCode.h"

#include <algorithm>
#include <filesystem>
#include <zmq.h>

namespace kingcup::testing {

namespace {

constexpr Milliseconds commandLimit { 15000 };
constexpr Milliseconds startLimit { 20000 };
constexpr Milliseconds requestLimit { 4000 };
constexpr size_t logTailBytes = 3000; ///< Of each log in the message of a failed test.
constexpr size_t curveTextBytes = 41; ///< A CURVE key in Z85 with its end.

/** Makes CURVE keys for a VM. */
void makeKeys(Vm& vm)
{
    char publicKey[curveTextBytes] = {};
    char secretKey[curveTextBytes] = {};
    ::zmq_curve_keypair(publicKey, secretKey);
    vm.publicKey = publicKey;
    vm.secretKeyFile = vm.folder + "/curve.secret";
    writeFile(vm.secretKeyFile, std::string(secretKey) + "\n");
}

/** Returns the end of a file. */
std::string tailOf(const std::string& file)
{
    std::string text = readFile(file);
    return text.size() > logTailBytes ? text.substr(text.size() - logTailBytes) : text;
}

} // namespace

int OperatorAnswer::code() const
{
    return this->body.is_object() ? this->body.value("code", -1) : -1;
}

Deployment::Deployment(DeploymentOptions givenOptions)
    : options(std::move(givenOptions))
    , tokenOfOperators("operator-" + checksumOf(this->files.path()))
    , tokenOfTargets("target-" + checksumOf(this->files.path() + "/target"))
{
    writeFile(this->folder() + "/operator.token", this->tokenOfOperators + "\n");
    writeFile(this->folder() + "/target.token", this->tokenOfTargets + "\n");
    this->planVms();
    this->planTargets();
}

Deployment::~Deployment()
{
    for (auto* group : { &this->entries, &this->controls }) {
        for (Vm& vm : *group)
            vm.process.reset();
    }
    this->targetProcesses.clear();
}

/** Gives each VM its name, addresses, keys, proxies and settings. */
void Deployment::planVms()
{
    for (uint32_t position = 0; position < this->options.controlVms + this->options.entryVms; ++position) {
        bool isControl = position < this->options.controlVms;
        Vm& vm = (isControl ? this->controls : this->entries).emplace_back();
        vm.controlId = isControl ? position + 1 : 0;
        vm.name = isControl ? "control-" + std::to_string(position + 1) : "entry-" + std::to_string(position + 1 - this->options.controlVms);
        vm.folder = this->folder() + "/" + vm.name;
        std::filesystem::create_directories(vm.dataFolder());
        vm.operatorAddress = this->addresses.next();
        (isControl ? vm.linkAddress : vm.callerAddress) = this->addresses.next();
        vm.relayAddress = this->addresses.next();
        makeKeys(vm);
    }
    size_t position = 0;
    for (auto* group : { &this->controls, &this->entries }) {
        for (Vm& vm : *group) {
            if (this->options.proxyLinks)
                this->makeLinks(vm);
            vm.settings = this->settingsOf(vm, position++);
            vm.process = std::make_unique<Process>(std::vector<std::string> { this->options.daemon, "--settings", vm.folder + "/settings.json" }, vm.folder + "/output.txt");
        }
    }
}

/** Makes the proxies from a VM to the other control VMs. */
void Deployment::makeLinks(Vm& vm)
{
    for (const Vm& peer : this->controls) {
        if (peer.controlId == vm.controlId)
            continue;
        auto proxy = std::make_unique<FaultProxy>(this->addresses.next(), peer.linkAddress);
        proxy->start();
        vm.links[peer.controlId] = std::move(proxy);
    }
}

/** Returns the control VMs as one VM reaches them. */
nlohmann::json Deployment::controlAddresses(const Vm& vm) const
{
    nlohmann::json result = nlohmann::json::array();
    for (const Vm& peer : this->controls) {
        auto proxy = vm.links.find(peer.controlId);
        std::string link = proxy == vm.links.end() ? peer.linkAddress : proxy->second->address();
        result.push_back({ { "id", peer.controlId }, { "link", link }, { "publicKey", peer.publicKey } });
    }
    return result;
}

/** Returns the settings of a VM. */
nlohmann::json Deployment::settingsOf(const Vm& vm, size_t position) const
{
    nlohmann::json settings = {
        { "deployment", this->options.name },
        { "vm", vm.name },
        { "availabilityZone", this->options.zones[position % this->options.zones.size()] },
        { "roles", { vm.controlId ? "control" : "entry" } },
        { "operatorListener", vm.operatorAddress },
        { "relayListener", vm.relayAddress },
        { "controlVms", this->controlAddresses(vm) },
        { "curvePublicKey", vm.publicKey },
        { "curveSecretKeyFile", vm.secretKeyFile },
        { "operatorTokenFile", this->folder() + "/operator.token" },
        { "targetTokenFile", this->folder() + "/target.token" },
        { "logFile", vm.folder + "/log.jsonl" },
        { "seed", this->options.seed * 1000 + position + 1 },
    };
    if (vm.controlId) {
        settings["controlId"] = vm.controlId;
        settings["linkListener"] = vm.linkAddress;
        settings["dataFolder"] = vm.dataFolder();
        for (const auto* group : { &this->controls, &this->entries }) {
            for (const Vm& other : *group)
                settings["allowedKeys"].push_back(other.publicKey);
        }
    } else {
        settings["callerListener"] = vm.callerAddress;
    }
    settings.merge_patch(this->options.settings);
    return settings;
}

void Deployment::writeSettings(const Vm& vm) const
{
    writeFile(vm.folder + "/settings.json", vm.settings.dump(2));
}

/** Gives each target its addresses, log and process. */
void Deployment::planTargets()
{
    for (const ServiceLayout& service : this->options.services) {
        for (uint32_t number = 0; number < service.targets; ++number) {
            size_t position = this->places.size();
            TargetPlace& place = this->places.emplace_back();
            place.service = service.name;
            place.address = this->addresses.next();
            place.announcedAddress = place.address;
            place.executionLog = this->folder() + "/executions-" + std::to_string(position) + ".jsonl";
            place.availabilityZone = this->options.zones[position % this->options.zones.size()];
            uint32_t alone = this->options.targetsAlone;
            place.process = position < alone ? position : alone + (position - alone) / this->options.targetsPerProcess;
            if (!this->options.proxyTargets)
                continue;
            place.proxy = std::make_unique<FaultProxy>(this->addresses.next(), place.address);
            place.proxy->start();
            place.announcedAddress = place.proxy->address();
        }
    }
}

/** Returns a target as its process reads it. */
nlohmann::json Deployment::targetJson(size_t target) const
{
    const TargetPlace& place = this->places[target];
    uint32_t slots = 1;
    for (const ServiceLayout& service : this->options.services) {
        if (service.name == place.service)
            slots = service.slots;
    }
    return {
        { "service", place.service },
        { "listen", place.address },
        { "announcedAddress", place.announcedAddress },
        { "availabilityZone", place.availabilityZone },
        { "slots", slots },
        { "executionLog", place.executionLog },
        { "seed", this->options.seed * 1000 + target },
        { "faults", this->options.targetFaults },
    };
}

bool Deployment::startTargets()
{
    nlohmann::json announceTo = nlohmann::json::array();
    for (const Vm& vm : this->entries)
        announceTo.push_back(vm.operatorAddress);
    std::vector<nlohmann::json> configurations;
    for (size_t target = 0; target < this->places.size(); ++target) {
        if (this->places[target].process == configurations.size())
            configurations.push_back({ { "announceTo", announceTo }, { "token", this->tokenOfTargets }, { "targets", nlohmann::json::array() } });
        configurations.back()["targets"].push_back(this->targetJson(target));
    }
    bool started = true;
    for (size_t number = 0; number < configurations.size(); ++number) {
        std::string file = this->folder() + "/targets-" + std::to_string(number);
        writeFile(file + ".json", configurations[number].dump());
        this->targetProcesses.push_back(std::make_unique<Process>(std::vector<std::string> { KINGCUP_FAKE_TARGET, file + ".json" }, file + ".out"));
        started = this->targetProcesses.back()->start() && started;
    }
    return started;
}

/** Starts the process of a VM. */
bool Deployment::startVm(Vm& vm)
{
    this->writeSettings(vm);
    return vm.process->start();
}

bool Deployment::restart(Vm& vm)
{
    return !vm.process->running() && this->startVm(vm);
}

bool Deployment::startControl()
{
    bool started = true;
    for (Vm& vm : this->controls)
        started = this->startVm(vm) && started;
    return started;
}

bool Deployment::startEntries()
{
    bool started = true;
    for (Vm& vm : this->entries)
        started = this->startVm(vm) && started;
    return started;
}

CommandResult Deployment::control(const Vm& vm, std::vector<std::string> command)
{
    std::vector<std::string> arguments = { this->options.controlTool, "--vm", vm.operatorAddress, "--token_file", this->folder() + "/operator.token" };
    arguments.insert(arguments.end(), command.begin(), command.end());
    return runCommand(arguments, this->folder(), commandLimit);
}

bool Deployment::bootstrap(Milliseconds limit)
{
    return waitUntil(limit, [this] {
        int code = this->ask(this->controls.front().operatorAddress, "POST", "/v1/bootstrap").code();
        return code == static_cast<int>(ResultCode::Ok) || code == static_cast<int>(ResultCode::AlreadyBootstrapped);
    });
}

std::string Deployment::start(const nlohmann::json& manifest)
{
    if (!this->startControl())
        return "a control VM cannot be started";
    if (!this->bootstrap(startLimit))
        return "the control group was not formed\n" + this->logs();
    if (!this->startEntries())
        return "an entry VM cannot be started";
    OperatorAnswer applied;
    if (!waitUntil(startLimit, [&] { return (applied = this->applyManifest(this->controls.front(), manifest)).code() == 0; }))
        return "the manifest was not accepted: " + applied.body.dump() + "\n" + this->logs();
    if (!this->startTargets())
        return "a target cannot be started";
    if (!this->waitReady(startLimit))
        return "an entry VM is not ready\n" + this->logs();
    return {};
}

OperatorAnswer Deployment::ask(const std::string& address, const std::string& method, const std::string& path, const std::string& body) const
{
    Milliseconds limit = method == "POST" ? commandLimit : requestLimit;
    std::optional<HttpMessage> answer = exchangeOnce(address, makeRequest(method, path, body, this->tokenOfOperators), limit);
    if (!answer)
        return {};
    nlohmann::json json = nlohmann::json::parse(answer->body, nullptr, false);
    return { answer->status(), json.is_discarded() ? nlohmann::json(nullptr) : json };
}

Vm* Deployment::leader()
{
    for (Vm& asked : this->controls) {
        nlohmann::json status = asked.process->running() ? this->query(asked, "/v1/status") : nlohmann::json();
        if (!status.is_object() || status.value("role", "") != "leader")
            continue;
        for (Vm& vm : this->controls) {
            if (vm.name == status.value("vm", "") && vm.process->running())
                return &vm;
        }
    }
    return nullptr;
}

Vm* Deployment::waitLeader(Milliseconds limit)
{
    Vm* found = nullptr;
    waitUntil(limit, [&] { return (found = this->leader()) != nullptr; });
    return found;
}

uint64_t Deployment::manifestInForce(const Vm& vm) const
{
    nlohmann::json dump = this->query(vm, "/v1/dump");
    nlohmann::json entry = dump.is_object() ? dump.value("entry", nlohmann::json::object()) : nlohmann::json::object();
    return entry.value("manifestNumber", uint64_t { 0 });
}

bool Deployment::ready(const Vm& vm) const
{
    return this->ask(vm.operatorAddress, "GET", "/readyz").status == 200;
}

bool Deployment::allTargetsKnown() const
{
    auto knows = [this](const Vm& vm) {
        std::string table = this->query(vm, "/v1/targets").dump();
        return std::all_of(this->places.begin(), this->places.end(), [&](const TargetPlace& place) { return table.find(place.announcedAddress) != std::string::npos; });
    };
    return std::all_of(this->entries.begin(), this->entries.end(), knows);
}

bool Deployment::waitReady(Milliseconds limit)
{
    return waitUntil(limit, [this] {
        return std::all_of(this->entries.begin(), this->entries.end(), [this](const Vm& vm) { return this->ready(vm); });
    });
}

std::vector<std::string> Deployment::callerAddresses() const
{
    std::vector<std::string> result;
    for (const Vm& vm : this->entries)
        result.push_back(vm.callerAddress);
    return result;
}

nlohmann::json Deployment::changeFaults(size_t target, const nlohmann::json& patch)
{
    std::optional<HttpMessage> answer = exchangeOnce(this->places[target].address, makeRequest("POST", "/fake/faults", patch.dump()), requestLimit);
    return answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json(nullptr);
}

FakeTargetStats Deployment::targetStats(size_t target) const
{
    std::optional<HttpMessage> answer = exchangeOnce(this->places[target].address, makeRequest("GET", "/fake/stats"), requestLimit);
    return answer ? nlohmann::json::parse(answer->body).get<FakeTargetStats>() : FakeTargetStats {};
}

std::vector<Execution> Deployment::executions() const
{
    std::vector<Execution> result;
    for (const TargetPlace& place : this->places) {
        std::vector<Execution> more = readExecutionLog(place.executionLog);
        result.insert(result.end(), more.begin(), more.end());
    }
    return result;
}

Deployment::VmLinks Deployment::linksOf(Vm& vm)
{
    VmLinks links;
    for (const auto& [peer, proxy] : vm.links)
        links.outward.push_back(proxy.get());
    for (auto* group : { &this->controls, &this->entries }) {
        for (Vm& other : *group) {
            auto link = other.links.find(vm.controlId);
            if (vm.controlId && link != other.links.end())
                links.inward.push_back(link->second.get());
        }
    }
    return links;
}

nlohmann::json Deployment::ownStatus(const Vm& vm) const
{
    nlohmann::json dump = this->query(vm, "/v1/dump");
    return dump.is_object() ? dump.value("control", nlohmann::json::object()) : nlohmann::json::object();
}

void Deployment::partition(Vm& vm, ProxyMode mode)
{
    VmLinks links = this->linksOf(vm);
    for (const std::vector<FaultProxy*>* direction : { &links.outward, &links.inward }) {
        for (FaultProxy* proxy : *direction)
            proxy->setMode(mode);
    }
}

std::string Deployment::logs() const
{
    std::string text;
    for (const auto* group : { &this->controls, &this->entries }) {
        for (const Vm& vm : *group)
            text += "---- " + vm.name + "\n" + tailOf(vm.folder + "/output.txt") + tailOf(vm.folder + "/log.jsonl");
    }
    return text;
}

} // namespace kingcup::testing
