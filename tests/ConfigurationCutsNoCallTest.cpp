/**
 * @file ConfigurationCutsNoCallTest.cpp Guards against a change of the configuration or a SIGHUP that closes a caller's connection without a complete
 * answer, breaks off a call at which its target works, or leaves a call waiting. That would happen if the state of a service ended with the service while
 * calls wait, run or stream, or if new limits were applied to calls that have been accepted under the old ones.
 */
#include "TestDeployment.h"

#include "testing/EchoBody.h"
#include "testing/HttpStream.h"

#include <csignal>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

using namespace kingcup;
using namespace kingcup::testing;

namespace {

constexpr Milliseconds limit { 15000 };
constexpr Milliseconds deadline { 30000 }; ///< Of all calls, longer than a section lasts.
constexpr uint32_t callsInFlight = 4; ///< Of the service with a queue, on each entry VM.
constexpr size_t queuedReads = 8; ///< More reads than may be in flight, on each entry VM.
constexpr size_t routedReads = 4; ///< On each entry VM.
constexpr size_t manyRoutes = 1400;
constexpr size_t downloadBytes = 24 << 20; ///< More than the buffers between target and caller hold.
constexpr size_t uploadBytes = 600 << 10; ///< Too large to be held whole, so that it is passed on while it arrives.
constexpr int receiveBufferBytes = 64 << 10; ///< Of the caller of a download, so that the target is still sending when the configuration changes.

const std::string routedHost = "records.example";

/** What differs between the manifests of this test. */
struct ManifestShape {
    bool hasQueuedService = true; ///< Whether the manifest has the service "matters".
    bool hasRoute = true; ///< Whether the manifest has the route of the routed calls.
    std::string routedService = "archive"; ///< Target of that route.
    size_t otherRoutes = 0; ///< Routes without calls.
    double deadlineMs = deadline.count(); ///< Time limit of all kinds and routes.
    uint32_t maxInFlight = callsInFlight; ///< Of the service "matters".
    uint32_t queueLength = 200; ///< Of the service "matters".
};

/** Returns a shape that differs from the first one in one field. */
template <typename Field, typename Value>
ManifestShape shapeWith(Field ManifestShape::*field, Value value)
{
    ManifestShape shape;
    shape.*field = value;
    return shape;
}

/** A change of the configuration: manifests that are applied one after the other. */
struct Change {
    std::string title;
    std::vector<ManifestShape> shapes;
};

nlohmann::json makeRoute(const std::string& name, const std::string& host, const ManifestShape& shape)
{
    return { { "name", name }, { "host", host }, { "pathPrefix", "/" }, { "kind", "safe" }, { "deadlineMs", shape.deadlineMs }, { "service", shape.routedService } };
}

nlohmann::json manifestOf(uint64_t number, const ManifestShape& shape)
{
    nlohmann::json kind = { { "path", "/matters/*" }, { "deadlineMs", shape.deadlineMs }, { "mayWaitMs", shape.deadlineMs }, { "mayRefuse", false } };
    nlohmann::json read = kind;
    read.update({ { "name", "read" }, { "method", "GET" }, { "repeatable", true } });
    nlohmann::json upload = kind;
    upload.update({ { "name", "upload" }, { "method", "POST" } });
    nlohmann::json limits = { { "maxInFlight", shape.maxInFlight }, { "queueLength", shape.queueLength } };
    nlohmann::json services = nlohmann::json::array();
    if (shape.hasQueuedService)
        services.push_back({ { "name", "matters" }, { "pathPrefix", "/matters/" }, { "limits", limits }, { "kinds", { read, upload } } });
    nlohmann::json routes = nlohmann::json::array();
    for (const char* name : { "archive", "ledger" }) {
        services.push_back({ { "name", name }, { "healthPath", "/load" } });
        routes.push_back(makeRoute(name, std::string(name) + ".example", shapeWith(&ManifestShape::routedService, name)));
    }
    if (shape.hasRoute)
        routes.push_back(makeRoute("records", routedHost, shape));
    for (size_t i = 0; i < shape.otherRoutes; ++i)
        routes.push_back(makeRoute("route-" + std::to_string(i), "host-" + std::to_string(i) + ".example", shape));
    return { { "number", number }, { "services", services }, { "routes", routes } };
}

/** One call on a connection of its own, whose answer is read later. */
class OpenCall {
public:
    OpenCall(const Vm& vm, std::string id, std::string host = "kingcup")
        : id(std::move(id))
        , host(std::move(host))
    {
        Socket socket = connectTo(vm.callerAddress, limit);
        setsockopt(socket.handle(), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        socket.setTimeout(limit);
        this->stream = HttpStream(std::move(socket));
    }

    /** Sends a request, but only this many bytes of it. */
    void send(const std::string& method, const std::string& path, const std::string& body = {}, size_t answerBytes = 256, size_t bytes = std::string::npos)
    {
        HttpMessage request;
        request.startLine = method + " " + path + " HTTP/1.1";
        request.add("Host", this->host);
        request.add("X-Call-Id", this->id);
        request.add("X-Answer-Bytes", std::to_string(answerBytes));
        request.body = body;
        std::string text = request.encode();
        this->stream.connection().sendAll(std::string_view(text).substr(0, bytes));
        this->unsent = bytes < text.size() ? text.substr(bytes) : "";
    }

    /** Sends the rest of the request. */
    void sendRest() { this->stream.connection().sendAll(std::exchange(this->unsent, {})); }

    /** Waits for the first byte of the answer. */
    bool waitForAnswer()
    {
        pollfd polled { this->stream.connection().handle(), POLLIN, 0 };
        return poll(&polled, 1, static_cast<int>(limit.count())) == 1;
    }

    /** Reads the answer. Returns what is wrong with it; empty: nothing. @param mayBeRefused Whether an answer of the VM itself is right, too. */
    std::string readAnswer(bool mayBeRefused = false)
    {
        HttpMessage answer;
        HttpReadResult result = this->stream.readAnswer(answer);
        if (result != HttpReadResult::Complete)
            return this->id + ": no complete answer, read result " + std::to_string(static_cast<int>(result)) + ", " + std::to_string(answer.body.size()) + " bytes\n";
        bool isRefusal = answer.status() >= 400 && !answer.find("Kingcup-Result").empty();
        if (mayBeRefused && isRefusal)
            return {};
        EchoBody body = readEchoBody(answer.body);
        bool isWhole = answer.status() == 200 && body.state == BodyState::Whole && body.callId == this->id;
        return isWhole ? "" : this->id + ": " + answer.startLine + " " + answer.body.substr(0, 200) + "\n";
    }

private:
    std::string id; ///< X-Call-Id.
    std::string host; ///< Host field.
    HttpStream stream;
    std::string unsent; ///< Rest of the request.
};

/** Calls in all states on one entry VM: in flight at a target, waiting in the queue, receiving a long answer, sending a long body, and kept connections without a call. */
class MixedCalls {
public:
    MixedCalls(const Vm& vm, const std::string& prefix)
        : vm(vm)
        , prefix(vm.name + "-" + prefix)
    {
    }

