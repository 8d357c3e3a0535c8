/** @file ControlUsage.cpp Usage caps of the manifest in force. */
#include "ControlNode.h"

namespace kingcup {

namespace {

constexpr std::string_view organisationPrefix = "organisation/"; ///< Of the keys of the organisations' documents.

/** Returns the caps in the documents of organisations. */
std::map<std::string, UsageCap> usageCapsOf(const std::vector<wire::ServiceDocument>& documents)
{
    std::map<std::string, UsageCap> caps;
    for (const wire::ServiceDocument& document : documents) {
        if (!document.name().starts_with(organisationPrefix))
            continue;
        nlohmann::json organisation = nlohmann::json::parse(document.json(), nullptr, false);
        if (!organisation.is_object())
            continue;
        std::string name = organisation.value("name", document.name().substr(organisationPrefix.size()));
        caps[name] = { organisation.value("requestsPerSecond", 0.0), organisation.value("burst", 0.0) };
    }
    return caps;
}

} // namespace

/** Reads the usage caps after each change of the manifest, and runs the periodic work of the lender. */
void ControlNode::updateUsageCaps(TimePoint now)
{
    if (this->usageCapsDigest != this->stateMachine.manifestDigest()) {
        this->usageCapsDigest = this->stateMachine.manifestDigest();
        this->usageLender->setCaps(usageCapsOf(this->stateMachine.serviceDocuments()), now);
    }
    this->usageLender->tick(now);
}

} // namespace kingcup
