"""Real control and entry processes and emulated servers under a seeded series of overlapping disturbances: processes that
are killed, stopped, frozen and reloaded, up to a frozen majority of the control hosts, servers that crash and return under
their names, and changes of the configuration. Meanwhile servers say that they leave, ask for silence or name limits.

Checks, from what callers and servers see: DRAIN, BUDGET and LIMIT of what servers ask for; the sum of all repeats at a
pool; what may not repeat runs at most once, and never after a refusal; answers belong to their requests; confirmed routes
are in force, are not lost again and are read back; all is served in the end.
"""

import asyncio
import json
import signal
import sys
import time

from trial import DEADLINE_S, HOST, POOLS, Client, Failure, Trial, Worker, call_control, main, wait_for_main

PLAY_S = 40
# After the last disturbance: a drained range, a new leader and returned keys take some seconds.
QUIET_S = 14
# The bounds of the platform.
CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
SILENCE_TOLD_S = 0.5
SILENCE_ARRIVALS = 2
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 56, 10
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_TOLD_S = 0.5
# Entry hosts that are disturbed at the same time, and control hosts that are down.
MAX_ENTRY_DISTURBED = 3
MAX_CONTROL_DOWN = 2
SERVED_AT_THE_END = 0.95
# From the start of a process to its first instructions, beside other processes and with sanitizers.
START_S = 10


