/** @file RequestTable.h Finds the service and kind of a request; read through RCU. */
#pragma once

#include "ServiceRuntime.h"

#include "kingcup/EntryConfiguration.h"
#include "kingcup/WeightedSplit.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcup {

/** One service in the order of matching. */
struct RequestTableRow {
    std::shared_ptr<const Service> service; ///< Rules.
    std::shared_ptr<ServiceRuntime> runtime; ///< Queues, budgets and estimates.
};

/** One route in the order of matching. */
struct RouteRow {
    std::shared_ptr<const Route> route; ///< Rules.
    std::vector<RequestTableRow> shares; ///< Services, in the order of the route's shares.
    std::shared_ptr<WeightedSplit> split; ///< Chooses among them.
};

/** What a request matched. */
struct RequestMatch {
    std::shared_ptr<const Service> service; ///< Null when no service matches.
    std::shared_ptr<ServiceRuntime> runtime; ///< Of the service.
    const Kind* kind = nullptr; ///< Inside `service` or `route`; null when no kind matches.
    std::shared_ptr<const Route> route; ///< Null when the service itself matched.
};

/** Immutable table of all services in force. */
struct RequestTable {
    std::shared_ptr<const ConfigurationSnapshot> configuration; ///< What the table was made from.
    std::vector<RequestTableRow> rows; ///< Longest path prefix first; a stated host before any host.
    std::map<std::string, std::vector<RouteRow>> routes; ///< By host in small letters; longest path prefix first.

    /** Returns the service and kind of a request: those of a route, otherwise those of a service's own paths. */
    RequestMatch match(std::string_view host, std::string_view method, std::string_view path) const;

private:
    const RouteRow* findRoute(std::string_view host, std::string_view path) const;
};

/** Returns the most specific kind that matches: exact path before longest prefix, stated method before any. */
const Kind* matchKind(const Service& service, std::string_view method, std::string_view path);

} // namespace kingcup
