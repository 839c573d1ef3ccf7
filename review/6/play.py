"""An operator changes a configuration of some hundred routes some hundred times, while its acknowledgements are lost for a
while. The log of the control machines grows in memory with each call, and no snapshot bounds it."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import fleet as f  # noqa: E402

# tmw-gate: 110 idle routes, those of the three kinds of requests, and big_config with a count of 388.
ROUTES = 500
# "A day may be long and may contain hundreds of changes"; "Up to eight orders may be in progress at once".
CHANGES = 900
AT_ONCE = 8
# config_storm of confirma-gw: a change each 0.06 s. ack_lost there: a share of 0.6, for 14 s; it comes twice.
GAP_S = 0.06
LOST_SHARE = 0.6
LOST_S = 14.0
LOST_AT_S = (0.0, 20.0)
MEMORY_MB = 256
READ_BACK_S = 20.0


def routes(version):
    return [f.route("r-%07x" % index, "ficu%02d.example" % (index % 50), "/lohu%04d/" % index, None, "safe",
                    Version=version, Service=None) for index in range(ROUTES)]


def complete(route):
    """Routes split their requests, as in the example of the pages."""
    route = {name: value for name, value in route.items() if value is not None}
    route["TrafficSplit"] = [{"Service": "huvo11a", "Weight": 90}, {"Service": "wuno96b", "Weight": 10}]
    return route


async def change(fleet, version, losses, sends):
    """Sends the same change again, to any node, until its acknowledgement has arrived."""
    body = {"Upsert": {"Routes": [complete(route) for route in routes(version)]}}
    while True:
        sends[0] += 1
        fleet.record.say("change %d is sent" % version)
        status, _ = await fleet.call_control(fleet.random.choice(fleet.core).address, "PATCH", "/-/config", body)
        is_lost = any(0 <= time.monotonic() - at < LOST_S for at in losses) and fleet.random.random() < LOST_SHARE
        if status == 200 and is_lost:
            fleet.record.say("the acknowledgement of change %d is lost" % version)
        if status is not None and 400 <= status < 500 and status not in (408, 429):
            raise f.Unusable("a change was refused with %d" % status)
        if status == 200 and not is_lost:
            fleet.record.say("change %d is acknowledged" % version)
            return
        await asyncio.sleep(0.1)


async def watch_memory(fleet, ends, peaks):
    """The platform kills a process that uses more than its memory, and starts it again after a short delay."""
    async def restart(core):
        await asyncio.sleep(0.3)
        core.start(bootstrap=False)

    while True:
        for core in fleet.core:
            if not core.is_running():
                continue
            resident = core.resident_mib()
            peaks[core.name] = max(peaks.get(core.name, 0), resident)
            if resident > MEMORY_MB:
                fleet.record.say("%6.1f s: %s uses %.0f MiB of %d MB and is killed"
                                  % (fleet.record.now(), core.name, resident, MEMORY_MB))
                ends.append(core.name)
                core.kill()
                core.process.wait()
                fleet.spawn(restart(core))
        await asyncio.sleep(0.02)


def is_down(ends, fleet):
    """Whether the processes of half of the core have ended by themselves three times."""
    return sum(1 for core in fleet.core if ends.count(core.name) >= 3) * 2 >= len(fleet.core)


async def play(record, has_trouble):
    fleet = f.Fleet(record, edges=3)
    acknowledged = [1]
    try:
        await fleet.start({"Routes": [complete(route) for route in routes(1)],
                           "Services": [f.service("huvo11a"), f.service("wuno96b")], "Limits": f.LIMITS})
        await fleet.wait_ready()
        ends, peaks, sends = [], {}, [0]
        fleet.spawn(watch_memory(fleet, ends, peaks))
        began = time.monotonic()
        losses = [began + at for at in LOST_AT_S] if has_trouble else []
        places = asyncio.Semaphore(AT_ONCE)

        async def one(version):
            try:
                await change(fleet, version, losses, sends)
                acknowledged.append(version)
            finally:
                places.release()

        orders = []
        for version in range(2, CHANGES + 2):
            try:
                await asyncio.wait_for(places.acquire(), 5)
            except asyncio.TimeoutError:
                break
            orders.append(fleet.spawn(one(version)))
            await asyncio.sleep(GAP_S)
            if time.monotonic() - began > 70 or is_down(ends, fleet):
                break
        await asyncio.wait(orders, timeout=3)
        for order in orders:
            order.cancel()
        record.tell("%6.1f s: %d calls, %d changes acknowledged, newest %d; peak %s MiB" % (
            record.now(), sends[0], len(acknowledged) - 1, max(acknowledged),
            {name: round(peak) for name, peak in sorted(peaks.items())}))
        # The operator reads back what stands. Nobody sends anything else.
        end = time.monotonic() + READ_BACK_S
        answer = None
        while time.monotonic() < end and answer is None:
            status, text = await fleet.call_control(fleet.random.choice(fleet.core).address, "GET", "/-/config", None)
            if status == 200:
                answer = text
            else:
                await asyncio.sleep(0.2)
        if answer is not None:
            found = f.json.loads(answer)["Routes"]
            oldest = min((route["Version"] for route in found), default=0)
            record.tell("%6.1f s: read back %d routes, the oldest version is %d" % (record.now(), len(found), oldest))
            if len(found) < ROUTES or oldest < max(acknowledged):
                return ["CONFIG: read back, items are missing or older than their acknowledged version"]
        count = {name: ends.count(name) for name in sorted(set(ends))}
        record.tell("ends by memory: %s" % count)
        if answer is None:
            return ["CONFIG: nothing comes in %.0f s of reading back; LOST: %d acknowledged changes are out of reach"
                    % (READ_BACK_S, len(acknowledged) - 1)]
        if is_down(ends, fleet):
            return ["Fault: processes of half of the core end by themselves three times: %s" % count]
        return []
    finally:
        await fleet.stop()


f.main(play)
