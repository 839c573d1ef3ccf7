"""A key-divided service is added, and the control leader is lost just after its workers have registered."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import Client, NotRun, Site, Worker, call_control, run_case  # noqa: E402

HOST = "gateway.example"
FIRST, ADDED = "/first/", "/added/"
RATE_PER_S = 30
KILL_AFTER_S = 0.5
DOWN_S = 3.5
CONTACT_S = 3.0
MEASURED_S = 40.0


def route(name, prefix, service):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "safe", "TimeoutS": 1.0, "TargetLatencyS": 0.3,
            "Priority": 1, "Service": service, "MaxAttempts": 2}


def service(name):
    return {"Name": name, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False, "WarmupS": 0.0,
            "WarmupPerS": 18.0, "Sharding": True, "WarmS": 2.0, "Grants": "heartbeat"}


async def case(record, has_trouble):
    site = Site(record)
    served = {FIRST: [0, 0], ADDED: [0, 0]}
    statuses = {}
    try:
        await site.start()
        await site.configure({
            "Routes": [route("r-first", FIRST, "first")], "Services": [service("first")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}})
        for i in range(6):
            await Worker(site, "first", site.zones[i % 3], is_sharded=True).start()
        await site.wait_ready()
        await asyncio.sleep(8)
        clients = [Client(site, entry) for entry in site.entry]
        tasks = set()
        counting = False

        async def send(client, prefix):
            counts = counting
            headers = [("X-Shard-Key", random.randrange(65536))]
            _, status, _, _ = await client.send("GET", HOST, prefix + "x", 1.0, headers)
            if counts:
                served[prefix][0] += 1
                served[prefix][1] += status == 200
                statuses[prefix, status] = statuses.get((prefix, status), 0) + 1

        async def traffic(prefix):
            while True:
                task = asyncio.ensure_future(send(random.choice(clients), prefix))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(random.expovariate(RATE_PER_S))

        loads = [asyncio.ensure_future(traffic(FIRST))]
        leader = await site.find_leader()
        if leader is None:
            raise NotRun("no leader")
        added = {"Routes": [dict(route("r-added", ADDED, "added"), Version=9)],
                 "Services": [dict(service("added"), Version=9)]}
        status, _ = await call_control(site.control_addresses(), "PATCH", "/-/config", {"Upsert": added})
        record.say("the service is added: %s" % status)
        if status != 200:
            raise NotRun("the change was not accepted")
        workers = [Worker(site, "added", site.zones[i % 3], is_sharded=True) for i in range(6)]
        for worker in workers:
            await worker.start()
        deadline = time.monotonic() + 5
        while not all(worker.is_registered for worker in workers):
            if time.monotonic() > deadline:
                raise NotRun("a worker was not registered")
            await asyncio.sleep(0.01)
        record.say("its six workers are registered")
        if has_trouble:
            await asyncio.sleep(KILL_AFTER_S)
            record.say("the leader %s is killed" % leader.name)
            leader.kill()
            await leader.process.wait()
            await asyncio.sleep(DOWN_S)
            await leader.start(bootstrap=False)
            record.say("%s is started again" % leader.name)
        # The core is stable and all machines are in touch from here on.
        await asyncio.sleep(2 * CONTACT_S)
        loads.append(asyncio.ensure_future(traffic(ADDED)))
        counting = True
        await asyncio.sleep(MEASURED_S)
        for load in loads:
            load.cancel()
        await asyncio.gather(*tasks)
    finally:
        await site.stop()
    shares = {prefix: good / max(count, 1) for prefix, (count, good) in served.items()}
    record.say("requests and how many were served: %s, answers %s" % (served, statuses))
    if served[ADDED][0] < 20 or shares[ADDED] >= shares[FIRST] / 4:
        return []
    return ["CONFIG: %.0f %% of the requests on the added route are served, %.0f %% on the first" % (
        100 * shares[ADDED], 100 * shares[FIRST])]


run_case(case)