    /** Starts the calls that need targets that answer. Returns what failed. */
    std::string startAnswered()
    {
        std::string failures;
        this->download = std::make_unique<OpenCall>(this->vm, this->prefix + "-download");
        this->download->send("GET", "/matters/archive", {}, downloadBytes);
        failures += this->download->waitForAnswer() ? "" : "the download does not start\n";
        this->kept = std::make_unique<OpenCall>(this->vm, this->prefix + "-kept");
        this->kept->send("GET", "/matters/kept");
        failures += this->kept->readAnswer();
        this->keptRouted = std::make_unique<OpenCall>(this->vm, this->prefix + "-kept-routed", routedHost);
        this->keptRouted->send("GET", "/kept");
        return failures + this->keptRouted->readAnswer();
    }

    /** Starts the calls that stay open while the targets are stalled. */
    void startStalled()
    {
        this->upload = std::make_unique<OpenCall>(this->vm, this->prefix + "-upload");
        this->upload->send("POST", "/matters/upload", std::string(uploadBytes, 'x'), 256, uploadBytes * 2 / 3);
        for (size_t i = 0; i < queuedReads; ++i) {
            this->reads.emplace_back(this->vm, this->prefix + "-read-" + std::to_string(i));
            this->reads.back().send("GET", "/matters/balance");
        }
        for (size_t i = 0; i < routedReads; ++i) {
            this->reads.emplace_back(this->vm, this->prefix + "-routed-" + std::to_string(i), routedHost);
            this->reads.back().send("GET", "/balance");
        }
    }

