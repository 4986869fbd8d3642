"""Callers are served by an old config because nobody watches the latest state.

Five nodes in three zones. The reads with staleOk show the store's state of some
seconds ago. One process of each zone, the one with the lowest id, is killed and
starts again 0.6 s later. The config changes meanwhile. The two nodes that were
not disrupted must apply it within configApplyMs.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-2"))
import harness  # noqa: E402

STALE_S = 4.0
ZONES = ["a", "b", "c"]
NODES = [("n1", "a"), ("n2", "a"), ("n3", "b"), ("n4", "b"), ("n5", "c")]
# The processes that are killed at the same moment: 3 of 5.
KILLED = {"n1", "n3", "n5"}
# The nodes settle for this long after they know each other, so that all watches
# that they began while they started have ended.
SETTLE_S = 19.0
CONFIG_AFTER_KILL_S = 0.3
WATCHED_S = 9.0
INTERVAL_S = 0.05


def routes(service):
    return [{"name": "lookup", "host": "h.example", "pathPrefix": "/lookup/",
             "type": "idempotent", "service": service, "timeoutMs": 1000,
             "sloMs": 300, "attempts": 2, "priority": 1}]


async def caller(case, node, sent):
    while True:
        reply = await case.request(node, "/lookup/x")
        sent.append((node, reply))
        await asyncio.sleep(INTERVAL_S)


async def restart(node):
    await asyncio.sleep(harness.RESTART_DELAY_S)
    await node.start()


async def play(case):
    services = ["old-desk", "new-desk"]
    for service in services:
        for i, zone in enumerate(ZONES):
            await case.add_replica(harness.Replica(
                case, service, "i-%s-%d" % (service, i), zone))
    case.configure(routes("old-desk"), services)
    case.store.stale_s = STALE_S
    # The state before the start is visible to stale reads.
    await asyncio.sleep(STALE_S + 0.5)
    for name, zone in NODES:
        await (await case.add_node(name, zone)).start()
    await case.wait_ready(case.nodes)
    await case.wait_fleet()
    await asyncio.sleep(SETTLE_S)
    survivors = [node for node in case.nodes if node.name not in KILLED]
    sent = []
    for node in survivors:
        case.spawn(caller(case, node, sent))
    await asyncio.sleep(2)
    if case.trouble:
        killed = [node for node in case.nodes if node.name in KILLED]
        await asyncio.gather(*(node.kill() for node in killed))
        for node in killed:
            case.spawn(restart(node))
    await asyncio.sleep(CONFIG_AFTER_KILL_S)
    acked_at = case.configure(routes("new-desk"), services)
    await asyncio.sleep(WATCHED_S)
    ran_by = {}
    for replica in case.replicas:
        for _, request_id, _ in replica.ran:
            ran_by[request_id] = replica.service
    broken = []
    for node, reply in sent:
        age = reply.sent_at - acked_at
        if age > harness.CONFIG_APPLY_S and \
                ran_by.get(reply.id) == "old-desk":
            broken.append("request %s, sent to %s %.3f s after the ack of "
                          "config %d, was run by the old service" % (
                              reply.id, node.name, age, case.version))
    if not any(ran_by.get(reply.id) == "new-desk" for _, reply in sent):
        raise harness.CannotRun("the new config never came into force")
    return broken


harness.main(7, __file__, play)
