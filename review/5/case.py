"""Replicas leave without a report, one after the other, while stale reads of
the store are seconds old."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import lab as L  # noqa: E402

DRAIN_S = L.BOUNDS["drainMs"] / 1000
# How old the data of a read with staleOk=1 are.
STALE_S = float(os.environ.get("STALE_S", "2"))
# How much longer than drainMs a leaving replica serves.
STAYS_S = 0.3
ROUNDS = 8
ORDERS = 16


async def order(lab, node, request_id, outcomes):
    answer = await L.call(node.front, "/order/new", request_id=request_id,
                          method="POST", body=b"a bale")
    outcomes[request_id] = answer.status if answer else None
    lab.record("order %s to %s: %s" % (request_id, node.name,
                                       outcomes[request_id]))


async def leave(lab, replica, number):
    """Ends a replica as on the pages; returns when its entry was removed."""
    replica.leaving = True
    lab.store.delete("servers", replica.name)
    removed_at = time.monotonic()
    lab.record("round %d: the entry of %s is removed" % (number, replica.name))

    async def end():
        await asyncio.sleep(DRAIN_S + STAYS_S)
        replica.end()
        lab.record("round %d: %s ends" % (number, replica.name))

    return removed_at, asyncio.create_task(end())


async def case(lab):
    await lab.start_store(stale_s=STALE_S)
    desk = []

    async def add():
        replica = L.Replica(lab.record, lab.store, "desk",
                            "i-desk-%d" % len(lab.replicas), slots=2,
                            work_ms=400)
        desk.append(await lab.add_replica(replica))

    for _ in range(3):
        await add()
    lab.put_config(1, [L.route("order", "/order/", "desk", "non_idempotent",
                               slo_ms=800, timeout_ms=5000)], ["desk"])
    await asyncio.sleep(STALE_S)
    first, second = lab.add_node(), lab.add_node()
    await lab.wait_ready()
    await asyncio.sleep(L.BOUNDS["stabilityWindowMs"] / 1000 + STALE_S)
    late, lost = [], []
    for number in range(ROUNDS):
        await add()
        await asyncio.sleep(STALE_S + 2)
        old = desk.pop(0)
        if L.trouble():
            removed_at, ended = await leave(lab, old, number)
            await asyncio.sleep(DRAIN_S + 0.1)
        outcomes = {}
        await asyncio.gather(*(
            order(lab, second, "o-%d-%d" % (number, i), outcomes)
            for i in range(ORDERS)))
        if not L.trouble():
            desk.append(old)
            continue
        await ended
        reached = [(at - removed_at, request_id, node)
                   for at, request_id, node in old.reached
                   if at > removed_at + DRAIN_S]
        for after_s, request_id, node in reached:
            status = outcomes.get(request_id)
            late.append("%s reaches %s %.2f s after its removal, answer %s" % (
                request_id, old.name, after_s, status))
            lost += [request_id] if status != 200 else []
    for text in late:
        lab.record(text)
    if late:
        return ["DRAIN: %d requests reached replicas later than %.0f s after "
                "the removal of their entries; %d of them were lost: %s" % (
                    len(late), DRAIN_S, len(lost), lost)]
    return []


L.main(case, FOLDER)
