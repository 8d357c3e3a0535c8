/** @file AnswerPath.h An entry VM with raw targets whose answers a test scripts byte by byte. */
#pragma once

#include "../packages/transport/tests/RawSocket.h"
#include "TestDeployment.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kingcup::testing {

constexpr Milliseconds callLimit { 9000 }; ///< Longest time for a call.
constexpr size_t downloadBytes = 1u << 20; ///< Size of a download.
constexpr size_t cutAt = 300000; ///< Bytes of a download that the first target sends.

/** Answers one request. @param number 1 for the first request to the service. Returns whether the connection stays open. */
using Answer = std::function<bool(RawSocket& socket, const std::string& request, int number)>;

/** A service with two raw targets, which answer by the order of the requests because the router's first choice is random. */
struct RawService {
    RawService(std::string serviceName, Answer serviceAnswer)
        : name(std::move(serviceName))
        , answer(std::move(serviceAnswer))
    {
    }

    /** Serves the requests of one connection. */
    void serve(RawSocket& socket)
    {
        for (;;) {
            std::string request = socket.receiveMessage();
            if (request.empty())
                return;
            int number = 0;
            this->requests.update([&](std::vector<std::string>& all) {
                all.push_back(request);
                number = static_cast<int>(all.size());
            });
            if (!this->answer(socket, request, number))
                return;
        }
    }

    /** Returns the address of a target; of a closed port when the service refuses connections. */
    std::string firstAddress() const { return this->refuses ? "127.0.0.1:1" : this->first.address(); }
    std::string secondAddress() const { return this->refuses ? "127.0.0.1:2" : this->second.address(); }

    size_t executions() { return this->requests.get().size(); } ///< Requests that reached a target.

    std::string name; ///< Name, also its path.
    Answer answer; ///< Behaviour.
    bool refuses = false; ///< Announces closed ports.
    std::atomic<bool> slowSeen = false; ///< A slow request was received.
    WaitableValue<int> closed; ///< Connections that the entry VM closed while a request ran.
    WaitableValue<std::vector<std::string>> requests; ///< In order of arrival.
    RawServer first { [this](RawSocket& socket, int) { this->serve(socket); } }; ///< One target.
    RawServer second { [this](RawSocket& socket, int) { this->serve(socket); } }; ///< Other target.
};

/** Returns the manifest of the services, with small limits on held answers and without probes. */
inline nlohmann::json manifestOf(const std::vector<RawService*>& services)
{
    std::vector<ServiceLayout> layouts;
    layouts.reserve(services.size());
    for (const RawService* service : services)
        layouts.push_back({ service->name, 2, 6 });
    nlohmann::json manifest = makeManifest(1, layouts);
    for (nlohmann::json& service : manifest["services"]) {
        service["limits"] = { { "maxHeldAnswerBytes", 4096 }, { "retryShare", 1 } };
        service["measuringBudget"] = { { "probesPerSecondPerTarget", 0 } };
        service["zonePreference"] = "none";
        service["kinds"][0]["deadlineMs"] = 8000;
        if (service["name"].get<std::string>().starts_with("upload"))
            service["kinds"][0]["method"] = "PUT";
        service["kinds"][0]["maxAttempts"] = service["name"] == "single" ? 1 : 3;
        service["kinds"][0]["hedge"] = { { "percentile", 0.9 }, { "budgetShare", service["name"] == "hedged" ? 0.2 : 0.0 } };
    }
    return manifest;
}

/** One entry VM, one control VM and announced addresses. */
class AnswerPath {
public:
    explicit AnswerPath(const DeploymentOptions& options)
        : deployment(options)
    {
    }

    ~AnswerPath()
    {
        this->stopping = true;
        if (this->announcer.joinable())
            this->announcer.join();
    }

