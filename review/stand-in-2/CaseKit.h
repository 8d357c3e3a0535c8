/** @file CaseKit.h Stand-ins for the platform, servers, clients and the operator, for the scripts of this review. */
#pragma once

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

constexpr int frontPort = 8381;
constexpr int readyPort = 8388;
constexpr int controlPort = 8382;
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;
constexpr int scriptLimitSeconds = 118; ///< A script may run for 120 s.

/** Returns seconds of the steady clock. */
inline double now()
{
    timespec time {};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/** Returns whether the disruption is played. */
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/** Writes record.txt: what was sent, answered and run, with the time since the start. Thread-safe. */
class Record {
public:
    explicit Record(const std::string& file)
        : stream(file)
        , start(now())
    {
    }

    void write(const std::string& line)
    {
        std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", now() - this->start);
        this->stream << time << line << std::endl;
    }

private:
    std::ofstream stream;
    double start;
    std::mutex mutex;
};

/** One HTTP message that was received. */
struct Message {
    int status = 0; ///< 0: no answer.
    std::string startLine;
    std::map<std::string, std::string> fields; ///< By name in lower case.
    std::string body;
    bool isWhole = false; ///< Whether the body came in full.

    std::string field(const std::string& name) const
    {
        auto found = this->fields.find(name);
        return found == this->fields.end() ? "" : found->second;
    }
};

/** Blocking TCP connection with a deadline. */
class Connection {
public:
    explicit Connection(int descriptor = -1)
        : descriptor(descriptor)
    {
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }

    bool connect(const std::string& ip, int port, double deadline)
    {
        this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
            return true;
        int error = 0;
        socklen_t size = sizeof(error);
        return errno == EINPROGRESS && this->wait(POLLOUT, deadline) && getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && !error;
    }

    bool send(std::string_view bytes, double deadline)
    {
        while (!bytes.empty()) {
            ssize_t count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0)
                bytes.remove_prefix(static_cast<size_t>(count));
            else if ((errno != EAGAIN && errno != EWOULDBLOCK) || !this->wait(POLLOUT, deadline))
                return false;
        }
        return true;
    }

    /** Receives one message. @param isAnswer Whether it is an answer; otherwise it is a request. */
    std::optional<Message> receive(bool isAnswer, double deadline)
    {
        size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(deadline))
                return std::nullopt;
        }
        Message message;
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, message.startLine);
        while (std::getline(head, line)) {
            size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char& character : name)
                character = static_cast<char>(std::tolower(character));
            std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            message.fields[name] = value;
        }
        if (isAnswer)
            message.status = std::atoi(message.startLine.c_str() + std::strlen("HTTP/1.1 "));
        message.isWhole = message.field("transfer-encoding") == "chunked" ? this->receiveChunks(message.body, deadline) : this->receiveBytes(message.body, std::strtoull(message.field("content-length").c_str(), nullptr, 10), deadline);
        return message;
    }

private:
    bool wait(short events, double deadline) const
    {
        pollfd polled { this->descriptor, events, 0 };
        double left = deadline - now();
        return left > 0 && poll(&polled, 1, static_cast<int>(left * 1000) + 1) > 0;
    }

    bool fill(double deadline)
    {
        char bytes[65536];
        ssize_t count = 0;
        while ((count = ::recv(this->descriptor, bytes, sizeof(bytes), MSG_DONTWAIT)) < 0) {
            if ((errno != EAGAIN && errno != EWOULDBLOCK) || !this->wait(POLLIN, deadline))
                return false;
        }
        this->buffer.append(bytes, static_cast<size_t>(count));
        return count > 0;
    }

    bool receiveBytes(std::string& body, size_t size, double deadline)
    {
        while (this->buffer.size() < size) {
            if (!this->fill(deadline))
                return false;
        }
        body += this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return true;
    }

    bool receiveChunks(std::string& body, double deadline)
    {
        for (;;) {
            size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(deadline))
                    return false;
            }
            size_t size = std::strtoull(this->buffer.c_str(), nullptr, 16);
            this->buffer.erase(0, end + 2);
            std::string lineEnd;
            if (!this->receiveBytes(body, size, deadline) || !this->receiveBytes(lineEnd, 2, deadline))
                return false;
            if (!size)
                return true;
        }
    }

    int descriptor;
    std::string buffer;
};

/** Sends one request on a connection of its own and returns the answer; status 0 if there is none within the limit. */
inline Message exchange(const std::string& ip, int port, const std::string& request, double limit)
{
    double deadline = now() + limit;
    Connection connection;
    if (!connection.connect(ip, port, deadline))
        return {};
    // An early answer may come before the whole request is sent.
    connection.send(request, deadline);
    return connection.receive(true, deadline).value_or(Message());
}

