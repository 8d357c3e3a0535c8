/** @file OrganisationParser.h Reads and writes the organisations of a manifest. */
#pragma once

#include "JsonReader.h"

namespace kingcup {

/** Reads one organisation, with its API keys or their hashes. The first error is stored in `error`. */
Organisation readOrganisation(const nlohmann::json& value, const std::string& pointer, const DocumentCodes& codes, DocumentError& error);

/** Reads the organisations of a manifest. No two may have the same name or share a key. */
void readOrganisations(JsonReader& reader, Manifest& manifest, DocumentError& error);

/** Writes the canonical document of an organisation, which holds no keys but their hashes. */
std::string writeOrganisation(const Organisation& organisation);

} // namespace kingcup
