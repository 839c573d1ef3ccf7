"""One page gets much of the traffic while the workers of a zone crash and come back. The page is refused ever after."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import fleet as f  # noqa: E402

HOST = "cartas.example"
# The services of confirma-gw in their zones, its route that is read, and one that is added later.
WORKERS = [8, 8, 5]
# hot_key: a share of 0.45 of the requests is about one thing; the site has 566 requests a second.
OLD_PER_S = 310
NEW_PER_S = 250
DOWN_S = 4.5
CALM_S = 10.0
COUNTED_S = 10.0


class Worker(f.Worker):
    async def run(self, attempt, method, path, fields, body):
        await asyncio.sleep(0.1)
        return b"x" * 1500


async def request(client, path, outcomes):
    sent = time.monotonic()
    _, status, _ = await client.send("GET", HOST, path, 0.8)
    outcomes.append((sent, path.split("/")[1], status))


async def traffic(fleet, per_s, path, outcomes):
    clients = [f.Client(fleet, edge) for edge in fleet.edge]
    due = time.monotonic()
    while True:
        due += fleet.random.expovariate(per_s)
        await asyncio.sleep(max(due - time.monotonic(), 0))
        fleet.spawn(request(fleet.random.choice(clients), path(), outcomes))


def served(outcomes, name, begin, end):
    statuses = [status for sent, where, status in outcomes if where == name and begin <= sent < end]
    return len(statuses), sum(1 for status in statuses if status == 200)


async def play(record, has_trouble):
    fleet = f.Fleet(record, edges=8)
    try:
        first = f.route("r-consulta", HOST, "/consulta/", "consulta", "safe", TimeoutS=0.8, TargetLatencyS=0.2)
        later = f.route("r-tablon", HOST, "/tablon/", "consulta", "safe", TimeoutS=0.8, TargetLatencyS=0.2, Version=9)
        await fleet.start({"Routes": [first], "Services": [f.service("consulta")], "Limits": f.LIMITS})
        workers = [Worker(fleet, "consulta", zone) for zone, count in zip(f.ZONES, WORKERS) for _ in range(count)]
        for worker in workers:
            await worker.start()
        await fleet.wait_ready()
        outcomes = []
        fleet.spawn(traffic(fleet, OLD_PER_S, lambda: "/consulta/" + f.new_attempt(fleet), outcomes))
        await asyncio.sleep(2)
        status, _ = await fleet.operate("PATCH", "/-/config", {"Upsert": {"Routes": [later]}}, 5)
        record.tell("the operator adds a route: %d" % status)
        await asyncio.sleep(2)
        fleet.spawn(traffic(fleet, NEW_PER_S, lambda: "/tablon/hoy", outcomes))
        await asyncio.sleep(5)
        crashed = time.monotonic()
        if has_trouble:
            down = [worker for worker in workers if worker.zone == f.ZONES[0]]
            record.tell("the %d workers of %s crash, for %.1f s" % (len(down), f.ZONES[0], DOWN_S))
            for worker in down:
                worker.close()
            await asyncio.sleep(DOWN_S)
            for worker in down:
                worker.cold_s = 3.0
                await worker.start()
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(CALM_S)
        begin = time.monotonic()
        await asyncio.sleep(COUNTED_S)
        end = time.monotonic()
        await asyncio.sleep(1)
        before = [served(outcomes, name, crashed - 3, crashed) for name in ("consulta", "tablon")]
        after = [served(outcomes, name, begin, end) for name in ("consulta", "tablon")]
        for when, counts in (("in the 3 s before", before),
                             ("from %.1f s to %.1f s after" % (begin - crashed, end - crashed), after)):
            record.tell("%s: first route %d of %d served, later route %d of %d" % (
                when, counts[0][1], counts[0][0], counts[1][1], counts[1][0]))
        (old, old_served), (new, new_served) = after
        if new >= 20 and new_served / new < old_served / old / 4:
            return ["CONFIG: in steady state the route that was added later is served %.3f as often as the first one"
                    % (new_served / new / (old_served / old))]
        return []
    finally:
        await fleet.stop()


f.main(play)