inline std::string makeRequest(const std::string& method, const std::string& path, const std::string& host, const std::string& fields, const std::string& body)
{
    std::string length = method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields + length + "\r\n" + body;
}

/** Fields of the provider's settings by dotted path, as the pages list them. */
using SettingsFields = std::map<std::string, std::string>;

/** Fills in a template of settings: values, values as JSON, and sections that are rendered if their value is present. */
inline std::string renderTemplate(std::string text, const SettingsFields& fields, const std::map<std::string, std::string>& jsonFields)
{
    for (size_t start = 0; (start = text.find("{{#")) != std::string::npos;) {
        size_t nameEnd = text.find("}}", start);
        std::string name = text.substr(start + 3, nameEnd - start - 3);
        std::string closing = "{{/" + name + "}}";
        size_t end = text.find(closing, nameEnd);
        std::string content = text.substr(nameEnd + 2, end - nameEnd - 2);
        auto field = fields.find(name);
        if (field == fields.end())
            content.clear();
        for (size_t dot = 0; (dot = content.find("{{.}}")) != std::string::npos;)
            content.replace(dot, 5, field->second);
        text.replace(start, end + closing.size() - start, content);
    }
    for (size_t start = 0; (start = text.find("{{")) != std::string::npos;) {
        size_t end = text.find("}}", start);
        std::string name = text.substr(start + 2, end - start - 2);
        size_t bar = name.find("|json");
        const auto& source = bar == std::string::npos ? fields : jsonFields;
        auto field = source.find(name.substr(0, bar));
        text.replace(start, end + 2 - start, field == source.end() ? "" : field->second);
    }
    return text;
}

/** One machine of the system with its process. */
struct Machine {
    std::string name;
    std::string ip;
    bool isFront = false;
    std::string folder;
    std::string executable;
    pid_t process = 0; ///< 0: none runs.
    int starts = 0;

    void launch(const std::string& settings)
    {
        std::string file = this->folder + "/settings.json";
        std::ofstream(file) << settings;
        std::string output = this->folder + "/output.txt";
        this->starts++;
        this->process = fork();
        if (this->process != 0)
            return;
        FILE* log = std::fopen(output.c_str(), "a");
        if (log) {
            dup2(fileno(log), STDOUT_FILENO);
            dup2(fileno(log), STDERR_FILENO);
        }
        execl(this->executable.c_str(), this->executable.c_str(), "--settings", file.c_str(), nullptr);
        _exit(127);
    }

    bool isRunning()
    {
        if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) == this->process)
            this->process = 0;
        return this->process > 0;
    }

    void end(int signal)
    {
        if (!this->isRunning())
            return;
        ::kill(this->process, signal);
        waitpid(this->process, nullptr, 0);
        this->process = 0;
    }

    /** Returns the resident memory in MB; 0 if the process does not run. */
    double residentMb() const
    {
        std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
        std::string line;
        while (this->process > 0 && std::getline(status, line)) {
            if (line.starts_with("VmRSS:"))
                return std::atof(line.c_str() + std::strlen("VmRSS:")) / 1024;
        }
        return 0;
    }
};

/** The stand-in for the provider: five core machines, of which three are seeds, and front machines. */
class Provider {
public:
    Provider(std::string root, int fronts, std::map<std::string, std::string> bounds)
        : root(std::move(root))
        , bounds(std::move(bounds))
    {
        char pattern[] = "/tmp/review-XXXXXX";
        this->folder = mkdtemp(pattern);
        this->network = this->chooseNetwork();
        constexpr int coreCount = 5;
        for (int number = 1; number <= coreCount + fronts; ++number) {
            bool isFront = number > coreCount;
            auto machine = std::make_unique<Machine>();
            machine->isFront = isFront;
            machine->name = isFront ? "front-" + std::to_string(number - coreCount) : "core-" + std::to_string(number);
            machine->ip = this->network + "." + std::to_string(isFront ? 100 + number - coreCount : number);
            machine->folder = this->folder + "/" + machine->name;
            machine->executable = this->root + "/target/platform/kingcupswitch-platform";
            std::filesystem::create_directories(machine->folder + "/data");
            (isFront ? this->fronts : this->cores).push_back(std::move(machine));
        }
    }

    ~Provider()
    {
        for (auto* group : { &this->cores, &this->fronts }) {
            for (auto& machine : *group)
                machine->end(SIGKILL);
        }
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(this->folder);
    }

