"""Real control processes on small machines: what an operator sends, however often and however large, neither takes them
beyond their memory nor keeps them from starting again, and nothing that was acknowledged is lost.

Guards against a log that is bounded by the number of its entries only (it ended all control hosts at once, for good), and
against a start that needs a multiple of the memory that the log takes.
"""

import argparse
import asyncio
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time

from trial import HOST, Record, Site
from standin import call_control

MEMORY_MB = 64
# For the first part, whose log then takes three fifths of MEMORY_MB, several times what the hosts write within it.
LARGE_MEMORY_MB = 1024
LARGE_SHARE = 0.7
ROUTES = 500
AT_ONCE = 8
LARGE_AT_ONCE = 2
LARGE_PATH = 1900
LARGE_CHANGES = 12
TOO_LARGE_PATH = 5000
# A call is answered within this time, with all resends.
ANSWER_S = 30.0
# The time from the start of the processes until what was acknowledged can be read.
RECOVERY_S = 15.0
START_STEPS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4)
STOP_GAP_S = 1.5

SERVICES = [{"Name": name, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False, "WarmupS": 0.0,
             "WarmupPerS": 18.0, "Version": 1} for name in ("letters", "parcels")]
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutS": 3, "IdleTimeoutS": 15, "Version": 1}


def change(version, path_length=0):
    routes = [{"Name": "r-%04d" % index, "Host": HOST, "PathPrefix": "/%04d%s/" % (index, "p" * path_length),
               "Kind": "safe", "TimeoutS": 1.5, "TargetLatencyS": 0.5, "Priority": 1, "MaxAttempts": 2,
               "TrafficSplit": [{"Service": "letters", "Weight": 90}, {"Service": "parcels", "Weight": 10}],
               "Version": version} for index in range(ROUTES)]
    return {"Upsert": {"Routes": routes}, "Remove": {"Routes": []}}


