/** @file Deployment.h Starts and ends the processes of the deploy file. */
#pragma once

#include "Http.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <sys/wait.h>

namespace review {

/** A process of the deploy file. */
struct Machine {
    std::string name;
    std::string role; ///< "entry" or "control".
    std::string ip;
    std::string zone;
    std::string settingsFile;
    std::string output;
    pid_t pid = -1;

    std::string control() const { return this->ip + ":8382"; }
    std::string front() const { return this->ip + ":8381"; }
    std::string ready() const { return this->ip + ":8388"; }
};

/** Starts the deployment with the command of deploy/system.toml and settings as its template gives them, and ends it. */
class Deployment {
public:
    /** @param program Path of kingcupswitch-platform. */
    Deployment(std::string program, int controls, int entries, std::vector<std::string> zones)
        : program(std::move(program))
    {
        char pattern[] = "/tmp/review-XXXXXX";
        this->folder = ::mkdtemp(pattern);
        std::string network = this->freeNetwork();
        for (int number = 0; number < controls + entries; ++number) {
            Machine machine;
            bool isControl = number < controls;
            machine.role = isControl ? "control" : "entry";
            machine.name = machine.role + "-" + std::to_string(isControl ? number + 1 : number - controls + 1);
            machine.ip = network + std::to_string(number + 1);
            machine.zone = zones[static_cast<size_t>(number) % zones.size()];
            machine.settingsFile = this->folder + "/" + machine.name + ".json";
            machine.output = this->folder + "/" + machine.name + ".log";
            (isControl ? this->controls : this->entries).push_back(machine);
        }
        this->backendNetwork = network;
        for (Machine& machine : this->controls)
            this->writeSettings(machine, true);
        for (Machine& machine : this->entries)
            this->writeSettings(machine, true);
    }

    ~Deployment() { this->end(); }

    /** Ends all processes and removes the folder. */
    void end()
    {
        for (auto* group : { &this->entries, &this->controls }) {
            for (Machine& machine : *group)
                this->kill(machine);
        }
        std::error_code ignored;
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(this->folder, ignored);
    }

    bool startAll()
    {
        bool isStarted = true;
        for (auto* group : { &this->controls, &this->entries }) {
            for (Machine& machine : *group)
                isStarted = this->start(machine) && isStarted;
        }
        return isStarted;
    }

