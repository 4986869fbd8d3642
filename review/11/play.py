"""All machines lose power, and one of them never comes back. The others refuse
every request of a tenant with an allowance."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))

import lab as lab_module  # noqa: E402
from lab import SHEET, ask, play, require  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the sheet with tenants, kmae-reg-grown.
BOUNDS = dict(SHEET["bounds"], stabilityWindowMs=5000, ackMs=8000, catchUpS=6,
              drainMs=5000, configApplyMs=5000, outerMs=15000, retrySlack=166,
              quotaWindowS=5, quotaOvershoot=0.1, quotaSlack=20, recoveryS=15)
KEY = "key-insurer"
# What the tenant may ask and what it asks.
RATE_PER_S = 40
BURST = 20
ASKED_PER_S = 10
MACHINES = 4
DOWN_S = 1.0
BEFORE_S = 5.0
# How long after recoveryS the requests are counted.
AFTER_S = 20.0
# The rule: less than a quarter is served, though a quarter or more was before.
MIN_SERVED = 0.25


def routes():
    return [{"host": lab_module.HOST, "name": "archive",
             "pathPrefix": "/archive/", "type": "idempotent", "priority": 2,
             "timeoutMs": 4000, "sloMs": 1200, "attempts": 2,
             "service": "notary"}]


def ask_for(lab, nodes, seconds):
    """Sends requests to the nodes in turn; returns the served share."""
    replies = []

    def send(node):
        replies.append(ask(node, "/archive/x", 6.0, deadline="4000", key=KEY))

    threads = []
    for number in range(int(seconds * ASKED_PER_S)):
        threads.append(threading.Thread(target=send,
                                        args=(nodes[number % len(nodes)],)))
        threads[-1].start()
        time.sleep(1 / ASKED_PER_S)
    for thread in threads:
        thread.join()
    statuses = [reply.status for reply in replies]
    served = statuses.count(200) / len(statuses)
    lab.note("requests: %d, statuses: %s, served: %.2f, last answer: %s",
             len(statuses), {s: statuses.count(s) for s in set(statuses)},
             served, replies[-1].body[:80])
    return served


def case(lab):
    lab.platform.add_replicas("notary", 22, slots=3, work_ms=160)
    lab.platform.configure(routes(), [
        {"name": "insurer", "apiKeys": [KEY], "ratePerS": RATE_PER_S,
         "burst": BURST}])
    nodes = [lab.start_node({"bounds": BOUNDS}) for _ in range(MACHINES)]
    for node in nodes:
        lab.wait_until_served(node, "/archive/0", key=KEY)
    time.sleep(3)
    before = ask_for(lab, nodes, BEFORE_S)
    require(before >= MIN_SERVED, "too little was served before the fault")

    for node in nodes:
        node.end()
    lab.note("all %d machines lose power", MACHINES)
    time.sleep(DOWN_S)
    back = nodes[:-1] if TROUBLE else nodes
    for node in back:
        node.start()
    lab.note("%d machines are back", len(back))
    time.sleep(BOUNDS["recoveryS"])
    after = ask_for(lab, back, AFTER_S)
    for node in back:
        require(node.running(), "a process ended")
    return after >= MIN_SERVED


play(__file__, case, TROUBLE)