    void start()
    {
        for (auto* group : { &this->cores, &this->fronts }) {
            for (auto& machine : *group)
                this->start(*machine);
        }
    }

    void start(Machine& machine)
    {
        std::ifstream file(this->root + "/deploy/settings.json.template");
        std::string text { std::istreambuf_iterator<char>(file), {} };
        SettingsFields fields = this->bounds;
        fields["Node"] = machine.name;
        fields["availabilityZone"] = "zone-a";
        fields["Role"] = machine.isFront ? "entry" : "control";
        fields["Ip"] = machine.ip;
        fields["FaultTolerance.Machines"] = "2";
        fields["InternalPortRange.0"] = "7200";
        fields["InternalPortRange.1"] = "7201";
        if (machine.isFront) {
            fields["Listen.Front"] = machine.ip + ":" + std::to_string(frontPort);
            fields["Listen.Ready"] = machine.ip + ":" + std::to_string(readyPort);
        } else {
            fields["Listen.Control"] = machine.ip + ":" + std::to_string(controlPort);
            fields["DataDir"] = machine.folder + "/data";
        }
        std::string seeds;
        constexpr int seedCount = 3;
        for (int number = 0; number < seedCount; ++number)
            seeds += (number ? ",\"" : "[\"") + this->cores[static_cast<size_t>(number)]->ip + ":" + std::to_string(controlPort) + "\"";
        machine.launch(renderTemplate(text, fields, { { "Seeds", seeds + "]" }, { "Bootstrap", machine.starts ? "false" : "true" } }));
    }

    /** Waits until all front machines are ready. */
    bool waitReady(double limit)
    {
        for (double end = now() + limit; now() < end; sleepFor(0.1)) {
            bool areReady = true;
            for (auto& machine : this->fronts)
                areReady = areReady && exchange(machine->ip, readyPort, makeRequest("GET", "/readyz", machine->ip, "", ""), 1).status == 200;
            if (areReady)
                return true;
        }
        return false;
    }

    std::string root; ///< Root of the repository.
    std::string folder; ///< Temporary folder.
    std::string network; ///< First three parts of all addresses.
    SettingsFields bounds;
    std::vector<std::unique_ptr<Machine>> cores;
    std::vector<std::unique_ptr<Machine>> fronts;

private:
    /** Returns a loopback network of which the ports are free. */
    std::string chooseNetwork() const
    {
        std::random_device random;
        for (;;) {
            std::string candidate = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
            bool isFree = true;
            for (int port : { controlPort, frontPort, readyPort, 7200, 7201 })
                isFree = isFree && canBind(candidate + ".1", port) && canBind(candidate + ".101", port);
            if (isFree)
                return candidate;
        }
    }

    static bool canBind(const std::string& ip, int port)
    {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        bool isBound = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        return isBound;
    }
};

/** One run of a request at a server. */
struct Run {
    double time = 0;
    std::string attempt;
    std::string server;
};

/** A sound server: answers with its seal, its health path and 421 for others, and announces itself. */
class Server {
public:
    Server(std::string ip, int port, std::string service, std::string id, Record& record)
        : ip(std::move(ip))
        , port(port)
        , service(std::move(service))
        , id(std::move(id))
        , born(static_cast<int64_t>(std::time(nullptr)) * 1000)
        , record(record)
    {
    }

    ~Server() { this->stop(); }

