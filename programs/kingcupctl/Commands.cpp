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
#include <curl/curl.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <thread>

namespace kingcup {

using nlohmann::json;

namespace {

constexpr Milliseconds waitPollInterval { 100 }; ///< Pause between two polls of whether a manifest is in force.

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
    if (options.vmAddresses.empty() || options.tokenFile.empty()) {
        std::cerr << "kingcupctl: this command needs --vm and --token_file\n";
        return std::nullopt;
    }
    std::optional<std::string> token = readFile(options.tokenFile);
    if (!token)
        return std::nullopt;
    return OperatorClient(options.vmAddresses, std::string(absl::StripAsciiWhitespace(*token)), options.timeout);
}

/** Prints why a command failed and returns its exit code. */
ExitCode reportFailure(const OperatorAnswer& answer)
{
    const ResultCodeRow& row = resultCodeRow(answer.code);
    std::cerr << "kingcupctl: " << answer.vmAddress << ": " << static_cast<int>(row.code) << " " << std::string(row.name) << ": " << answer.detail << "\n";
    return exitCodeFor(answer.code);
}

/** Prints a whole JSON object, indented. */
void printJson(const json& body)
{
    std::cout << body.dump(2) << "\n";
}

/** Prints an answer as JSON or as tables and returns its exit code. With --json, failures print an object as well, so that scripts can parse them. */
ExitCode reportAnswer(const CommandOptions& options, const OperatorAnswer& answer, void (*printBody)(const json& body))
{
    const ResultCodeRow& row = resultCodeRow(answer.code);
    json failure = { { "code", static_cast<int>(row.code) }, { "name", row.name }, { "detail", answer.detail } };
    if (options.hasJsonOutput)
        printJson(answer.body.is_object() ? answer.body : failure);
    ExitCode exitCode = exitCodeFor(answer.code);
    if (exitCode != ExitCode::Success)
        return reportFailure(answer);
    if (!options.hasJsonOutput)
        printBody(answer.body);
    return exitCode;
}

/** Sends a request, prints its answer and returns the exit code. */
ExitCode sendAndReport(const CommandOptions& options, const std::string& path, const std::string& body, ResendRule rule, void (*printBody)(const json& body))
{
    std::optional<OperatorClient> client = makeClient(options);
    if (!client)
        return ExitCode::UsageError;
    return reportAnswer(options, client->send(path, body, rule), printBody);
}

/** Prints the result name and detail of an answer. */
void printOutcome(const json& body)
{
    std::cout << formatTable({ { "RESULT", "/name" }, { "DETAIL", "/detail" } }, json::array({ body }));
}

/** Prints a manifest's number and digest, on how many entry VMs it is in force, and its services if the answer lists them. */
void printManifest(const json& body)
{
    const std::vector<Column> columns = { { "RESULT", "/name" }, { "NUMBER", "/number" }, { "DIGEST", "/digest" },
        { "CONFIRMED", "/inForce/confirmed" }, { "TOTAL", "/inForce/total" }, { "COMPLETE", "/inForce/complete" } };
    std::cout << formatTable(columns, json::array({ body }));
    if (body.contains("services"))
        std::cout << "\n"
                  << formatTable({ { "SERVICE", "/name" }, { "HOST", "/host" }, { "PATH PREFIX", "/pathPrefix" } }, body["services"]);
}

/** Prints the status of a VM, the members of its control group and the entry VMs. */
void printStatus(const json& body)
{
    const std::vector<Column> vmColumns = { { "VM", "/vm" }, { "ROLE", "/role" }, { "LEADER", "/leader" }, { "TERM", "/term" },
        { "COMMIT INDEX", "/commitIndex" }, { "MANIFEST", "/manifest/number" }, { "DIGEST", "/manifest/digest" } };
    std::cout << formatTable(vmColumns, json::array({ body })) << "\n";
    const std::vector<Column> memberColumns = { { "MEMBER", "/id" }, { "INCARNATION", "/incarnation" }, { "VOTER", "/voter" }, { "MATCH INDEX", "/matchIndex" } };
    std::cout << formatTable(memberColumns, body.value("members", json::array())) << "\n";
    const std::vector<Column> entryVmColumns = { { "ENTRY VM", "/vm" }, { "HELD INDEX", "/heldIndex" }, { "LEASE MS", "/leaseMs" } };
    std::cout << formatTable(entryVmColumns, body.value("entryVms", json::array()));
    json zones = body.value("zonesOutOfUse", json::array());
    if (!zones.empty())
        std::cout << "\n"
                  << formatTable({ { "ZONE OUT OF USE", "/zone" }, { "AGE MS", "/ageMs" } }, zones);
}

void printTargets(const json& body)
{
    const std::vector<Column> columns = { { "SERVICE", "/service" }, { "ADDRESS", "/address" }, { "ZONE", "/availabilityZone" },
        { "SLOTS", "/slots" }, { "INCARNATION", "/incarnation" }, { "STATE", "/state" } };
    std::cout << formatTable(columns, body.value("targets", json::array()));
}

/** Prints why a manifest is invalid. */
ExitCode reportInvalidManifest(const CommandOptions& options, const DocumentError& error)
{
    const ResultCodeRow& row = resultCodeRow(error.code);
    if (options.hasJsonOutput)
        printJson({ { "code", static_cast<int>(row.code) }, { "name", row.name }, { "pointer", error.pointer }, { "detail", error.text } });
    std::string location = error.pointer.empty() ? "document" : error.pointer;
    std::cerr << "kingcupctl: " << static_cast<int>(row.code) << " " << std::string(row.name) << ": " << location << ": " << error.text << "\n";
    return ExitCode::InvalidManifest;
}

/** Runs `manifest check`, which sends no request. */
ExitCode checkManifest(const CommandOptions& options, const std::string& path)
{
    std::optional<std::string> text = readFile(path);
    if (!text)
        return ExitCode::UsageError;
    std::variant<CheckedManifest, DocumentError> result = parseManifest(*text);
    if (auto* error = std::get_if<DocumentError>(&result))
        return reportInvalidManifest(options, *error);
    const CheckedManifest& checked = std::get<CheckedManifest>(result);
    size_t kindCount = 0;
    for (const Service& service : checked.manifest.services)
        kindCount += service.kinds.size();
    json summary = { { "code", 0 }, { "name", "ok" }, { "number", checked.manifest.number }, { "digest", checked.digest },
        { "services", checked.documents.size() }, { "kinds", kindCount } };
    if (options.hasJsonOutput)
        printJson(summary);
    else
        std::cout << formatTable({ { "NUMBER", "/number" }, { "DIGEST", "/digest" }, { "SERVICES", "/services" }, { "KINDS", "/kinds" } }, json::array({ summary }));
    return ExitCode::Success;
}

/** Returns whether an answer states that a manifest is in force on every entry VM. */
bool isInForceEverywhere(const OperatorAnswer& answer)
{
    json::json_pointer pointer("/inForce/complete");
    return answer.body.is_object() && answer.body.contains(pointer) && answer.body.at(pointer) == true;
}

/** Polls until a manifest is in force on every entry VM or the client's deadline is reached. Returns the last successful answer. */
OperatorAnswer waitUntilInForce(OperatorClient& client, uint64_t number, OperatorAnswer answer)
{
    std::string path = absl::StrCat("/v1/manifest?number=", number);
    while (!isInForceEverywhere(answer) && MillisecondClock::now() + waitPollInterval < client.deadline()) {
        std::this_thread::sleep_for(waitPollInterval);
        OperatorAnswer next = client.send(path, "");
        if (next.code == ResultCode::Ok || next.code == ResultCode::ManifestSuperseded)
            answer = std::move(next);
    }
    return answer;
}

/** Runs `manifest apply`. An invalid manifest is not sent. */
ExitCode applyManifest(const CommandOptions& options, const std::string& path)
{
    std::optional<OperatorClient> client = makeClient(options);
    std::optional<std::string> text = client ? readFile(path) : std::nullopt;
    if (!text)
        return ExitCode::UsageError;
    std::variant<CheckedManifest, DocumentError> result = parseManifest(*text);
    if (auto* error = std::get_if<DocumentError>(&result))
        return reportInvalidManifest(options, *error);
    OperatorAnswer answer = client->send("/v1/manifest", *text);
    bool isAccepted = exitCodeFor(answer.code) == ExitCode::Success;
    if (options.waitsUntilInForce && isAccepted)
        answer = waitUntilInForce(*client, std::get<CheckedManifest>(result).manifest.number, std::move(answer));
    ExitCode exitCode = reportAnswer(options, answer, printManifest);
    if (!options.waitsUntilInForce || exitCode != ExitCode::Success || isInForceEverywhere(answer))
        return exitCode;
    std::cerr << "kingcupctl: accepted, but not in force everywhere within " << options.timeout.count() << " ms\n";
    return ExitCode::NotInForce;
}

/** Runs `manifest show`. */
ExitCode showManifest(const CommandOptions& options, const std::string&)
{
    return sendAndReport(options, "/v1/manifest", "", ResendRule::UntilDecided, printManifest);
}

/** Runs `bootstrap`. Once a connection was opened, the request goes to no other VM, so that two VMs do not form two groups. */
ExitCode bootstrapGroup(const CommandOptions& options, const std::string&)
{
    return sendAndReport(options, "/v1/bootstrap", "{}", ResendRule::OnlyIfUnsent, printOutcome);
}

/** Runs `status`. */
ExitCode showStatus(const CommandOptions& options, const std::string&)
{
    return sendAndReport(options, "/v1/status", "", ResendRule::UntilDecided, printStatus);
}

/** Runs `targets`. */
ExitCode listTargets(const CommandOptions& options, const std::string&)
{
    return sendAndReport(options, "/v1/targets", "", ResendRule::UntilDecided, printTargets);
}

/** Runs `dump`. */
ExitCode dumpState(const CommandOptions& options, const std::string&)
{
    return sendAndReport(options, "/v1/dump", "", ResendRule::UntilDecided, printJson);
}

/** Runs `replace-control`. */
ExitCode replaceControlVm(const CommandOptions& options, const std::string& argument)
{
    uint32_t id = 0;
    if (!absl::SimpleAtoi(argument, &id) || id < 1 || id > 65535) {
        std::cerr << "kingcupctl: ID must be a number from 1 to 65535\n";
        return ExitCode::UsageError;
    }
    return sendAndReport(options, "/v1/replace-control", json { { "id", id } }.dump(), ResendRule::UntilDecided, printOutcome);
}

/** Runs `explain`, which sends no request. */
ExitCode explainRequest(const CommandOptions& options, const std::string& id)
{
    if (options.logFiles.empty()) {
        std::cerr << "kingcupctl: this command needs --logs\n";
        return ExitCode::UsageError;
    }
    std::vector<std::string> fileContents;
    for (const std::string& path : options.logFiles) {
        std::optional<std::string> text = readFile(path);
        if (!text)
            return ExitCode::UsageError;
        fileContents.push_back(std::move(*text));
    }
    RequestLines found = findRequestLines(id, fileContents);
    if (options.hasJsonOutput)
        printJson({ { "lines", found.lines }, { "unreadable", found.unreadableCount }, { "leftOut", found.unwrittenCount } });
    else
        for (const json& line : found.lines)
            std::cout << formatLogLine(line) << "\n";
    if (found.unreadableCount || found.unwrittenCount)
        std::cerr << "kingcupctl: " << found.unwrittenCount << " log lines were not written by the processes, " << found.unreadableCount << " lines are not readable\n";
    if (!found.lines.empty())
        return ExitCode::Success;
    std::cerr << "kingcupctl: no line of " << id << " in the log files\n";
    return ExitCode::Refused;
}

/** Prints the zones out of use and the age of their commands. */
void printZones(const json& body)
{
    std::cout << formatTable({ { "ZONE OUT OF USE", "/zone" }, { "AGE MS", "/ageMs" } }, body.value("zones", json::array()));
}

/** Runs `zones`. */
ExitCode listZones(const CommandOptions& options, const std::string&)
{
    return sendAndReport(options, "/v1/zones", "", ResendRule::UntilDecided, printZones);
}

/** Sends a command for a zone to a path. */
ExitCode changeZone(const CommandOptions& options, const std::string& path, const std::string& zone)
{
    std::unique_ptr<char, decltype(&curl_free)> encoded(curl_easy_escape(nullptr, zone.c_str(), static_cast<int>(zone.size())), &curl_free);
    return sendAndReport(options, absl::StrCat(path, "?zone=", encoded ? encoded.get() : ""), "{}", ResendRule::UntilDecided, printOutcome);
}

/** Runs `zones evacuate`. */
ExitCode evacuateZone(const CommandOptions& options, const std::string& argument)
{
    return changeZone(options, "/v1/zones/evacuate", argument);
}

/** Runs `zones restore`. */
ExitCode restoreZone(const CommandOptions& options, const std::string& argument)
{
    return changeZone(options, "/v1/zones/restore", argument);
}

constexpr CommandRow commands[] = {
    { "bootstrap", "", "forms the control group of a new deployment", bootstrapGroup },
    { "manifest check", "FILE", "checks a manifest without any VM", checkManifest },
    { "manifest apply", "FILE", "checks a manifest and puts it into force", applyManifest },
    { "manifest show", "", "shows the manifest in force", showManifest },
    { "status", "", "shows leader, members and entry VMs", showStatus },
    { "targets", "", "lists the targets", listTargets },
    { "zones", "", "lists the availability zones out of use", listZones },
    { "zones evacuate", "ZONE", "takes an availability zone out of use: its targets get no more requests", evacuateZone },
    { "zones restore", "ZONE", "uses the targets of an availability zone again", restoreZone },
    { "dump", "", "prints the state of one VM's process as JSON", dumpState },
    { "explain", "ID", "prints the log lines of a request from --logs, by its id or by VM/CALL", explainRequest },
    { "replace-control", "ID", "makes a repaired control VM a voter in place of its old incarnation", replaceControlVm },
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
        return ExitCode::UsageError;
    }
    std::string line = absl::StrJoin(words, " ");
    for (const CommandRow& row : commands) {
        std::string name(row.name);
        if (row.argumentName.empty() && line == name)
            return row.run(options, "");
        bool hasArgument = words.size() > 1 && absl::StrJoin(words.begin(), words.end() - 1, " ") == name;
        if (!row.argumentName.empty() && hasArgument)
            return row.run(options, words.back());
    }
    std::cerr << "kingcupctl: unknown command \"" << line << "\"; see --help\n";
    return ExitCode::UsageError;
}

std::string usageText()
{
    std::string text = "usage: kingcupctl [flags] COMMAND\n\ncommands:\n";
    json rows = json::array();
    for (const CommandRow& row : commands)
        rows.push_back({ { "command", std::string(row.name) + " " + std::string(row.argumentName) }, { "text", row.description } });
    text += formatTable({ { "COMMAND", "/command" }, { "EFFECT", "/text" } }, rows);
    text += "\nexit codes:\n";
    rows = json::array();
    for (const ExitCodeRow& row : exitCodeTable())
        rows.push_back({ { "code", static_cast<int>(row.code) }, { "text", row.meaning } });
    return text + formatTable({ { "CODE", "/code" }, { "MEANING", "/text" } }, rows);
}

} // namespace kingcup
