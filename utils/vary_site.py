#!/usr/bin/env python3
"""Writes variants of a site file of the users' bench, to try policies on
deployments for which they were not made.

Each variant differs from the site in one property: slots, pauses, traffic, the
required share of shards, or the number of shards or replicas.

usage: utils/vary_site.py SITE.toml DIRECTORY
"""

import pathlib
import re
import sys

import tomllib


def scale(text, field, factor, format_spec=".4g"):
    """Multiplies all values of a numeric field."""
    return re.sub(rf"\b{field} = ([\d.]+)",
                  lambda match: f"{field} = {float(match[1]) * factor:{format_spec}}",
                  text)


def replace(text, field, value):
    return re.sub(rf"\b{field} = [\d.]+", f"{field} = {value}", text)


def two_replicas(text):
    """Removes the third replica of each shard and a third of the traffic."""
    shards = re.sub(r"(servers = \[\{[^}]*count = 1 \}, \{[^}]*count = 1 \}), "
                    r"\{[^}]*count = 1 \}\]", r"\1]", text)
    return scale(shards, "per_s", 0.67)


VARIANTS = {
    "two-slots": lambda text: replace(text, "slots", 2),
    "six-slots": lambda text: replace(text, "slots", 6),
    "short-pauses": lambda text: replace(text, "pause_ms", 100),
    "long-pauses": lambda text: replace(text, "pause_ms", 320),
    "half-traffic": lambda text: scale(text, "per_s", 0.5),
    "more-traffic": lambda text: scale(text, "per_s", 1.3),
    "fewer-required": lambda text: scale(text, "least", 0.8),
    "twice-the-shards": lambda text: scale(text, "copies", 2, ".0f"),
    "two-replicas": two_replicas,
}


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__.splitlines()[-1])
    site = pathlib.Path(sys.argv[1])
    directory = pathlib.Path(sys.argv[2])
    directory.mkdir(parents=True, exist_ok=True)
    # Site files name this file by a path relative to themselves.
    (directory / "wire.json").write_text((site.parent / "wire.json").read_text())
    for name, vary in VARIANTS.items():
        text = site.read_text()
        varied = vary(text)
        if varied == text:
            print(f"{name}: nothing to change", file=sys.stderr)
            continue
        tomllib.loads(varied)
        path = directory / f"{site.stem}-{name}.toml"
        path.write_text(varied)
        print(path)


if __name__ == "__main__":
    main()
