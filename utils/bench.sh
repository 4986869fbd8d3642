#!/usr/bin/env bash
# Runs the benchmark integration/bench_NAME.py. The last line of its output is a
# summary of key=value pairs.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-}
if [ -z "$name" ] || [ ! -f "integration/bench_$name.py" ]; then
  echo "usage: utils/bench.sh NAME [options]; NAME is one of:" >&2
  ls integration/bench_*.py 2>/dev/null | sed 's/.*bench_\(.*\)\.py/  \1/' >&2
  exit 2
fi
shift
utils/install.sh
utils/build.sh
exec /usr/bin/python3 "integration/bench_$name.py" "$@"