    /** Starts the processes and announces the targets of the services. Returns what failed. */
    std::string start(const std::vector<RawService*>& services)
    {
        std::vector<std::pair<std::string, std::string>> targets;
        for (RawService* service : services) {
            targets.emplace_back(service->name, service->firstAddress());
            targets.emplace_back(service->name, service->secondAddress());
        }
        std::string failure = this->deployment.start(manifestOf(services));
        if (!failure.empty())
            return failure;
        this->announcer = std::thread([this, targets] {
            while (!this->stopping) {
                for (const auto& [service, address] : targets)
                    this->announce(service, address);
                waitUntil(Milliseconds(1000), [this] { return this->stopping.load(); });
            }
        });
        bool known = waitUntil(Milliseconds(8000), [&] {
            std::string table = this->deployment.query(this->deployment.entryVms()[0], "/v1/targets").dump();
            return std::all_of(targets.begin(), targets.end(), [&](const auto& target) { return table.find(target.second) != std::string::npos; });
        });
        return known ? "" : "targets are not known\n" + this->deployment.logs();
    }

    /** Sends a call. Returns nothing when no whole answer came. */
    std::optional<HttpMessage> call(const HttpMessage& request) { return exchangeOnce(this->address(), request, callLimit); }

    std::string address() { return this->deployment.callerAddresses()[0]; } ///< Listener for callers.

    /** Sends a request and leaves its answer to the caller of this function. */
    HttpStream open(const HttpMessage& request)
    {
        Socket socket = connectTo(this->address(), callLimit);
        socket.setTimeout(callLimit);
        socket.sendAll(request.encode());
        return HttpStream(std::move(socket));
    }

private:
    void announce(const std::string& service, const std::string& address)
    {
        nlohmann::json body = { { "service", service }, { "address", address }, { "availabilityZone", "a" }, { "slots", 6 }, { "incarnation", 1 }, { "state", "serving" } };
        exchangeOnce(this->deployment.entryVms()[0].operatorAddress, makeRequest("POST", "/v1/targets/announce", body.dump(), this->deployment.targetToken()), callLimit);
    }

    Deployment deployment; ///< Processes.
    std::atomic<bool> stopping = false; ///< Ends the announcements.
    std::thread announcer; ///< Announces every second.
};

/** Returns a download whose bytes differ by position. */
inline std::string downloadBody()
{
    std::string body;
    while (body.size() < downloadBytes)
        body += std::to_string(body.size()) + ",";
    body.resize(downloadBytes);
    return body;
}

/** Returns the head of a download. */
inline std::string downloadHead(size_t bytes, const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/** Returns the options of one entry VM and one control VM without fake targets. */
inline DeploymentOptions pathOptions(uint64_t seed)
{
    DeploymentOptions options = testOptions(seed, 1, {});
    options.controlVms = 1;
    return options;
}

/** Returns the start of the range that a request asks for; 0: none. */
inline size_t rangeStart(const std::string& request)
{
    size_t place = request.find("Range: bytes=");
    return place == std::string::npos ? 0 : std::stoul(request.substr(place + 13));
}

/** Returns the rest of the download with an ETag. */
inline std::string rest(const std::string& body, size_t start, const std::string& etag)
{
    std::string range = std::to_string(start) + "-" + std::to_string(body.size() - 1) + "/" + std::to_string(body.size());
    std::string tail = body.substr(start);
    return "HTTP/1.1 206 Partial Content\r\nETag: " + etag + "\r\nContent-Range: bytes " + range + "\r\nContent-Length: " + std::to_string(tail.size()) + "\r\n\r\n" + tail;
}

/** Sends the first bytes of a download with an ETag. */
inline void sendPart(RawSocket& socket, const std::string& body, size_t bytes)
{
    socket.send(downloadHead(body.size(), "ETag: \"v1\"\r\n") + body.substr(0, bytes));
}

inline const std::string overloaded = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";

/** Returns a read of a service. */
inline HttpMessage read(const std::string& service)
{
    return makeRequest("GET", "/" + service + "/x");
}

} // namespace kingcup::testing
