#!/usr/bin/env bash
# Builds all targets in build/ or in the given directory.
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
cmake -S . -B "$directory" -G Ninja >/dev/null
ninja -C "$directory" --quiet