    bool start(Machine& machine)
    {
        machine.pid = ::fork();
        if (machine.pid == 0) {
            int output = ::open(machine.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::setenv("KINGCUPSWITCH_CONFIG", machine.settingsFile.c_str(), 1);
            ::execl(this->program.c_str(), this->program.c_str(), "--settings", machine.settingsFile.c_str(), nullptr);
            ::_exit(127);
        }
        return machine.pid > 0;
    }

    static void signal(const Machine& machine, int number)
    {
        if (machine.pid > 0)
            ::kill(machine.pid, number);
    }

    static void kill(Machine& machine)
    {
        if (machine.pid <= 0)
            return;
        ::kill(machine.pid, SIGCONT);
        ::kill(machine.pid, SIGKILL);
        ::waitpid(machine.pid, nullptr, 0);
        machine.pid = -1;
    }

    /** Returns the wait status of a machine whose process has ended by itself; empty while it runs. */
    static std::optional<int> ended(Machine& machine)
    {
        int status = 0;
        if (machine.pid <= 0 || ::waitpid(machine.pid, &status, WNOHANG) != machine.pid)
            return std::nullopt;
        machine.pid = -1;
        return status;
    }

    /** Writes the settings that deploy/settings.json.template gives for a machine. */
    void writeSettings(const Machine& machine, bool formsGroup) const
    {
        bool isEntry = machine.role == "entry";
        std::string seeds;
        for (size_t number = 0; number < std::min<size_t>(3, this->controls.size()); ++number)
            seeds += (number ? "," : "") + ("\"" + this->controls[number].control() + "\"");
        std::string text = "{\n  \"deployment\": \"platform\",\n  \"vm\": \"" + machine.name + "\",\n  \"availabilityZone\": \"" + machine.zone + "\",\n  \"roles\": [\"" + machine.role + "\"],\n";
        if (isEntry)
            text += "  \"callerListener\": \"" + machine.front() + "\",\n  \"callerThreads\": 1,\n  \"upstreamThreads\": 1,\n  \"tickMs\": 50,\n";
        else
            text += "  \"linkListener\": \"" + machine.ip + ":7200\",\n  \"dataFolder\": \"" + this->folder + "/data-" + machine.name + "\",\n  \"tickMs\": 20,\n";
        text += "  \"operatorListener\": \"" + (isEntry ? machine.ready() : machine.control()) + "\",\n  \"controlSeeds\": [" + seeds + "],\n  \"linkPort\": 7200,\n"
            + "  \"relayListener\": \"" + machine.ip + ":7215\",\n  \"formGroup\": " + (formsGroup ? "true" : "false") + ",\n  \"toleratedLosses\": " + std::to_string((this->controls.size() - 1) / 2) + ",\n"
            + "  \"linkSecurity\": \"none\",\n  \"access\": \"open\",\n  \"manifestUnknownKeys\": \"ignore\",\n  \"keepManifestSource\": true,\n  \"manifestNumbers\": \"highest\",\n"
            + "  \"retryBudget\": { \"share\": 0.2, \"slack\": 62, \"windowSeconds\": 10 },\n"
            + "  \"routeMeasuringBudget\": { \"probesPerSecondPerTarget\": 60, \"bytesPerSecondPerVm\": 40000, \"burstSeconds\": 10 },\n"
            + "  \"suspicionWaitMs\": 0,\n  \"targetLeaseMs\": 60000,\n  \"leaseTermMs\": 1000,\n  \"sessionIntervalMs\": 450,\n  \"maxConnectionIdleMs\": 100,\n  \"slowSenderTimeoutMs\": 60000,\n"
            + "  \"stopNoticeMs\": 2500,\n  \"stopGracePeriodSeconds\": 6,\n  \"electionTimeoutMs\": 400,\n  \"heartbeatIntervalMs\": 80,\n  \"snapshotEntries\": 512\n}\n";
        std::ofstream(machine.settingsFile) << text;
    }

    /** Returns the addresses to which orders and pings go. */
    std::vector<std::string> controlAddresses() const
    {
        std::vector<std::string> addresses;
        addresses.reserve(this->controls.size());
        for (const Machine& machine : this->controls)
            addresses.push_back(machine.control());
        return addresses;
    }

    /** Returns the position of the control machine that leads, as it says itself; the number of machines if there is none. */
    size_t leader() const
    {
        for (size_t number = 0; number < this->controls.size(); ++number) {
            std::optional<HttpMessage> status = exchange(this->controls[number].control(), "GET /v1/dump HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n", 1000);
            if (status && status->body.find("\"role\":\"leader\"") != std::string::npos)
                return number;
        }
        return this->controls.size();
    }

    /** Returns a free address for a stand-in. */
    std::string nextAddress() { return this->backendNetwork + std::to_string(100 + this->backendCount++) + ":8080"; }

    std::vector<Machine> controls;
    std::vector<Machine> entries;
    std::string folder;

private:
    /** Returns the first three numbers of a loopback network on which the ports of the deployment are free. */
    std::string freeNetwork() const
    {
        std::random_device random;
        for (;;) {
            std::string network = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
            bool isFree = true;
            for (int port : { 7200, 7215, 8381, 8382, 8388 })
                isFree = isFree && listenAt(network + "1:" + std::to_string(port)).isOpen();
            if (isFree)
                return network;
        }
    }

    std::string program;
    std::string backendNetwork;
    int backendCount = 0;
};

} // namespace review
