/** @file ControlToolTest.cpp Guards against kingcupctl that reports a wrong exit code, gives up early or forms two groups. */
#include "testing/Story.h"

#include <arpa/inet.h>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <microhttpd.h>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

using kingcup::testing::section;
using nlohmann::json;

namespace {

/** A request as the stand-in received it. */
struct Request {
    std::string line; ///< Method and path.
    std::string number; ///< Query parameter.
    std::string token; ///< Authorization header.
    std::string body; ///< Whole body.
};

/** Answers a request with a status and a text. */
using Answerer = std::function<std::pair<int, std::string>(const Request& request)>;

/** Stand-in for the operator listener of a VM. */
class StandIn {
public:
    explicit StandIn(Answerer answerer)
        : answerer(std::move(answerer))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        this->daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr, nullptr, &StandIn::handle, this, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
    }
    ~StandIn() { MHD_stop_daemon(this->daemon); }
    StandIn(const StandIn&) = delete;
    StandIn& operator=(const StandIn&) = delete;

    /** Returns host:port. */
    std::string address() const { return "127.0.0.1:" + std::to_string(MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port); }

    std::atomic<int> requests { 0 }; ///< Requests so far.

private:
    static MHD_Result handle(void* self, MHD_Connection* connection, const char* url, const char* method, const char*, const char* data, size_t* size, void** held)
    {
        if (!*held) {
            *held = new Request { std::string(method) + " " + url, "", "", "" };
            return MHD_YES;
        }
        Request* request = static_cast<Request*>(*held);
        if (*size) {
            request->body.append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        const char* number = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "number");
        const char* token = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Authorization");
        request->number = number ? number : "";
        request->token = token ? token : "";
        StandIn& standIn = *static_cast<StandIn*>(self);
        standIn.requests++;
        auto [status, text] = standIn.answerer(*request);
        delete request;
        *held = nullptr;
        MHD_Response* response = MHD_create_response_from_buffer(text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
        MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(status), response);
        MHD_destroy_response(response);
        return result;
    }

    Answerer answerer;
    MHD_Daemon* daemon;
};

/** What a run of kingcupctl gave. */
struct ToolResult {
    int exit = -1; ///< Exit code.
    std::string output; ///< Standard output and error.
};

/** Runs kingcupctl with arguments that need no quoting. */
ToolResult run(const std::string& arguments)
{
    ToolResult result;
    FILE* pipe = popen((std::string(KINGCUPCTL) + " " + arguments + " 2>&1").c_str(), "r");
    char buffer[4096];
    while (size_t size = fread(buffer, 1, sizeof(buffer), pipe))
        result.output.append(buffer, size);
    result.exit = WEXITSTATUS(pclose(pipe));
    return result;
}

/** Files of the test run, removed at its end. */
struct TestFiles {
    ~TestFiles()
    {
        for (const std::string& path : this->paths)
            std::remove(path.c_str());
    }
    std::vector<std::string> paths; ///< Written so far.
};

/** Writes a file and returns its path. */
std::string writeFile(const std::string& name, const std::string& text)
{
    static TestFiles files;
    files.paths.push_back(testing::TempDir() + "kingcupctl-" + std::to_string(getpid()) + "-" + name);
    std::ofstream(files.paths.back()) << text;
    return files.paths.back();
}

/** Returns an answer with a code. */
std::pair<int, std::string> answer(int status, int code, const std::string& name, const json& more = json::object())
{
    json body = { { "code", code }, { "name", name }, { "detail", "as decided" } };
    body.update(more);
    return { status, body.dump() };
}

const char* plainManifest = R"({"number":3,"services":[{"name":"a","pathPrefix":"/","kinds":[{"name":"k","method":"GET","path":"/k"}]}]})";

} // namespace

TEST(ControlToolTest, manifestCheckWorksOffline)
{
    ToolResult good = run("manifest check " + writeFile("good", plainManifest));
    EXPECT_EQ(good.exit, 0) << good.output;
    EXPECT_NE(good.output.find("DIGEST"), std::string::npos);
    ToolResult bad = run("--json manifest check " + writeFile("bad", R"({"number":3,"services":[],"x":1})"));
    EXPECT_EQ(bad.exit, 2);
    EXPECT_NE(bad.output.find("\"pointer\": \"/x\""), std::string::npos) << bad.output;
    EXPECT_EQ(run("manifest check /nonexistent/file").exit, 1);
    EXPECT_EQ(run("manifest frobnicate").exit, 1);
    EXPECT_NE(run("--help").output.find("exit codes"), std::string::npos);
}

