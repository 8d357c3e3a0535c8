/** @file OperatorApi.cpp Request handlers of the HTTP interface for operators and targets. */
#include "OperatorApi.h"

#include "kingcup/JsonLog.h"
#include "kingcup/ManifestParser.h"
#include "kingcup/TargetStates.h"

#include <absl/strings/str_split.h>
#include <curl/curl.h>

namespace kingcup {

namespace {

constexpr Milliseconds queryTimeout { 2000 };
constexpr Milliseconds commandTimeout { 8000 };
constexpr size_t bodyChunkBytes = 64u << 10;
constexpr size_t maxReadBodyBytes = 2 * maxManifestBytes; ///< Read beyond the limit of a manifest, so that the answer that names the limit is not lost in a reset connection.
constexpr int statusOk = 200;
constexpr size_t maxLoggedBodyBytes = 300; ///< Part of the body of a rejected announcement that is logged.
constexpr uint32_t listenerThreads = 1;
constexpr uint32_t maxConnections = 1000;

void answerText(const std::shared_ptr<HttpExchange>& exchange, int status, std::string_view contentType, std::string text)
{
    HttpAnswerHead head;
    head.status = status;
    head.headers.add("Content-Type", contentType);
    exchange->answer(std::move(head), std::move(text));
}

void answerJson(const std::shared_ptr<HttpExchange>& exchange, int status, const nlohmann::ordered_json& body)
{
    answerText(exchange, status, jsonContentType, body.dump() + "\n");
}

/** Returns the leading fields of every JSON answer: result code, its name and a detail, which defaults to the text of the code. */
nlohmann::ordered_json resultFields(ResultCode code, const std::string& detail)
{
    const ResultCodeRow& row = resultCodeRow(code);
    return { { "code", static_cast<int>(code) }, { "name", row.name }, { "detail", detail.empty() ? std::string(row.text) : detail } };
}

void answerResult(const std::shared_ptr<HttpExchange>& exchange, ResultCode code, const std::string& detail = {})
{
    answerJson(exchange, resultCodeRow(code).httpStatus, resultFields(code, detail));
}

/** Returns the value of a query parameter, without percent-decoding; empty if it is missing. */
std::string queryParameter(const std::string& requestTarget, std::string_view name)
{
    size_t queryStart = requestTarget.find('?');
    if (queryStart == std::string::npos)
        return {};
    std::vector<std::string> pairs = absl::StrSplit(requestTarget.substr(queryStart + 1), '&');
    for (const std::string& pair : pairs) {
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
    }
    return {};
}

/** Returns the availability zone that a request names; empty if it is missing or malformed. */
std::optional<std::string> zoneParameter(const std::string& requestTarget)
{
    constexpr size_t maxZoneBytes = 64;
    std::string encoded = queryParameter(requestTarget, "zone");
    int size = 0;
    std::unique_ptr<char, decltype(&curl_free)> decoded(curl_easy_unescape(nullptr, encoded.c_str(), static_cast<int>(encoded.size()), &size), &curl_free);
    std::string zone(decoded.get(), decoded ? static_cast<size_t>(size) : 0);
    bool isPlain = zone.find_first_of("\"\\") == std::string::npos;
    // The parser accepts neither control characters nor invalid UTF-8, which could not be listed in answers.
    bool isText = isPlain && nlohmann::json::accept('"' + zone + '"');
    return !zone.empty() && zone.size() <= maxZoneBytes && isText ? std::optional(zone) : std::nullopt;
}

HttpListenerOptions operatorListenerOptions(const Settings& settings)
{
    HttpListenerOptions options;
    options.address = settings.operatorListener;
    options.threads = listenerThreads;
    options.maxConnections = maxConnections;
    options.maxHeaderBytes = settings.maxHeaderBytes;
    options.maxBodyBytes = maxReadBodyBytes;
    options.slowSenderTimeout = settings.slowSenderTimeout;
    return options;
}

} // namespace

const OperatorApi::Route OperatorApi::routes[] = {
    { "GET", "/healthz", Access::Open, &OperatorApi::answerHealth },
    { "GET", "/readyz", Access::Open, &OperatorApi::answerReadiness },
    { "GET", "/metrics", Access::Open, &OperatorApi::answerMetrics },
    { "GET", "/v1/dump", Access::Operator, &OperatorApi::answerDump },
    { "GET", "/v1/status", Access::Operator, &OperatorApi::answerStatus },
    { "GET", "/v1/targets", Access::Operator, &OperatorApi::answerTargets },
    { "GET", "/v1/manifest", Access::Operator, &OperatorApi::answerManifest },
    { "POST", "/v1/manifest", Access::Operator, &OperatorApi::applyManifest },
    { "POST", "/v1/bootstrap", Access::Operator, &OperatorApi::bootstrap },
    { "POST", "/v1/replace-control", Access::Operator, &OperatorApi::replaceControl },
    { "GET", "/v1/zones", Access::Operator, &OperatorApi::answerZones },
    { "POST", "/v1/zones/evacuate", Access::Operator, &OperatorApi::evacuateZone },
    { "POST", "/v1/zones/restore", Access::Operator, &OperatorApi::restoreZone },
    { "POST", "/v1/targets/announce", Access::Target, &OperatorApi::announceTarget },
    { "POST", "/v1/targets/leave", Access::Target, &OperatorApi::removeTarget },
};

OperatorApi::OperatorApi(const Settings& settings, const Edge& edge, LeaderClient& leaderClient, TargetAnnouncements& announcements, Metrics& metrics, OperatorApiHooks hooks)
    : settings(settings)
    , edge(edge)
    , leaderClient(leaderClient)
    , announcements(announcements)
    , metrics(metrics)
    , hooks(std::move(hooks))
    , listener(operatorListenerOptions(settings), [this](const Exchange& exchange) { this->handle(exchange); })
{
}

std::error_code OperatorApi::start()
{
    if (this->settings.access == ListenerAccess::Open)
        return this->listener.start();
    if (std::error_code error = this->operatorToken.load(this->settings.operatorTokenFile))
        return error;
    if (std::error_code error = this->targetToken.load(this->settings.targetTokenFile))
        return error;
    return this->listener.start();
}

void OperatorApi::stop()
{
    this->listener.stop();
}

void OperatorApi::handle(const Exchange& exchange)
{
    ResultCode code = ResultCode::Ok;
    const Route* route = this->findRoute(exchange->head(), code);
    if (!route) {
        answerResult(exchange, code);
        return;
    }
    if (!this->isPermitted(route->access, exchange->head().headers)) {
        answerResult(exchange, ResultCode::Unauthorized);
        return;
    }
    auto body = std::make_shared<std::string>();
    exchange->setReadableHook([this, exchange, route, body] { this->readBody(exchange, *route, body); });
    this->readBody(exchange, *route, body);
}

/** Returns the route of a request; if there is none, null and NotFound or MethodNotAllowed in `code`. */
const OperatorApi::Route* OperatorApi::findRoute(const HttpRequestHead& head, ResultCode& code) const
{
    code = ResultCode::NotFound;
    for (const Route& route : routes) {
        if (route.path != head.path)
            continue;
        if (route.method == head.method)
            return &route;
        code = ResultCode::MethodNotAllowed;
    }
    return nullptr;
}

bool OperatorApi::isPermitted(Access access, const HttpHeaders& headers) const
{
    if (this->settings.access == ListenerAccess::Open)
        return true;
    switch (access) {
    case Access::Open:
        return true;
    case Access::Operator:
        return this->operatorToken.matches(headers);
    case Access::Target:
        return this->targetToken.matches(headers);
    }
    return false;
}

/** Reads the part of the body that has arrived. At the end of the body, calls the handler. */
void OperatorApi::readBody(const Exchange& exchange, const Route& route, const std::shared_ptr<std::string>& body)
{
    for (;;) {
        std::string chunk;
        HttpExchange::BodyState state = exchange->readBody(chunk, bodyChunkBytes);
        body->append(chunk);
        if (state == HttpExchange::BodyState::Pending)
            return;
        if (state == HttpExchange::BodyState::Failed) {
            answerResult(exchange, ResultCode::BadRequest);
            return;
        }
        if (state == HttpExchange::BodyState::End) {
            (this->*route.handler)(exchange, *body);
            return;
        }
    }
}

void OperatorApi::answerHealth(const Exchange& exchange, const std::string&)
{
    answerText(exchange, statusOk, "text/plain", "ok\n");
}

void OperatorApi::answerReadiness(const Exchange& exchange, const std::string&)
{
    bool isReady = this->hooks.isReady();
    answerText(exchange, isReady ? statusOk : resultCodeRow(ResultCode::Isolated).httpStatus, "text/plain", isReady ? "ready\n" : "not ready\n");
}

void OperatorApi::answerMetrics(const Exchange& exchange, const std::string&)
{
    answerText(exchange, statusOk, "text/plain; version=0.0.4", this->metrics.serialize());
}

void OperatorApi::answerDump(const Exchange& exchange, const std::string&)
{
    this->hooks.dump([exchange](const nlohmann::json& state) { answerJson(exchange, statusOk, state); });
}

/** Answers with the leader's view of the control group, or with this VM's own view if no leader answers. */
void OperatorApi::answerStatus(const Exchange& exchange, const std::string&)
{
    wire::Envelope envelope;
    envelope.mutable_query_request()->set_subject("status");
    this->leaderClient.sendRequest(std::move(envelope), queryTimeout, [this, exchange](ResultCode code, const wire::Envelope& answer) {
        if (code == ResultCode::Ok && answer.query_answer().result_code() == 0) {
            answerText(exchange, statusOk, jsonContentType, answer.query_answer().json() + "\n");
            return;
        }
        this->hooks.localStatus([exchange](const nlohmann::json& state) { answerJson(exchange, statusOk, state); });
    });
}

void OperatorApi::answerTargets(const Exchange& exchange, const std::string&)
{
    this->forwardQuery(exchange, "targets");
}

void OperatorApi::answerManifest(const Exchange& exchange, const std::string&)
{
    std::string number = queryParameter(exchange->head().target, "number");
    if (!number.empty()) {
        this->forwardQuery(exchange, "manifest:" + number);
        return;
    }
    wire::Envelope envelope;
    envelope.mutable_query_request()->set_subject("manifest");
    this->leaderClient.sendRequest(std::move(envelope), queryTimeout, [this, exchange](ResultCode code, const wire::Envelope& answer) {
        if (code != ResultCode::Ok || answer.query_answer().result_code() != 0)
            answerResult(exchange, ResultCode::NoQuorum);
        else
            this->answerCurrentManifest(exchange, answer.query_answer().json());
    });
}

void OperatorApi::answerCurrentManifest(const Exchange& exchange, const std::string& text) const
{
    std::optional<std::string> formatted = this->edge.formatManifest(nlohmann::json::parse(text, nullptr, false));
    if (formatted)
        answerText(exchange, statusOk, jsonContentType, *formatted);
    else
        answerResult(exchange, ResultCode::Isolated, "no manifest has been accepted yet");
}

/** Forwards a query to the leader and returns its answer. */
void OperatorApi::forwardQuery(const Exchange& exchange, const std::string& subject)
{
    wire::Envelope envelope;
    envelope.mutable_query_request()->set_subject(subject);
    this->leaderClient.sendRequest(std::move(envelope), queryTimeout, [exchange](ResultCode code, const wire::Envelope& answer) {
        if (code != ResultCode::Ok)
            answerResult(exchange, ResultCode::NoQuorum);
        else
            answerText(exchange, statusOk, jsonContentType, answer.query_answer().json() + "\n");
    });
}

/** Validates a manifest locally, so that errors are reported without a leader, and sends it to the leader. */
void OperatorApi::applyManifest(const Exchange& exchange, const std::string& body)
{
    auto parsed = parseManifest(body, this->settings.manifestPolicy);
    if (const DocumentError* error = std::get_if<DocumentError>(&parsed)) {
        answerResult(exchange, error->code, error->pointer + ": " + error->text);
        return;
    }
    wire::Envelope envelope;
    envelope.mutable_command_request()->set_manifest_json(body);
    this->leaderClient.sendRequest(std::move(envelope), commandTimeout, [this, exchange](ResultCode code, const wire::Envelope& answer) {
        if (code != ResultCode::Ok)
            answerResult(exchange, code);
        else
            this->answerManifestResult(exchange, answer.command_answer().result());
    });
}

/** Answers an applied manifest with its result. The answer to an accepted manifest also states how many VMs already use it. */
void OperatorApi::answerManifestResult(const Exchange& exchange, const wire::CommandResult& result)
{
    ResultCode code = static_cast<ResultCode>(result.result_code());
    nlohmann::ordered_json fields = resultFields(code, result.detail());
    fields["number"] = result.manifest_number();
    fields["digest"] = result.manifest_digest();
    fields["index"] = result.index();
    int status = resultCodeRow(code).httpStatus;
    logLine(LogLevel::Info, "manifest_answered", { { "result", resultCodeRow(code).name }, { "number", result.manifest_number() } });
    if (code != ResultCode::Ok) {
        answerJson(exchange, status, fields);
        return;
    }
    wire::Envelope envelope;
    envelope.mutable_query_request()->set_subject("manifest:" + std::to_string(result.manifest_number()));
    this->leaderClient.sendRequest(std::move(envelope), queryTimeout, [exchange, fields, status](ResultCode queryCode, const wire::Envelope& answer) mutable {
        nlohmann::json state = nlohmann::json::parse(answer.query_answer().json(), nullptr, false);
        if (queryCode == ResultCode::Ok && state.is_object())
            fields["inForce"] = state["inForce"];
        answerJson(exchange, status, fields);
    });
}

void OperatorApi::bootstrap(const Exchange& exchange, const std::string&)
{
    if (!this->hooks.bootstrap) {
        answerResult(exchange, ResultCode::NotFound, "the control role is disabled on this VM");
        return;
    }
    this->hooks.bootstrap([exchange](ResultCode code, const std::string& detail) { answerResult(exchange, code, detail); });
}

void OperatorApi::replaceControl(const Exchange& exchange, const std::string& body)
{
    nlohmann::json object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("id") || !object["id"].is_number_unsigned()) {
        answerResult(exchange, ResultCode::CommandMalformed, "/id: must be an unsigned number, the id of a control VM");
        return;
    }
    wire::Envelope envelope;
    envelope.mutable_replace_control_request()->mutable_member()->set_vm_id(object["id"].get<uint32_t>());
    this->leaderClient.sendRequest(std::move(envelope), commandTimeout, [exchange](ResultCode code, const wire::Envelope& answer) {
        answerResult(exchange, code == ResultCode::Ok ? static_cast<ResultCode>(answer.admin_answer().result_code()) : code);
    });
}

