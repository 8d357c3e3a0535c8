/** @file ApplyManifest.cpp Computes the differences between the manifest in force and a validated one. */
#include "kingcup/ApplyManifest.h"

#include <map>

namespace kingcup {

wire::ApplyManifest makeApplyManifest(const ControlStateMachine& machine, const CheckedManifest& manifest)
{
    wire::ApplyManifest command;
    command.set_number(manifest.manifest.number);
    command.set_digest(manifest.digest);
    command.set_base_number(machine.manifestNumber());
    std::map<std::string, std::string> inForce;
    for (wire::ServiceDocument& document : machine.serviceDocuments())
        inForce.emplace(std::move(*document.mutable_name()), std::move(*document.mutable_json()));
    for (const auto& [name, json] : manifest.documents) {
        auto found = inForce.find(name);
        bool isSame = found != inForce.end() && found->second == json;
        if (found != inForce.end())
            inForce.erase(found);
        if (isSame)
            continue;
        wire::ServiceDocument& document = *command.add_changed();
        document.set_name(name);
        document.set_json(json);
    }
    for (const auto& [name, json] : inForce)
        command.add_removed(name);
    return command;
}

} // namespace kingcup
