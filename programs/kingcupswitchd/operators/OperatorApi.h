/** @file OperatorApi.h HTTP interface for operators, targets and the health checks of the platform. */
#pragma once

#include "BearerToken.h"
#include "Edge.h"
#include "LeaderClient.h"
#include "TargetAnnouncements.h"

#include "kingcup/HttpListener.h"
#include "kingcup/Metrics.h"
#include "kingcup/Settings.h"

#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace kingcup {

/** Callbacks of the interface into the process. They may be called on any thread; those that take a callback may call it later, on another thread. */
struct OperatorApiHooks {
    std::function<bool()> isReady; ///< Returns whether the platform's load balancer should send calls to this VM.
    std::function<void(std::function<void(nlohmann::json)>)> dump; ///< Returns the state of this process.
    std::function<void(std::function<void(nlohmann::json)>)> localStatus; ///< Returns this process's view of the control group.
    std::function<void(std::function<void(ResultCode, std::string)>)> bootstrap; ///< Forms the control group; empty if the control role is disabled.
};

/** Serves the requests on the operator listener. */
class OperatorApi {
public:
    OperatorApi(const Settings& settings, const Edge& edge, LeaderClient& leaderClient, TargetAnnouncements& announcements, Metrics& metrics, OperatorApiHooks hooks);

    /** Loads the tokens unless the listener is open to all, and starts to listen. Errors: FileError, Unauthorized, ListenFailed. */
    std::error_code start();

    /** Stops the listener. */
    void stop();

private:
    using Exchange = std::shared_ptr<HttpExchange>;
    using Handler = void (OperatorApi::*)(const Exchange&, const std::string& body);

    /** Token that a path requires. */
    enum class Access {
        Open, ///< No token.
        Operator, ///< Token of the operators.
        Target, ///< Token of the targets.
    };

    /** Method and path of the interface, with the handler of its requests. */
    struct Route {
        std::string_view method; ///< HTTP method, matched exactly.
        std::string_view path; ///< Path without query, matched exactly.
        Access access; ///< Required token.
        Handler handler; ///< Called when the body is complete.
    };
    static const Route routes[];

    void handle(const Exchange& exchange);
    const Route* findRoute(const HttpRequestHead& head, ResultCode& code) const;
    bool isPermitted(Access access, const HttpHeaders& headers) const;
    void readBody(const Exchange& exchange, const Route& route, const std::shared_ptr<std::string>& body);

    void answerHealth(const Exchange& exchange, const std::string& body);
    void answerReadiness(const Exchange& exchange, const std::string& body);
    void answerMetrics(const Exchange& exchange, const std::string& body);
    void answerDump(const Exchange& exchange, const std::string& body);
    void answerStatus(const Exchange& exchange, const std::string& body);
    void answerTargets(const Exchange& exchange, const std::string& body);
    void answerManifest(const Exchange& exchange, const std::string& body);
    void applyManifest(const Exchange& exchange, const std::string& body);
    void bootstrap(const Exchange& exchange, const std::string& body);
    void replaceControl(const Exchange& exchange, const std::string& body);
    void answerZones(const Exchange& exchange, const std::string& body);
    void evacuateZone(const Exchange& exchange, const std::string& body);
    void restoreZone(const Exchange& exchange, const std::string& body);
    void announceTarget(const Exchange& exchange, const std::string& body);
    void removeTarget(const Exchange& exchange, const std::string& body);

    void forwardQuery(const Exchange& exchange, const std::string& subject);
    void answerCurrentManifest(const Exchange& exchange, const std::string& text) const;
    void changeZone(const Exchange& exchange, bool isOutOfUse);
    void recordDeparture(const Exchange& exchange, wire::TargetRecord target);
    void answerManifestResult(const Exchange& exchange, const wire::CommandResult& result);

    Settings settings; ///< Settings of this process.
    const Edge& edge; ///< Formats of announcements and manifests.
    LeaderClient& leaderClient; ///< Sends requests to the leader.
    TargetAnnouncements& announcements; ///< Receives the announcements of targets.
    Metrics& metrics; ///< Metrics to expose.
    OperatorApiHooks hooks; ///< Callbacks into the process.
    BearerToken operatorToken; ///< Token of the operators.
    BearerToken targetToken; ///< Token of the targets.
    HttpListener listener; ///< Last member, so that it is destroyed first: its handler uses the other members.
};

} // namespace kingcup
