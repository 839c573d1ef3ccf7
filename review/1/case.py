"""A worker's late second copy of a rejection, on the connection on which the request is sent again."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import Client, Site, Worker, run_case  # noqa: E402

HOST = "letters.example"
PATH = "/send/"
RATE_PER_S = 260
TRAFFIC_S = 88.0
# The worker's garbling comes in spans of 5 s, with 3 s between them.
GARBLE_FROM_S, GARBLE_S, GARBLE_GAP_S = 4.0, 5.0, 3.0
GARBLED_SHARE = 0.6
GARBLED_X = 0.03


class LateCopyWorker(Worker):
    """Some of its answers come a second time, at the point where the next response is expected."""

    is_garbling = False
    copies = 0
    copied = set()

    def after_answer(self, answer, state):
        if self.is_garbling and random.random() < GARBLED_X:
            state["copy"] = answer

    async def before_answer(self, writer, state):
        copy = state.pop("copy", None)
        if copy:
            LateCopyWorker.copies += 1
            attempt = copy.split(b"X-Attempt-Id: ")[1].split(b"\r\n")[0].decode()
            self.site.record.write("%s sends a late copy for %s: %s" % (self.id, attempt, copy.split(b"\r\n")[0].decode()))
            writer.write(copy)
            await writer.drain()

    def on_run(self, attempt, path, body):
        self.site.runs.setdefault(attempt, []).append(self.id)


async def case(record, has_trouble):
    site = Site(record)
    site.runs, answers = {}, {}
    try:
        await site.start()
        await site.configure({
            "Routes": [{"Name": "r-send", "Host": HOST, "PathPrefix": PATH, "Kind": "unsafe", "TimeoutS": 1.0,
                        "TargetLatencyS": 0.25, "Priority": 1, "Service": "letters", "MaxAttempts": 2}],
            "Services": [{"Name": "letters", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False,
                          "WarmupS": 3.0, "WarmupPerS": 18.0, "Sharding": True, "WarmS": 2.0, "Grants": "heartbeat"}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}})
        workers = [LateCopyWorker(site, "letters", site.zones[i % 3], slots=4, queue=3, work_s=0.09,
                                  is_sharded=True) for i in range(6)]
        for worker in workers:
            await worker.start()
        await site.wait_ready()
        await asyncio.sleep(6)
        start = time.monotonic()

        async def send(client):
            key = random.randrange(65536)
            attempt = "%016x" % random.getrandbits(64)
            result = await client.send("POST", HOST, PATH + "x", 1.0, [("X-Shard-Key", key)], b"letter", attempt)
            answers[attempt] = result[1]

        clients = [Client(site, entry) for entry in site.entry]
        tasks = set()
        while (elapsed := time.monotonic() - start) < TRAFFIC_S:
            since = elapsed - GARBLE_FROM_S
            is_garbling = has_trouble and since >= 0 and since % (GARBLE_S + GARBLE_GAP_S) < GARBLE_S
            for worker in workers[:round(GARBLED_SHARE * len(workers))]:
                worker.is_garbling = is_garbling
            task = asyncio.ensure_future(send(random.choice(clients)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(RATE_PER_S))
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.5)
    finally:
        await site.stop()
    counts = {}
    for status in answers.values():
        counts[status] = counts.get(status, 0) + 1
    record.say("answers %s, late copies %d" % (counts, LateCopyWorker.copies))
    broken = []
    for attempt, runs in site.runs.items():
        if len(runs) > 1:
            broken.append("TWICE: %s ran at %s" % (attempt, ", ".join(runs)))
        if answers.get(attempt) in (408, 421, 429, 503):
            broken.append("REFUSED: %s was answered %d and ran at %s" % (attempt, answers[attempt], runs[0]))
    return broken


run_case(case)