    bool start()
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int on = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(this->port));
        inet_pton(AF_INET, this->ip.c_str(), &address.sin_addr);
        constexpr int backlog = 256;
        if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) || ::listen(this->listener, backlog))
            return false;
        this->acceptor = std::thread([this] { this->accept(); });
        return true;
    }

    /** Ends like a crash: the listener and all connections are closed. */
    void stop()
    {
        this->isStopping = true;
        this->isBeating = false;
        if (this->beater.joinable())
            this->beater.join();
        if (this->acceptor.joinable()) {
            ::shutdown(this->listener, SHUT_RDWR);
            this->acceptor.join();
            ::close(this->listener);
        }
        for (std::thread& thread : this->threads)
            thread.join();
        this->threads.clear();
    }

    /** Announces itself every 1.5 s until it stops or leaves. */
    void beat(Provider& provider)
    {
        this->isBeating = true;
        this->beater = std::thread([this, &provider] {
            while (this->isBeating) {
                this->announce(provider);
                constexpr double interval = 1.5;
                for (double end = now() + interval; this->isBeating && now() < end;)
                    sleepFor(0.05);
            }
        });
    }

    void stopBeating()
    {
        this->isBeating = false;
        if (this->beater.joinable())
            this->beater.join();
    }

    /** Sends a call to one control machine after the other until one acknowledges it. */
    bool callControl(Provider& provider, const std::string& path, const std::string& body)
    {
        for (auto& machine : provider.cores) {
            Message answer = exchange(machine->ip, controlPort, makeRequest("POST", path, machine->ip, "Content-Type: application/json\r\n", body), 1);
            if (answer.status == 200)
                return true;
        }
        return false;
    }

    bool announce(Provider& provider)
    {
        std::string body = "{\"address\":\"" + this->ip + ":" + std::to_string(this->port) + "\",\"service\":\"" + this->service + "\",\"Version\":\"v1\",\"availabilityZone\":\"zone-a\",\"slots\":" + std::to_string(slots)
            + ",\"state\":\"serving\",\"sequence\":" + std::to_string(++this->sequence) + ",\"coldLeftMs\":0,\"born\":" + std::to_string(this->born) + "}";
        bool isAcknowledged = this->callControl(provider, "/v1/targets/announce?id=" + this->id, body);
        this->acknowledged += isAcknowledged ? 1 : 0;
        this->unacknowledged += isAcknowledged ? 0 : 1;
        return isAcknowledged;
    }

    bool leave(Provider& provider)
    {
        return this->callControl(provider, "/v1/targets/leave?id=" + this->id, "{\"born\":" + std::to_string(this->born) + "}");
    }

    std::vector<Run> runs()
    {
        std::lock_guard lock(this->mutex);
        return this->allRuns;
    }

    std::string address() const { return this->ip + ":" + std::to_string(this->port); }

    std::atomic<int> acknowledged { 0 }; ///< Announcements that were acknowledged.
    std::atomic<int> unacknowledged { 0 }; ///< Announcements that no control machine acknowledged.

private:
    static constexpr int slots = 6;
    static constexpr double workSeconds = 0.01;

    void accept()
    {
        for (;;) {
            int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            this->threads.emplace_back([this, descriptor] { this->serve(descriptor); });
        }
    }

    void serve(int descriptor)
    {
        Connection connection(descriptor);
        constexpr double pollSeconds = 0.2;
        while (!this->isStopping) {
            pollfd polled { descriptor, POLLIN, 0 };
            if (poll(&polled, 1, static_cast<int>(pollSeconds * 1000)) == 0)
                continue;
            constexpr double requestLimit = 10;
            std::optional<Message> request = connection.receive(false, now() + requestLimit);
            if (!request || !request->isWhole || !connection.send(this->answer(*request), now() + requestLimit))
                return;
        }
    }

    std::string answer(const Message& request)
    {
        std::string load = "Backend-Load: " + std::to_string(this->running.load()) + ",0," + std::to_string(slots) + ",100\r\n";
        if (request.startLine.starts_with("GET /health "))
            return "HTTP/1.1 200 OK\r\nBackend-Id: " + this->id + "\r\n" + load + "Content-Length: 2\r\n\r\nok";
        std::string attempt = request.field("attempt-id");
        std::string expected = request.field("target-instance");
        if (!expected.empty() && expected != this->id)
            return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n";
        {
            std::lock_guard lock(this->mutex);
            this->allRuns.push_back({ now(), attempt, this->address() });
        }
        this->record.write("server " + this->id + " at " + this->address() + " runs " + attempt + ", body of " + std::to_string(request.body.size()) + " bytes");
        this->running++;
        sleepFor(workSeconds);
        this->running--;
        std::string body = "answer to " + attempt;
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: " + this->id + "." + std::to_string(std::hash<std::string>()(body)) + "\r\n" + load + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string ip;
    int port;
    std::string service;
    std::string id;
    int64_t born; ///< Unix time of the start in milliseconds.
    Record& record;
    int listener = -1;
    int sequence = 0;
    std::atomic<bool> isStopping { false };
    std::atomic<bool> isBeating { false };
    std::atomic<int> running { 0 };
    std::thread acceptor;
    std::thread beater;
    std::vector<std::thread> threads; ///< Used by the acceptor until it has ended.
    std::mutex mutex; ///< Guards `allRuns`.
    std::vector<Run> allRuns;
};

/** Sends one request of a client to a front machine on a connection of its own. */
inline Message sendRequest(const Machine& front, const std::string& method, const std::string& path, const std::string& attempt, int deadlineMs, const std::string& body = {})
{
    std::string fields = "Attempt-Id: " + attempt + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    constexpr double reserve = 0.5;
    return exchange(front.ip, frontPort, makeRequest(method, path, "jepu9.example", fields, body), deadlineMs / 1000.0 + reserve);
}

