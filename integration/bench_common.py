"""Code that the benchmarks share: options, load runs, resource use of
processes, and the summary line."""

import argparse
import os
import statistics
import subprocess

from cluster import BUILD

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def options(description, runs=1):
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=runs)
    return parser


def key_values(line):
    """Parses a line of key=value words; numeric values become floats."""
    pairs = {}
    for word in line.split():
        key, equals, value = word.partition("=")
        if equals:
            try:
                pairs[key] = float(value)
            except ValueError:
                pairs[key] = value
    return pairs


class Load:
    """A run of tanagervane-load against the entries of a cluster."""

    def __init__(self, cluster, mix, deadlines, seconds, warm_up=1, seed=1,
                 csv=None, flags=()):
        addresses = ",".join(entry.caller_address for entry in cluster.entries
                             if entry.process.running())
        arguments = [
            os.path.join(BUILD, "tanagervane-load"), "--seeds=" + addresses,
            "--mix=" + ",".join("%s:%s:%g" % stream for stream in mix),
            "--deadline=" + ",".join("%s:%g" % item
                                     for item in deadlines.items()),
            "--duration_s=%g" % seconds, "--warm_up_s=%g" % warm_up,
            "--seed=%d" % seed, "--distinct_payloads=1000000"]
        if csv:
            arguments.append("--csv=" + csv)
        self.child = subprocess.Popen(
            arguments + list(flags), stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, text=True)
        self.timeout_s = seconds + warm_up + 20

    def result(self):
        """Waits for the end of the run; returns the figures of each class by
        its name and those of all requests as "total"."""
        out, err = self.child.communicate(timeout=self.timeout_s)
        figures = {}
        for line in out.splitlines():
            pairs = key_values(line)
            figures[pairs.get("class", "total")] = pairs
        if self.child.returncode not in (0, 4):
            raise RuntimeError("tanagervane-load exited with %d: %s" % (
                self.child.returncode, err[-2000:]))
        return figures


def cpu_seconds(pid):
    """User and system time of a process, or of a thread given as
    PID/task/ID."""
    with open("/proc/%s/stat" % pid, encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    with open("/proc/%d/status" % pid, encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def median_and_range(values):
    """Formats the median, with the smallest and largest of several values."""
    text = "%.4g" % statistics.median(values)
    if len(values) > 1:
        text += "(%.4g..%.4g)" % (min(values), max(values))
    return text


def print_summary(name, seed, runs, missed, figures):
    """Prints a line of key=value pairs. `figures` maps a key to a list with one
    value for each run; `missed` names the targets that were not met."""
    words = ["%s=%s" % (key, median_and_range(values))
             for key, values in figures.items()]
    print("summary bench=%s seed=%d runs=%d %s missed=%s" % (
        name, seed, runs, " ".join(words), ",".join(missed) or "none"),
        flush=True)