class SoakServer(Worker):
    """Says at most one thing at a time. Each process of a server is an object of its own."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        # Tells the processes of one server apart.
        self.life = "%s.%d" % (self.address, self.born)
        self.is_leaving = False
        self.silence = None
        self.limit = None
        self.limit_from, self.limit_to = None, None
        # When each request arrived, through which entry host.
        self.arrivals = []
        self.rejections = []

    def has_spoken(self):
        return self.is_leaving or self.silence is not None or self.limit_from is not None

    def set_limit(self, limit):
        self.limit, self.limit_from = limit, time.monotonic()

    def end_limit(self):
        self.limit_to = time.monotonic()

    def names_limit(self):
        return self.limit_from is not None and self.limit_to is None

    async def handle(self, path, headers, body, attempt):
        target = headers.get("x-target-instance", self.id)
        key = int(headers.get("x-shard-key", "-1"))
        if target != self.id or (self.is_sharded and not self.holds_key(key)):
            return await super().handle(path, headers, body, attempt)
        entry = self.site.entry_of.get(attempt)
        self.arrivals.append((time.monotonic(), entry, attempt))
        if self.silence is not None:
            self.rejections.append((time.monotonic(), entry, self.silence))
            return self.answer(503, attempt, headers=[("X-Not-Executed", "1"), ("Retry-After", "%g" % self.silence)])
        return await super().handle(path, headers, body, attempt)

    def on_run(self, attempt, path, body):
        self.site.runs.setdefault(attempt, []).append(time.monotonic())

    def answer(self, status, attempt, body=b"", headers=()):
        said = [("X-Life", self.life)]
        if self.is_leaving:
            said.append(("Server-Leaving", "1"))
        if self.names_limit():
            said.append(("Server-Limit", "%g" % self.limit))
        return super().answer(status, attempt, body, list(headers) + said)


class SoakTrial(Trial):
    server_type = SoakServer

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.site.runs = {}
        self.lives = []
        # When each entry host passed on the first answer of a life with the header.
        self.told_leaving, self.told_limit = {}, {}
        # When each entry process was started, so that a route that it has known must stay.
        self.started = {entry.name: time.monotonic() for entry in self.site.entry}
        self.core_disturbed = 0.0
        self.busy_entries, self.down_controls = set(), set()
        self.routes = {}
        self.has_known = {}
        self.version = 100
        self.broken = []
        # The attempts that may run once at most, and those that were refused.
        self.unsafe, self.refused = [], []

    async def start(self):
        await super().start()
        route = {"Host": HOST, "Kind": "unsafe", "TimeoutS": DEADLINE_S, "TargetLatencyS": 0.5, "Priority": 1,
                 "MaxAttempts": 2, "Version": 8}
        status, _ = await call_control(self.site.control_addresses(), "PATCH", "/-/config", {"Upsert": {
            "Routes": [dict(route, Name="w-" + pool, PathPrefix="/w-%s/" % pool, Service=pool) for pool in POOLS]}})
        if status != 200:
            raise Failure("the routes were not accepted")
        for pool in POOLS:
            self.lives += self.servers[pool]
        await asyncio.sleep(3)

    # Callers

    def draw_request(self, pool):
        return ("GET", "/%s/x" % pool) if self.random.random() < 0.5 else ("POST", "/w-%s/x" % pool)

    def on_answer(self, pool, entry, headers):
        life = headers.get("x-life")
        if headers.get("server-leaving") == "1":
            self.told_leaving.setdefault((life, entry), time.monotonic())
        if "server-limit" in headers:
            self.told_limit.setdefault((life, entry), time.monotonic())

    def on_outcome(self, entry, method, path, attempt, status, body):
        if status == 200 and body != b"done " + attempt.encode():
            self.broken.append("MIXED: %s got %r" % (attempt, body[:60]))
        if status == 404:
            self.broken.append("CONFIG: 404 for %s through %s" % (path, entry))
        if method == "POST":
            self.unsafe.append(attempt)
            if status in (408, 421, 429, 503):
                self.refused.append((attempt, status))

    async def probe(self, client, name):
        """Asks for a route that was added."""
        sent, entry = time.monotonic(), client.entry.name
        attempt = "%016x" % self.random.getrandbits(64)
        self.site.entry_of[attempt], self.site.sent_at[attempt] = entry, sent
        _, status, _, _ = await client.send("GET", HOST, "/%s/x" % name, DEADLINE_S, (), b"", attempt)
        if status is None or sent < self.started[entry]:
            return
        if status != 404:
            self.has_known.setdefault((entry, name), sent)
            return
        known = self.has_known.get((entry, name))
        if known is not None and known > self.started[entry]:
            self.broken.append("CONFIG: %s knew the route %s and lost it" % (entry, name))
        calm_from = max([self.core_disturbed, self.started[entry], self.routes[name]] + self.disturbed[entry])
        if sent > calm_from + 2 * CONTACT_S + CONFIG_APPLY_S and entry not in self.busy_entries:
            self.broken.append("CONFIG: %s lacks the route %s" % (entry, name))

    async def probe_routes(self):
        clients = [Client(self.site, entry) for entry in self.site.entry]
        while True:
            await asyncio.sleep(0.1)
            client = self.random.choice(clients)
            if self.routes and client.entry.is_running():
                task = asyncio.ensure_future(self.probe(client, self.random.choice(list(self.routes))))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    # Disturbances

    def free_entry(self):
        free = [entry for entry in self.site.entry if entry.name not in self.busy_entries and entry.is_running()]
        return self.random.choice(free) if free and len(self.busy_entries) < MAX_ENTRY_DISTURBED else None

    async def disturb_entry(self, how):
        entry = self.free_entry()
        if not entry:
            return
        self.record.say("%s %s" % (how, entry.name))
        self.busy_entries.add(entry.name)
        self.note_disturbance(entry)
        if how == "freeze":
            entry.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.3, 2.5))
            entry.process.send_signal(signal.SIGCONT)
        else:
            entry.process.send_signal(signal.SIGTERM if how == "stop" else signal.SIGKILL)
            if how == "stop" and self.random.random() < 0.3:
                await asyncio.sleep(self.random.uniform(0, 1))
                entry.process.send_signal(signal.SIGHUP)
            code = await asyncio.wait_for(entry.process.wait(), 10)
            if how == "stop" and code != 0:
                self.broken.append("%s ended with %d after SIGTERM" % (entry.name, code))
            await entry.start(bootstrap=False)
            self.started[entry.name] = time.monotonic()
        self.note_disturbance(entry)
        self.busy_entries.discard(entry.name)

    async def freeze_control(self, count):
        hosts = [host for host in self.random.sample(self.site.control, count) if host.is_running()]
        self.record.say("freeze %s" % ", ".join(host.name for host in hosts))
        for host in hosts:
            host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 2))
        for host in hosts:
            if host.is_running():
                host.process.send_signal(signal.SIGCONT)
        self.core_disturbed = time.monotonic()

    async def kill_control(self):
        host = self.random.choice(self.site.control)
        if host.name in self.down_controls or len(self.down_controls) >= MAX_CONTROL_DOWN:
            return
        self.record.say("kill %s" % host.name)
        self.down_controls.add(host.name)
        host.kill()
        await host.process.wait()
        await asyncio.sleep(self.random.uniform(0, 2))
        await host.start(bootstrap=False)
        self.down_controls.discard(host.name)
        self.core_disturbed = time.monotonic()

    async def reload(self):
        self.record.say("reload")
        await asyncio.gather(*(self.reload_entry(entry) for entry in self.site.entry if entry.is_running()))

    async def reload_entry(self, entry):
        # No process survives a SIGHUP from before its first instruction. TestEarlySignals covers the time after that.
        process = entry.process
        try:
            await asyncio.wait_for(wait_for_main(process.pid), START_S)
        except FileNotFoundError:
            return
        if process.returncode is None:
            process.send_signal(signal.SIGHUP)

    async def restart_server(self, old=None):
        pool = old.service if old else self.random.choice(POOLS)
        old = old or self.random.choice([server for server in self.servers[pool] if not server.has_spoken()])
        if old not in self.servers[pool] or not old.is_up:
            return
        self.record.say("restart of server %s" % old.id)
        await old.crash()
        await asyncio.sleep(self.random.uniform(0, 1.5))
        server = SoakServer(self.site, pool, old.zone, is_sharded=old.is_sharded, address=old.address)
        server.id = old.id
        self.servers[pool][self.servers[pool].index(old)] = server
        self.lives.append(server)
        await server.start()

    async def change_configuration(self):
        self.version += 1
        name = "x-%d" % self.version
        route = {"Host": HOST, "Kind": "safe", "TimeoutS": DEADLINE_S, "TargetLatencyS": 0.5, "Priority": 1,
                 "MaxAttempts": 2, "Version": self.version, "Name": name, "PathPrefix": "/%s/" % name, "Service": "plain"}
        for _ in range(20):
            status, _ = await call_control(
                self.site.control_addresses(), "PATCH", "/-/config", {"Upsert": {"Routes": [route]}})
            if status is not None:
                break
            await asyncio.sleep(0.2)
        if status == 200:
            self.record.say("route %s" % name)
            self.routes[name] = time.monotonic()
        elif status is not None:
            self.broken.append("CONFIG: a valid change was refused with %d" % status)

    async def let_server_speak(self):
        pool = self.random.choice(POOLS)
        quiet = [server for server in self.servers[pool] if server.is_up and not server.has_spoken()]
        if len(quiet) < 4:
            return
        server = self.random.choice(quiet)
        what = self.random.choice(["leaving", "silence", "limit"])
        if what == "leaving":
            self.record.say("%s of %s leaves" % (server.id, pool))
            server.is_leaving = True
            await asyncio.sleep(self.random.uniform(4, 9))
            await self.restart_server(server)
        elif what == "silence":
            server.silence = self.random.choice([0.8, 1.5, 3, 5])
            self.record.say("%s of %s asks for %g s of silence" % (server.id, pool, server.silence))
            await asyncio.sleep(self.random.uniform(2, 7))
            server.silence = None
        else:
            server.set_limit(self.random.choice([0, 0.2, 2, 5.4, 9]))
            self.record.say("%s of %s names a limit of %g" % (server.id, pool, server.limit))
            await asyncio.sleep(self.random.uniform(8, 16))
            server.end_limit()

    def draw_disturbance(self):
        return self.random.choice([
            lambda: self.disturb_entry("freeze"), lambda: self.disturb_entry("kill"), lambda: self.disturb_entry("stop"),
            lambda: self.freeze_control(1), lambda: self.freeze_control(3), self.kill_control, self.reload,
            self.restart_server, self.change_configuration, self.change_configuration])()

    async def repeat(self, draw, pause_s):
        """Starts one after the other, without waiting for their ends."""
        running = []
        end = time.monotonic() + PLAY_S
        while time.monotonic() < end:
            running.append(asyncio.ensure_future(draw()))
            await asyncio.sleep(self.random.uniform(0, 2 * pause_s))
        await asyncio.gather(*running)

    async def play(self):
        probes = asyncio.ensure_future(self.probe_routes())
        await asyncio.gather(self.repeat(self.draw_disturbance, 1.5), self.repeat(self.let_server_speak, 1.5))
        self.record.say("no more disturbances")
        await asyncio.sleep(QUIET_S)
        probes.cancel()
        self.ended = time.monotonic()
        await self.read_back()

    async def read_back(self):
        status, answer = await call_control(self.site.control_addresses(), "GET", "/-/config")
        names = {route["Name"] for route in json.loads(answer)["Routes"]} if status == 200 else set()
        missing = sorted(set(self.routes) - names)
        if missing:
            self.broken.append("CONFIG: acknowledged and missing when read back: %s" % ", ".join(missing))

    # Rules

    def is_disturbed(self, entry, begin, end):
        """Whether the entry host was restarted or frozen in this time."""
        return any(begin <= at <= end for at in self.disturbed[entry])

    def check_leaving(self, server):
        late = 0
        for at, entry, attempt in server.arrivals:
            told, sent = self.told_leaving.get((server.life, entry)), self.site.sent_at.get(attempt, at)
            if told is not None and sent > told + DRAIN_S and not self.is_disturbed(entry, told, at):
                late += 1
        if late:
            self.broken.append("DRAIN: %d late requests to %s of %s" % (late, server.life, server.service))

    def check_silence(self, server):
        for answered, entry, seconds in server.rejections:
            begin, end = answered + SILENCE_TOLD_S, answered + seconds
            count = sum(1 for at, through, _ in server.arrivals if through == entry and begin <= at < end)
            if count > SILENCE_ARRIVALS and not self.is_disturbed(entry, answered - CONTACT_S, end):
                self.broken.append("BUDGET: %d arrivals at %s of %s" % (count, server.life, server.service))
                return

    def check_limit(self, server):
        if server.limit_from is None:
            return
        end = server.limit_to or time.monotonic()
        counted = []
        for at, entry, _ in server.arrivals:
            told = self.told_limit.get((server.life, entry))
            if (server.limit_from + CONTACT_S <= at < end and told is not None and told + LIMIT_TOLD_S <= at
                    and not self.is_disturbed(entry, at - CONTACT_S - 1, at)):
                counted.append(at)
        allowed = LIMIT_FACTOR * server.limit * LIMIT_WINDOW_S + LIMIT_SLACK
        worst = max((sum(1 for at in counted if begin <= at < begin + LIMIT_WINDOW_S) for begin in counted), default=0)
        if worst > allowed:
            self.broken.append("LIMIT: %d requests in 4 s at %s of %s, %g allowed" % (
                worst, server.life, server.service, allowed))

    def check_repeats(self, pool):
        """The arrivals beyond the first of each attempt, at all servers of the pool, through all entry hosts."""
        seen, repeats = set(), []
        for at, attempt in sorted((at, attempt) for server in self.lives if server.service == pool
                                  for at, _, attempt in server.arrivals):
            if attempt in seen:
                repeats.append(at)
            seen.add(attempt)
        sent = [at for at, where, *_ in self.outcomes if where == pool]
        requests = lambda begin: sum(1 for at in sent if begin <= at < begin + RETRY_WINDOW_S)
        worst = 0.0
        for begin in repeats:
            count = sum(1 for at in repeats if begin <= at < begin + RETRY_WINDOW_S)
            allowed = RETRY_SLACK + RETRY_RATIO * max(
                requests(begin), requests(begin - RETRY_WINDOW_S), requests(begin - RETRY_WINDOW_S / 2))
            worst = max(worst, count / allowed)
        self.record.say("%s: %d repeats, at most %.2f of what is allowed in ten seconds" % (pool, len(repeats), worst))
        if worst > 1:
            self.broken.append("BUDGET: %s: %.2f of the repeats that are allowed" % (pool, worst))

    def check_runs(self):
        for attempt, status in self.refused:
            if self.site.runs.get(attempt):
                self.broken.append("REFUSED: %s was answered %d and has run" % (attempt, status))
        twice = [attempt for attempt in self.unsafe if len(self.site.runs.get(attempt, [])) > 1]
        if twice:
            self.broken.append("TWICE: %s" % ", ".join(twice[:5]))

    def check(self):
        for server in self.lives:
            self.check_leaving(server)
            self.check_silence(server)
            self.check_limit(server)
        self.check_runs()
        for pool in POOLS:
            self.check_repeats(pool)
            sent, served = self.served(pool, self.ended - 4, self.ended - DEADLINE_S)
            self.record.say("%s: %d of %d served at the end" % (pool, served, sent))
            if served < SERVED_AT_THE_END * sent:
                self.broken.append("RECOVER: %s: %d of %d served at the end" % (pool, served, sent))
        for node in self.site.control + self.site.entry:
            if not node.is_running():
                self.broken.append("%s has ended by itself" % node.name)
        self.record.say("%d lives of servers, %d answers with Retry-After, %d hosts told of a server that leaves, %d of a limit" % (
            len(self.lives), sum(len(server.rejections) for server in self.lives), len(self.told_leaving),
            len(self.told_limit)))
        return self.broken


sys.exit(main(SoakTrial))
