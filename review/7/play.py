"""An operator changes a configuration of some hundred routes some hundred times. Then all processes of the control machines are
killed and started again: they need twice the memory that they had, and never come back."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import fleet as f  # noqa: E402

# tmw-gate: 110 idle routes, those of the three kinds of requests, and big_config with a count of 388.
ROUTES = 500
# "A day may be long and may contain hundreds of changes"; "Up to eight orders may be in progress at once".
CHANGES = 650
AT_ONCE = 8
# config_storm of confirma-gw: a change each 0.06 s.
GAP_S = 0.06
# closing kill_all of confirma-gw: down_s = 1.1. RecoveryS is 15.
DOWN_S = 1.1
READ_BACK_S = 25.0
MEMORY_MB = 256


def configuration(version):
    routes = []
    for index in range(ROUTES):
        item = f.route("r-%07x" % index, "ficu%02d.example" % (index % 50), "/lohu%04d/" % index, None, "safe", Version=version)
        del item["Service"]
        item["TrafficSplit"] = [{"Service": "huvo11a", "Weight": 90}, {"Service": "wuno96b", "Weight": 10}]
        routes.append(item)
    return {"Routes": routes}


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
                fleet.record.say("%s uses %.0f MiB of %d MB and is killed" % (core.name, resident, MEMORY_MB))
                ends.append(core.name)
                core.kill()
                core.process.wait()
                fleet.spawn(restart(core))
        await asyncio.sleep(0.02)


def rounded(peaks):
    return {name: round(peak) for name, peak in sorted(peaks.items())}


async def play(record, has_trouble):
    fleet = f.Fleet(record, edges=3)
    try:
        first = configuration(1)
        first.update({"Services": [f.service("huvo11a"), f.service("wuno96b")], "Limits": f.LIMITS})
        await fleet.start(first)
        await fleet.wait_ready()
        ends, peaks, acknowledged = [], {}, []
        fleet.spawn(watch_memory(fleet, ends, peaks))
        places = asyncio.Semaphore(AT_ONCE)

        async def change(version):
            try:
                record.say("change %d is sent" % version)
                status, _ = await fleet.operate("PATCH", "/-/config", {"Upsert": configuration(version)}, 20)
                if status != 200:
                    raise f.Unusable("a change was refused with %d" % status)
                acknowledged.append(version)
                record.say("change %d is acknowledged" % version)
            finally:
                places.release()

        orders = []
        for version in range(2, CHANGES + 2):
            await places.acquire()
            orders.append(fleet.spawn(change(version)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*orders)
        newest = max(acknowledged)
        record.tell("%6.1f s: %d changes acknowledged, newest %d; peak %s MiB" % (
            record.now(), len(acknowledged), newest, rounded(peaks)))
        if ends:
            raise f.Unusable("a process ended before the fault")
        if has_trouble:
            record.tell("%6.1f s: all control processes are killed, and started after %.1f s" % (record.now(), DOWN_S))
            for core in fleet.core:
                core.kill()
            for core in fleet.core:
                core.process.wait()
            await asyncio.sleep(DOWN_S)
            for core in fleet.core:
                core.start(bootstrap=False)
        end = time.monotonic() + READ_BACK_S
        while time.monotonic() < end:
            status, text = await fleet.call_control(fleet.random.choice(fleet.core).address, "GET", "/-/config", None)
            if status == 200:
                found = f.json.loads(text)["Routes"]
                oldest = min((route["Version"] for route in found), default=0)
                record.tell("%6.1f s: read back %d routes, the oldest version is %d" % (record.now(), len(found), oldest))
                return [] if len(found) == ROUTES and oldest == newest else ["LOST: acknowledged items are missing or older"]
            await asyncio.sleep(0.2)
        record.tell("%6.1f s: ends by memory: %s; peak %s MiB" % (
            record.now(), {name: ends.count(name) for name in sorted(set(ends))}, rounded(peaks)))
        return ["LOST: after the final fault nothing of %d acknowledged changes can be read back for %.0f s"
                % (len(acknowledged), READ_BACK_S)]
    finally:
        await fleet.stop()


f.main(play)
