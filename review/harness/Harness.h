/** @file Harness.h Stand-ins for the platform: processes of the deploy file, back ends, operator, clients, and the record of a run. */
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;
constexpr int runLimitMs = 115000; ///< A case that runs longer ends with exitNotRun.

/** Returns milliseconds since the first call. */
inline double nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/** Waits until a condition holds. Returns whether it did within the limit. */
inline bool waitUntil(double limitMs, const std::function<bool()>& condition)
{
    double end = nowMs() + limitMs;
    while (!condition()) {
        if (nowMs() >= end)
            return false;
        sleepMs(20);
    }
    return true;
}

/** Returns whether the disruption takes place; TROUBLE=0 in the environment leaves it out. */
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/** Lines with the time in milliseconds, also printed. */
class Record {
public:
    explicit Record(const std::string& path)
        : file(std::fopen(path.c_str(), "w"))
    {
    }

    ~Record()
    {
        if (this->file)
            std::fclose(this->file);
    }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->file)
            return;
        std::fprintf(this->file, "%10.1f  ", nowMs());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE* file;
};

inline sockaddr_in socketAddress(const std::string& address)
{
    sockaddr_in result {};
    size_t colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/** Owns a socket. */
class Socket {
public:
    explicit Socket(int descriptor = -1)
        : descriptor(descriptor)
    {
    }
    Socket(Socket&& other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        std::swap(this->descriptor, other.descriptor);
        return *this;
    }
    ~Socket() { this->close(); }

    void close()
    {
        if (this->descriptor >= 0)
            ::close(std::exchange(this->descriptor, -1));
    }

    /** Closes the connection with a reset. */
    void reset()
    {
        linger option { 1, 0 };
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        this->close();
    }

    bool isOpen() const { return this->descriptor >= 0; }
    int get() const { return this->descriptor; }

    bool send(const std::string& text) const
    {
        for (size_t sent = 0; sent < text.size();) {
            ssize_t count = ::send(this->descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }

private:
    int descriptor;
};

inline Socket listenAt(const std::string& address)
{
    Socket result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int on = 1;
    ::setsockopt(result.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in place = socketAddress(address);
    if (::bind(result.get(), reinterpret_cast<sockaddr*>(&place), sizeof(place)) || ::listen(result.get(), 512))
        result.close();
    return result;
}

inline Socket connectTo(const std::string& address, double limitMs)
{
    Socket result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    sockaddr_in place = socketAddress(address);
    int on = 1;
    ::setsockopt(result.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(result.get(), reinterpret_cast<sockaddr*>(&place), sizeof(place)) && errno != EINPROGRESS)
        return Socket();
    pollfd waited { result.get(), POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&waited, 1, static_cast<int>(limitMs)) <= 0 || ::getsockopt(result.get(), SOL_SOCKET, SO_ERROR, &error, &size) || error)
        return Socket();
    ::fcntl(result.get(), F_SETFL, ::fcntl(result.get(), F_GETFL) & ~O_NONBLOCK);
    return result;
}

/** One request or answer. */
struct HttpMessage {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isWhole = false; ///< Whether the body ended as its framing says.

    int status() const { return this->startLine.size() > 12 ? std::atoi(this->startLine.c_str() + 9) : 0; }

    std::string method() const { return this->startLine.substr(0, this->startLine.find(' ')); }

    std::string target() const
    {
        size_t start = this->startLine.find(' ') + 1;
        return this->startLine.substr(start, this->startLine.find(' ', start) - start);
    }

    std::string field(const std::string& name) const
    {
        for (const auto& [key, value] : this->fields) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
};

/** Reads messages from a connection. */
class HttpReader {
public:
    explicit HttpReader(int descriptor)
        : descriptor(descriptor)
    {
    }

    /** Reads one message. Returns nothing if no whole head arrives within the limit or the peer closes before it. */
    std::optional<HttpMessage> read(double limitMs, bool isAnswer)
    {
        std::optional<HttpMessage> message = this->readHead(limitMs);
        return message ? std::optional(this->readBody(std::move(*message), isAnswer)) : std::nullopt;
    }

    /** Reads the head of a message. */
    std::optional<HttpMessage> readHead(double limitMs)
    {
        this->end = nowMs() + limitMs;
        HttpMessage message;
        std::string line;
        if (!this->line(message.startLine))
            return std::nullopt;
        while (this->line(line)) {
            if (line.empty())
                return message;
            size_t colon = line.find(':');
            size_t start = line.find_first_not_of(" \t", colon + 1);
            message.fields.emplace_back(line.substr(0, colon), start == std::string::npos ? "" : line.substr(start));
        }
        return std::nullopt;
    }

    /** Reads the body of a message whose head has been read. */
    HttpMessage readBody(HttpMessage message, bool isAnswer)
    {
        std::string length = message.field("Content-Length");
        if (::strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            std::string size;
            while (this->line(size)) {
                size_t count = std::strtoul(size.c_str(), nullptr, 16);
                std::string ignored;
                if (count && (!this->take(count, message.body) || !this->line(ignored)))
                    return message;
                if (!count) {
                    message.isWhole = this->line(ignored);
                    return message;
                }
            }
        } else if (!length.empty()) {
            message.isWhole = this->take(std::stoul(length), message.body);
        } else if (isAnswer && message.status() != 204 && message.status() != 304) {
            while (this->fill()) { }
            message.body.swap(this->buffer);
            message.isWhole = this->isClosed && !this->hasReset;
        } else {
            message.isWhole = true;
        }
        return message;
    }

    /** Reads a chunked body, whose head readHead() has returned. @param onBytes Called with the size of each chunk. Returns whether it ended with its last chunk. */
    bool readChunks(double limitMs, const std::function<void(size_t)>& onBytes)
    {
        this->end = nowMs() + limitMs;
        std::string size;
        while (this->line(size)) {
            size_t count = std::strtoul(size.c_str(), nullptr, 16);
            std::string ignored;
            if (!count)
                return this->line(ignored);
            if (!this->take(count, ignored) || !this->line(ignored))
                return false;
            onBytes(count);
        }
        return false;
    }

    bool hasPeerClosed() const { return this->isClosed; }

    /** Limits how fast bytes are read. @param bytesPerMs 0: no limit. */
    void setRate(double bytesPerMs) { this->rate = bytesPerMs; }

private:
    bool fill()
    {
        pollfd waited { this->descriptor, POLLIN, 0 };
        int left = static_cast<int>(this->end - nowMs());
        if (left <= 0 || ::poll(&waited, 1, left) <= 0)
            return false;
        char bytes[65536];
        constexpr size_t pacedBytes = 8192;
        ssize_t count = ::recv(this->descriptor, bytes, this->rate > 0 ? pacedBytes : sizeof(bytes), 0);
        if (this->rate > 0 && count > 0)
            sleepMs(static_cast<double>(count) / this->rate);
        this->isClosed = count <= 0;
        this->hasReset = count < 0;
        if (count <= 0)
            return false;
        this->buffer.append(bytes, static_cast<size_t>(count));
        return true;
    }

    bool line(std::string& out)
    {
        size_t found = 0;
        while ((found = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill())
                return false;
        }
        out = this->buffer.substr(0, found);
        this->buffer.erase(0, found + 2);
        return true;
    }

    bool take(size_t size, std::string& out)
    {
        while (this->buffer.size() < size) {
            if (!this->fill())
                return false;
        }
        out.append(this->buffer, 0, size);
        this->buffer.erase(0, size);
        return true;
    }

    int descriptor;
    std::string buffer;
    double end = 0;
    double rate = 0;
    bool isClosed = false;
    bool hasReset = false;
};

/** Sends one request on a new connection and returns the answer, or nothing if none arrives within the limit. */
inline std::optional<HttpMessage> exchange(const std::string& address, const std::string& request, double limitMs)
{
    Socket socket = connectTo(address, limitMs);
    if (!socket.isOpen() || !socket.send(request))
        return std::nullopt;
    return HttpReader(socket.get()).read(limitMs, true);
}

inline std::string jsonRequest(const std::string& method, const std::string& path, const std::string& body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

/** Sends a body in chunks. @param bytesPerMs Rate of the client. Returns whether all of it was sent. */
inline bool sendInChunks(const Socket& socket, size_t size, size_t chunkBytes, double bytesPerMs)
{
    constexpr size_t burstChunks = 8;
    double start = nowMs();
    for (size_t sent = 0; sent < size;) {
        std::string burst;
        for (size_t number = 0; number < burstChunks && sent < size; ++number) {
            std::string chunk(std::min(chunkBytes, size - sent), 'x');
            char head[16];
            std::snprintf(head, sizeof(head), "%zx\r\n", chunk.size());
            burst += head + chunk + "\r\n";
            sent += chunk.size();
        }
        if (!socket.send(burst))
            return false;
        sleepMs(start + static_cast<double>(sent) / bytesPerMs - nowMs());
    }
    return socket.send("0\r\n\r\n");
}

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