    /** Ends all calls. Returns what is wrong with their answers, one line per call. */
    std::string finish()
    {
        this->upload->sendRest();
        std::string failures = this->download->readAnswer();
        failures += this->upload->readAnswer();
        for (OpenCall& read : this->reads)
            failures += read.readAnswer();
        this->kept->send("GET", "/matters/kept");
        failures += this->kept->readAnswer(true);
        this->keptRouted->send("GET", "/kept");
        return failures + this->keptRouted->readAnswer(true);
    }

private:
    const Vm& vm; ///< Entry VM that is called.
    std::string prefix; ///< Start of the call ids.
    std::unique_ptr<OpenCall> download; ///< Its caller takes no more bytes than the buffers hold.
    std::unique_ptr<OpenCall> upload; ///< Its caller has sent a part of the body.
    std::unique_ptr<OpenCall> kept; ///< Connection without a call.
    std::unique_ptr<OpenCall> keptRouted; ///< Connection without a call.
    std::vector<OpenCall> reads; ///< In flight or waiting.
};

/** A deployment whose VMs find control through seeds, with calls in flight on each entry VM. */
class Scene {
public:
    explicit Scene(const DeploymentOptions& options)
        : deployment(options)
    {
        Vm& control = this->deployment.controlVms()[0];
        this->seed = control.operatorAddress;
        for (auto* vms : { &this->deployment.controlVms(), &this->deployment.entryVms() }) {
            for (Vm& vm : *vms) {
                vm.settings.erase("controlVms");
                vm.settings.erase("controlId");
                vm.settings["linkSecurity"] = "none";
                vm.settings["linkPort"] = std::stoi(control.linkAddress.substr(control.linkAddress.find(':') + 1));
                vm.settings["controlSeeds"] = { this->seed };
            }
        }
        control.settings["formGroup"] = true;
        control.settings["toleratedLosses"] = 0;
    }

    std::string start()
    {
        std::string failure = this->deployment.start(manifestOf(this->number, {}));
        return failure.empty() && !this->areAllServed() ? "not all services are served\n" + this->deployment.logs() : failure;
    }

    /** Applies a manifest without waiting until it is in force. */
    void apply(const ManifestShape& shape)
    {
        OperatorAnswer answer = this->deployment.applyManifest(this->deployment.controlVms()[0], manifestOf(++this->number, shape));
        EXPECT_EQ(answer.code(), 0) << answer.body.dump().substr(0, 300);
    }

    /** Waits until the latest manifest is in force on all entry VMs. */
    bool waitInForce()
    {
        return waitUntil(limit, [this] {
            auto isInForce = [this](const Vm& vm) { return this->deployment.manifestInForce(vm) == this->number; };
            return std::all_of(this->deployment.entryVms().begin(), this->deployment.entryVms().end(), isInForce);
        });
    }

    /** Has calls in all states in flight on all entry VMs while `disturb` runs, and checks that each of them gets its whole answer. */
    void checkCallsDuring(const std::function<void()>& disturb)
    {
        std::vector<MixedCalls> calls;
        for (const Vm& vm : this->deployment.entryVms())
            calls.emplace_back(vm, std::to_string(++this->rounds));
        for (MixedCalls& callsOfVm : calls)
            ASSERT_EQ(callsOfVm.startAnswered(), "") << this->deployment.logs();
        this->setStalled(true);
        for (MixedCalls& callsOfVm : calls)
            callsOfVm.startStalled();
        EXPECT_TRUE(waitUntil(limit, [this] { return this->areCallsQueued(); })) << this->deployment.logs();
        disturb();
        this->setStalled(false);
        for (MixedCalls& callsOfVm : calls)
            EXPECT_EQ(callsOfVm.finish(), "");
        for (const Vm& vm : this->deployment.entryVms()) {
            EXPECT_TRUE(vm.process->running()) << vm.name << "\n"
                                               << vm.process->output();
            EXPECT_TRUE(waitUntil(limit, [&] { return this->entryDump(vm).value("activeCalls", 1) == 0; })) << vm.name << " has calls that do not end";
        }
    }

