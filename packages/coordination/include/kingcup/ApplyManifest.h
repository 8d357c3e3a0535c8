/** @file ApplyManifest.h Builds the command that replaces the manifest in force by a validated one. */
#pragma once

#include "kingcup/ControlStateMachine.h"
#include "kingcup/ManifestParser.h"

namespace kingcup {

/**
 * Returns a command with the differences between the manifest in force and a validated one.
 * If another manifest is applied first, the command is refused with ManifestBaseChanged and must be built again.
 */
wire::ApplyManifest makeApplyManifest(const ControlStateMachine& machine, const CheckedManifest& manifest);

} // namespace kingcup
