/** @file AnswerTest.cpp Guards against cut, mixed, repeated or lost answers on the path of a call through an entry VM. */
#include "../packages/transport/tests/RawSocket.h"
#include "TestDeployment.h"
#include "testing/EchoBody.h"
#include "testing/HttpStream.h"

#include <gtest/gtest.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds callLimit { 9000 };
constexpr size_t downloadBytes = 1u << 20;
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
nlohmann::json manifestOf(const std::vector<RawService*>& services)
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
std::string downloadBody()
{
    std::string body;
    while (body.size() < downloadBytes)
        body += std::to_string(body.size()) + ",";
    body.resize(downloadBytes);
    return body;
}

/** Returns the head of a download. */
std::string downloadHead(size_t bytes, const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/** Returns the options of one entry VM and one control VM without fake targets. */
DeploymentOptions pathOptions(uint64_t seed)
{
    DeploymentOptions options = testOptions(seed, 1, {});
    options.controlVms = 1;
    return options;
}

/** Returns the start of the range that a request asks for; 0: none. */
size_t rangeStart(const std::string& request)
{
    size_t place = request.find("Range: bytes=");
    return place == std::string::npos ? 0 : std::stoul(request.substr(place + 13));
}

/** Returns the rest of the download with an ETag. */
std::string rest(const std::string& body, size_t start, const std::string& etag)
{
    std::string range = std::to_string(start) + "-" + std::to_string(body.size() - 1) + "/" + std::to_string(body.size());
    std::string tail = body.substr(start);
    return "HTTP/1.1 206 Partial Content\r\nETag: " + etag + "\r\nContent-Range: bytes " + range + "\r\nContent-Length: " + std::to_string(tail.size()) + "\r\n\r\n" + tail;
}

/** Sends the first bytes of a download with an ETag. */
void sendPart(RawSocket& socket, const std::string& body, size_t bytes)
{
    socket.send(downloadHead(body.size(), "ETag: \"v1\"\r\n") + body.substr(0, bytes));
}

const std::string overloaded = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";

HttpMessage read(const std::string& service)
{
    return makeRequest("GET", "/" + service + "/x");
}

/** Answers nothing and notes when the entry VM closes the connection. */
bool awaitClose(RawSocket& socket, RawService& service)
{
    if (socket.waitClosed())
        service.closed.update([](int& count) { ++count; });
    return false;
}

HttpMessage post(const std::string& service, const std::string& key)
{
    HttpMessage request = makeRequest("POST", "/" + service + "/x", "an invoice");
    request.add("Idempotency-Key", key);
    return request;
}

} // namespace