    /** Puts the first manifest's content in force again, with all services served. */
    bool restore()
    {
        this->apply({});
        return this->waitInForce() && this->areAllServed();
    }

    /** Writes the settings of an entry VM, sends it SIGHUP and waits until it has read them. */
    static bool reload(const Deployment& deployment, Vm& vm, const std::string& event)
    {
        auto events = [&] { return countOf(readFile(vm.folder + "/log.jsonl"), "\"" + event + "\""); };
        size_t before = events();
        deployment.writeSettings(vm);
        vm.process->signal(SIGHUP);
        return waitUntil(limit, [&] { return events() > before; });
    }

    Deployment deployment;
    std::string seed; ///< The control VM.

private:
    static size_t countOf(const std::string& text, const std::string& part)
    {
        size_t count = 0;
        for (size_t found = text.find(part); found != std::string::npos; found = text.find(part, found + part.size()))
            ++count;
        return count;
    }

    nlohmann::json entryDump(const Vm& vm) const
    {
        nlohmann::json dump = this->deployment.query(vm, "/v1/dump");
        return dump.is_object() ? dump.value("entry", nlohmann::json::object()) : nlohmann::json::object();
    }

    /** Holds all requests at the targets, or lets them go on. */
    void setStalled(bool isStalled)
    {
        for (size_t target = 0; target < this->deployment.targets().size(); ++target)
            this->deployment.changeFaults(target, { { "stall", isStalled } });
    }

    /** Returns whether all reads have arrived: as many calls as allowed are in flight and the others wait. */
    bool areCallsQueued()
    {
        for (const Vm& vm : this->deployment.entryVms()) {
            nlohmann::json dump = this->entryDump(vm);
            nlohmann::json matters = dump.value("services", nlohmann::json::object()).value("matters", nlohmann::json::object());
            uint32_t started = matters.value("inFlight", 0u) + matters.value("waiting", 0u);
            if (started < queuedReads + 2 || matters.value("waiting", 0u) == 0 || dump.value("activeCalls", 0u) < queuedReads + routedReads + 2)
                return false;
        }
        return true;
    }

    bool areAllServed()
    {
        return waitUntil(limit, [this] {
            auto isServed = [](const Vm& vm) {
                OpenCall direct(vm, "check");
                direct.send("GET", "/matters/check");
                OpenCall routed(vm, "check", routedHost);
                routed.send("GET", "/check");
                return direct.readAnswer().empty() && routed.readAnswer().empty();
            };
            return this->deployment.allTargetsKnown() && std::all_of(this->deployment.entryVms().begin(), this->deployment.entryVms().end(), isServed);
        });
    }

