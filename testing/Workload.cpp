/** @file Workload.cpp Manifests and mixes of calls that fit them. */
#include "testing/Workload.h"

namespace kingcup::testing {

nlohmann::json makeManifest(uint64_t number, const std::vector<ServiceLayout>& services)
{
    nlohmann::json manifest = { { "number", number }, { "services", nlohmann::json::array() } };
    for (const ServiceLayout& service : services) {
        std::string paths = "/" + service.name + "/*";
        nlohmann::json read = { { "name", "read" }, { "method", "GET" }, { "path", paths }, { "repeatable", true }, { "deadlineMs", 3000 }, { "mayWaitMs", 1000 } };
        nlohmann::json post = { { "name", "post" }, { "method", "POST" }, { "path", paths }, { "repeatable", false }, { "deadlineMs", 4000 }, { "mayWaitMs", 2000 }, { "keyRequired", true } };
        post["notRunStatuses"] = nlohmann::json::array({ 503 });
        nlohmann::json kinds = nlohmann::json::array({ read, post });
        manifest["services"].push_back({ { "name", service.name }, { "pathPrefix", "/" + service.name + "/" }, { "kinds", kinds } });
    }
    return manifest;
}

std::vector<CallTemplate> makeMix(const std::vector<ServiceLayout>& services, double postWeight)
{
    std::vector<CallTemplate> mix;
    for (const ServiceLayout& service : services) {
        CallTemplate read;
        read.name = service.name + " read";
        read.path = "/" + service.name + "/balance";
        mix.push_back(read);
        if (postWeight <= 0)
            continue;
        CallTemplate post;
        post.name = service.name + " post";
        post.weight = postWeight;
        post.method = "POST";
        post.path = "/" + service.name + "/invoice";
        post.repeatable = false;
        post.keyed = true;
        post.requestBytes = 512;
        mix.push_back(post);
    }
    return mix;
}

} // namespace kingcup::testing
