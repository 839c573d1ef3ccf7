"""Workers come back cold, and the control leader is lost. The next leader takes them for warm until their next heartbeat."""

import asyncio
import bisect
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import fleet as f  # noqa: E402

HOST = "cartas.example"
RATE_PER_S = 240
WORKERS = 4
ZONE = f.ZONES[2]
WARMUP_S = 3.0
WARMUP_PER_S = 18.0
BOUND = WARMUP_PER_S * f.BOUNDS["WarmupFactor"] + f.BOUNDS["WarmupSlack"]
DOWN_S = 2.0


class Worker(f.Worker):
    async def run(self, attempt, method, path, fields, body):
        # Cold workers take twice as long.
        await asyncio.sleep(0.12 if self.warmup_left() > 0 else 0.06)
        return b"x" * 1500


async def request(fleet, client, statuses):
    _, status, _ = await client.send("GET", HOST, "/consulta/%s" % f.new_attempt(fleet), 0.8)
    statuses[status] = statuses.get(status, 0) + 1


async def traffic(fleet, statuses):
    clients = [f.Client(fleet, edge) for edge in fleet.edge]
    due = time.monotonic()
    while True:
        due += fleet.random.expovariate(RATE_PER_S)
        await asyncio.sleep(max(due - time.monotonic(), 0))
        fleet.spawn(request(fleet, fleet.random.choice(clients), statuses))


def most_in_a_second(times):
    """The most arrivals in any second, and when that began."""
    return max(((bisect.bisect_left(times, at + 1.0) - index, at) for index, at in enumerate(times)), default=(0, 0))


async def play(record, has_trouble):
    fleet = f.Fleet(record, edges=8)
    try:
        await fleet.start({
            "Routes": [f.route("r-consulta", HOST, "/consulta/", "consulta", "safe", TimeoutS=0.8, TargetLatencyS=0.2)],
            "Services": [f.service("consulta", WarmupS=WARMUP_S, WarmupPerS=WARMUP_PER_S)], "Limits": f.LIMITS})
        workers = [Worker(fleet, "consulta", ZONE) for _ in range(WORKERS)]
        for worker in workers:
            await worker.start()
        await fleet.wait_ready()
        statuses = {}
        fleet.spawn(traffic(fleet, statuses))
        await asyncio.sleep(6)
        leader = await fleet.find_leader()
        record.tell("the workers of %s, all of the service, are down for %.1f s" % (ZONE, DOWN_S))
        for worker in workers:
            worker.close()
        await asyncio.sleep(DOWN_S)
        for worker in workers:
            worker.cold_s = WARMUP_S
            worker.arrivals = []
            await worker.start()
        await asyncio.gather(*(worker.is_registered.wait() for worker in workers))
        await asyncio.sleep(0.3)
        killed_at = time.monotonic()
        if has_trouble:
            record.tell("the leader %s is killed" % leader.name)
            leader.kill()
            leader.process.wait()
            await asyncio.sleep(1.0)
            leader.start(bootstrap=False)
        await asyncio.sleep(4)
        broken = []
        for worker in workers:
            cold = [at for at, _ in worker.arrivals if at < worker.cold_until]
            count, began = most_in_a_second(cold)
            record.tell("cold worker %s: %d requests while cold, %d in the second that begins %.2f s after the kill"
                        % (worker.id, len(cold), count, began - killed_at))
            if count > BOUND:
                broken.append("FAILBACK: the cold worker %s got %d requests in one second, the bound is %.0f"
                              % (worker.id, count, BOUND))
        record.tell("answers: %s" % statuses)
        return broken
    finally:
        await fleet.stop()


f.main(play)
