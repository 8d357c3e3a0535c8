/** @file RequestTable.cpp Implementation of the request table. */
#include "RequestTable.h"

#include "kingcup/HttpTypes.h"

#include <absl/strings/ascii.h>

namespace kingcup {

namespace {

/** Returns the specificity of a path pattern that matches a path, or 0 if it does not match. A longer prefix is more specific, an exact match most. */
size_t pathSpecificity(std::string_view pattern, std::string_view path)
{
    constexpr size_t exactSpecificity = 1u << 20;
    if (!pattern.empty() && pattern.back() == '*') {
        std::string_view prefix = pattern.substr(0, pattern.size() - 1);
        return path.starts_with(prefix) ? prefix.size() + 1 : 0;
    }
    return pattern == path ? exactSpecificity : 0;
}

/** Returns the host without its port. The brackets of an IPv6 address are kept. */
std::string_view stripPort(std::string_view host)
{
    size_t colon = host.rfind(':');
    bool isIpv6WithoutPort = host.ends_with(']');
    return colon == std::string_view::npos || isIpv6WithoutPort ? host : host.substr(0, colon);
}

/** Returns whether a path equals the prefix or is below it. Only whole segments match. */
bool hasPathPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

const Kind* matchKind(const Service& service, std::string_view method, std::string_view path)
{
    const Kind* best = nullptr;
    size_t bestSpecificity = 0;
    for (const Kind& kind : service.kinds) {
        bool matchesAnyMethod = kind.method == "*";
        if (!matchesAnyMethod && kind.method != method)
            continue;
        size_t specificity = 2 * pathSpecificity(kind.path, path);
        if (!specificity)
            continue;
        specificity += matchesAnyMethod ? 0 : 1;
        if (specificity > bestSpecificity) {
            best = &kind;
            bestSpecificity = specificity;
        }
    }
    return best;
}

/** Returns the route of a host with the longest prefix of the path, or null. */
const RouteRow* RequestTable::findRoute(std::string_view host, std::string_view path) const
{
    if (this->routes.empty())
        return nullptr;
    auto found = this->routes.find(absl::AsciiStrToLower(std::string(host)));
    if (found == this->routes.end())
        return nullptr;
    for (const RouteRow& row : found->second) {
        if (path.starts_with(row.route->pathPrefix))
            return &row;
    }
    return nullptr;
}

RequestMatch RequestTable::match(std::string_view host, std::string_view method, std::string_view path) const
{
    std::string_view name = stripPort(host);
    if (const RouteRow* row = this->findRoute(name, path)) {
        const RequestTableRow& share = row->shares[row->split->next(row->route->shares)];
        return { share.service, share.runtime, &row->route->rules, row->route, nullptr };
    }
    for (const RequestTableRow& row : this->rows) {
        const Service& service = *row.service;
        if (service.kinds.empty() || (!service.host.empty() && !equalsIgnoreCase(service.host, name)))
            continue;
        if (hasPathPrefix(path, service.pathPrefix))
            return { row.service, row.runtime, matchKind(service, method, path), nullptr, nullptr };
    }
    return {};
}

} // namespace kingcup
