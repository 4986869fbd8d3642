"""A randomised fault soak of tanagervane-node on the platform's stand-in.

Usage: soak_platform.py [--seeds FIRST:LAST] [--seconds N] [--nodes N]
                        [--callers N]

Each seed starts nodes and a few callers, and injects faults from outside in
series that overlap: nodes that are killed, paused, stopped as planned and
restarted; links to replicas and to the store that are cut, silent, one way or
late; replicas that turn silent, slow, shedding, failing, resetting, cutting or
garbling, that leave, come back, or lose their entries while they serve; a store
that refuses, is silent, slow or deaf, loses answers of writes or forgets its
history; versions of the configuration. Callers use a connection until it ends
and check each answer while it runs; replicas count what they ran.
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

from fault_links import CLEAR, FAULTS, Links
from platform_cluster import (BASE_PORT, SHARDS, Node, Reply, ask,
                              merge_problem, routes, wait_for)
from platform_standin import Platform

LINK_PORTS = BASE_PORT + 6000
MODES = ("silent", "shed", "error", "reset", "cut", "extra")
# After the last fault everything must be served again within this time.
RECOVERY_S = 8


# The timeout of the routes, and what a busy machine adds.
LONGEST_WAIT_S = 3


def takes_reload_signal(process):
    """Whether the process ignores or handles SIGHUP by now."""
    with open("/proc/%d/status" % process.pid, encoding="ascii") as status:
        masks = [int(line.split()[1], 16) for line in status
                 if line.startswith(("SigIgn", "SigCgt"))]
    return any(mask & 1 << signal.SIGHUP - 1 for mask in masks)


class Caller:
    """Keeps a connection to each node and uses it until it ends."""

    def __init__(self):
        self.connections = {}

    def ask(self, node, path, method="GET", body=None):
        reply = Reply()
        reply.id = uuid.uuid4().hex
        connection = self.connections.pop(node.ip, None) or \
            http.client.HTTPConnection(node.callers, timeout=8)
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


class Soak:

    def __init__(self, seed, folder, nodes, callers):
        self.callers = callers
        self.random = random.Random(seed)
        self.problems = []
        self.outcomes = {}
        self.lock = threading.Lock()
        self.running = True
        self.once = []
        self.pending = []
        self.platform = Platform()
        for shard in SHARDS:
            self.platform.add_replicas(shard, 3)
        self.platform.add_replicas("desk", 3)
        self.platform.add_replicas("desk2", 3)
        replicas = self.platform.all_replicas()
        store = self.platform.store.address
        # A link to each replica, shared by the nodes, and one from each node to
        # the store.
        self.links = Links([r.address for r in replicas] + [store] * nodes,
                           LINK_PORTS)
        for replica, address in zip(replicas, self.links.addresses):
            replica.public = address
            replica.register()
        self.platform.configure(routes())
        self.nodes = [Node(i + 1, self.platform, folder,
                           self.links.addresses[len(replicas) + i])
                      for i in range(nodes)]

    def note(self, problem):
        with self.lock:
            self.problems.append(problem)

    def call(self, number):
        """One caller: asks in a loop and checks each answer."""
        chooser = random.Random(number)
        caller = Caller()
        while self.running:
            node = chooser.choice(self.nodes)
            if chooser.random() < 0.7:
                reply = caller.ask(node, "/all/x")
                if reply.status == 200 and merge_problem(reply):
                    self.note("%s: %s" % (reply.id, merge_problem(reply)))
            else:
                reply = caller.ask(node, "/one/x", "POST", b"order")
                with self.lock:
                    self.once.append((reply.id, reply.status))
            if reply.seconds > LONGEST_WAIT_S and not node.disturbed():
                self.note("%s: held for %.1f s" % (reply.id, reply.seconds))
            if reply.status not in (0, 200, 500, 502, 503, 504):
                self.note("%s: status %d" % (reply.id, reply.status))
            with self.lock:
                self.outcomes[reply.status] = \
                    self.outcomes.get(reply.status, 0) + 1
            time.sleep(0.005)

    # Faults. Each returns what undoes it.

    def kill_node(self):
        node = self.random.choice(self.nodes)
        node.process.kill()
        node.process.wait()
        return node.start

    def pause_node(self):
        node = self.random.choice(self.nodes)
        process = node.process
        node.disturbed_until = float("inf")
        process.send_signal(signal.SIGSTOP)

        def wake():
            process.send_signal(signal.SIGCONT)
            node.disturbed_until = time.monotonic() + LONGEST_WAIT_S
        return wake

    def stop_node(self):
        node = self.random.choice(self.nodes)
        node.process.send_signal(signal.SIGTERM)

        def restart():
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.wait(10)
            node.start()
        return restart

    def reload_node(self):
        node = self.random.choice(self.nodes)
        # Before its main function a process cannot take signals.
        wait_for(lambda: takes_reload_signal(node.process) or
                 node.process.poll() is not None,
                 "the process takes reload signals", 2)
        node.process.send_signal(signal.SIGHUP)
        return lambda: None

    def break_replicas(self):
        group = self.random.sample(self.platform.all_replicas(), 3)
        for replica in group:
            replica.mode = self.random.choice(MODES)

        def mend():
            for replica in group:
                replica.mode = "good"
        return mend

    def slow_replicas(self):
        group = self.random.sample(self.platform.all_replicas(), 4)
        for replica in group:
            replica.work_ms = 250

        def mend():
            for replica in group:
                replica.work_ms = 4
        return mend

    def drain_replica(self):
        replica = self.random.choice(self.platform.all_replicas())
        replica.register("draining")

        def come_back():
            self.platform.store.delete("servers", replica.name)
            replica.name += "b"
            replica.register()
        return come_back

    def lapse_entries(self):
        """Entries go while their replicas serve on, and come back."""
        group = self.random.sample(self.platform.all_replicas(), 9)
        for replica in group:
            self.platform.store.delete("servers", replica.name)

        def come_back():
            for replica in group:
                replica.register()
        return come_back

    def break_links(self):
        group = self.random.sample(range(len(self.links.addresses)), 3)
        for index in group:
            self.links.change(index, self.random.choice(FAULTS))

        def mend():
            for index in group:
                self.links.change(index, CLEAR)
        return mend

    def break_store(self):
        store = self.platform.store
        fault, value = self.random.choice((
            ("refuse", True), ("silent", True), ("deaf", True), ("lose", True),
            ("delay_s", 0.7)))
        setattr(store, fault, value)

        def mend():
            setattr(store, fault, False)
        return mend

    def forget_history(self):
        self.platform.store.forget_history()
        return lambda: None

    def change_config(self):
        service = self.random.choice(("desk", "desk2"))
        self.platform.configure(routes(one=service))
        return lambda: None

    def inject(self, seconds):
        faults = [self.kill_node, self.pause_node, self.stop_node,
                  self.reload_node, self.break_replicas, self.slow_replicas,
                  self.drain_replica, self.lapse_entries, self.break_links,
                  self.break_store, self.forget_history, self.change_config]
        end = time.monotonic() + seconds
        active = {}
        while time.monotonic() < end:
            now = time.monotonic()
            for fault in [f for f, (until, _) in active.items() if until < now]:
                active.pop(fault)[1]()
            fault = self.random.choice(faults)
            entries = (self.drain_replica, self.lapse_entries)
            if fault in entries and any(f in active for f in entries):
                continue
            if fault not in active:
                # Node faults exclude each other: two would fight for a process.
                group = (self.kill_node, self.pause_node, self.stop_node,
                         self.reload_node)
                if not (fault in group and any(f in active for f in group)):
                    active[fault] = (now + self.random.uniform(0.2, 2.0),
                                     fault())
            time.sleep(self.random.uniform(0.1, 0.5))
        for _, undo in active.values():
            undo()

    def whole(self):
        replies = [ask(node, "/all/x") for node in self.nodes]
        return all(r.status == 200 and r.headers.get("Missing-Parts") == "0"
                   for r in replies)

    def check_runs(self):
        ran = {}
        for replica in self.platform.all_replicas():
            for request_id in replica.ran:
                ran[request_id] = ran.get(request_id, 0) + 1
        for request_id, status in self.once:
            if ran.get(request_id, 0) > 1:
                self.note("%s ran twice" % request_id)
            if status == 503 and request_id in ran:
                self.note("%s was refused as not run and ran" % request_id)

    def run(self, seconds):
        for node in self.nodes:
            wait_for(node.ready, "node is ready")
        callers = [threading.Thread(target=self.call, args=(i,))
                   for i in range(self.callers)]
        for caller in callers:
            caller.start()
        try:
            self.inject(seconds)
            try:
                wait_for(self.whole, "all nodes serve whole answers",
                         RECOVERY_S)
            except AssertionError as error:
                self.note(str(error))
        finally:
            self.running = False
            for caller in callers:
                caller.join()
            self.check_runs()
            for node in self.nodes:
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
