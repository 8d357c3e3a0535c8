/** @file Commands.cpp Implements the commands and prints their results. */
#include "Commands.h"

#include "LogLines.h"
#include "OperatorClient.h"
#include "TextTable.h"
#include "kingcup/ManifestParser.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <thread>

namespace kingcup {

using nlohmann::json;

namespace {

constexpr Milliseconds waitPollInterval { 100 }; ///< Pause between two requests whether a manifest is in force.

/** Reads a whole file. Prints an error and returns nothing if it cannot be read. */
std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    if (file.is_open() && !file.bad())
        return text;
    std::cerr << "kingcupctl: cannot read " << path << "\n";
    return std::nullopt;
}

/** Creates a client from the options. Prints an error and returns nothing if --vm or --token_file is missing or the token cannot be read. */
std::optional<OperatorClient> makeClient(const CommandOptions& options)
{
    if (options.vms.empty() || options.tokenFile.empty()) {
        std::cerr << "kingcupctl: this command needs --vm and --token_file\n";
        return std::nullopt;
    }
    std::optional<std::string> token = readFile(options.tokenFile);
    if (!token)
        return std::nullopt;
    return OperatorClient(options.vms, std::string(absl::StripAsciiWhitespace(*token)), options.timeout);
}

/** Prints why a command failed and returns its exit code. */
ExitCode reportFailure(const OperatorAnswer& answer)
{
    const ResultCodeRow& row = resultCodeRow(answer.code);
    std::cerr << "kingcupctl: " << answer.vm << ": " << static_cast<int>(row.code) << " " << std::string(row.name) << ": " << answer.detail << "\n";
    return exitCodeFor(answer.code);
}

/** Prints a whole JSON object, indented. */
void viewJson(const json& body)
{
    std::cout << body.dump(2) << "\n";
}

/** Prints an answer as JSON or as tables and returns its exit code. With --json, failures print an object as well, so that scripts can parse them. */
ExitCode report(const CommandOptions& options, const OperatorAnswer& answer, void (*view)(const json& body))
{
    const ResultCodeRow& row = resultCodeRow(answer.code);
    json failure = { { "code", static_cast<int>(row.code) }, { "name", row.name }, { "detail", answer.detail } };
    if (options.json)
        viewJson(answer.body.is_object() ? answer.body : failure);
    ExitCode exit = exitCodeFor(answer.code);
    if (exit != ExitCode::Success)
        return reportFailure(answer);
    if (!options.json)
        view(answer.body);
    return exit;
}

/** Sends a request, prints its answer and returns the exit code. */
ExitCode ask(const CommandOptions& options, const std::string& path, const std::string& body, ResendRule rule, void (*view)(const json& body))
{
    std::optional<OperatorClient> client = makeClient(options);
    if (!client)
        return ExitCode::Usage;
    return report(options, client->send(path, body, rule), view);
}

/** Prints the result name and detail of an answer. */
void viewOutcome(const json& body)
{
    std::cout << formatTable({ { "RESULT", "/name" }, { "DETAIL", "/detail" } }, json::array({ body }));
}

/** Prints a manifest's number and digest, on how many entry VMs it is in force, and its services if the answer lists them. */
void viewManifest(const json& body)
{
    const std::vector<Column> columns = { { "RESULT", "/name" }, { "NUMBER", "/number" }, { "DIGEST", "/digest" },
        { "CONFIRMED", "/inForce/confirmed" }, { "TOTAL", "/inForce/total" }, { "COMPLETE", "/inForce/complete" } };
    std::cout << formatTable(columns, json::array({ body }));
    if (body.contains("services"))
        std::cout << "\n"
                  << formatTable({ { "SERVICE", "/name" }, { "HOST", "/host" }, { "PATH PREFIX", "/pathPrefix" } }, body["services"]);
}

/** Prints the status of a VM, the members of its control group and the entry VMs. */
void viewStatus(const json& body)
{
    const std::vector<Column> self = { { "VM", "/vm" }, { "ROLE", "/role" }, { "LEADER", "/leader" }, { "TERM", "/term" },
        { "COMMIT INDEX", "/commitIndex" }, { "MANIFEST", "/manifest/number" }, { "DIGEST", "/manifest/digest" } };
    std::cout << formatTable(self, json::array({ body })) << "\n";
    const std::vector<Column> members = { { "MEMBER", "/id" }, { "INCARNATION", "/incarnation" }, { "VOTER", "/voter" }, { "MATCH INDEX", "/matchIndex" } };
    std::cout << formatTable(members, body.value("members", json::array())) << "\n";
    const std::vector<Column> entryVms = { { "ENTRY VM", "/vm" }, { "HELD INDEX", "/heldIndex" }, { "LEASE MS", "/leaseMs" } };
    std::cout << formatTable(entryVms, body.value("entryVms", json::array()));
}

void viewTargets(const json& body)
{
    const std::vector<Column> columns = { { "SERVICE", "/service" }, { "ADDRESS", "/address" }, { "ZONE", "/availabilityZone" },
        { "SLOTS", "/slots" }, { "INCARNATION", "/incarnation" }, { "STATE", "/state" } };
    std::cout << formatTable(columns, body.value("targets", json::array()));
}

/** Prints why a manifest is invalid. */
ExitCode reportInvalid(const CommandOptions& options, const DocumentError& error)
{
    const ResultCodeRow& row = resultCodeRow(error.code);
    if (options.json)
        viewJson({ { "code", static_cast<int>(row.code) }, { "name", row.name }, { "pointer", error.pointer }, { "detail", error.text } });
    std::string place = error.pointer.empty() ? "document" : error.pointer;
    std::cerr << "kingcupctl: " << static_cast<int>(row.code) << " " << std::string(row.name) << ": " << place << ": " << error.text << "\n";
    return ExitCode::InvalidDocument;
}

/** Runs `manifest check`, which sends no request. */
ExitCode manifestCheck(const CommandOptions& options, const std::string& path)
{
    std::optional<std::string> text = readFile(path);
    if (!text)
        return ExitCode::Usage;
    std::variant<CheckedManifest, DocumentError> result = parseManifest(*text);
    if (auto* error = std::get_if<DocumentError>(&result))
        return reportInvalid(options, *error);
    const CheckedManifest& checked = std::get<CheckedManifest>(result);
    size_t kinds = 0;
    for (const Service& service : checked.manifest.services)
        kinds += service.kinds.size();
    json summary = { { "code", 0 }, { "name", "ok" }, { "number", checked.manifest.number }, { "digest", checked.digest },
        { "services", checked.documents.size() }, { "kinds", kinds } };
    if (options.json)
        viewJson(summary);
    else
        std::cout << formatTable({ { "NUMBER", "/number" }, { "DIGEST", "/digest" }, { "SERVICES", "/services" }, { "KINDS", "/kinds" } }, json::array({ summary }));
    return ExitCode::Success;
}

/** Returns whether an answer states that a manifest is in force on every entry VM. */
bool isInForce(const OperatorAnswer& answer)
{
    json::json_pointer place("/inForce/complete");
    return answer.body.is_object() && answer.body.contains(place) && answer.body.at(place) == true;
}

/** Polls until a manifest is in force on every entry VM or the client's deadline is reached. Returns the last successful answer. */
OperatorAnswer waitInForce(OperatorClient& client, uint64_t number, OperatorAnswer answer)
{
    std::string path = absl::StrCat("/v1/manifest?number=", number);
    while (!isInForce(answer) && MillisecondClock::now() + waitPollInterval < client.deadline()) {
        std::this_thread::sleep_for(waitPollInterval);
        OperatorAnswer next = client.send(path, "");
        if (next.code == ResultCode::Ok || next.code == ResultCode::ManifestSuperseded)
            answer = std::move(next);
    }
    return answer;
}

/** Runs `manifest apply`. An invalid manifest is not sent. */
ExitCode manifestApply(const CommandOptions& options, const std::string& path)
{
    std::optional<OperatorClient> client = makeClient(options);
    std::optional<std::string> text = client ? readFile(path) : std::nullopt;
    if (!text)
        return ExitCode::Usage;
    std::variant<CheckedManifest, DocumentError> result = parseManifest(*text);
    if (auto* error = std::get_if<DocumentError>(&result))
        return reportInvalid(options, *error);
    OperatorAnswer answer = client->send("/v1/manifest", *text);
    bool isAccepted = exitCodeFor(answer.code) == ExitCode::Success;
    if (options.wait && isAccepted)
        answer = waitInForce(*client, std::get<CheckedManifest>(result).manifest.number, std::move(answer));
    ExitCode exit = report(options, answer, viewManifest);
    if (!options.wait || exit != ExitCode::Success || isInForce(answer))
        return exit;
    std::cerr << "kingcupctl: accepted, but not in force everywhere within " << options.timeout.count() << " ms\n";
    return ExitCode::NotInForce;
}

/** Runs `manifest show`. */
ExitCode manifestShow(const CommandOptions& options, const std::string&)
{
    return ask(options, "/v1/manifest", "", ResendRule::UntilDecided, viewManifest);
}

/** Runs `bootstrap`. Once a connection was opened, the request goes to no other VM, so that two VMs do not form two groups. */
ExitCode bootstrap(const CommandOptions& options, const std::string&)
{
    return ask(options, "/v1/bootstrap", "{}", ResendRule::OnlyUnsent, viewOutcome);
}

/** Runs `status`. */
ExitCode status(const CommandOptions& options, const std::string&)
{
    return ask(options, "/v1/status", "", ResendRule::UntilDecided, viewStatus);
}

/** Runs `targets`. */
ExitCode targets(const CommandOptions& options, const std::string&)
{
    return ask(options, "/v1/targets", "", ResendRule::UntilDecided, viewTargets);
}

/** Runs `dump`. */
ExitCode dump(const CommandOptions& options, const std::string&)
{
    return ask(options, "/v1/dump", "", ResendRule::UntilDecided, viewJson);
}

/** Runs `replace-control`. */
ExitCode replaceControl(const CommandOptions& options, const std::string& argument)
{
    uint32_t id = 0;
    if (!absl::SimpleAtoi(argument, &id) || id < 1 || id > 65535) {
        std::cerr << "kingcupctl: ID must be a number from 1 to 65535\n";
        return ExitCode::Usage;
    }
    return ask(options, "/v1/replace-control", json { { "id", id } }.dump(), ResendRule::UntilDecided, viewOutcome);
}

/** Runs `explain`, which sends no request. */
ExitCode explain(const CommandOptions& options, const std::string& id)
{
    if (options.logFiles.empty()) {
        std::cerr << "kingcupctl: this command needs --logs\n";
        return ExitCode::Usage;
    }
    std::vector<std::string> files;
    for (const std::string& path : options.logFiles) {
        std::optional<std::string> text = readFile(path);
        if (!text)
            return ExitCode::Usage;
        files.push_back(std::move(*text));
    }
    RequestLines found = requestLines(id, files);
    if (options.json)
        viewJson({ { "lines", found.lines }, { "unreadable", found.unreadable }, { "leftOut", found.leftOut } });
    else
        for (const json& line : found.lines)
            std::cout << describeLine(line) << "\n";
    if (found.unreadable || found.leftOut)
        std::cerr << "kingcupctl: " << found.leftOut << " log lines were not written by the processes, " << found.unreadable << " lines are not readable\n";
    if (!found.lines.empty())
        return ExitCode::Success;
    std::cerr << "kingcupctl: no line of " << id << " in the log files\n";
    return ExitCode::Refused;
}

constexpr CommandRow commands[] = {
    { "bootstrap", "", "forms the control group of a new deployment", bootstrap },
    { "manifest check", "FILE", "checks a manifest without any VM", manifestCheck },
    { "manifest apply", "FILE", "checks a manifest and puts it into force", manifestApply },
    { "manifest show", "", "shows the manifest in force", manifestShow },
    { "status", "", "shows leader, members and entry VMs", status },
    { "targets", "", "lists the targets", targets },
    { "dump", "", "prints the state of one VM's process as JSON", dump },
    { "explain", "ID", "prints the log lines of a request from --logs, by its id or by VM/CALL", explain },
    { "replace-control", "ID", "makes a repaired control VM a voter in place of its old incarnation", replaceControl },
};

} // namespace

