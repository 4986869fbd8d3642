"""Helpers of the fault tests and benchmarks: a small deployment, callers
that record every outcome, and a comparison of the outcomes of orders with the
executions on the back ends."""

import collections
import json
import os
import signal
import tempfile
import threading
import time
import unittest

from cluster import (DEPLOYMENTS, HOST, Cluster, IndexSize, check_answer, http,
                     wait_until)

# Three shards of three replicas; one shard of six replicas.
SHARDED_INDEX, ONE_SHARD_INDEX = "banco-cucitura", "portale-clienti"
# Long enough that a slow machine alone makes no request miss it.
DEADLINE_MS = 1500

DEPLOYMENTS["small"] = {
    "document": "", "team": "lavandeti", "data_centres": ["a", "b", "c"],
    "indexes": [IndexSize(SHARDED_INDEX, 3, 3, 5, 40, 3),
                IndexSize(ONE_SHARD_INDEX, 1, 6, 4, 40, 3)],
}


def document(share=1, entries=4, connections=40, deadline_ms=DEADLINE_MS):
    """Returns the text of a document. Revisions of it differ in `share`, the
    share of its only tenant."""
    def index(name, shards, replicas, slots):
        return {"name": name, "shards": shards, "replicas": replicas,
                "slots": slots, "connections": connections, "connect_ms": 1,
                "reports_load": True}

    def request_class(name, index_name, shape, **fields):
        return dict({"name": name, "index": index_name, "shape": shape,
                     "deadline_ms": deadline_ms, "urgency": "urgent"}, **fields)
    return json.dumps({
        "team": "lavandeti", "entries": entries,
        "indexes": [index(SHARDED_INDEX, 3, 3, 5),
                    index(ONE_SHARD_INDEX, 1, 6, 4)],
        "classes": [
            request_class("lots", SHARDED_INDEX, "every_shard"),
            request_class("lookup", ONE_SHARD_INDEX, "one_server"),
            request_class("place-order", ONE_SHARD_INDEX, "one_server",
                          idempotent=False)],
        "tenants": [{"name": "buyers", "share": share}]})


class SmallCluster(Cluster):
    """A deployment with 15 replicas whose classes have long deadlines."""

    def __init__(self, entries=2, document_text=None, **options):
        file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
        with file:
            file.write(document_text or document())
        super().__init__("small", entries=entries, document=file.name,
                         **options)

    def shut_down(self):
        super().shut_down()
        if os.path.exists(self.document):
            os.unlink(self.document)

    # Documents.

    # Writes a document based on a revision; `key` False sends no operator key,
    # None the valid one.
    def put_document(self, text, base_revision, entry=None, key=None,
                     timeout=10.0):
        entry = entry or self.entries[0]
        headers = {"If-Match": str(base_revision), "X-Author": "test"}
        if key is not False:
            headers["Authorization"] = "Bearer " + (key or self.operator_key)
        return http("PUT", "http://%s/v1/document" % entry.operator_address,
                    text.encode(), headers, timeout)

    def revision(self, entry):
        return http("GET", "http://%s/v1/document" %
                    entry.operator_address).json().get("revision", 0)

    # Back ends.

    def replicas(self, index):
        """Counters of each replica of an index, by VM id."""
        return {item["id"]: item
                for reply in self.call_all_backends(index, "replicas")
                for item in reply["replicas"]}

    def change_replicas(self, index, selection="all", **changes):
        self.call_all_backends(index, "replicas/" + selection, changes)

    def crashes(self, index):
        return sum(item["counters"]["crashes"]
                   for item in self.replicas(index).values())

    def publish(self, version, shards):
        """Publishes a version of the sharded index, one data centre after the
        other."""
        for name, centre in self.backends:
            if name == SHARDED_INDEX:
                self.call_backend(name, centre, "replicas/all/publish",
                                  {"version": version, "shards": shards})

    def process_named(self, name):
        return next(p for p in self.processes if p.name == name)

    # Proxies.

    # Sets faults of the links to the back-end processes whose names start with
    # `name`.
    def set_link_faults(self, name, selection="all", **faults):
        for proxy, control in self.proxies.items():
            if proxy.startswith(name):
                reply = http("POST", "http://%s/pairs/%s" %
                             (control, selection), faults)
                assert reply.status == 200, reply.text

    def peak_connections(self):
        """The largest number of connections that a replica has had at a
        time."""
        return max(pair["max_connections"]
                   for control in self.proxies.values()
                   for pair in http("GET", "http://%s/pairs" %
                                    control).json()["pairs"])


