#!/usr/bin/env python3
"""Says where the worth of a day was lost, by window and by cause.

Reads the report of a run of the users' bench (`run ... --report REPORT`) and
what the same run printed (`run ... --log all > LOG`). For each window of the
report, the loss that the bench counted is divided among causes in proportion to
the losses that the logs of the VMs show, so that each row adds up to the
bench's own figure. What the logs do not show is the cause "not logged": no VM
ran, or the log's limit dropped the lines.

usage: utils/ledger.py REPORT LOG
"""

import collections
import json
import re
import sys

LINE = re.compile(r"\s*(-?[\d.]+) \S+ time_ms=\d+ event=(request|decision) (.*)")

# Payoff of a late answer as a fraction of that of one on time.
LATE_PAYOFF = 0.1

# Cause of a sub-request that is missing or delays its answer, by the decision
# that the log shows for it.
CAUSE_OF_DECISION = {
    "skipped": "shard full",
    "no_room": "connections used up",
    "rate_limited": "stated rate limits",
    "no_replica": "shard without replica",
    "no_allowance": "no retry budget",
    "rejected": "replica rejects",
    "connection_lost": "connection lost",
    "connect_failed": "connection lost",
    "replica_failed": "replica fails",
    "corrupt": "replica fails",
    "hedged": "replica slow",
}

# Cause of a request that was refused or failed, by its reason.
CAUSE_OF_REASON = {
    "overloaded": "shard full",
    "rate_limited": "stated rate limits",
    "no_replica": "shard without replica",
    "no_allowance": "no retry budget",
    "shed": "replica rejects",
    "connection_lost": "connection lost",
    "replica_failed": "replica fails",
    "too_slow": "replica slow",
}
OTHER = "other"
NOT_LOGGED = "not logged"


def read_fields(text):
    return dict(pair.split("=", 1) for pair in text.split() if "=" in pair)


def read_log(lines):
    """Returns the requests and, by request id, the decisions of a log."""
    requests = []
    decisions = collections.defaultdict(list)
    for line in lines:
        match = LINE.match(line)
        if not match:
            continue
        fields = read_fields(match[3])
        if match[2] == "decision":
            decisions[fields["request"]].append(fields.get("what", ""))
        elif "outcome" in fields:
            fields["second"] = float(match[1])
            requests.append(fields)
    return requests, decisions


def answered_fraction(request):
    parts = int(request.get("parts", 0))
    return int(request.get("parts_done", 0)) / parts if parts > 1 else 1.0


def lost_fraction(request):
    """Returns the fraction of the request's payoff that its try lost."""
    score = answered_fraction(request) ** 2
    return {"on_time": 0.0, "replica_error": 0.0, "caller_gone": 0.0,
            "unknown_route": 0.0, "partial": 1 - score,
            "late": 1 - LATE_PAYOFF * score}.get(request["outcome"], 1.0)


def causes_of(request, decisions):
    """Returns the causes of a request's loss; it is shared among them evenly."""
    if request["outcome"] not in ("partial", "late"):
        return [CAUSE_OF_REASON.get(request.get("reason"), OTHER)]
    causes = {CAUSE_OF_DECISION[what] for what in decisions
              if what in CAUSE_OF_DECISION}
    # A hedge follows from most other causes.
    if len(causes) > 1:
        causes.discard("replica slow")
    return sorted(causes) or ["replica slow"]


def divide(windows, requests, decisions):
    """Returns for each window of the report its losses by cause, as fractions
    of the window's payoff."""
    starts = [float(window["name"]) for window in windows]
    losses = [collections.Counter() for _ in windows]
    for request in requests:
        # The request arrived `elapsed_ms` before its line was written.
        arrived = request["second"] - float(request["elapsed_ms"]) / 1000
        index = max((i for i, start in enumerate(starts) if start <= arrived),
                    default=None)
        lost = lost_fraction(request)
        if index is None or lost == 0:
            continue
        causes = causes_of(request, decisions[request["request"]])
        for cause in causes:
            losses[index][cause] += lost / len(causes)
    for window, logged in zip(windows, losses):
        fit_to_bench(window, logged)
    return losses


def fit_to_bench(window, logged):
    """Scales the losses of a window to what the bench counted."""
    owed = max(1, window["n"] - window["not_owed"])
    bench_loss = 1 - window["worth"]
    log_loss = sum(logged.values()) / owed
    # A try that failed may have been repeated with success, so the logs can show
    # more than was lost.
    scale = min(1.0, bench_loss / log_loss) if log_loss else 0.0
    for cause in logged:
        logged[cause] *= scale / owed
    logged[NOT_LOGGED] = max(0.0, bench_loss - log_loss * scale)


def print_ledger(report, losses):
    windows = report["windows"]
    total = collections.Counter()
    owed = sum(window["n"] - window["not_owed"] for window in windows)
    print("| from second | worth | lost by cause |")
    print("|---|---|---|")
    for window, causes in zip(windows, losses):
        text = ", ".join(f"{cause} {lost:.3f}" for cause, lost in
                         causes.most_common() if lost >= 0.0005)
        print(f"| {window['name']} | {window['worth']:.3f} | {text} |")
        for cause, lost in causes.items():
            total[cause] += lost * (window["n"] - window["not_owed"]) / owed
    print("\n| cause | share of the day |\n|---|---|")
    for cause, lost in total.most_common():
        print(f"| {cause} | {lost:.4f} |")
    print("\n| route | worth | late | refused | failed |\n|---|---|---|---|---|")
    for route in report["classes"]:
        print(f"| {route['name']} | {route['worth']:.3f} | {route['late']} | "
              f"{route['refused']} | {route['failed']} |")
    print("\n| price | taken off |\n|---|---|")
    for name, _, price in report["prices"]:
        if price >= 0.0005:
            print(f"| {name} | {price:.4f} |")


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__.splitlines()[-1])
    with open(sys.argv[1], encoding="utf-8") as file:
        report = json.load(file)
    with open(sys.argv[2], encoding="utf-8", errors="replace") as file:
        requests, decisions = read_log(file)
    print_ledger(report, divide(report["windows"], requests, decisions))


if __name__ == "__main__":
    main()
