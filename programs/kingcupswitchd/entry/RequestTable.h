/** @file RequestTable.h Table that maps a request to its service and kind; read through RCU. */
#pragma once

#include "ServiceRuntime.h"

#include "kingcup/EntryConfiguration.h"
#include "kingcup/KeyTable.h"
#include "kingcup/WeightedSplit.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** Entry of a service. */
struct RequestTableRow {
    std::shared_ptr<const Service> service; ///< Service from the manifest.
    std::shared_ptr<ServiceRuntime> runtime; ///< Queues, budgets and estimates.
};

/** Entry of a route. */
struct RouteRow {
    std::shared_ptr<const Route> route; ///< Route from the manifest.
    std::vector<RequestTableRow> shares; ///< Services of the route, in the order of its shares.
    std::shared_ptr<WeightedSplit> split; ///< Divides requests among the shares by weight.
};

/** Service, kind and route that a request matches. */
struct RequestMatch {
    std::shared_ptr<const Service> service; ///< Null when no service matches.
    std::shared_ptr<ServiceRuntime> runtime; ///< Runtime state of the service; null when no service matches.
    const Kind* kind = nullptr; ///< Kind, which is part of `service` or `route`; null when no kind matches.
    std::shared_ptr<const Route> route; ///< Route; null when the request matches by host and path prefix of the service itself.
    std::shared_ptr<const Organisation> organisation; ///< Holder of the request's API key; null: the request needs no key and has no known one.
};

/** Immutable table of all services and routes in force. */
struct RequestTable {
    std::shared_ptr<const ConfigurationSnapshot> configuration; ///< Configuration that the table was built from; never null in a table in force.
    std::shared_ptr<const KeyTable> keys; ///< API keys; never null in a table in force. Consecutive tables share it until an organisation changes.
    std::vector<RequestTableRow> rows; ///< Services in the order of matching: those with a host first, then by descending length of the path prefix.
    std::map<std::string, std::vector<RouteRow>> routes; ///< Routes by lower-case host, in descending length of the path prefix.

    /** Returns the service and kind of a request. Routes take precedence over the host and path prefix of a service. Each call that matches a route advances its split. @param host Value of the Host header, with or without a port. */
    RequestMatch match(std::string_view host, std::string_view method, std::string_view path) const;

private:
    const RouteRow* findRoute(std::string_view host, std::string_view path) const;
};

/** Returns the most specific kind that matches, or null: an exact path before the longest prefix, and for equal paths a given method before `*`. */
const Kind* matchKind(const Service& service, std::string_view method, std::string_view path);

} // namespace kingcup
