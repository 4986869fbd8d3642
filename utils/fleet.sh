#!/usr/bin/env bash
# Scores the standard days of the newest deployments with the users' bench and
# prints one line for each day. The site files are in the folder that contains
# SYSTEM.md, at or above the folder of the bench.
# Usage: utils/fleet.sh PATH-OF-THE-BENCH [jobs]
set -euo pipefail
bench=$(realpath "${1:?usage: utils/fleet.sh PATH-OF-THE-BENCH [jobs]}")
jobs=${2:-4}
cd "$(dirname "$0")/.."
sites=(further/lakeshore-wash further-grown/lakeshore-wash-grown
  large/lavandeti-ricerca-large)
# A later bench may be in a subfolder of the folder with SYSTEM.md.
pages=$(dirname "$bench")
while [ ! -f "$pages/SYSTEM.md" ]; do
  [ "$pages" != / ] || {
    echo "no SYSTEM.md in any folder above $bench" >&2
    exit 2
  }
  pages=$(dirname "$pages")
done
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
"$bench" build >"$output/build" || { cat "$output/build"; exit 1; }
for site in "${sites[@]}"; do
  "$bench" score "$pages/$site.toml" --jobs "$jobs" \
    --why "utils/fleet.sh at $(git rev-parse --short HEAD)" \
    >"$output/$(basename "$site")" 2>&1 || true
done
/usr/bin/python3 - "$output" "${sites[@]##*/}" <<'PYTHON'
import pathlib
import re
import sys

DAY_LINE = re.compile(r"^(\S+)\s+\d+/\d+\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(.*)$")
days = days_with_broken_rule = floors_missed = 0
gates_failed = 0
for site in sys.argv[2:]:
    text = (pathlib.Path(sys.argv[1]) / site).read_text(errors="replace")
    for line in text.splitlines():
        match = DAY_LINE.match(line)
        if not match:
            continue
        day, score, worth, served, _, _, remarks = match.groups()
        broken_rules = re.search(r"BROKEN: (.*?)(?: \(else.*)?$", remarks)
        days += 1
        days_with_broken_rule += bool(broken_rules)
        floors_missed += "floor" in remarks
        print(f"site={site} day={day} "
              f"rules={broken_rules[1] if broken_rules else 'kept'} "
              f"served={served} worth={worth} score={score}")
    gate = re.search(r"^GATE.*$", text, re.M)
    gates_failed += not gate or gate[0] != "GATE passed"
    verdict = gate[0] if gate else "no GATE line in the output: " + text[-300:]
    print(f"site={site} {verdict}")
print(f"fleet days={days} broken={days_with_broken_rule} "
      f"floor_missed={floors_missed}")
sys.exit(1 if days_with_broken_rule or floors_missed or gates_failed or
         days == 0 else 0)
PYTHON
