#!/usr/bin/env bash
# Runs clang-format and clang-tidy on the sources. With --fix, formats them in
# place instead. Other arguments name the sources to lint; without them, all
# sources are linted.
set -euo pipefail
cd "$(dirname "$0")/.."
fix=0
if [ "${1:-}" = --fix ]; then
  fix=1
  shift
fi
mapfile -t sources < <(git ls-files -co --exclude-standard -- '*.cc' '*.h' | grep -v '^generated/')
if [ $fix = 1 ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
# Unit tests are formatted but not linted: the macros of GoogleTest and
# RapidCheck cause clang-tidy warnings.
if [ $# -gt 0 ]; then
  linted=("$@")
else
  mapfile -t linted < <(printf '%s\n' "${sources[@]}" | grep '\.cc$' | grep -v '^unittests/')
fi
printf '%s\n' "${linted[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "format and lint clean: ${#linted[@]} sources"
