#!/usr/bin/env python3
"""Measures what each mechanism of the serving policy is worth.

Plays days of the users' bench with all mechanisms on and then with one switch
of the policy off at a time, without charged processor time, and prints a
Markdown table: the mean worth with all mechanisms on, and the mean and the
spread over seeds and days of what is lost without each one.

The runs are made in a scratch work tree of HEAD, whose journal entries are
copied into journal/.

usage: utils/ablation.py BENCH [options] SITE.toml:DAY[,DAY...]...
"""

import argparse
import concurrent.futures
import json
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
SETTINGS = pathlib.Path("deploy/node-settings.json")
SWITCHES = [
    "hedging", "hedge_short_queues", "reported_load", "slowness", "admission", "skipping", "short_queues",
    "spare_permits",
    "reopen_skipped", "cancel_failed", "local_first", "stale_reads",
]


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench", type=pathlib.Path)
    parser.add_argument("runs", nargs="+", metavar="SITE.toml:DAY[,DAY...]")
    parser.add_argument("--seeds", default="7,11,22,33")
    parser.add_argument("--switches", default=",".join(SWITCHES))
    parser.add_argument("--jobs", type=int, default=4)
    return parser.parse_args()


def plan_runs(arguments):
    """Returns the (site path, day, seed) of each run."""
    return [(str(pathlib.Path(site).resolve()), day, seed)
            for site, days in (run.rsplit(":", 1) for run in arguments.runs)
            for day in days.split(",")
            for seed in arguments.seeds.split(",")]


def write_settings(tree, original, switch):
    """Writes the settings template with the given switch off."""
    text = original
    if switch:
        text = original.replace('"policy": {', f'"policy": {{\n    "{switch}": false,')
        assert text != original, f"{SETTINGS} has no policy"
    (tree / SETTINGS).write_text(text)


def play(bench, tree, run, why):
    """Plays one run; returns its worth."""
    site, day, seed = run
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        result = subprocess.run(
            [bench, "run", site, day, "--seed", seed, "--no-cpu",
             "--why", why, "--report", report.name],
            cwd=tree, capture_output=True, text=True, check=False)
        text = pathlib.Path(report.name).read_text()
    if not text:
        sys.exit(f"{site} {day} {seed}: {result.stdout[-500:]}{result.stderr[-500:]}")
    figures = json.loads(text)
    if figures["breaks"] or figures["fault"]:
        print(f"rule broken: {site} {day} seed {seed}, {why}: "
              f"{figures['breaks']} {figures['fault']}", file=sys.stderr)
    return figures["G"] or 0.0


def play_all(arguments, tree, runs, why):
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        return list(pool.map(
            lambda run: play(arguments.bench.resolve(), tree, run, why), runs))


def by_site(runs, values):
    """Groups the values of the runs by the name of their site."""
    groups = {}
    for (site, _, _), value in zip(runs, values):
        groups.setdefault(pathlib.Path(site).stem, []).append(value)
    return groups


def print_row(name, groups, signed):
    sign = "+" if signed else ""
    cells = [f"{statistics.mean(values):{sign}.4f} ({statistics.pstdev(values):.4f})"
             for values in groups.values()]
    print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


def main():
    arguments = parse_arguments()
    runs = plan_runs(arguments)
    scratch = pathlib.Path(tempfile.mkdtemp(prefix="ablation-"))
    tree = scratch / "tree"
    subprocess.run(["git", "worktree", "add", "-q", "--detach", str(tree), "HEAD"],
                   cwd=REPOSITORY, check=True)
    try:
        subprocess.run([arguments.bench.resolve(), "build"], cwd=tree, check=True,
                       stdout=subprocess.DEVNULL)
        original = (tree / SETTINGS).read_text()
        base = play_all(arguments, tree, runs, "ablation: all mechanisms on")
        groups = by_site(runs, base)
        print("| switched off | " + " | ".join(
            f"{site}, n = {len(values)}" for site, values in groups.items()) + " |")
        print("|---" * (len(groups) + 1) + "|")
        print_row("nothing: worth", groups, signed=False)
        for switch in arguments.switches.split(","):
            write_settings(tree, original, switch)
            worth = play_all(arguments, tree, runs, f"ablation: {switch} off")
            print_row(switch, by_site(runs, [without - with_all for without, with_all
                                             in zip(worth, base)]), signed=True)
    finally:
        for entry in (tree / "journal").rglob("*"):
            target = REPOSITORY / entry.relative_to(tree)
            if entry.is_file() and not target.exists():
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(entry, target)
        subprocess.run(["git", "worktree", "remove", "--force", str(tree)],
                       cwd=REPOSITORY, check=False)
        shutil.rmtree(scratch, ignore_errors=True)


if __name__ == "__main__":
    main()
