/** @file Harness.h Stand-ins for the platform: back ends, their pings, and the operator. */
#pragma once

#include "Deployment.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace review {

/** One connection of a back end. */
struct BackendConnection {
    Socket socket;
    std::string lateBytes; ///< Sent as soon as the next request has arrived.
};

/**
 * A back end: announces itself, answers the liveness check with its load, and runs requests in its slots. A subclass changes what a faulty
 * one does.
 */
class Backend {
public:
    Backend(std::string id, std::string service, std::string zone, std::string address, int slots)
        : id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , address(std::move(address))
        , slots(slots)
    {
    }

    virtual ~Backend() { this->stop(); }

    bool start()
    {
        this->listener = listenAt(this->address);
        if (!this->listener.isOpen())
            return false;
        this->acceptor = std::thread([this] { this->accept(); });
        return true;
    }

    void stop()
    {
        if (this->isStopping.exchange(true))
            return;
        ::shutdown(this->listener.get(), SHUT_RDWR);
        if (this->acceptor.joinable())
            this->acceptor.join();
        while (this->open.load() > 0)
            sleepMs(5);
    }

    /** Returns the body of a ping. */
    std::string ping()
    {
        return "{\"service\":\"" + this->service + "\",\"address\":\"" + this->address + "\",\"availabilityZone\":\"" + this->zone + "\",\"number\":\"v1\",\"slots\":" + std::to_string(this->slots)
            + ",\"state\":\"serving\",\"coldLeftMs\":0,\"sequence\":" + std::to_string(++this->pings) + "}";
    }

    const std::string id;
    const std::string service;
    const std::string zone;
    const std::string address;
    const int slots;
    std::function<void(const HttpMessage& request)> onRun; ///< Called when a request begins to run.
    std::atomic<int> running { 0 };
    std::atomic<double> readRate { 0 }; ///< Bytes a millisecond that are read from each connection; 0: as fast as they come.
    double readLimitMs = 100; ///< Longest time for a request to arrive.
    double usualWorkMs = 20; ///< Work of a request.

protected:
    /** Returns the work of a request in milliseconds. */
    virtual double workMs(const HttpMessage&) { return this->usualWorkMs; }

    /** Answers one request. Returns whether the connection stays open. */
    virtual bool serve(BackendConnection& connection, const HttpMessage& request)
    {
        std::string expected = request.field("Target-Instance");
        if (!expected.empty() && expected != this->id)
            return connection.socket.send("HTTP/1.1 421 Misdirected Request\r\nBackend-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n");
        if (request.target() == "/health")
            return connection.socket.send(this->healthAnswer());
        return this->run(connection, request);
    }

    /** Returns whether serveUpload() reads the chunked bodies. */
    virtual bool servesUploads() const { return false; }

    /** Reads and answers a request with a chunked body. Returns whether the connection stays open. */
    virtual bool serveUpload(BackendConnection&, HttpReader&, const HttpMessage&) { return false; }

    virtual std::string healthAnswer()
    {
        return "HTTP/1.1 200 OK\r\nBackend-Id: " + this->id + "\r\nBackend-Load: " + this->load() + "\r\nContent-Length: 0\r\n\r\n";
    }

    std::string load() const { return std::to_string(this->running.load()) + ",0," + std::to_string(this->slots); }

    /** Runs a request, or turns it away if all slots are taken. */
    virtual bool run(BackendConnection& connection, const HttpMessage& request)
    {
        if (this->running.fetch_add(1) >= this->slots) {
            this->running--;
            return connection.socket.send(this->shedAnswer());
        }
        if (this->onRun)
            this->onRun(request);
        sleepMs(this->workMs(request));
        std::string answer = this->answerTo(request);
        this->running--;
        return connection.socket.send(answer);
    }

