/** @file ApplyManifest.h Builds the command that brings a checked manifest into force. */
#pragma once

#include "kingcup/ControlStateMachine.h"
#include "kingcup/ManifestParser.h"

namespace kingcup {

/**
 * Returns the changes from the manifest in force to a checked one.
 * When another manifest is applied in between, the command is refused with ManifestBaseChanged and has to be built again.
 */
wire::ApplyManifest makeApplyManifest(const ControlStateMachine& machine, const CheckedManifest& manifest);

} // namespace kingcup