std::span<const CommandRow> commandTable()
{
    return commands;
}

ExitCode runCommand(const CommandOptions& options, const std::vector<std::string>& words)
{
    if (!(options.timeout > Milliseconds(0))) {
        std::cerr << "kingcupctl: --timeout_ms must be positive\n";
        return ExitCode::Usage;
    }
    std::string line = absl::StrJoin(words, " ");
    for (const CommandRow& row : commands) {
        std::string name(row.name);
        if (row.argument.empty() && line == name)
            return row.run(options, "");
        bool hasArgument = words.size() > 1 && absl::StrJoin(words.begin(), words.end() - 1, " ") == name;
        if (!row.argument.empty() && hasArgument)
            return row.run(options, words.back());
    }
    std::cerr << "kingcupctl: unknown command \"" << line << "\"; see --help\n";
    return ExitCode::Usage;
}

std::string usageText()
{
    std::string text = "usage: kingcupctl [flags] COMMAND\n\ncommands:\n";
    json rows = json::array();
    for (const CommandRow& row : commands)
        rows.push_back({ { "command", std::string(row.name) + " " + std::string(row.argument) }, { "text", row.text } });
    text += formatTable({ { "COMMAND", "/command" }, { "EFFECT", "/text" } }, rows);
    text += "\nexit codes:\n";
    rows = json::array();
    for (const ExitCodeRow& row : exitCodeTable())
        rows.push_back({ { "code", static_cast<int>(row.code) }, { "text", row.text } });
    return text + formatTable({ { "CODE", "/code" }, { "MEANING", "/text" } }, rows);
}

} // namespace kingcup