    uint64_t number = 1; ///< Of the latest manifest.
    uint32_t rounds = 0; ///< Makes call ids unique.
};

DeploymentOptions seededOptions(uint64_t fallbackSeed)
{
    DeploymentOptions options = testOptions(fallbackSeed, 2, { { "matters", 2, 6 }, { "archive", 2, 6 }, { "ledger", 2, 6 } });
    options.controlVms = 1;
    options.settings = { { "slowSenderTimeoutMs", deadline.count() } }; // Kept connections stay open on a loaded machine, too.
    return options;
}

} // namespace

TEST(ConfigurationCutsNoCall, changesOfTheManifest)
{
    DeploymentOptions options = seededOptions(85);
    Scene scene(options);
    ASSERT_EQ(scene.start(), "");
    const ManifestShape first;
    const ManifestShape withoutService = shapeWith(&ManifestShape::hasQueuedService, false);
    const ManifestShape withManyRoutes = shapeWith(&ManifestShape::otherRoutes, manyRoutes);
    const ManifestShape withOtherService = shapeWith(&ManifestShape::routedService, "ledger");
    const ManifestShape withShortDeadline = shapeWith(&ManifestShape::deadlineMs, 50.0);
    ManifestShape withTightLimits = shapeWith(&ManifestShape::maxInFlight, 1);
    withTightLimits.queueLength = 0;
    const std::vector<Change> changes = {
        { "many routes are added", { withManyRoutes } },
        { "a service is removed", { withoutService } },
        { "a service is removed and added again", { withoutService, first } },
        { "a route is moved to another service", { withOtherService } },
        { "a route is removed", { shapeWith(&ManifestShape::hasRoute, false) } },
        { "the time limits become shorter than the calls have lasted", { withShortDeadline } },
        { "the limits of a service become lower than its calls in flight and in the queue", { withTightLimits } },
    };
    for (const Change& change : changes) {
        section(change.title, [&] {
            scene.checkCallsDuring([&] {
                for (const ManifestShape& shape : change.shapes)
                    scene.apply(shape);
                EXPECT_TRUE(scene.waitInForce()) << scene.deployment.logs();
            });
            ASSERT_TRUE(scene.restore()) << scene.deployment.logs();
        });
    }
    section("changes in quick succession", [&] {
        RandomSource random(options.seed);
        const std::vector<ManifestShape> shapes = { first, withoutService, withManyRoutes, withOtherService, withShortDeadline, withTightLimits };
        scene.checkCallsDuring([&] {
            constexpr size_t changeCount = 12;
            for (size_t i = 0; i < changeCount; ++i)
                scene.apply(shapes[random.below(shapes.size())]);
            EXPECT_TRUE(scene.waitInForce()) << scene.deployment.logs();
        });
    });
}

TEST(ConfigurationCutsNoCall, sighup)
{
    DeploymentOptions options = seededOptions(86);
    Scene scene(options);
    ASSERT_EQ(scene.start(), "");
    const std::string unreachableSeed = "127.250.250.250:9";
    auto reloadAll = [&](const nlohmann::json& change, const std::string& event) {
        for (Vm& vm : scene.deployment.entryVms()) {
            vm.settings.merge_patch(change);
            EXPECT_TRUE(Scene::reload(scene.deployment, vm, event)) << scene.deployment.logs();
        }
    };
    section("with unchanged settings", [&] { scene.checkCallsDuring([&] { reloadAll(nlohmann::json::object(), "settings_reloaded"); }); });
    section("with one more seed, which cannot be reached", [&] {
        scene.checkCallsDuring([&] { reloadAll({ { "controlSeeds", { unreachableSeed, scene.seed } } }, "settings_reloaded"); });
    });
    section("with only a seed that cannot be reached", [&] { scene.checkCallsDuring([&] { reloadAll({ { "controlSeeds", { unreachableSeed } } }, "settings_reloaded"); }); });
    section("with settings that are refused", [&] {
        scene.checkCallsDuring([&] { reloadAll({ { "tickMs", 0 } }, "settings_refused"); });
        reloadAll({ { "tickMs", nullptr }, { "controlSeeds", { scene.seed } } }, "settings_reloaded");
    });
    section("many times in a row, while the manifest changes under load", [&] {
        LoadOptions loadOptions = loadOn(scene.deployment, 20, Milliseconds(4000), 0);
        loadOptions.mix.resize(1); // The first service.
        loadOptions.timeout = deadline;
        loadOptions.threads = 100; // The targets are stalled for a part of the load.
        LoadGenerator load(loadOptions);
        load.start();
        scene.checkCallsDuring([&] {
            constexpr int signalCount = 20;
            for (int i = 0; i < signalCount; ++i) {
                for (Vm& vm : scene.deployment.entryVms()) {
                    vm.settings["controlSeeds"] = i % 2 ? nlohmann::json { scene.seed } : nlohmann::json { scene.seed, unreachableSeed };
                    scene.deployment.writeSettings(vm);
                    vm.process->signal(SIGHUP);
                }
                if (i % 5 == 0)
                    scene.apply(shapeWith(&ManifestShape::otherRoutes, i % 2 ? manyRoutes : 0));
            }
            EXPECT_TRUE(scene.waitInForce()) << scene.deployment.logs();
        });
        EXPECT_EQ(violationsAfter(scene.deployment, load), "");
        LoadSummary summary = summarise(load.records());
        EXPECT_EQ(summary.answered, summary.calls) << describeResults(load);
    });
}
