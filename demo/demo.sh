#!/usr/bin/env bash
# Runs both example deployments on the loopback network and prints a table for each.
# Ends with 0 only if nothing ran twice and no answer was wrong. KINGCUP_SEED sets the seed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
TMPDIR=$folder "$build/demo/kingcup_demo"