/** Returns a new id of a client attempt. */
inline std::string newAttempt()
{
    static std::atomic<uint64_t> count { 0 };
    static const uint64_t base = std::random_device()();
    char text[32];
    std::snprintf(text, sizeof(text), "%08llx%08llx", static_cast<unsigned long long>(base), static_cast<unsigned long long>(++count));
    return text;
}

/** Returns a desired state with a safe route /read/ and an unsafe route /post/. */
inline std::string desiredState(int version, uint64_t maxBodyBytes = 67108864)
{
    auto route = [](const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service) {
        return "{\"name\":\"" + name + "\",\"host\":\"jepu9.example\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"deadlineMs\":4000,\"objectiveMs\":1000,\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":2}";
    };
    auto service = [](const std::string& name) { return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":240,\"Protocol\":\"h1\",\"Tls\":false}"; };
    return "{\"number\":" + std::to_string(version) + ",\"routes\":[" + route("r-read", "/read/", "safe", "tracker") + "," + route("r-post", "/post/", "unsafe", "ledger") + "],\"services\":[" + service("tracker") + "," + service("ledger")
        + "],\"callerLimits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + std::to_string(maxBodyBytes) + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/** Sends a desired state to one control machine after the other until one gives a clear answer; returns its status, or 0. */
inline int putDesiredState(Provider& provider, const std::string& text, double limit, double attemptLimit, Record& record)
{
    size_t position = 0;
    for (double end = now() + limit; now() < end; sleepFor(0.1)) {
        Machine& machine = *provider.cores[position++ % provider.cores.size()];
        Message answer = exchange(machine.ip, controlPort, makeRequest("POST", "/v1/manifest", machine.ip, "Content-Type: application/json\r\n", text), attemptLimit);
        record.write("operator: config.put of " + std::to_string(text.size()) + " bytes to " + machine.name + ": " + (answer.status ? std::to_string(answer.status) : "no answer"));
        if (answer.status && answer.status < 500 && answer.status != 408 && answer.status != 429)
            return answer.status;
    }
    return 0;
}

/** Starts the machines, puts the first desired state in force and starts four servers. Returns an error; empty: none. */
inline std::string startAll(Provider& provider, std::vector<std::unique_ptr<Server>>& servers, const std::string& state, Record& record)
{
    provider.start();
    constexpr double startLimit = 20;
    if (putDesiredState(provider, state, startLimit, 2, record) != 200)
        return "the first desired state was not acknowledged";
    constexpr int firstPort = 8129;
    for (int number = 0; number < 4; ++number) {
        servers.push_back(std::make_unique<Server>(provider.network + ".200", firstPort + number, number % 2 ? "ledger" : "tracker", "i-" + std::to_string(number), record));
        if (!servers.back()->start())
            return "a server cannot listen";
        servers.back()->beat(provider);
    }
    if (!provider.waitReady(startLimit))
        return "the front machines are not ready";
    for (double end = now() + startLimit; now() < end; sleepFor(0.1)) {
        bool isServed = true;
        for (auto& front : provider.fronts) {
            for (const char* path : { "/read/1", "/post/1" })
                isServed = isServed && sendRequest(*front, path[1] == 'r' ? "GET" : "POST", path, newAttempt(), 1500).status == 200;
        }
        if (isServed)
            return {};
    }
    return "no request is served";
}

/** Runs a case: `play` returns the exit code. Arguments: root of the repository, file of the record. */
inline int runCase(int argumentCount, char** arguments, int fronts, const std::map<std::string, std::string>& bounds, const std::function<int(Provider&, Record&)>& play)
{
    if (argumentCount < 3)
        return exitNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    Record record(arguments[2]);
    std::atomic<bool> isDone { false };
    int code = exitNotRun;
    {
        Provider provider(arguments[1], fronts, bounds);
        std::thread watchdog([&] {
            for (double end = now() + scriptLimitSeconds; !isDone && now() < end;)
                sleepFor(0.1);
            if (isDone)
                return;
            record.write("the script took too long");
            for (auto* group : { &provider.cores, &provider.fronts }) {
                for (auto& machine : *group) {
                    if (machine->process > 0)
                        ::kill(machine->process, SIGKILL);
                }
            }
            _exit(exitNotRun);
        });
        code = play(provider, record);
        isDone = true;
        watchdog.join();
    }
    const char* verdicts[] = { "the rule held", "the rule was broken", "the case could not run" };
    record.write(verdicts[code]);
    std::puts(verdicts[code]);
    return code;
}

} // namespace review