Record = collections.namedtuple(
    "Record", "class_name payload outcome answer problem ms entry_address")


def send_and_classify(class_name, payload, entry, send):
    """Sends a request; returns a Record of what its caller learns. The outcome
    is complete, partial, repeated (success without results), lost (no
    response), wrong (malformed or incorrect response), or the one that a
    refusal states: not_run, ran or unknown."""
    started = time.monotonic()

    def record(outcome, answer=None, problem=None):
        return Record(class_name, payload, outcome, answer, problem,
                      (time.monotonic() - started) * 1000,
                      entry and entry.caller_address)
    try:
        reply = send()
        answer = reply.json()
    except OSError as error:
        return record("lost", {"error": str(error)})
    except ValueError:
        return record("wrong", None, "the response is not JSON")
    if reply.status != 200:
        if answer.get("outcome") in ("not_run", "ran", "unknown"):
            return record(answer["outcome"], answer)
        return record("wrong", answer, "the refusal has no valid outcome field")
    if "results" not in answer:
        return record("repeated", answer)
    problem = check_answer(answer, payload)
    if problem:
        return record("wrong", answer, problem)
    return record("complete" if answer["complete"] else "partial", answer)


class Caller:
    """Sends requests to entries and records their outcomes."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.records = []

    def add_record(self, record):
        self.records.append(record)
        return record

    def query(self, class_name, payload, entry=None, **fields):
        return self.add_record(send_and_classify(
            class_name, payload, entry, lambda: self.cluster.query(
                class_name, "buyers", payload, entry, **fields)))

    def order(self, payload, key=None, entry=None, issued_at_ms=None, **fields):
        issued_at_ms = issued_at_ms or int(time.time() * 1000)
        return self.add_record(send_and_classify(
            "place-order", payload, entry, lambda: self.cluster.order(
                "place-order", "buyers", payload, key or payload, issued_at_ms,
                entry, **fields)))


class Load:
    """Callers in threads. Each gets the addresses of entries from an entry
    and uses them until their lifetime ends, as production callers do, unless
    `entries` are given. A context manager; `records` is complete after the
    block."""

    def __init__(self, cluster, class_names=("lots",), threads=4, entries=None,
                 pause_s=0.005, name="load"):
        self.caller = Caller(cluster)
        self.cluster, self.class_names, self.pause_s = \
            cluster, class_names, pause_s
        self.entries = entries
        self.stop = threading.Event()
        self.threads = [threading.Thread(target=self.run,
                                         args=("%s-%d" % (name, i),))
                        for i in range(threads)]

    @property
    def records(self):
        return self.caller.records

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *unused):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    # Returns entries' addresses and the time until which they are valid; the
    # known ones when no entry answers.
    def fetch_addresses(self, known):
        for address in known + [e.caller_address for e in self.cluster.entries
                                if e.process.running()]:
            try:
                reply = http("GET", "http://%s/v1/addresses" % address,
                             timeout=2.0)
            except OSError:
                continue
            if reply.status == 200:
                found = reply.json()
                return ([item["address"] for item in found["addresses"]],
                        time.monotonic() + found["lifetime_ms"] / 1000)
        return known, 0

    def run(self, name):
        known, expires, number = [], 0, 0
        while not self.stop.is_set():
            if self.entries:
                known = [entry.caller_address for entry in self.entries]
            elif time.monotonic() >= expires:
                known, expires = self.fetch_addresses(known)
            if known:
                address = known[number % len(known)]
                class_name = self.class_names[number % len(self.class_names)]
                payload = "%s-%d" % (name, number)
                entry = EntryAddress(address)
                if class_name == "place-order":
                    issued_at_ms = int(time.time() * 1000)
                    record = self.caller.order(payload, entry=entry,
                                               issued_at_ms=issued_at_ms)
                    if record.outcome in ("lost", "unknown", "not_run"):
                        other = next((e for e in self.cluster.entries
                                      if e.process.running() and
                                      e.caller_address != address), None)
                        self.caller.order(payload, entry=other,
                                          issued_at_ms=issued_at_ms)
                else:
                    record = self.caller.query(class_name, payload, entry)
                if record.outcome == "lost":
                    known = [other for other in known if other != address]
                number += 1
            self.stop.wait(self.pause_s)

    def count(self, outcome):
        return sum(record.outcome == outcome for record in self.records)

    def wait_for_more(self, count, outcome="complete", seconds=20):
        """Waits until `count` more requests have ended with this outcome."""
        goal = self.count(outcome) + count
        wait_until("%d more requests with outcome %s" % (count, outcome),
                   lambda: self.count(outcome) >= goal, seconds)


# Takes the place of an Entry of which only the address is known.
EntryAddress = collections.namedtuple("EntryAddress", "caller_address")


def order_problems(cluster, records):
    """Compares the outcomes that callers of orders got with the executions
    that the back ends recorded: none for not_run, one for an answer, at most
    one for any other outcome."""
    outcomes_of = collections.defaultdict(set)
    for record in records:
        if record.class_name == "place-order":
            outcomes_of[record.payload].add(record.outcome)
    ran = cluster.executions(ONE_SHARD_INDEX)
    problems = []
    for payload, outcomes in outcomes_of.items():
        count = ran[payload]
        certain = outcomes & {"complete", "repeated", "ran"}
        if (count > 1 or (certain and count != 1) or
                (outcomes == {"not_run"} and count)):
            problems.append("%s ran %d times, its callers got %s" %
                            (payload, count, sorted(outcomes)))
    return problems


def run_together(*tasks):
    """Starts the tasks at the same time; returns their results."""
    results = [None] * len(tasks)
    barrier = threading.Barrier(len(tasks))

    def run(position):
        barrier.wait()
        results[position] = tasks[position]()
    threads = [threading.Thread(target=run, args=(i,))
               for i in range(len(tasks))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def run_in_background(task):
    """Starts a task in a thread; returns a function that waits for its
    result."""
    results = []
    thread = threading.Thread(target=lambda: results.append(task()))
    thread.start()

    def result():
        thread.join()
        return results[0]
    return result


class FaultTest(unittest.TestCase):
    """Starts a small deployment for each test."""

    OPTIONS = {}

    def setUp(self):
        self.cluster = SmallCluster(**self.OPTIONS)
        self.addCleanup(self.cluster.shut_down)
        self.cluster.start()
        self.entries = self.cluster.entries
        self.caller = Caller(self.cluster)

    def tearDown(self):
        """Checks that no process crashed or exited with an error."""
        ended = [(p.name, p.child.poll(), p.log()[-500:])
                 for p in self.cluster.processes
                 if p.child.poll() not in (None, 0, -signal.SIGKILL)]
        self.assertEqual([], ended)

    def check_orders(self, records=None):
        self.assertEqual([], order_problems(
            self.cluster, self.caller.records if records is None else records))

    def check_no_wrong_or_lost(self, records):
        """Checks that every request got a response and none was wrong."""
        self.assertTrue(records)
        bad = [r for r in records if r.outcome in ("wrong", "lost")]
        self.assertEqual([], bad[:3])

    def platform_writes(self):
        return self.cluster.platform_counters()["put"]

    def check_entries_running(self):
        for entry in self.entries:
            self.assertTrue(entry.process.running(), entry.process.log()[-800:])

    def pause_entry(self, entry):
        entry.process.send(signal.SIGSTOP)

    def resume_entry(self, entry):
        entry.process.send(signal.SIGCONT)
