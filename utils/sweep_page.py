#!/usr/bin/env python3
"""Puts the tables of docs/CAPACITY.md in from the printed slopes of sweeps.

docs/data/sweep_SITE.txt holds what `fleetbench sweep` printed. --write puts the
tables between the markers of the page, --check fails when the page differs from
the data or a stated verdict differs from its figures.
"""

import argparse
import dataclasses
import difflib
import glob
import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")
DATA = os.path.join(ROOT, "docs", "data")

# The size to design for, docs/design.md section 3.
CORE_PERCENT = 2.8
MEMORY_MB = 256
KB_A_SECOND = 15
CONFIG_MS = 5000
# Of what the smallest size earns, the users ask for this part at the largest.
WORTH_KEPT = 0.7

DAY = re.compile(r"^sweep-(\d+)\s+\S+\s+\S+\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(.*)$")
SLOPE = re.compile(
    r"^(\S.*?)\s{2,}((?:[\d.]+ / [\d.]+\s+)+)(-?[\d.]+)\s+([\d.]+|-)$")


class PageError(Exception):
    """The data or the page cannot be read."""


@dataclasses.dataclass
class Slope:
    name: str
    figures: list
    power: float
    # What the power gives at the site's target; None where it names none.
    at_target: float


@dataclasses.dataclass
class Sweep:
    site: str
    days: list
    sizes: list
    target: int
    slopes: dict
    snapshot: str


def read_sweep(path):
    site = re.match(r"sweep_(.+)\.txt$", os.path.basename(path))
    with open(path, encoding="utf-8") as file:
        text = file.read()
    days = [m.groups() for m in map(DAY.match, text.splitlines()) if m]
    slopes = {}
    for line in text.splitlines():
        match = SLOPE.match(line)
        if match:
            figures = re.findall(r"[\d.]+ / [\d.]+", match[2])
            at_target = None if match[4] == "-" else float(match[4])
            slopes[match[1]] = Slope(match[1], figures, float(match[3]),
                                     at_target)
    target = re.search(r"power\s+at (\d+|null)", text)
    snapshot = re.search(r"^snapshot (\w+)$", text, re.M)
    if not (site and days and slopes and target and snapshot):
        raise PageError("%s: no table of a sweep" % path)
    return Sweep(site[1], days, [int(d[0]) for d in days],
                 None if target[1] == "null" else int(target[1]), slopes,
                 snapshot[1])


def slopes_table(sweep):
    head = ["middle / busiest, by VMs"] + ["%d" % s for s in sweep.sizes]
    columns = head + ["power"]
    if sweep.target:
        columns.append("at %d" % sweep.target)
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    for slope in sweep.slopes.values():
        cells = [slope.name] + slope.figures + ["%g" % slope.power]
        if sweep.target:
            cells.append("%g" % slope.at_target)
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def days_table(sweep):
    lines = ["| VMs | worth | served | refused | failed | remarks |",
             "|---|---|---|---|---|---|"]
    for day in sweep.days:
        lines.append("| " + " | ".join(day) + " |")
    return lines


def row(what, figure, bound, unit, holds):
    return "| %s | %g %s | %g %s | %s |" % (
        what, figure, unit, bound, unit, "holds" if holds else "does not hold")


def verdict_table(sweep):
    def at_target(name):
        if name not in sweep.slopes:
            raise PageError("%s: no row %r" % (sweep.site, name))
        return sweep.slopes[name].at_target

    first, last = float(sweep.days[0][1]), float(sweep.days[-1][1])
    broken = any("BROKEN" in day[5] for day in sweep.days)
    cpu = at_target("node: processor %")
    memory = at_target("node: memory MB")
    bytes_ = at_target("node: kB a second")
    config = at_target("config acked, ms")
    return [
        "| bound | at %d VMs | bound | verdict |" % sweep.target,
        "|---|---|---|---|",
        row("processor, requests included", cpu, CORE_PERCENT, "% of a core",
            cpu <= CORE_PERCENT),
        row("memory", memory, MEMORY_MB, "MB", memory <= MEMORY_MB),
        row("bytes, requests included", bytes_, KB_A_SECOND, "kB/s",
            bytes_ <= KB_A_SECOND),
        row("configuration seen", config, CONFIG_MS, "ms",
            config <= CONFIG_MS),
        row("worth at %d VMs over that at %d" % (sweep.sizes[-1],
                                                 sweep.sizes[0]),
            round(last / first, 3), WORTH_KEPT, "",
            last >= WORTH_KEPT * first and not broken),
    ]


TABLES = {"slopes": slopes_table, "days": days_table,
          "verdict": verdict_table}


def tables_of(sweep):
    """The tables that the page must have of a sweep."""
    return [kind for kind in TABLES if kind != "verdict" or sweep.target]


def fill(page, sweeps):
    """The page with each marked table made from the data."""
    by_site = {sweep.site: sweep for sweep in sweeps}
    used = set()

    def table(match):
        kind, site = match[1], match[2]
        if kind not in TABLES or site not in by_site:
            raise PageError("unknown table %s of %s" % (kind, site))
        used.add((kind, site))
        return "\n".join(["<!-- table: %s %s -->" % (kind, site)] +
                         TABLES[kind](by_site[site]) + ["<!-- end -->"])

    text = re.sub(r"<!-- table: (\S+) (\S+) -->\n.*?<!-- end -->", table, page,
                  flags=re.S)
    for site, sweep in by_site.items():
        for kind in tables_of(sweep):
            if (kind, site) not in used:
                raise PageError("the page has no table %s of %s" % (kind, site))
    return text


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    action = parser.add_mutually_exclusive_group(required=True)
    action.add_argument("--write", action="store_true")
    action.add_argument("--check", action="store_true")
    parser.add_argument("--page", default=PAGE)
    parser.add_argument("--data", default=DATA)
    options = parser.parse_args()
    try:
        paths = sorted(glob.glob(os.path.join(options.data, "sweep_*.txt")))
        if not paths:
            raise PageError("no sweep in %s" % options.data)
        with open(options.page, encoding="utf-8") as file:
            page = file.read()
        text = fill(page, [read_sweep(path) for path in paths])
    except (PageError, OSError) as error:
        print("sweep_page: %s" % error, file=sys.stderr)
        return 2
    if options.write:
        with open(options.page, "w", encoding="utf-8") as file:
            file.write(text)
        return 0
    difference = list(difflib.unified_diff(
        page.splitlines(), text.splitlines(), "page", "data", lineterm=""))
    print("\n".join(difference))
    return 1 if difference else 0


if __name__ == "__main__":
    sys.exit(main())
