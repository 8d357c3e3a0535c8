/** @file RequestTable.cpp Implementation of request matching. */
#include "RequestTable.h"

#include "kingcup/HttpTypes.h"

#include <absl/strings/ascii.h>

namespace kingcup {

namespace {

/** Returns how specific a path pattern is for a path: 0 for no match, more for a longer match, most for an exact one. */
size_t pathMatch(std::string_view pattern, std::string_view path)
{
    constexpr size_t exactBonus = 1u << 20;
    if (!pattern.empty() && pattern.back() == '*') {
        std::string_view prefix = pattern.substr(0, pattern.size() - 1);
        return path.starts_with(prefix) ? prefix.size() + 1 : 0;
    }
    return pattern == path ? exactBonus : 0;
}

/** Returns the host without its port. */
std::string_view withoutPort(std::string_view host)
{
    size_t colon = host.rfind(':');
    bool ipv6 = host.ends_with(']');
    return colon == std::string_view::npos || ipv6 ? host : host.substr(0, colon);
}

/** Returns whether a path is the prefix or lies below it. */
bool belowPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

const Kind* matchKind(const Service& service, std::string_view method, std::string_view path)
{
    const Kind* best = nullptr;
    size_t bestScore = 0;
    for (const Kind& kind : service.kinds) {
        bool anyMethod = kind.method == "*";
        if (!anyMethod && kind.method != method)
            continue;
        size_t score = 2 * pathMatch(kind.path, path);
        if (!score)
            continue;
        score += anyMethod ? 0 : 1;
        if (score > bestScore) {
            best = &kind;
            bestScore = score;
        }
    }
    return best;
}

/** Returns the route with the longest prefix for a host, or null. */
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
    std::string_view name = withoutPort(host);
    if (const RouteRow* row = this->findRoute(name, path)) {
        const RequestTableRow& share = row->shares[row->split->next(row->route->shares)];
        return { share.service, share.runtime, &row->route->rules, row->route };
    }
    for (const RequestTableRow& row : this->rows) {
        const Service& service = *row.service;
        if (service.kinds.empty() || (!service.host.empty() && !equalsIgnoreCase(service.host, name)))
            continue;
        if (belowPrefix(path, service.pathPrefix))
            return { row.service, row.runtime, matchKind(service, method, path), nullptr };
    }
    return {};
}

} // namespace kingcup
