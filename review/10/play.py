"""A request crashes each worker that begins to run it, and comes again. It is stopped only once crashed workers are back."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import fleet as f  # noqa: E402

HOST = "cartas.example"
WORKERS = 20
RATE_PER_S = 60
# How often the request comes again, and how long a worker that it crashed is down.
AGAIN_S = 0.3
DOWN_S = 5.0
PLAY_S = 12.0
PATH = "/carga/a61f"
BODY = b"y" * 4000


class Worker(f.Worker):
    crashes_at = []
    harms = True

    async def run(self, attempt, method, path, fields, body):
        if path == PATH:
            Worker.crashes_at.append(time.monotonic())
            if Worker.harms:
                self.fleet.record.say("worker %s crashes" % self.id)
                self.close()
                self.fleet.spawn(self.come_back())
                raise EOFError
        await asyncio.sleep(0.06)
        return b"x" * 400

    async def come_back(self):
        await asyncio.sleep(DOWN_S)
        await self.start()


async def request(fleet, path, body, outcomes):
    client = f.Client(fleet, fleet.random.choice(fleet.edge))
    _, status, _ = await client.send("POST", HOST, path, 1.2, body)
    outcomes.append((time.monotonic(), path, status))


async def traffic(fleet, outcomes):
    due = time.monotonic()
    while True:
        due += fleet.random.expovariate(RATE_PER_S)
        await asyncio.sleep(max(due - time.monotonic(), 0))
        fleet.spawn(request(fleet, "/carga/" + f.new_attempt(fleet), b"z" * 4000, outcomes))


async def play(record, has_trouble):
    fleet = f.Fleet(record, edges=8)
    Worker.harms = has_trouble
    try:
        await fleet.start({
            "Routes": [f.route("r-carga", HOST, "/carga/", "archivo", "upload", TimeoutS=1.2, TargetLatencyS=0.3)],
            "Services": [f.service("archivo", WarmupS=0.0)], "Limits": f.LIMITS})
        for index in range(WORKERS):
            await Worker(fleet, "archivo", f.ZONES[index % 3]).start()
        await fleet.wait_ready()
        outcomes = []
        fleet.spawn(traffic(fleet, outcomes))
        await asyncio.sleep(5)
        began = time.monotonic()
        while time.monotonic() - began < PLAY_S:
            await request(fleet, PATH, BODY, [])
            await asyncio.sleep(AGAIN_S)
        await asyncio.sleep(1.5)
        runs = Worker.crashes_at
        record.tell("the request reached a worker %d times, at %s s" % (
            len(runs), ", ".join("%.1f" % (at - began) for at in runs)))
        others = [status for at, path, status in outcomes if at >= began]
        record.tell("other requests: %d, of which %d were served and %d got 502" % (
            len(others), others.count(200), others.count(502)))
        late = [at for at in runs if has_trouble and len(runs) > 2 and at > runs[2] + f.BOUNDS["ContactS"]]
        if len(late) > 3:
            return ["BUDGET: the request reached workers %d times later than ContactS after it had crashed the third"
                    % len(late)]
        return []
    finally:
        await fleet.stop()


f.main(play)