void OperatorApi::answerZones(const Exchange& exchange, const std::string&)
{
    this->forwardQuery(exchange, "zones");
}

void OperatorApi::evacuateZone(const Exchange& exchange, const std::string&)
{
    this->changeZone(exchange, true);
}

void OperatorApi::restoreZone(const Exchange& exchange, const std::string&)
{
    this->changeZone(exchange, false);
}

/** Takes the zone of the query out of use or restores it. Every failure of a well-formed command is answered 503, so that the operator repeats it. */
void OperatorApi::changeZone(const Exchange& exchange, bool isOutOfUse)
{
    std::optional<std::string> zone = zoneParameter(exchange->head().target);
    if (!zone) {
        answerResult(exchange, ResultCode::CommandMalformed, "query parameter zone (name of the availability zone, 1 to 64 bytes) is missing or malformed");
        return;
    }
    wire::Command command;
    command.mutable_change_zone()->set_availability_zone(*zone);
    command.mutable_change_zone()->set_out_of_use(isOutOfUse);
    auto answer = [exchange](const wire::CommandResult& result) {
        constexpr int statusUnavailable = 503;
        ResultCode code = static_cast<ResultCode>(result.result_code());
        bool isRepeatable = code == ResultCode::Ok || resultCodeRow(code).httpStatus == statusUnavailable;
        answerResult(exchange, isRepeatable ? code : ResultCode::NoQuorum, result.detail());
    };
    // An operator that has left may have had a later command for the zone accepted by another VM.
    this->leaderClient.sendCommand(std::move(command), commandTimeout, std::move(answer), [exchange] { return !exchange->hasCallerLeft(); });
}