TEST(ControlToolTest, manifestApply)
{
    std::string file = writeFile("apply", plainManifest);
    std::string token = " --token_file " + writeFile("token", "secret\n");
    std::atomic<int> polls { 0 };
    auto inForce = [](bool complete) { return json { { "number", 3 }, { "inForce", { { "confirmed", 1 }, { "total", 2 }, { "complete", complete } } } }; };
    StandIn leader([&](const Request& request) {
        if (request.token != "Bearer secret")
            return answer(401, 5101, "unauthorized");
        if (request.line == "POST /v1/manifest")
            return answer(request.body == plainManifest ? 200 : 400, request.body == plainManifest ? 0 : 3012, "ok", inForce(false));
        return answer(200, 0, "ok", inForce(request.number == "3" && ++polls >= 3));
    });
    StandIn follower([](const Request&) { return answer(421, 4001, "not_leader"); });
    section("the next VM is tried after one that is down and one that does not lead, and --wait asks until in force", [&] {
        ToolResult result = run("--vm 127.0.0.1:1," + follower.address() + "," + leader.address() + token + " --wait manifest apply " + file);
        EXPECT_EQ(result.exit, 0) << result.output;
        EXPECT_GE(polls, 3);
        EXPECT_EQ(follower.requests, 1);
    });
    section("accepted but not in force in time has its own exit code", [&] {
        polls = -100000;
        EXPECT_EQ(run("--vm " + leader.address() + token + " --wait --timeout_ms 400 manifest apply " + file).exit, 5);
    });
    section("an invalid manifest is not sent, and a wrong token is not retried", [&] {
        int before = leader.requests;
        EXPECT_EQ(run("--vm " + leader.address() + token + " manifest apply " + writeFile("bad", "{}")).exit, 2);
        EXPECT_EQ(leader.requests, before);
        EXPECT_EQ(run("--vm " + leader.address() + " --token_file " + writeFile("wrong", "x") + " manifest apply " + file).exit, 6);
        EXPECT_EQ(leader.requests, before + 1);
    });
    section("a group without a leader is asked until the timeout", [&] {
        EXPECT_EQ(run("--vm " + follower.address() + token + " --timeout_ms 900 manifest apply " + file).exit, 4);
        ToolResult down = run("--json --vm 127.0.0.1:1" + token + " --timeout_ms 300 status");
        EXPECT_NE(down.output.find("\"name\": \"unreachable\""), std::string::npos) << down.output;
        EXPECT_GT(follower.requests, 2);
    });
    section("a conflict keeps its exit code", [&] {
        StandIn other([](const Request&) { return answer(409, 3006, "manifest_conflict", { { "digest", "d" } }); });
        EXPECT_EQ(run("--vm " + other.address() + token + " manifest apply " + file).exit, 3);
    });
}

TEST(ControlToolTest, otherCommands)
{
    std::string token = " --token_file " + writeFile("token", "secret");
    std::map<std::string, json> bodies = {
        { "GET /v1/status", { { "vm", "c1" }, { "role", "leader" }, { "members", { { { "id", 2 }, { "voter", true } } } }, { "manifest", { { "number", 3 } } } } },
        { "GET /v1/targets", { { "targets", { { { "service", "ledger" }, { "address", "127.0.0.1:9" }, { "state", "serving" } } } } } },
        { "GET /v1/dump", { { "claims", 4 } } },
        { "GET /v1/manifest", { { "code", 0 }, { "number", 3 }, { "digest", "abc" } } },
    };
    StandIn vm([&](const Request& request) -> std::pair<int, std::string> {
        if (request.line == "POST /v1/replace-control")
            return answer(request.body == R"({"id":2})" ? 200 : 400, request.body == R"({"id":2})" ? 0 : 3012, "ok");
        return { 200, bodies.at(request.line).dump() };
    });
    std::string start = "--vm " + vm.address() + token + " ";
    EXPECT_NE(run(start + "status").output.find("leader"), std::string::npos);
    EXPECT_NE(run(start + "targets").output.find("ledger   127.0.0.1:9"), std::string::npos);
    EXPECT_NE(run(start + "--json targets").output.find("\"ledger\""), std::string::npos);
    EXPECT_NE(run(start + "dump").output.find("\"claims\": 4"), std::string::npos);
    EXPECT_NE(run(start + "manifest show").output.find("abc"), std::string::npos);
    EXPECT_EQ(run(start + "replace-control 2").exit, 0);
    EXPECT_EQ(run(start + "replace-control two").exit, 1);
    EXPECT_EQ(run("--vm " + vm.address() + " status").exit, 1);
}

TEST(ControlToolTest, bootstrapFormsOneGroup)
{
    std::string token = " --token_file " + writeFile("token", "secret");
    StandIn undecided([](const Request&) { return answer(504, 4109, "command_timeout"); });
    StandIn ready([](const Request&) { return answer(200, 0, "ok"); });
    section("a VM that is down is passed over", [&] {
        EXPECT_EQ(run("--vm 127.0.0.1:1," + ready.address() + token + " bootstrap").exit, 0);
    });
    section("a VM that may have formed the group is not", [&] {
        EXPECT_EQ(run("--vm " + undecided.address() + "," + ready.address() + token + " bootstrap").exit, 4);
        EXPECT_EQ(ready.requests, 1);
    });
}
