#!/usr/bin/env bash
# Scores the standard days of the newest deployments with the users' bench and
# prints a line a day. The site files are found beside the bench's system pages.
# Usage: utils/fleet.sh PATH-OF-THE-BENCH [jobs]
set -euo pipefail
bench=$(realpath "${1:?usage: utils/fleet.sh PATH-OF-THE-BENCH [jobs]}")
jobs=${2:-4}
cd "$(dirname "$0")/.."
sites=(further/lakeshore-wash further-grown/lakeshore-wash-grown
  large/lavandeti-ricerca-large)
# Later benches stand in a folder of their own below the pages.
pages=$(dirname "$bench")
while [ ! -f "$pages/SYSTEM.md" ]; do
  [ "$pages" != / ] || { echo "no SYSTEM.md above $bench" >&2; exit 2; }
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

DAY = re.compile(r"^(\S+)\s+\d+/\d+\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(.*)$")
days = broken = missed = 0
gates_missed = 0
for site in sys.argv[2:]:
    text = (pathlib.Path(sys.argv[1]) / site).read_text(errors="replace")
    for line in text.splitlines():
        match = DAY.match(line)
        if not match:
            continue
        day, score, worth, served, _, _, rest = match.groups()
        rules = re.search(r"BROKEN: (.*?)(?: \(else.*)?$", rest)
        days += 1
        broken += bool(rules)
        missed += "floor" in rest
        print(f"site={site} day={day} rules={rules[1] if rules else 'kept'} "
              f"served={served} worth={worth} score={score}")
    gate = re.search(r"^GATE.*$", text, re.M)
    gates_missed += not gate or gate[0] != "GATE passed"
    print(f"site={site} {gate[0] if gate else 'GATE not judged: ' + text[-300:]}")
print(f"fleet days={days} broken={broken} floor_missed={missed}")
sys.exit(1 if broken or missed or gates_missed or days == 0 else 0)
PYTHON
