#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests except the known failures
# in KNOWN-RED.txt, which it prints. With --sanitize, builds the unit tests in
# build-sanitize with the address and undefined-behaviour sanitizers and runs
# them there.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/install.sh
directory=build
if [ "${1:-}" = --sanitize ]; then
  directory=build-sanitize
  cmake -S . -B "$directory" -G Ninja -DTV_SANITIZE=ON >/dev/null
  ninja -C "$directory" --quiet unittests
else
  utils/build.sh
fi
known_failures=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known_failures < <(
    grep -v '^#' KNOWN-RED.txt | cut -d' ' -f1 | sed '/^$/d')
fi
arguments=(--test-dir "$directory" --output-on-failure --no-tests=error -j 4)
# Only the unit tests are built with sanitizers.
[ "$directory" = build ] || arguments+=(-R '_unittests$')
if [ ${#known_failures[@]} -gt 0 ]; then
  echo "known failures in KNOWN-RED.txt, not run:"
  grep -v '^#' KNOWN-RED.txt
  arguments+=(-E "^($(IFS='|'; echo "${known_failures[*]}"))$")
fi
ctest "${arguments[@]}"