class Play:
    def __init__(self, daemon, record, changes, checks_memory):
        self.site = Site(record, entry_hosts=0)
        self.daemon = os.path.abspath(daemon)
        self.record = record
        self.changes = changes
        self.checks_memory = checks_memory
        self.is_watching = False
        self.peak = {}
        self.broken = []
        self.newest = 0
        self.set_memory(LARGE_MEMORY_MB)

    def set_memory(self, memory_mb):
        template = open(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "deploy", "node.ini")).read()
        template = re.sub(r"^memory-mb =.*$", "memory-mb = %d" % memory_mb, template, flags=re.M)
        path = os.path.join(self.site.folder, "control-%d.template" % memory_mb)
        with open(path, "w") as file:
            file.write(template)
        self.site.roles["control"].update(template=path, run="%s --platform-role control" % self.daemon)

    async def watch(self):
        while True:
            for node in self.site.control:
                if self.is_watching and node.is_running():
                    self.peak[node.name] = max(self.peak.get(node.name, 0), node.rss_mb())
            await asyncio.sleep(0.01)

    async def send(self, body, repeats=1):
        """Sends a change until it is acknowledged, so often in all. Returns the last clear status."""
        deadline = time.monotonic() + ANSWER_S
        status = None
        while repeats > 0 and time.monotonic() < deadline:
            status, answer = await call_control(self.site.control_addresses(), "PATCH", "/-/config", body)
            if status == 200:
                repeats -= 1
            elif status is not None:
                self.record.say("refused: %d %s" % (status, answer[:200]))
                return status
            else:
                await asyncio.sleep(0.1)
        return status if repeats == 0 else None

    async def send_changes(self, form, count, at_once, path_length=0, repeats=lambda: 1):
        places = asyncio.Semaphore(at_once)

        async def one(version):
            async with places:
                status = await self.send(change(version, path_length), repeats())
            if status != 200:
                self.broken.append("%s: change %d got %s" % (form, version, status))

        first = self.newest + 1
        self.newest += count
        await asyncio.gather(*(one(version) for version in range(first, self.newest + 1)))
        self.tell(form)

    def tell(self, form):
        print("%s: newest version %d, peak %s MB" % (
            form, self.newest, {name: round(peak) for name, peak in sorted(self.peak.items())}), flush=True)
        for node in self.site.control:
            if self.checks_memory and self.peak.get(node.name, 0) > MEMORY_MB:
                self.broken.append("%s: %s used %.0f of %d MB" % (form, node.name, self.peak[node.name], MEMORY_MB))
        self.peak.clear()

    async def expect_newest(self, form):
        began = time.monotonic()
        while time.monotonic() < began + RECOVERY_S:
            status, answer = await call_control(self.site.control_addresses(), "GET", "/-/config")
            if status == 200:
                versions = [route["Version"] for route in json.loads(answer)["Routes"]]
                if len(versions) != ROUTES or min(versions) != self.newest:
                    self.broken.append("%s: %d routes read back, the oldest version is %s instead of %d" % (
                        form, len(versions), min(versions, default=None), self.newest))
                self.tell("%s, read back after %.1f s" % (form, time.monotonic() - began))
                return
            await asyncio.sleep(0.1)
        self.broken.append("%s: nothing can be read for %.0f s" % (form, RECOVERY_S))
        self.tell(form)

    async def kill_all(self):
        for node in self.site.control:
            node.kill()
        for node in self.site.control:
            if node.process is not None:
                await node.process.wait()

    async def start_all(self):
        for node in self.site.control:
            await node.start(bootstrap=False)

    async def run(self):
        site = self.site
        for node in site.control:
            await node.start(bootstrap=True)
        await self.send({"Upsert": {"Services": SERVICES, "Limits": LIMITS}, "Remove": {"Routes": []}})
        await self.send_changes("a log of large machines", int(self.changes * LARGE_SHARE), AT_ONCE)
        await self.kill_all()
        self.set_memory(MEMORY_MB)
        self.is_watching = True
        await self.start_all()
        await self.expect_newest("a start on small machines")

        away = site.control[-1]
        away.kill()
        await away.process.wait()
        await self.send_changes("changes, some of them sent again", self.changes, AT_ONCE,
                                repeats=lambda: random.choice((1, 1, 2, 3)))
        await self.send(change(self.newest), self.changes)
        self.tell("one change again and again")
        await self.send_changes("large changes", LARGE_CHANGES, LARGE_AT_ONCE, LARGE_PATH)
        status = await self.send(change(self.newest + 1, TOO_LARGE_PATH))
        if status != 413:
            self.broken.append("a change that is too large got %s" % status)
        await away.start(bootstrap=False)
        await self.send_changes("small changes after large ones", 20, AT_ONCE)
        # With two hosts lost, a quorum needs the one that was away.
        lost = site.control[:2]
        for node in lost:
            node.kill()
            await node.process.wait()
        await self.send_changes("the host that was away is needed", 5, AT_ONCE)
        for node in lost:
            await node.start(bootstrap=False)

        await self.kill_all()
        await self.start_all()
        await self.expect_newest("a start after a kill")
        for delay in START_STEPS_S:
            await self.kill_all()
            await self.start_all()
            await asyncio.sleep(delay)
        await self.kill_all()
        await self.start_all()
        await self.expect_newest("a start after kills at its steps")
        for node in site.control:
            node.process.send_signal(signal.SIGTERM)
            await node.process.wait()
            await node.start(bootstrap=False)
            await asyncio.sleep(STOP_GAP_S)
        await self.expect_newest("stops one after the other")


async def play(arguments, record):
    is_sanitized = bool(os.environ.get("SANITIZED"))
    case = Play(arguments.daemon, record, arguments.changes // (5 if is_sanitized else 1), not is_sanitized)
    watcher = asyncio.ensure_future(case.watch())
    try:
        await case.run()
    finally:
        watcher.cancel()
        await case.site.stop()
    return case.broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    parser.add_argument("--changes", type=int, default=250)
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="primroseshift-")
    record = Record(folder)
    try:
        broken = asyncio.run(play(arguments, record))
    finally:
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        print("BROKEN " + line)
    return 1 if broken else 0


sys.exit(main())
