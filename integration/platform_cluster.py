"""Node processes on the stand-in of the users' platform, for tests."""

import hashlib
import http.client
import json
import os
import signal
import subprocess
import time
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("TANAGERVANE_BUILD", os.path.join(ROOT, "build"))
SHARDS = ["s%d" % i for i in range(4)]
BASE_PORT = 21000 + os.getpid() % 500 * 10


class Node:
    """One node process with an address of its own on loopback."""

    def __init__(self, number, platform, directory, store_address=None):
        self.ip = "127.0.7.%d" % number
        self.path = os.path.join(directory, "node-%d.json" % number)
        self.log_path = os.path.join(directory, "node-%d.log" % number)
        self.callers, self.readiness, self.directory = (
            "%s:%d" % (self.ip, BASE_PORT + i) for i in range(3))
        self.gossip = "%s:%d" % (self.ip, BASE_PORT + 5)
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump({
                "id": "node-%d" % number, "data_centre": "a",
                "store_address": store_address or platform.store.address,
                "max_descriptors": 1024,
                "listeners": {
                    "ip": self.ip, "callers": self.callers,
                    "readiness": self.readiness, "directory": self.directory,
                    "first_vm_port": BASE_PORT + 5},
                "bounds": {"stop_grace_s": 3, "retry_ratio": 0.2,
                           "retry_slack": 100, "retry_window_s": 10},
                "policy": {"address_lifetime_ms": 200}}, file)
        self.process = None
        # Until then slow answers are the test's doing.
        self.disturbed_until = 0
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(BUILD, "tanagervane-node"),
                 "--settings=" + self.path], stdout=log, stderr=log)

    def disturbed(self):
        return time.monotonic() < self.disturbed_until

    def log(self):
        with open(self.log_path, encoding="utf-8") as file:
            return file.read()

    def ready(self):
        return get(self.readiness, "/tanagervane/ready").status == 200

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            self.process.wait(10)


class Reply:

    def __init__(self, status=0, headers=None, body=b"", seconds=0.0):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.seconds = seconds


def get(address, path, headers=None, method="GET", body=None, timeout=5):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    start = time.monotonic()
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Reply(answer.status, dict(answer.getheaders()), answer.read(),
                     time.monotonic() - start)
    except (OSError, http.client.HTTPException):
        return Reply()
    finally:
        connection.close()


def wait_for(condition, what, seconds=10):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError("not within %d s: %s" % (seconds, what))


def routes(shards=None, one="desk"):
    common = {"host": "h.example", "timeoutMs": 1000, "sloMs": 300,
              "attempts": 2, "priority": 1}
    return [
        dict(common, name="all", pathPrefix="/all/", type="idempotent",
             gather=shards or SHARDS, topK=5, minShardShare=0.75),
        dict(common, name="one", pathPrefix="/one/", type="non_idempotent",
             service=one),
        dict(common, name="again", pathPrefix="/again/", type="idempotent",
             service=one)]


def ask(node, path, method="GET", body=None, deadline=1000):
    """Sends a request as a caller does; the reply has the request's id."""
    request_id = uuid.uuid4().hex
    reply = get(node.callers, path, {
        "Host": "h.example", "Request-Id": request_id,
        "Deadline": str(deadline)}, method, body)
    reply.id = request_id
    return reply


def records_of(service, request_id):
    """The twelve records that each replica of a service gives a request."""
    return [hashlib.md5(("%s/%s/%d" % (service, request_id, i))
                        .encode()).digest() for i in range(12)]


def merge_problem(reply):
    """What is wrong with a merged answer, or an empty string: its body must be
    the merge of exactly the parts that are named."""
    parts = reply.headers.get("Part-Stamps", "").split(", ")
    services = [part.split(".")[0] for part in parts]
    if len(services) != len(set(services)) or not set(services) <= set(SHARDS):
        return "parts %s" % parts
    if len(parts) + int(reply.headers.get("Missing-Parts", "0")) != len(SHARDS):
        return "parts and missing parts do not add up"
    records = [r for s in services for r in records_of(s, reply.id)]
    if reply.body != b"".join(sorted(records, reverse=True)[:5]):
        return "body is not the merge of its parts"
    return ""