void OperatorApi::announceTarget(const Exchange& exchange, const std::string& body)
{
    Edge::Announcement parsed = this->edge.parseAnnouncement(body, queryParameter(exchange->head().target, "id"));
    if (const std::string* error = std::get_if<std::string>(&parsed)) {
        logLine(LogLevel::Warning, "announcement_refused", { { "peer", exchange->head().peer }, { "error", *error }, { "target", exchange->head().target }, { "body", body.substr(0, maxLoggedBodyBytes) } });
        answerResult(exchange, ResultCode::CommandMalformed, *error);
        return;
    }
    wire::TargetLoad load = std::get<wire::TargetLoad>(std::move(parsed));
    if (load.target().state() == wire::TARGET_DRAINING || load.target().state() == wire::TARGET_GONE) {
        this->recordDeparture(exchange, load.target());
        return;
    }
    this->announcements.add(std::move(load), [exchange](bool isAccepted) { answerResult(exchange, isAccepted ? ResultCode::Ok : ResultCode::NoQuorum); });
}

/** Removes a target that is identified only by the name of its instance. */
void OperatorApi::removeTarget(const Exchange& exchange, const std::string&)
{
    wire::TargetRecord target;
    target.set_instance(queryParameter(exchange->head().target, "id"));
    target.set_state(wire::TARGET_GONE);
    if (target.instance().empty())
        answerResult(exchange, ResultCode::CommandMalformed, "query parameter id (name of the target's instance) is missing");
    else
        this->recordDeparture(exchange, std::move(target));
}

/** Answers once the departure is committed. After a successful answer the target gets no new requests. */
void OperatorApi::recordDeparture(const Exchange& exchange, wire::TargetRecord target)
{
    std::string instance = target.instance();
    std::string state(nameOf(targetStateNames, target.state()));
    this->announcements.addDeparture(std::move(target), [exchange, instance, state](ResultCode code) {
        // An instance that is unknown, or was replaced by a newer incarnation, gets no requests either, so the departure has succeeded.
        bool isWithdrawn = code == ResultCode::Ok || code == ResultCode::UnknownTarget || code == ResultCode::OldIncarnation;
        logLine(LogLevel::Info, "departure_answered", { { "instance", instance }, { "state", state }, { "result", resultCodeRow(code).name } });
        answerResult(exchange, isWithdrawn ? ResultCode::Ok : code);
    });
}

} // namespace kingcup
