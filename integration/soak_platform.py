"""A randomised fault soak of tanagervane-node on the platform's stand-in.

Usage: soak_platform.py [--seeds FIRST:LAST] [--seconds N] [--nodes N]
                        [--callers N]

Each seed starts nodes and callers and injects overlapping faults:
- nodes are killed, paused, stopped gracefully and restarted;
- links to replicas and to the store are cut, drop all data, drop the data of
  one direction, or delay it;
- replicas do not answer, are slow, reject requests, return errors, reset
  connections, truncate replies or add stray ones, drain and register again, or
  lose their registrations while they serve;
- replicas state that they leave, or a limit on the requests that they take, or
  for how long they want none;
- the store returns 503, does not answer (in half of the cases not even the
  watches that waited before), is slow, omits events from watches, loses the
  answers of writes or discards its history;
- the configuration changes;
- other writers put entries that cannot be read into the store;
- open connections to replicas go silent while new ones work;
- replicas send replies without end or lengths that do not fit, or late copies
  of a rejected health check;
- stale reads of the store become seconds old;
- with an even seed, the store states an era and is restored from a copy that is
  up to two seconds old, and the operator and the replicas write again what was
  lost.
Callers reuse connections and check every answer at once; after the faults, the
executions that replicas recorded are compared with what callers saw, and the
requests that reached them with what they had stated.
"""

import argparse
import http.client
import os
import random
import signal
import sys
import tempfile
import threading
import time
import uuid

from fault_links import CLEARED_FAULTS, FAULTS, Links
from platform_cluster import (BASE_PORT, SHARDS, Node, Reply, call_node,
                              merge_problem, routes, wait_for)
from platform_standin import ENDLESS, Platform, RawSpec
from statement_audit import StatementAudit

LINK_PORTS = BASE_PORT + 6000
MODES = ("silent", "shed", "error", "reset", "cut", "extra")
STRANGE_MODES = ("late_rejection", *ENDLESS)
# Contents of entries of other writers.
FOREIGN_SPECS = (
    '{"service":%s}' % ("[" * 100000 + "]" * 100000),
    '{"zone":%s1%s}' % ('{"a":' * 100000, "}" * 100000),
    '{"service":"\udcff"}', '{"concurrencyLimit":1e999}',
    '{"addr":"127.0.0.1:70000","service":"desk","zone":"a",'
    '"concurrencyLimit":1,"state":"ready"}', '{"service":"\\ud800"}', "[]")
FOREIGN_KINDS = ("servers", "config", "tanagervane-vms")
# The longest durations of a fault and of a statement of replicas.
MAX_FAULT_S = 2.0
MAX_STATEMENT_S = 8.0
# Every node must return complete answers this soon after the last fault.
RECOVERY_S = 8
# The timeout of the routes, and the delay that a busy machine adds.
MAX_LATENCY_S = 3


def handles_reload_signal(process):
    """Whether the process already ignores or handles SIGHUP."""
    with open("/proc/%d/status" % process.pid, encoding="ascii") as status:
        masks = [int(line.split()[1], 16) for line in status
                 if line.startswith(("SigIgn", "SigCgt"))]
    return any(mask & 1 << signal.SIGHUP - 1 for mask in masks)


class Caller:
    """Sends requests over one connection to each node, until that closes."""

    def __init__(self, audit):
        self.audit = audit
        self.connections = {}

    def call_node(self, node, path, method="GET", body=None):
        reply = Reply()
        reply.id = uuid.uuid4().hex
        self.audit.add_request(reply.id, node.ip, time.monotonic())
        connection = self.connections.pop(node.ip, None) or \
            http.client.HTTPConnection(node.caller_address, timeout=8)
        start = time.monotonic()
        try:
            connection.request(method, path, body, {
                "Host": "h.example", "Request-Id": reply.id, "Deadline": "800"})
            answer = connection.getresponse()
            reply.status = answer.status
            reply.headers = dict(answer.getheaders())
            reply.body = answer.read()
            if not answer.will_close:
                self.connections[node.ip] = connection
        except (OSError, http.client.HTTPException):
            connection.close()
        reply.seconds = time.monotonic() - start
        return reply


