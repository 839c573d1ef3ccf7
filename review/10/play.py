"""Workers leave and start again under the ids that they had. Their calls that say that they leave were held up by a partition and
arrive after the new lives have registered. The new lives never get a request."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import fleet as f  # noqa: E402

HOST = "cartas.example"
FIRST_WORKERS = 8
# Of ten workers, two are cut off: a share of 0.2.
LATER_WORKERS = 2
RATE_PER_S = 40
# srv_cut: 10 s at most.
CUT_S = 5.0
# Without an acknowledgement a worker exits some seconds later.
EXIT_S = 4.0
# The kernel of the worker sends what the partition held up again after a while.
RESEND_S = 1.3
CALM_S = 12.0
COUNTED_S = 10.0


class Worker(f.Worker):
    """A worker that starts again under the id that it had."""

    keeps_id = True
    is_cut = False

    async def beat(self):
        if not self.is_cut:
            await super().beat()

    async def say_leave(self, address):
        status, _ = await self.fleet.call_control(address, "DELETE", "/-/instances/" + self.id, None)
        self.fleet.record.tell("%6.1f s: the DELETE of %s arrives: %s" % (self.fleet.record.now(), self.id, status))


async def replace(worker, has_trouble):
    record = worker.fleet.record
    address = worker.beat_address
    record.tell("%6.1f s: %s says that it leaves" % (record.now(), worker.id))
    worker.is_cut = has_trouble
    worker.beating.cancel()
    if not has_trouble:
        await worker.say_leave(address)
    await asyncio.sleep(EXIT_S)
    worker.close()
    await asyncio.sleep(CUT_S - EXIT_S)
    worker.is_cut = False
    await worker.start()
    await worker.is_registered.wait()
    record.tell("%6.1f s: %s has started again, and its heartbeat is acknowledged" % (record.now(), worker.id))
    if has_trouble:
        await asyncio.sleep(RESEND_S)
        await worker.say_leave(address)


async def request(client, path, outcomes):
    sent = time.monotonic()
    _, status, _ = await client.send("GET", HOST, path, 0.8)
    outcomes.append((sent, path.split("/")[1], status))


async def traffic(fleet, prefix, outcomes):
    clients = [f.Client(fleet, edge) for edge in fleet.edge]
    while True:
        await asyncio.sleep(fleet.random.expovariate(RATE_PER_S))
        fleet.spawn(request(fleet.random.choice(clients), prefix + f.new_attempt(fleet), outcomes))


def served(outcomes, name, begin, end):
    statuses = [status for sent, where, status in outcomes if where == name and begin <= sent < end]
    return len(statuses), sum(1 for status in statuses if status == 200)


async def play(record, has_trouble):
    fleet = f.Fleet(record, edges=8)
    try:
        first = f.route("r-consulta", HOST, "/consulta/", "consulta", "safe", TimeoutS=0.8, TargetLatencyS=0.2)
        later = f.route("r-tablon", HOST, "/tablon/", "tablon", "safe", TimeoutS=0.8, TargetLatencyS=0.2, Version=9)
        await fleet.start({"Routes": [first], "Services": [f.service("consulta", WarmupS=0.0)], "Limits": f.LIMITS})
        for index in range(FIRST_WORKERS):
            await Worker(fleet, "consulta", f.ZONES[index % 3]).start()
        await fleet.wait_ready()
        await fleet.operate("PATCH", "/-/config", {"Upsert": {
            "Routes": [later], "Services": [f.service("tablon", WarmupS=0.0, Version=9)]}}, 5)
        record.tell("%6.1f s: the operator adds a service and a route to it" % record.now())
        workers = [Worker(fleet, "tablon", f.ZONES[index]) for index in range(LATER_WORKERS)]
        for worker in workers:
            await worker.start()
        outcomes = []
        for prefix in ("/consulta/", "/tablon/"):
            fleet.spawn(traffic(fleet, prefix, outcomes))
        await asyncio.sleep(6)
        before = time.monotonic()
        await asyncio.gather(*(replace(worker, has_trouble) for worker in workers))
        beats = [worker.sequence for worker in workers]
        await asyncio.sleep(CALM_S)
        begin = time.monotonic()
        await asyncio.sleep(COUNTED_S)
        end = time.monotonic()
        await asyncio.sleep(1)
        for when, span in (("in the 3 s before", (before - 3, before)), ("in %.0f s of steady state" % COUNTED_S, (begin, end))):
            (old, old_served), (new, new_served) = (served(outcomes, name, *span) for name in ("consulta", "tablon"))
            record.tell("%s: first route %d of %d served, later route %d of %d" % (when, old_served, old, new_served, new))
        record.tell("heartbeats of the later workers since, each acknowledged: %s; requests that reached them: %s" % (
            [worker.sequence - beat for worker, beat in zip(workers, beats)],
            [sum(1 for at, _ in worker.arrivals if at >= begin) for worker in workers]))
        if new >= 20 and new_served / new < old_served / old / 4:
            return ["CONFIG: in steady state the route that was added later is served %.3f as often as the first one"
                    % (new_served / new / (old_served / old))]
        return []
    finally:
        await fleet.stop()


f.main(play)
