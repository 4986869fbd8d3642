#!/usr/bin/env python3
"""Generates the tables of docs/CAPACITY.md from the output of sweeps.

docs/data/sweep_SITE.txt holds the output of `fleetbench sweep`. --write
replaces the tables between the markers of the page. --check fails when the page
differs from the data or a verdict in it contradicts its figures.
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

# Limits per node at the design size, docs/design.md section 3.
MAX_CPU_PERCENT = 2.8
MAX_MEMORY_MB = 256
MAX_KB_PER_S = 15
MAX_CONFIG_MS = 5000
# Fraction of the worth at the smallest size that the users require at the
# largest.
MIN_WORTH_RATIO = 0.7

DAY_LINE = re.compile(r"^sweep-(\d+)\s+\S+\s+\S+\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(.*)$")
SLOPE_LINE = re.compile(
    r"^(\S.*?)\s{2,}((?:[\d.]+ / [\d.]+\s+)+)(-?[\d.]+)\s+([\d.]+|-)$")


class PageError(Exception):
    """The data or the page cannot be read."""


@dataclasses.dataclass
class Slope:
    name: str
    by_size: list
    exponent: float
    # The power law evaluated at the site's target size; None when the site has
    # no target.
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
    days = [m.groups() for m in map(DAY_LINE.match, text.splitlines()) if m]
    slopes = {}
    for line in text.splitlines():
        match = SLOPE_LINE.match(line)
        if match:
            by_size = re.findall(r"[\d.]+ / [\d.]+", match[2])
            at_target = None if match[4] == "-" else float(match[4])
            slopes[match[1]] = Slope(match[1], by_size, float(match[3]),
                                     at_target)
    target = re.search(r"power\s+at (\d+|null)", text)
    snapshot = re.search(r"^snapshot (\w+)$", text, re.M)
    if not (site and days and slopes and target and snapshot):
        raise PageError("%s: no complete sweep output: site name, days, "
                        "slopes, target or snapshot missing" % path)
    return Sweep(site[1], days, [int(d[0]) for d in days],
                 None if target[1] == "null" else int(target[1]), slopes,
                 snapshot[1])


def slopes_table(sweep):
    size_columns = ["middle / busiest, by VMs"] + [
        "%d" % s for s in sweep.sizes]
    columns = size_columns + ["power"]
    if sweep.target:
        columns.append("at %d" % sweep.target)
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    for slope in sweep.slopes.values():
        cells = [slope.name] + slope.by_size + ["%g" % slope.exponent]
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


def verdict_row(quantity, figure, bound, unit, holds):
    return "| %s | %g %s | %g %s | %s |" % (
        quantity, figure, unit, bound, unit,
        "holds" if holds else "does not hold")


def verdict_table(sweep):
    def at_target(name):
        if name not in sweep.slopes:
            raise PageError("sweep of %s: no slope %r" % (sweep.site, name))
        return sweep.slopes[name].at_target

    worth_at_smallest, worth_at_largest = \
        float(sweep.days[0][1]), float(sweep.days[-1][1])
    rule_broken = any("BROKEN" in day[5] for day in sweep.days)
    cpu_percent = at_target("node: processor %")
    memory_mb = at_target("node: memory MB")
    kb_per_s = at_target("node: kB a second")
    config_ms = at_target("config acked, ms")
    return [
        "| bound | at %d VMs | bound | verdict |" % sweep.target,
        "|---|---|---|---|",
        verdict_row("processor, requests included", cpu_percent,
                    MAX_CPU_PERCENT, "% of a core",
                    cpu_percent <= MAX_CPU_PERCENT),
        verdict_row("memory", memory_mb, MAX_MEMORY_MB, "MB",
                    memory_mb <= MAX_MEMORY_MB),
        verdict_row("bytes, requests included", kb_per_s, MAX_KB_PER_S, "kB/s",
                    kb_per_s <= MAX_KB_PER_S),
        verdict_row("configuration seen", config_ms, MAX_CONFIG_MS, "ms",
                    config_ms <= MAX_CONFIG_MS),
        verdict_row(
            "worth at %d VMs over that at %d" % (sweep.sizes[-1],
                                                 sweep.sizes[0]),
            round(worth_at_largest / worth_at_smallest, 3), MIN_WORTH_RATIO, "",
            worth_at_largest >= MIN_WORTH_RATIO * worth_at_smallest and
            not rule_broken),
    ]


TABLES = {"slopes": slopes_table, "days": days_table,
          "verdict": verdict_table}


def required_tables(sweep):
    """Names of the tables that the page must contain for `sweep`."""
    return [table_name for table_name in TABLES
            if table_name != "verdict" or sweep.target]


def fill_tables(page, sweeps):
    """Returns `page` with its tables generated from `sweeps`."""
    by_site = {sweep.site: sweep for sweep in sweeps}
    tables_found = set()

    def replacement(match):
        table_name, site = match[1], match[2]
        if table_name not in TABLES or site not in by_site:
            raise PageError("the page has a marker for unknown table %s or "
                            "unknown site %s" % (table_name, site))
        tables_found.add((table_name, site))
        return "\n".join(["<!-- table: %s %s -->" % (table_name, site)] +
                         TABLES[table_name](by_site[site]) + ["<!-- end -->"])

    text = re.sub(r"<!-- table: (\S+) (\S+) -->\n.*?<!-- end -->", replacement,
                  page, flags=re.S)
    for site, sweep in by_site.items():
        for table_name in required_tables(sweep):
            if (table_name, site) not in tables_found:
                raise PageError("the page has no marker for table %s of "
                                "site %s" % (table_name, site))
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
            raise PageError("no file sweep_*.txt in %s" % options.data)
        with open(options.page, encoding="utf-8") as file:
            page = file.read()
        text = fill_tables(page, [read_sweep(path) for path in paths])
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
