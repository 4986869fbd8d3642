"""Sends a request of each class to every entry and checks the answers.

Exits with 1 when an answer is wrong or incomplete, an order did not run
exactly once, or an entry did not stop gracefully.
"""

import json
import re
import sys
import time

from cluster import Cluster, DEPLOYMENTS, check_answer

COLUMNS = "%-16s %-14s %-8s %-9s %-8s %6s  %s"


def load_document(path):
    """Reads a document, which may have comment lines."""
    with open(path, encoding="utf-8") as file:
        return json.loads(re.sub(r"^\s*//.*$", "", file.read(), flags=re.M))


def run_request(cluster, entry, spec, tenant, payload):
    """Sends a request of a class; returns the reply and its latency in ms."""
    started = time.monotonic()
    if spec.get("idempotent", True):
        reply = cluster.query(spec["name"], tenant, payload, entry)
    else:
        reply = cluster.order(spec["name"], tenant, payload, "key-" + payload,
                              int(time.time() * 1000), entry)
    return reply, (time.monotonic() - started) * 1000


def check_class(cluster, entry, spec, tenant):
    """Sends a request of a class to an entry and prints the outcome; returns a
    description of the problem, or None."""
    payload = "demo-%s-%s" % (spec["name"], entry.name)
    reply, elapsed = run_request(cluster, entry, spec, tenant, payload)
    if reply.status != 200:
        print(COLUMNS % (spec["name"], spec["index"], entry.name,
                         "refused", "-", "%.1f" % elapsed, reply.text))
        return "refused"
    answer = reply.json()
    problem = check_answer(answer, payload, spec.get("matches", 0))
    if not problem and not answer["complete"]:
        problem = "incomplete"
    print(COLUMNS % (
        spec["name"], answer["index"], entry.name,
        "complete" if answer["complete"] else "partial",
        "%d/%d" % (len(answer["covered"]), answer["shard_count"]),
        "%.1f" % elapsed, problem or "ok"))
    return problem


def check_orders(cluster, classes):
    """Checks that every order ran exactly once; returns the problems."""
    problems = []
    for spec in classes:
        if spec.get("idempotent", True):
            continue
        executed = cluster.executions(spec["index"])
        for entry in cluster.entries:
            payload = "demo-%s-%s" % (spec["name"], entry.name)
            if executed[payload] != 1:
                problems.append("%s ran %d times" % (payload,
                                                     executed[payload]))
    return problems


def stop_all(cluster):
    """Stops all entries at the same time with SIGTERM; returns the
    problems."""
    problems = []
    for entry in cluster.entries:
        entry.process.send(15)
    for entry in cluster.entries:
        code = entry.process.wait(20)
        if code != 0:
            problems.append("%s exited with %d" % (entry.name, code))
        if "cut_requests=0" not in entry.process.log():
            problems.append("%s cut requests" % entry.name)
    return problems


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "sicilia-sud"
    if name not in DEPLOYMENTS:
        sys.exit("usage: demo.py [%s]" % "|".join(DEPLOYMENTS))
    problems = []
    with Cluster(name) as cluster:
        document = load_document(cluster.document)
        print(cluster.ctl("entries").stdout)
        print(COLUMNS % ("class", "index", "entry", "answer", "shards", "ms",
                         "check"))
        for spec in document["classes"]:
            for position, entry in enumerate(cluster.entries):
                tenants = document["tenants"]
                tenant = tenants[position % len(tenants)]["name"]
                problem = check_class(cluster, entry, spec, tenant)
                if problem:
                    problems.append("%s on %s: %s" % (spec["name"], entry.name,
                                                      problem))
        problems += check_orders(cluster, document["classes"])
        problems += stop_all(cluster)
    for problem in problems:
        print("problem: " + problem)
    print("demo deployment=%s problems=%d" % (name, len(problems)))
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