    std::string shedAnswer() const { return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nBackend-Load: " + this->load() + "\r\nContent-Length: 0\r\n\r\n"; }

    std::string answerTo(const HttpMessage& request) const
    {
        std::string body = "done by " + this->id + "\n";
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") + "\r\nResponse-Seal: seal-" + request.field("Attempt-Id") + "\r\nBackend-Load: " + this->load()
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::atomic<bool> isStopping { false };

private:
    void accept()
    {
        for (;;) {
            int accepted = ::accept4(this->listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            this->open++;
            std::thread([this, accepted] {
                this->serveConnection(accepted);
                this->open--;
            }).detach();
        }
    }

    void serveConnection(int accepted)
    {
        BackendConnection connection { Socket(accepted), {} };
        HttpReader reader(accepted);
        double idleSince = nowMs();
        constexpr double idleLimitMs = 10000;
        while (!this->isStopping && nowMs() - idleSince < idleLimitMs && !reader.hasPeerClosed()) {
            pollfd waited { accepted, POLLIN, 0 };
            if (::poll(&waited, 1, 100) <= 0)
                continue;
            reader.setRate(this->readRate);
            std::optional<HttpMessage> request = reader.readHead(this->readLimitMs);
            if (!request)
                continue;
            bool isUpload = ::strcasecmp(request->field("Transfer-Encoding").c_str(), "chunked") == 0;
            if (isUpload && this->servesUploads()) {
                if (!this->serveUpload(connection, reader, *request))
                    return;
                continue;
            }
            request = reader.readBody(std::move(*request), false);
            if (!request->isWhole)
                continue;
            if (!connection.lateBytes.empty() && !connection.socket.send(std::exchange(connection.lateBytes, {})))
                return;
            if (!this->serve(connection, *request))
                return;
            idleSince = nowMs();
        }
    }

    Socket listener;
    std::thread acceptor;
    std::atomic<int> open { 0 };
    std::atomic<int> pings { 0 };
};

/** Sends the pings of all back ends, about every 1.5 s, to the next control machine that answers. */
class Pinger {
public:
    Pinger(std::vector<std::string> controls, std::vector<Backend*> backends)
        : controls(std::move(controls))
        , backends(std::move(backends))
        , thread([this] { this->run(); })
    {
    }

    ~Pinger()
    {
        this->isStopping = true;
        this->thread.join();
    }

private:
    void run()
    {
        while (!this->isStopping) {
            for (Backend* backend : this->backends)
                this->ping(*backend);
            for (int step = 0; step < 15 && !this->isStopping; ++step)
                sleepMs(100);
        }
    }

    void ping(Backend& backend)
    {
        std::string request = jsonRequest("POST", "/v1/targets/announce?id=" + backend.id, backend.ping());
        for (size_t attempt = 0; attempt < this->controls.size() && !this->isStopping; ++attempt) {
            std::optional<HttpMessage> answer = exchange(this->controls[this->next % this->controls.size()], request, 1000);
            if (answer && answer->status() == 200)
                return;
            this->next++;
        }
    }

    std::vector<std::string> controls;
    std::vector<Backend*> backends;
    size_t next = 0;
    std::atomic<bool> isStopping { false };
    std::thread thread;
};

/** The operator of the platform. */
class Operator {
public:
    explicit Operator(Record& record)
        : record(record)
    {
    }

    /**
     * Sends an order to one machine after the other, with growing pauses, until it is acknowledged or refused. A connection on which no answer has come within a second is
     * closed. Returns the status; 0: none came.
     */
    int send(const std::string& name, const std::vector<std::string>& machines, const std::string& request, double limitMs = 10000)
    {
        double end = nowMs() + limitMs;
        for (size_t attempt = 0; nowMs() < end; ++attempt) {
            const std::string& machine = machines[attempt % machines.size()];
            this->record.line("operator: %s is sent to %s", name.c_str(), machine.c_str());
            std::optional<HttpMessage> answer = exchange(machine, request, answerLimitMs);
            int status = answer ? answer->status() : 0;
            this->record.line("operator: %s: %s", name.c_str(), status ? ("answered " + std::to_string(status)).c_str() : "no answer within a second");
            if (status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422)
                return status;
            sleepMs(100 * static_cast<double>(attempt + 1));
        }
        return 0;
    }

private:
    static constexpr double answerLimitMs = 1000;

    Record& record;
};

/** Ends the process with exitNotRun when the time of a run is over. */
inline void startRunLimit(const std::function<void()>& cleanUp)
{
    std::thread([cleanUp] {
        sleepMs(runLimitMs);
        cleanUp();
        std::_Exit(exitNotRun);
    }).detach();
}

} // namespace review
