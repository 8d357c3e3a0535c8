/** @file OperatorApi.h The HTTP interface for operators, targets and the platform. */
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

/** What the interface asks of the process. Hooks may be called on any thread. */
struct OperatorApiHooks {
    std::function<bool()> ready; ///< Whether the platform's balancer should send calls here.
    std::function<void(std::function<void(nlohmann::json)>)> dump; ///< Gives the state of this process.
    std::function<void(std::function<void(nlohmann::json)>)> localStatus; ///< Gives this process's view of the group.
    std::function<void(std::function<void(ResultCode, std::string)>)> bootstrap; ///< Forms the group; empty without the role control.
};

/** Answers requests on the operators' listener. */
class OperatorApi {
public:
    OperatorApi(const Settings& settings, const Edge& edge, LeaderClient& leader, TargetAnnouncements& announcements, Metrics& metrics, OperatorApiHooks hooks);

    /** Reads the tokens and starts to listen. Errors: FileError, Unauthorized, ListenFailed. */
    std::error_code start();

    /** Closes the listener. */
    void stop();

private:
    using Exchange = std::shared_ptr<HttpExchange>;
    using Handler = void (OperatorApi::*)(const Exchange&, const std::string& body);

    /** Which token a path needs. */
    enum class Access {
        Open, ///< None.
        Operator, ///< The operators' token.
        Target, ///< The targets' token.
    };

    /** One path of the interface. */
    struct Route {
        std::string_view method; ///< HTTP method.
        std::string_view path; ///< Exact path.
        Access access; ///< Needed token.
        Handler handler; ///< Function.
    };
    static const Route routes[];

    void handle(const Exchange& exchange);
    const Route* findRoute(const HttpRequestHead& head, ResultCode& code) const;
    bool permitted(Access access, const HttpHeaders& headers) const;
    void readBody(const Exchange& exchange, const Route& route, const std::shared_ptr<std::string>& body);

    void health(const Exchange& exchange, const std::string& body);
    void readiness(const Exchange& exchange, const std::string& body);
    void exposeMetrics(const Exchange& exchange, const std::string& body);
    void dump(const Exchange& exchange, const std::string& body);
    void status(const Exchange& exchange, const std::string& body);
    void targets(const Exchange& exchange, const std::string& body);
    void showManifest(const Exchange& exchange, const std::string& body);
    void applyManifest(const Exchange& exchange, const std::string& body);
    void bootstrap(const Exchange& exchange, const std::string& body);
    void replaceControl(const Exchange& exchange, const std::string& body);
    void announceTarget(const Exchange& exchange, const std::string& body);
    void leaveTarget(const Exchange& exchange, const std::string& body);

    void query(const Exchange& exchange, const std::string& subject);
    void answerManifestInForce(const Exchange& exchange, const std::string& text) const;
    void recordDeparture(const Exchange& exchange, wire::TargetRecord target);
    void answerManifest(const Exchange& exchange, const wire::CommandResult& result);

    Settings settings; ///< Of this process.
    const Edge& edge; ///< Formats of announcements and manifests.
    LeaderClient& leader; ///< Forwards.
    TargetAnnouncements& announcements; ///< Takes announcements.
    Metrics& metrics; ///< Exposed.
    OperatorApiHooks hooks; ///< See above.
    BearerToken operatorToken; ///< For operators.
    BearerToken targetToken; ///< For targets.
    HttpListener listener; ///< Last member, so that it stops first.
};

} // namespace kingcup
