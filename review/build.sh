#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. The project's own program comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case$number" "$case"
done
