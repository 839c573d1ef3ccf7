"""Real control and entry processes: right after an acknowledgement all of them end at once, and two control hosts lose their disks, the
leader's among them in every other round. Configurations and evacuations that were acknowledged are read back and in force
afterwards, and requests are served again. That what was not synced is lost, too, is played in TestLibConsensus.
"""

import asyncio
import json
import shutil
import sys
import time

from trial import DEADLINE_S, HOST, POOLS, Failure, Trial, Worker, call_control, main

ROUNDS = 3
CHANGES = 12
# The bound of the platform for service after a loss. Two disks may be lost again sooner than that.
RECOVERY_S = 15


class CountingServer(Worker):
    handled = 0

    def on_arrival(self, attempt, path):
        self.handled += 1


class LostDisksTrial(Trial):
    server_type = CountingServer
    rate_per_s = 20

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.version = 100
        self.routes = {}
        self.broken = []

    async def patch(self, name, version):
        route = {"Host": HOST, "Kind": "safe", "TimeoutS": DEADLINE_S, "TargetLatencyS": 0.5, "Priority": 1,
                 "MaxAttempts": 2, "Version": version, "Name": name, "PathPrefix": "/%s/" % name, "Service": "plain"}
        status, _ = await call_control(
            self.site.control_addresses(), "PATCH", "/-/config", {"Upsert": {"Routes": [route]}})
        return status == 200

    async def change(self):
        """Sends a change until it is acknowledged."""
        self.version += 1
        name = "x-%d" % (self.version % 7)
        while not await self.patch(name, self.version):
            await asyncio.sleep(0.1)
        self.routes[name] = self.version

    async def evacuate(self, zone, method):
        while (await call_control(self.site.control_addresses(), method, "/-/evacuations/" + zone))[0] != 200:
            await asyncio.sleep(0.1)

    async def lose(self, round_number):
        leader = await self.site.find_leader()
        if leader is None:
            raise Failure("no leader")
        others = [host for host in self.site.control if host is not leader]
        lost = self.random.sample(others, 2) if round_number % 2 else [leader, self.random.choice(others)]
        await self.change()
        for node in self.site.control + self.site.entry:
            node.kill()
        for node in self.site.control + self.site.entry:
            await node.process.wait()
        self.record.say("all processes have ended; %s lose their disks" % ", ".join(host.name for host in lost))
        for host in lost:
            shutil.rmtree(host.data)
        for node in self.site.control + self.site.entry:
            await node.start(bootstrap=False)

    async def read_back(self):
        deadline = time.monotonic() + RECOVERY_S
        while time.monotonic() < deadline:
            status, answer = await call_control(self.site.control_addresses(), "GET", "/-/config")
            if status == 200:
                return {route["Name"]: route["Version"] for route in json.loads(answer)["Routes"]}
            await asyncio.sleep(0.2)
        return {}

    async def play(self):
        self.record.say("zone-c is evacuated")
        await self.evacuate("zone-c", "POST")
        for number in range(ROUNDS):
            for _ in range(CHANGES):
                await self.change()
            await self.lose(number)
            held = await self.read_back()
            older = sorted(name for name, version in self.routes.items() if held.get(name) != version)
            if older:
                self.broken.append("LOST: round %d: older or missing when read back: %s" % (number, ", ".join(older)))
            await self.site.wait_ready()
            await asyncio.sleep(RECOVERY_S)
            end = time.monotonic()
            for pool in POOLS:
                sent, served = self.served(pool, end - 5, end - DEADLINE_S)
                self.record.say("round %d, %s: %d of %d served" % (number, pool, served, sent))
                if served < 0.9 * sent:
                    self.broken.append("RECOVER: round %d, %s: %d of %d served" % (number, pool, served, sent))
        # Requests that were in progress when the evacuation began may still arrive for 5 s.
        count = lambda: sum(server.handled for pool in POOLS for server in self.servers[pool] if server.zone == "zone-c")
        before = count()
        await asyncio.sleep(3)
        if count() != before:
            self.broken.append("LOST: the evacuation is not in force any more")

    def check(self):
        return self.broken


sys.exit(main(LostDisksTrial))
