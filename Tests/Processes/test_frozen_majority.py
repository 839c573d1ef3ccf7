"""Real control and entry processes: three of the four control hosts that do not lead are frozen until the leader has stepped
down and asks the others for a leader, and go on. A route that is acknowledged some seconds later must be in force on all entry hosts.
"""

import asyncio
import signal
import sys
import time

from trial import DEADLINE_S, HOST, Client, Failure, Trial, Worker, call_control, main

ROUNDS = 4
# Longer than the time after which a leader without a quorum steps down and then looks for another one, 2.4 s.
FROZEN_S = (2.5, 3.2)
# The bounds of the platform: for a new leader and the contact of all hosts with it, and for a change to be in force.
CONTACT_S = 6
CONFIG_APPLY_S = 2


class FrozenMajorityTrial(Trial):
    server_type = Worker
    rate_per_s = 20

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.broken = []

    async def freeze(self):
        leader = await self.site.find_leader()
        if leader is None:
            raise Failure("no leader")
        hosts = self.random.sample([host for host in self.site.control if host is not leader], 3)
        self.record.say("freeze %s; %s leads" % (", ".join(host.name for host in hosts), leader.name))
        for host in hosts:
            host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(*FROZEN_S))
        for host in hosts:
            host.process.send_signal(signal.SIGCONT)

    async def add_route(self, version):
        name = "x-%d" % version
        route = {"Host": HOST, "Kind": "safe", "TimeoutS": DEADLINE_S, "TargetLatencyS": 0.5, "Priority": 1,
                 "MaxAttempts": 2, "Version": version, "Name": name, "PathPrefix": "/%s/" % name, "Service": "plain"}
        deadline = time.monotonic() + CONTACT_S
        while time.monotonic() < deadline:
            status, _ = await call_control(
                self.site.control_addresses(), "PATCH", "/-/config", {"Upsert": {"Routes": [route]}})
            if status == 200:
                return name
            await asyncio.sleep(0.1)
        raise Failure("no change was acknowledged")

    async def lacks(self, entry, name):
        attempt = "%016x" % self.random.getrandbits(64)
        self.site.entry_of[attempt], self.site.sent_at[attempt] = entry.name, time.monotonic()
        _, status, _, _ = await Client(self.site, entry).send("GET", HOST, "/%s/x" % name, DEADLINE_S, (), b"", attempt)
        return status == 404

    async def play(self):
        for number in range(ROUNDS):
            await self.freeze()
            await asyncio.sleep(CONTACT_S)
            name = await self.add_route(100 + number)
            await asyncio.sleep(CONFIG_APPLY_S)
            lacking = [entry.name for entry in self.site.entry if await self.lacks(entry, name)]
            self.record.say("round %d: %d of %d entry hosts lack %s" % (
                number, len(lacking), len(self.site.entry), name))
            if lacking:
                self.broken.append("CONFIG: round %d: %s lack %s" % (number, ", ".join(lacking), name))

    def check(self):
        return self.broken


sys.exit(main(FrozenMajorityTrial))