# One run: the platform, nodes, links, callers and faults of a seed.
class Soak:
    def __init__(self, seed, folder, nodes, callers):
        self.callers = callers
        self.random = random.Random(seed)
        self.statement_random = random.Random("statements %d" % seed)
        # Of its own, so that earlier seeds play as before.
        self.silence_random = random.Random("silence %d" % seed)
        self.peer_random = random.Random("peers %d" % seed)
        self.restore_random = random.Random("restores %d" % seed)
        # With an odd seed the nodes run without eras.
        self.has_eras = seed % 2 == 0
        self.problems = []
        self.outcomes = {}
        self.lock = threading.Lock()
        self.running = True
        # The id and status of each non-idempotent request.
        self.orders = []
        self.audit = StatementAudit()
        self.platform = Platform()
        for shard in SHARDS:
            self.platform.add_replicas(shard, 3)
        self.platform.add_replicas("desk", 3)
        self.platform.add_replicas("desk2", 3)
        replicas = self.platform.all_replicas()
        store = self.platform.store.address
        # A link to each replica, which all nodes share, and a link from each
        # node to the store.
        self.links = Links([r.address for r in replicas] + [store] * nodes,
                           LINK_PORTS)
        for replica, address in zip(replicas, self.links.addresses):
            replica.public_address = address
            replica.register()
        if self.has_eras:
            self.platform.store.era = 1
        # Guards the service in force and the version of the configuration.
        self.config_lock = threading.Lock()
        self.single_service = "desk"
        self.platform.configure(routes())
        self.nodes = [Node(i + 1, self.platform, folder,
                           self.links.addresses[len(replicas) + i])
                      for i in range(nodes)]

    def add_problem(self, problem):
        with self.lock:
            self.problems.append(problem)

    def run_caller(self, number):
        """Sends requests in a loop and checks each answer."""
        generator = random.Random(number)
        caller = Caller(self.audit)
        while self.running:
            node = generator.choice(self.nodes)
            if generator.random() < 0.7:
                reply = caller.call_node(node, "/all/x")
                if reply.status == 200 and merge_problem(reply):
                    self.add_problem("%s: %s" %
                                     (reply.id, merge_problem(reply)))
            else:
                reply = caller.call_node(node, "/one/x", "POST", b"order")
                with self.lock:
                    self.orders.append((reply.id, reply.status))
            if reply.seconds > MAX_LATENCY_S and not node.slow_allowed():
                self.add_problem("%s: response after %.1f s" %
                                 (reply.id, reply.seconds))
            if reply.status not in (0, 200, 500, 502, 503, 504):
                self.add_problem("%s: unexpected status %d" %
                                 (reply.id, reply.status))
            with self.lock:
                self.outcomes[reply.status] = \
                    self.outcomes.get(reply.status, 0) + 1
            time.sleep(0.005)

    # Faults. Each returns a function that ends the fault.

    def choose_node(self):
        """Returns a node that is about to be disrupted."""
        node = self.random.choice(self.nodes)
        self.check_process(node)
        self.audit.add_disruption(node.ip, time.monotonic())
        return node

    def check_process(self, node):
        """Reports a process that ended by itself."""
        if node.process.poll() not in (None, 0, -signal.SIGKILL):
            self.add_problem("%s ended by itself: %d" %
                             (node.ip, node.process.returncode))

    def kill_node(self):
        node = self.choose_node()
        node.process.kill()
        node.process.wait()
        return node.start

    def pause_node(self):
        node = self.choose_node()
        process = node.process
        node.slow_allowed_until = float("inf")
        process.send_signal(signal.SIGSTOP)

        def resume():
            process.send_signal(signal.SIGCONT)
            self.audit.add_disruption(node.ip, time.monotonic())
            node.slow_allowed_until = time.monotonic() + MAX_LATENCY_S
        return resume

    def stop_node(self):
        node = self.choose_node()
        node.process.send_signal(signal.SIGTERM)

        def restart():
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.wait(10)
            # The new process knows nothing of what replicas stated while the
            # earlier one stopped.
            self.audit.add_disruption(node.ip, time.monotonic())
            node.start()
        return restart

    def reload_node(self):
        node = self.random.choice(self.nodes)
        # Until its main function runs, a signal would end the process.
        wait_for(lambda: handles_reload_signal(node.process) or
                 node.process.poll() is not None,
                 "the process handles SIGHUP", 2)
        node.process.send_signal(signal.SIGHUP)
        return lambda: None

    def break_replicas(self):
        group = self.random.sample(self.platform.all_replicas(), 3)
        for replica in group:
            replica.mode = self.random.choice(MODES)

        def restore():
            for replica in group:
                replica.mode = "good"
        return restore

    def slow_replicas(self):
        group = self.random.sample(self.platform.all_replicas(), 4)
        for replica in group:
            replica.work_ms = 250

        def restore():
            for replica in group:
                replica.work_ms = 4
        return restore

    def drain_replica(self):
        replica = self.random.choice(self.platform.all_replicas())
        if replica.leaving:
            return lambda: None
        replica.register("draining")

        def register_again():
            self.platform.store.delete("servers", replica.name)
            replica.name += "b"
            replica.register()
        return register_again

    def delete_registrations(self):
        """Deletes the registrations of replicas that go on serving."""
        group = self.random.sample(self.platform.all_replicas(), 9)
        for replica in group:
            self.platform.store.delete("servers", replica.name)

        def register_again():
            for replica in group:
                replica.register("draining" if replica.leaving else "ready")
        return register_again

    def break_links(self):
        group = self.random.sample(range(len(self.links.addresses)), 3)
        for index in group:
            self.links.set_faults(index, self.random.choice(FAULTS))

        def restore():
            for index in group:
                self.links.set_faults(index, CLEARED_FAULTS)
        return restore

    def break_store(self):
        store = self.platform.store
        fault, value = self.random.choice((
            ("unavailable", True), ("silent", True), ("omit_events", True),
            ("lose_answers", True), ("delay_s", 0.7)))
        setattr(store, fault, value)
        if fault == "silent":
            store.lose_watch_answers = self.silence_random.random() < 0.5

        def restore():
            setattr(store, fault, False)
            store.lose_watch_answers = False
        return restore

    def forget_history(self):
        self.platform.store.forget_history()
        return lambda: None

    def change_config(self):
        service = self.random.choice(("desk", "desk2"))
        self.configure(service)
        return lambda: None

    def configure(self, service):
        with self.config_lock:
            self.single_service = service
            self.platform.configure(routes(single_service=service))

    def restore_store(self):
        """At its end the store is as it is now, in a new era; then all that is
        lost is written again."""
        store = self.platform.store
        copy = store.copy()

        def restore():
            store.restore(copy)
            replicas = self.platform.all_replicas()
            for name in list(store.objects["servers"]):
                if name not in {replica.name for replica in replicas}:
                    store.delete("servers", name)
            for replica in replicas:
                replica.register("draining" if replica.leaving else "ready")
            self.configure(self.single_service)
        return restore

    # Statements of replicas. Each returns a function that ends them.

    def limit_replicas(self):
        generator = self.statement_random
        group = generator.sample(self.platform.all_replicas(), 3)
        for replica in group:
            replica.rate_limit = round(generator.uniform(0, 10), 1)

        def end_limits():
            for replica in group:
                replica.rate_limit = None
        return end_limits

    def ask_for_backoff(self):
        group = self.platform.all_replicas()
        for replica in group:
            replica.retry_after_s = 1.0

        def end_backoff():
            for replica in group:
                replica.retry_after_s = None
        return end_backoff

    def leave(self):
        """One replica leaves for good; it serves until the end of the run. Its
        report to the store may be late."""
        replicas = self.platform.all_replicas()
        if any(replica.leaving for replica in replicas):
            return lambda: None
        replica = self.statement_random.choice(replicas)
        replica.leaving = True
        return lambda: replica.register("draining")

    # Faults of other writers, replicas and connections. Each returns a
    # function that ends it.

    def write_foreign_entry(self):
        generator = self.peer_random
        kind = generator.choice(FOREIGN_KINDS)
        name = "foreign %d" % generator.randrange(1000)
        self.platform.store.put(kind, name,
                                RawSpec(generator.choice(FOREIGN_SPECS)))
        return lambda: self.platform.store.delete(kind, name)

    def silence_connections(self):
        for replica in self.peer_random.sample(self.platform.all_replicas(), 4):
            replica.silence_connections()
        return lambda: None

    def send_strange_replies(self):
        replica = self.peer_random.choice(self.platform.all_replicas())
        replica.mode = self.peer_random.choice(STRANGE_MODES)

        def restore():
            replica.mode = "good"
        return restore

    def age_stale_reads(self):
        store = self.platform.store
        store.stale_s = self.peer_random.uniform(0.5, 2)

        def restore():
            store.stale_s = 0
        return restore

    def inject(self, generator, faults, seconds, longest_s):
        """Injects faults that last up to `longest_s` each, and ends them."""
        # Two node faults at a time could act on the same process.
        node_faults = (self.kill_node, self.pause_node, self.stop_node,
                       self.reload_node)
        registration_faults = (self.drain_replica, self.delete_registrations)
        end = time.monotonic() + seconds
        active = {}
        while time.monotonic() < end:
            now = time.monotonic()
            for fault in [f for f, (until, _) in active.items() if until < now]:
                active.pop(fault)[1]()
            fault = generator.choice(faults)
            if fault in registration_faults and any(
                    f in active for f in registration_faults):
                continue
            if fault not in active and not (
                    fault in node_faults and
                    any(f in active for f in node_faults)):
                active[fault] = (now + generator.uniform(0.2, longest_s),
                                 fault())
            time.sleep(generator.uniform(0.1, 0.5))
        for _, undo in active.values():
            undo()

    def inject_all(self, seconds):
        faults = [self.kill_node, self.pause_node, self.stop_node,
                  self.reload_node, self.break_replicas, self.slow_replicas,
                  self.drain_replica, self.delete_registrations,
                  self.break_links, self.break_store, self.forget_history,
                  self.change_config]
        statements = [self.limit_replicas, self.ask_for_backoff, self.leave]
        peer_faults = [self.write_foreign_entry, self.silence_connections,
                       self.send_strange_replies, self.age_stale_reads]
        # With generators of their own, these leave the faults of a seed as
        # they are.
        injections = [
            (self.statement_random, statements, seconds, MAX_STATEMENT_S),
            (self.peer_random, peer_faults, seconds, MAX_FAULT_S)]
        if self.has_eras:
            injections.append((self.restore_random, [self.restore_store],
                               seconds, MAX_FAULT_S))
        threads = [threading.Thread(target=self.inject, args=arguments)
                   for arguments in injections]
        for thread in threads:
            thread.start()
        try:
            self.inject(self.random, faults, seconds, MAX_FAULT_S)
        finally:
            for thread in threads:
                thread.join()

    def all_answers_complete(self):
        replies = [call_node(node, "/all/x") for node in self.nodes]
        return all(r.status == 200 and r.headers.get("Missing-Parts") == "0"
                   for r in replies)

    # Compares the executions with the outcomes that callers saw.
    def check_executions(self):
        ran = {}
        for replica in self.platform.all_replicas():
            for request_id in replica.ran:
                ran[request_id] = ran.get(request_id, 0) + 1
        for request_id, status in self.orders:
            if ran.get(request_id, 0) > 1:
                self.add_problem("%s ran twice" % request_id)
            if status == 503 and request_id in ran:
                self.add_problem("%s was refused with 503 (not run) but ran" %
                                 request_id)
        for replica in self.platform.all_replicas():
            for problem in self.audit.problems(replica):
                self.add_problem(problem)

    def run(self, seconds):
        for node in self.nodes:
            wait_for(node.ready, "the node is ready")
        callers = [threading.Thread(target=self.run_caller, args=(i,))
                   for i in range(self.callers)]
        for caller in callers:
            caller.start()
        try:
            self.inject_all(seconds)
            try:
                wait_for(self.all_answers_complete,
                         "all nodes return complete answers",
                         RECOVERY_S)
            except AssertionError as error:
                self.add_problem(str(error))
        finally:
            self.running = False
            for caller in callers:
                caller.join()
            if not self.outcomes.get(200):
                self.add_problem("no caller was served")
            self.check_executions()
            for node in self.nodes:
                self.check_process(node)
                node.stop()
            self.links.stop()
            self.platform.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1:2", help="FIRST:LAST")
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--callers", type=int, default=6)
    options = parser.parse_args()
    first, last = (int(n) for n in options.seeds.split(":"))
    failed = 0
    for seed in range(first, last + 1):
        folder = tempfile.mkdtemp(prefix="soak-%d-" % seed)
        soak = Soak(seed, folder, options.nodes, options.callers)
        soak.run(options.seconds)
        print("soak seed=%d problems=%d outcomes=%s%s" % (
            seed, len(soak.problems), dict(sorted(soak.outcomes.items())),
            " logs=" + folder if soak.problems else ""), flush=True)
        for problem in soak.problems[:10]:
            print("  " + problem)
        if soak.problems:
            failed += 1
        else:
            for name in os.listdir(folder):
                os.unlink(os.path.join(folder, name))
            os.rmdir(folder)
    print("soak seeds=%d failed=%d" % (last - first + 1, failed))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
