"""A trial of real control and entry processes on loopback: two pools of emulated servers, one divided by key and one not,
steady traffic through all entry hosts, and disturbances of the processes.

The stand-ins for the platform are those of the review.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "review", "standin"))
from standin import METRICS_PORT, Client, Record, Site, Worker, call, call_control  # noqa: E402, F401

HOST = "letters.example"
POOLS = ("keyed", "plain")
SERVERS = 6
RATE_PER_S = 120
DEADLINE_S = 1.5


class Failure(Exception):
    pass


async def wait_for_main(pid):
    """Waits until the program ignores SIGXFSZ, which is among the first things that it does."""
    bit = 1 << (signal.SIGXFSZ - 1)
    while True:
        with open("/proc/%d/status" % pid) as file:
            ignored = next(line for line in file if line.startswith("SigIgn:"))
        if int(ignored.split()[1], 16) & bit:
            return
        await asyncio.sleep(0)


class Trial:
    """Subclasses set `server_type`, and implement `play` and `check`. The latter returns what was broken."""

    server_type = None
    # The number of servers of each pool, and the requests that each pool gets.
    server_count = SERVERS
    rate_per_s = RATE_PER_S

    def __init__(self, daemon, record, seed, entry_hosts):
        self.random = random.Random(seed)
        self.site = Site(record, entry_hosts=entry_hosts)
        for role in self.site.roles:
            self.site.roles[role]["run"] = "%s --platform-role %s" % (os.path.abspath(daemon), role)
        # The entry host through which each attempt was sent, and when its caller sent it.
        self.site.entry_of = {}
        self.site.sent_at = {}
        self.record = record
        # When each entry host was killed, stopped or continued.
        self.disturbed = {entry.name: [] for entry in self.site.entry}
        self.outcomes = []
        self.servers = {}
        self.tasks = set()

    async def start(self):
        await self.site.start()
        route = {"Host": HOST, "Kind": "safe", "TimeoutS": DEADLINE_S, "TargetLatencyS": 0.5, "Priority": 1,
                 "MaxAttempts": 2}
        # Each entry host has as many connections to a server as one of eight hosts has.
        connections = max(110, 14 * len(self.site.entry))
        service = {"HealthPath": "/health", "MaxConns": connections, "Protocol": "h1", "Tls": False, "WarmupS": 0.0,
                   "WarmupPerS": 18.0}
        await self.site.configure({
            "Routes": [dict(route, Name="r-" + pool, PathPrefix="/%s/" % pool, Service=pool) for pool in POOLS],
            "Services": [dict(service, Name="keyed", Sharding=True, WarmS=2.0, Grants="heartbeat"),
                         dict(service, Name="plain")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}})
        for pool in POOLS:
            self.servers[pool] = [self.server_type(self.site, pool, self.site.zones[i % 3], is_sharded=pool == "keyed")
                                  for i in range(self.server_count)]
            for server in self.servers[pool]:
                await server.start()
        await self.site.wait_ready()
        await asyncio.sleep(5)

    def on_outcome(self, entry, method, path, attempt, status, body):
        """A caller has got an answer, or none if the status is None."""

    def on_answer(self, pool, entry, headers):
        """A caller has got an answer through this entry host."""

    def draw_request(self, pool):
        """The method and path of the next request."""
        return "GET", "/%s/x" % pool

    async def request(self, client, pool):
        attempt = "%016x" % self.random.getrandbits(64)
        method, path = self.draw_request(pool)
        sent = time.monotonic()
        self.site.entry_of[attempt] = client.entry.name
        self.site.sent_at[attempt] = sent
        headers = [("X-Shard-Key", self.random.randrange(65536))]
        _, status, answer, body = await client.send(method, HOST, path, DEADLINE_S, headers, b"", attempt)
        self.outcomes.append((sent, pool, status, time.monotonic() - sent, answer))
        self.on_outcome(client.entry.name, method, path, attempt, status, body)
        self.on_answer(pool, client.entry.name, answer)

    async def traffic(self, pool):
        clients = [Client(self.site, entry) for entry in self.site.entry]
        while True:
            client = self.random.choice(clients)
            if client.entry.is_running():
                task = asyncio.ensure_future(self.request(client, pool))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.random.expovariate(self.rate_per_s))

    async def kill_leader(self):
        leader = await self.site.find_leader()
        if leader is None:
            raise Failure("no leader")
        self.record.say("the leader %s is killed" % leader.name)
        leader.kill()
        await leader.process.wait()
        await asyncio.sleep(2)
        await leader.start(bootstrap=False)

    def note_disturbance(self, entry):
        self.disturbed[entry.name].append(time.monotonic())

    async def restart_entry(self):
        entry = self.random.choice(self.site.entry)
        self.record.say("%s is killed and started" % entry.name)
        self.note_disturbance(entry)
        entry.kill()
        await entry.process.wait()
        await entry.start(bootstrap=False)

    async def freeze_entry(self):
        entry = self.random.choice(self.site.entry)
        self.record.say("%s is frozen for 1.5 s" % entry.name)
        self.note_disturbance(entry)
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.5)
        entry.process.send_signal(signal.SIGCONT)
        self.note_disturbance(entry)

    def reload_all(self):
        self.record.say("all entry hosts get SIGHUP")
        for entry in self.site.entry:
            if entry.is_running():
                entry.process.send_signal(signal.SIGHUP)

    def served(self, pool, begin, end):
        """Of the requests that were sent in this time: how many there are, and how many were served."""
        statuses = [status for sent, where, status, *_ in self.outcomes if where == pool and begin <= sent < end]
        return len(statuses), sum(1 for status in statuses if status == 200)

    async def run(self):
        loads = [asyncio.ensure_future(self.traffic(pool)) for pool in POOLS]
        await asyncio.sleep(3)
        await self.play()
        for load in loads:
            load.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def run_trial(trial):
    try:
        await trial.start()
        await trial.run()
        return trial.check()
    finally:
        await trial.site.stop()


def main(trial_type):
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entry-hosts", type=int, default=8)
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="primroseshift-")
    record = Record(folder)
    try:
        trial = trial_type(arguments.daemon, record, arguments.seed, arguments.entry_hosts)
        broken = asyncio.run(run_trial(trial))
    finally:
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        print("seed %d: BROKEN %s" % (arguments.seed, line))
    return 1 if broken else 0
