"""An entry of another writer has a field of another type: a list in a list, many
times over. The platform restarts processes that end by themselves."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import lab as L  # noqa: E402

DEPTH = int(os.environ.get("DEPTH", "100000"))
# The store takes objects of this size at most.
VALUE_BYTES = 1048576
CALLERS = 12
PLAYED_S = 20
# What the rules allow.
ALLOWED_LOST = 3
ALLOWED_ENDS = 2


class Caller:
    """Sends one request after the other on a kept connection to one node."""

    def __init__(self, lab, number):
        self.lab = lab
        self.number = number
        self.sent = 0
        # Requests on a kept connection that ended without an answer.
        self.unanswered = []

    async def run(self):
        node = self.lab.nodes[self.number % len(self.lab.nodes)]
        connection = L.CallerConnection(node.front)
        while True:
            kept = connection.writer is not None
            request_id = "r-%d-%d" % (self.number, self.sent)
            self.sent += 1
            answer = await connection.request("/order/new", request_id,
                                              method="POST", body=b"a bale")
            self.lab.record("%s to %s: %s" % (
                request_id, node.name, answer.status if answer else None))
            if answer is None:
                if kept:
                    self.unanswered.append(request_id)
                await asyncio.sleep(0.2)


async def case(lab):
    await lab.start_store()
    for number in range(3):
        await lab.add_replica(L.Replica(
            lab.record, lab.store, "desk", "i-desk-%d" % number, work_ms=150))
    lab.put_config(1, [L.route("order", "/order/", "desk", "non_idempotent")],
                   ["desk"])
    for _ in range(2):
        lab.add_node()
    await lab.wait_ready()
    await asyncio.sleep(L.BOUNDS["stabilityWindowMs"] / 1000)
    ends = []
    callers = [Caller(lab, number) for number in range(CALLERS)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    tasks.append(asyncio.create_task(lab.restart_ended(ends)))
    await asyncio.sleep(2)
    if L.trouble():
        entry = (b'{"service":' + b"[" * DEPTH + b"]" * DEPTH + b"}")
        if len(entry) > VALUE_BYTES:
            raise L.CouldNotRun("the store takes no such entry")
        lab.store.put("servers", "i-old", entry)
        lab.record("another writer puts servers/i-old, %d bytes" % len(entry))
    await asyncio.sleep(PLAYED_S)
    for task in tasks:
        task.cancel()
    reached = {request_id for replica in lab.replicas
               for _, request_id, _ in replica.reached}
    lost = [request_id for caller in callers
            for request_id in caller.unanswered if request_id in reached]
    counts = {node.name: sum(ended is node for _, ended in ends)
              for node in lab.nodes}
    lab.record("ends of their own: %s" % counts)
    broken = []
    if len(lost) > ALLOWED_LOST:
        broken.append("LOST: %d requests on kept connections had reached a "
                      "replica when the connection ended: %s" % (
                          len(lost), lost))
    often = [name for name, count in counts.items() if count > ALLOWED_ENDS]
    if len(often) >= 2:
        broken.append("Fault: processes ended by themselves three times or "
                      "more on %s" % often)
    return broken


L.main(case, FOLDER)
