"""Open connections to replicas go silent for good, once, while new ones work."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import lab as L  # noqa: E402

SLOTS = 2
# How long a light order, a heavy order and a lookup take.
LIGHT_MS, HEAVY_MS, LOOKUP_MS = 100, 1500, 20
PER_S = 6
# The connections go silent so long after the heavy orders were sent.
SILENT_AFTER_S = 1.3
SETTLE_S = 15
JUDGED_S = 25


class SilencedReplica(L.Replica):
    """A replica whose open connections can go silent: nothing arrives on them
    any more, in either direction, and they are not closed."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.silent = set()

    def silence(self):
        self.silent = set(self.writers)
        self.record("%d connections of %s go silent" % (len(self.silent),
                                                        self.name))

    def work_of(self, request):
        if request.target.startswith("/look/"):
            return LOOKUP_MS
        return HEAVY_MS if "heavy" in request.target else LIGHT_MS

    async def handle(self, request, writer):
        if writer in self.silent:
            await asyncio.sleep(3600)
        if request.target == "/healthz":
            self.record("%s gets a health check" % self.name)
        await super().handle(request, writer)

    async def answer(self, writer, text):
        if writer in self.silent:
            await asyncio.sleep(3600)
        writer.write(text)


class Traffic:
    """Requests on one route, at an even rate."""

    def __init__(self, lab, name, path, method):
        self.lab = lab
        self.name = name
        self.path = path
        self.method = method
        # Of each request: when it was sent, and whether it was served.
        self.results = []
        self.sent = 0

    async def run(self):
        while True:
            self.start_one(self.path)
            await asyncio.sleep(1 / PER_S)

    def start_one(self, path):
        self.sent += 1
        asyncio.create_task(self.send(path, "%s-%d" % (self.name, self.sent)))

    async def send(self, path, request_id):
        sent = self.lab.record.now()
        answer = await L.call(self.lab.nodes[0].front, path,
                              request_id=request_id, method=self.method,
                              body=b"a bale" if self.method == "POST" else b"")
        status = answer.status if answer else None
        self.lab.record("%s: %s" % (request_id, status))
        self.results.append((sent, status == 200))

    def count(self, since, until):
        found = [served for sent, served in self.results
                 if since <= sent < until]
        return len(found), sum(found)


async def case(lab):
    await lab.start_store()
    for service, count in (("rota", 2), ("desk", 3)):
        for number in range(count):
            await lab.add_replica(SilencedReplica(
                lab.record, lab.store, service, "i-%s-%d" % (service, number),
                slots=SLOTS))
    services = ["rota", "desk"]
    look = L.route("look", "/look/", "rota")
    order = L.route("order", "/order/", "desk", "non_idempotent")
    lab.put_config(1, [look], services)
    lab.add_node()
    await lab.wait_ready()
    await asyncio.sleep(2)
    lab.put_config(2, [look, order], services)
    await asyncio.sleep(L.BOUNDS["configApplyMs"] / 1000)
    lookups = Traffic(lab, "look", "/look/up", "GET")
    orders = Traffic(lab, "order", "/order/light", "POST")
    tasks = [asyncio.create_task(lookups.run()),
             asyncio.create_task(orders.run())]
    start = lab.record.now()
    await asyncio.sleep(8)
    before = orders.count(start, lab.record.now() - 1)
    for _ in range(3 * SLOTS):
        orders.start_one("/order/heavy")
    await asyncio.sleep(SILENT_AFTER_S)
    if L.trouble():
        for replica in lab.replicas:
            replica.silence()
    await asyncio.sleep(SETTLE_S)
    since = lab.record.now()
    await asyncio.sleep(JUDGED_S)
    until = lab.record.now()
    for task in tasks:
        task.cancel()
    await asyncio.sleep(4)
    first, later = lookups.count(since, until), orders.count(since, until)
    lab.record("orders served before: %d of %d" % before[::-1])
    lab.record("served from %d s after the disruption: %d of %d lookups, %d of "
               "%d orders" % (SETTLE_S, first[1], first[0], later[1],
                              later[0]))
    if before[1] < before[0] * 0.9 or later[0] < 20:
        raise L.CouldNotRun("too few orders")
    if later[1] / later[0] < first[1] / first[0] / 4:
        return ["CONFIG: in steady state %d of %d requests on the route that "
                "was added later were served, and %d of %d on the first" % (
                    later[1], later[0], first[1], first[0])]
    return []


L.main(case, FOLDER)