TEST(Answer, isWholeOrVisiblyBroken)
{
    const std::string body = downloadBody();
    RawService plain("plain", [&](RawSocket& socket, const std::string&, int) {
        socket.send(downloadHead(body.size(), "") + body.substr(0, cutAt));
        return false;
    });
    auto resumed = [&](size_t bytes, bool stall) {
        return [&body, bytes, stall](RawSocket& socket, const std::string& request, int number) {
            if (number > 1)
                return socket.send(rest(body, rangeStart(request), "\"v1\""));
            sendPart(socket, body, bytes);
            return stall && !socket.waitClosed();
        };
    };
    RawService cut("cut", resumed(cutAt, false));
    RawService stalled("stalled", resumed(cutAt, true));
    auto changed = [&](size_t bytes) {
        return [&body, bytes](RawSocket& socket, const std::string&, int number) {
            if (number == 1)
                sendPart(socket, body, bytes);
            else
                socket.send(downloadHead(body.size(), "ETag: \"v2\"\r\n") + std::string(body.size(), 'z'));
            return false;
        };
    };
    RawService other("other", changed(cutAt));
    RawService unsent("unsent", changed(0));
    RawService truncated("truncated", [&](RawSocket& socket, const std::string&, int number) {
        return number == 1 ? socket.send(downloadHead(10, "") + "half") && false : socket.send(answerText("whole"));
    });
    RawService cutPost("cutpost", [&](RawSocket& socket, const std::string&, int) { return socket.send(downloadHead(10, "") + "half") && false; });
    AnswerPath path(pathOptions(31));
    ASSERT_EQ(path.start({ &plain, &cut, &stalled, &other, &unsent, &truncated, &cutPost }), "");

    section("a cut stream without ETag never looks complete", [&] {
        HttpMessage answer;
        EXPECT_EQ(path.open(read("plain")).readAnswer(answer), HttpReadResult::Broken);
        EXPECT_EQ(answer.status(), 200);
        EXPECT_EQ(plain.executions(), 1u);
    });
    for (RawService* service : { &cut, &stalled }) {
        section("a download goes on at the second target: " + service->name, [&] {
            std::optional<HttpMessage> answer = path.call(read(service->name));
            ASSERT_TRUE(answer);
            EXPECT_EQ(checksumOf(answer->body), checksumOf(body));
            std::vector<std::string> requests = service->requests.get();
            ASSERT_EQ(requests.size(), 2u);
            EXPECT_NE(requests[1].find("If-Range: \"v1\""), std::string::npos) << requests[1];
            EXPECT_GT(rangeStart(requests[1]), 0u) << requests[1];
        });
    }
    for (RawService* service : { &other, &unsent }) {
        section("another representation is not spliced in: " + service->name, [&] {
            HttpMessage answer;
            EXPECT_EQ(path.open(read(service->name)).readAnswer(answer), HttpReadResult::Broken);
            EXPECT_EQ(service->executions(), 2u);
            EXPECT_EQ(answer.body.find('z'), std::string::npos);
        });
    }
    section("a small cut answer of a repeatable kind comes whole from the second target", [&] {
        std::optional<HttpMessage> answer = path.call(read("truncated"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->body, "whole");
    });
    section("a small cut answer of a posting is unknown and runs once", [&] {
        std::optional<HttpMessage> answer = path.call(post("cutpost", "cut"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->find("Kingcup-Run"), "unknown") << answer->startLine;
        EXPECT_EQ(cutPost.executions(), 1u);
    });
}

TEST(Answer, tellsWhatRan)
{
    RawService busyOnce("busyonce", [](RawSocket& socket, const std::string&, int number) { return socket.send(number == 1 ? overloaded : answerText("whole")); });
    RawService busy("busy", [](RawSocket& socket, const std::string&, int) { return socket.send(overloaded); });
    RawService busyPost("busypost", [](RawSocket& socket, const std::string&, int number) { return socket.send(number <= 2 ? overloaded : answerText("posted")); });
    RawService refused("refused", [](RawSocket&, const std::string&, int) { return false; });
    refused.refuses = true;
    RawService nested("nested", [](RawSocket& socket, const std::string&, int) { return socket.send(answerText("ok")); });
    RawService left("left", [&](RawSocket& socket, const std::string&, int) { return awaitClose(socket, left); });
    WaitableValue<bool> callerLeft;
    auto slow = [&callerLeft](const std::string& posted) {
        return [&callerLeft, posted](RawSocket& socket, const std::string&, int) { return callerLeft.wait([](bool gone) { return gone; }) && socket.send(answerText(posted)); };
    };
    RawService leftPost("leftpost", slow("recorded"));
    WaitableValue<bool> blocked;
    RawService largePost("largepost", [&](RawSocket& socket, const std::string&, int) {
        std::string text = answerText(std::string(64u << 20, 'x'));
        size_t sent = 0;
        auto stuck = [&] {
            size_t count = socket.sendSome(std::string_view(text).substr(sent));
            sent += count;
            return count == 0;
        };
        while (!stuck() || waitUntil(Milliseconds(300), [&] { return !stuck(); })) { }
        blocked.update([](bool& value) { value = true; });
        return socket.send(std::string_view(text).substr(sent));
    });
    RawService hedged("hedged", [&](RawSocket& socket, const std::string& request, int) {
        bool firstSlow = request.find("X-Slow") != std::string::npos && !hedged.slowSeen.exchange(true);
        return firstSlow ? awaitClose(socket, hedged) : socket.send(answerText("quick"));
    });
    AnswerPath path(pathOptions(32));
    ASSERT_EQ(path.start({ &busyOnce, &busy, &busyPost, &refused, &nested, &left, &leftPost, &largePost, &hedged }), "");

    section("a 503 of a repeatable kind is retried, and passed on when both targets give it", [&] {
        std::optional<HttpMessage> answer = path.call(read("busyonce"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->body, "whole");
        answer = path.call(read("busy"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status(), 503);
        EXPECT_EQ(answer->body, "busy");
        EXPECT_EQ(busy.executions(), 2u);
    });
    section("a status that promises not-run leaves the key free", [&] {
        std::optional<HttpMessage> answer = path.call(post("busypost", "busy"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->find("Kingcup-Run"), "not-run");
        auto posted = [&] { return (answer = path.call(post("busypost", "busy"))) && answer->status() == 200; };
        EXPECT_TRUE(waitUntil(callLimit, posted)) << answer->body;
        EXPECT_EQ(busyPost.executions(), 3u);
    });
    section("refused connections give not-run with Retry-After at once", [&] {
        TimePoint before = MillisecondClock::now();
        std::optional<HttpMessage> answer = path.call(post("refused", "refused"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->find("Kingcup-Run"), "not-run");
        EXPECT_NE(answer->find("Retry-After"), "");
        EXPECT_LT((MillisecondClock::now() - before).count(), 2000);
    });
    section("deadline and depth reach the target, and a call that is too deep is refused", [&] {
        HttpMessage request = read("nested");
        request.add("Kingcup-Deadline-Ms", "2500");
        request.add("Kingcup-Depth", "3");
        ASSERT_TRUE(path.call(request));
        std::string seen = nested.requests.get().at(0);
        EXPECT_NE(seen.find("Kingcup-Depth: 4\r\n"), std::string::npos) << seen;
        size_t place = seen.find("Kingcup-Deadline-Ms: ");
        ASSERT_NE(place, std::string::npos) << seen;
        int remaining = std::stoi(seen.substr(place + 21));
        EXPECT_TRUE(remaining > 0 && remaining <= 2500) << remaining;
        request.fields.back().value = "9";
        std::optional<HttpMessage> answer = path.call(request);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->find("Kingcup-Run"), "not-run");
        EXPECT_EQ(nested.executions(), 1u);
    });
    section("a caller that leaves a repeatable call closes the target's connection", [&] {
        HttpStream caller = path.open(read("left"));
        ASSERT_TRUE(left.requests.wait([](const auto& all) { return all.size() == 1; }));
        caller.connection().close();
        EXPECT_TRUE(left.closed.wait([](int count) { return count == 1; }, 4000));
    });
    section("a posting whose caller left is recorded for a resend", [&] {
        HttpStream caller = path.open(post("leftpost", "left"));
        ASSERT_TRUE(leftPost.requests.wait([](const auto& all) { return all.size() == 1; }));
        caller.connection().close();
        callerLeft.update([](bool& gone) { gone = true; });
        std::optional<HttpMessage> answer;
        EXPECT_TRUE(waitUntil(callLimit, [&] { return (answer = path.call(post("leftpost", "left"))) && answer->status() == 200; }));
        EXPECT_EQ(answer->body, "recorded");
        EXPECT_EQ(leftPost.executions(), 1u);
    });
    section("a large answer whose caller left does not wait for its deadline", [&] {
        HttpStream caller = path.open(post("largepost", "large"));
        ASSERT_TRUE(blocked.wait([](bool value) { return value; }));
        caller.connection().close();
        std::optional<HttpMessage> answer;
        auto finished = [&] { return (answer = path.call(post("largepost", "large"))) && answer->body.find("key_running") == std::string::npos; };
        EXPECT_TRUE(waitUntil(Milliseconds(3000), finished)) << answer->body;
        EXPECT_NE(answer->body.find("key_finished"), std::string::npos) << answer->body;
    });
    section("a hedge answers for a slow target, whose connection is closed", [&] {
        for (int call = 0; call < 120; ++call)
            ASSERT_TRUE(path.call(read("hedged")));
        HttpMessage request = read("hedged");
        request.add("X-Slow", "1");
        std::optional<HttpMessage> answer = path.call(request);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->body, "quick");
        EXPECT_TRUE(hedged.closed.wait([](int count) { return count == 1; }, 4000));
    });
}
