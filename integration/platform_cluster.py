"""Node processes on the stand-in of the users' platform, and requests to
them, for tests."""

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
    """A node process with its own loopback IP address."""

    def __init__(self, number, platform, folder, store_address=None,
                 settings=None, bounds=None):
        self.ip = "127.0.7.%d" % number
        self.path = os.path.join(folder, "node-%d.json" % number)
        self.log_path = os.path.join(folder, "node-%d.log" % number)
        self.caller_address, self.readiness_address, self.directory_address = (
            "%s:%d" % (self.ip, BASE_PORT + i) for i in range(3))
        self.gossip_address = "%s:%d" % (self.ip, BASE_PORT + 5)
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump({**{
                "id": "node-%d" % number, "data_centre": "a",
                "store_address": store_address or platform.store.address,
                "max_descriptors": 1024,
                "listeners": {
                    "ip": self.ip, "callers": self.caller_address,
                    "readiness": self.readiness_address,
                    "directory": self.directory_address,
                    "first_vm_port": BASE_PORT + 5},
                "bounds": {"stop_grace_s": 3, "retry_ratio": 0.2,
                           "retry_slack": 100, "retry_window_s": 10,
                           **(bounds or {})},
                "policy": {"address_lifetime_ms": 200}},
                **(settings or {})}, file)
        self.process = None
        # Until this time a test fault may make answers slow.
        self.slow_allowed_until = 0
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(BUILD, "tanagervane-node"),
                 "--settings=" + self.path], stdout=log, stderr=log)

    def slow_allowed(self):
        return time.monotonic() < self.slow_allowed_until

    def log(self):
        with open(self.log_path, encoding="utf-8") as file:
            return file.read()

    def ready(self):
        return http_request(self.readiness_address,
                            "/tanagervane/ready").status == 200

    def addresses(self):
        """Returns the caller addresses in the node's directory."""
        reply = http_request(self.directory_address,
                             "/tanagervane/resolve?name=h.example")
        return set(json.loads(reply.body)["addrs"]) if reply.body else set()

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            self.process.wait(10)


# A response; status 0 stands for none.
class Reply:
    def __init__(self, status=0, headers=None, body=b"", seconds=0.0):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.seconds = seconds


# Sends a request over a new connection; the Reply has status 0 when no response
# arrives.
def http_request(address, path, headers=None, method="GET", body=None,
                 timeout=5):
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


# Polls `condition()` until it holds; raises AssertionError with the description
# when it does not within `seconds`.
def wait_for(condition, description, seconds=10):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError("condition not met within %d s: %s" %
                         (seconds, description))


def wait_for_fleet(nodes):
    """Waits until each of the nodes knows by gossip that all of them serve."""
    serving = {node.caller_address for node in nodes}
    wait_for(lambda: all(node.addresses() == serving for node in nodes),
             "the nodes know each other")


# Routes of a configuration: /all/ queries every shard, /one/ and /again/ send a
# non-idempotent and an idempotent request to a single service.
def routes(shards=None, single_service="desk"):
    common = {"host": "h.example", "timeoutMs": 1000, "sloMs": 300,
              "attempts": 2, "priority": 1}
    return [
        dict(common, name="all", pathPrefix="/all/", type="idempotent",
             gather=shards or SHARDS, topK=5, minShardShare=0.75),
        dict(common, name="one", pathPrefix="/one/", type="non_idempotent",
             service=single_service),
        dict(common, name="again", pathPrefix="/again/", type="idempotent",
             service=single_service)]


def call_node(node, path, method="GET", body=None, deadline=1000,
              headers=None):
    """Sends a request as a caller does; the reply also has the request's
    id."""
    request_id = uuid.uuid4().hex
    reply = http_request(node.caller_address, path, {
        "Host": "h.example", "Request-Id": request_id,
        "Deadline": str(deadline), **(headers or {})}, method, body)
    reply.id = request_id
    return reply


def records_of(service, request_id):
    """The twelve records with which every replica of a service answers a
    request."""
    return [hashlib.md5(("%s/%s/%d" % (service, request_id, i))
                        .encode()).digest() for i in range(12)]


def merge_problem(reply):
    """Returns a description of the first error in a merged answer, or an empty
    string. The body must be the merge of the records of exactly the shards
    that Part-Stamps names."""
    stamps = reply.headers.get("Part-Stamps", "").split(", ")
    services = [stamp.split(".")[0] for stamp in stamps]
    if len(services) != len(set(services)) or not set(services) <= set(SHARDS):
        return "Part-Stamps has repeated or unknown parts: %s" % stamps
    if len(stamps) + int(
            reply.headers.get("Missing-Parts", "0")) != len(SHARDS):
        return "named and missing parts do not add up to all parts"
    records = [r for s in services for r in records_of(s, reply.id)]
    if reply.body != b"".join(sorted(records, reverse=True)[:5]):
        return "the body is not the merge of the named parts"
    return ""
