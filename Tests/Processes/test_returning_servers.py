"""Real control and entry processes, and backend servers whose heartbeats cease for longer than a server is kept, while the servers
run and serve on, and then go on. What a server asked of its callers before that holds when it is used again: one of each pool
leaves, one wants silence, one names a limit. The leader that knows them is lost some time after their return.
"""

import asyncio
import sys
import time

from trial import POOLS, Trial, main, Worker

# The bounds of the platform.
CONTACT_S = 3.0
DRAIN_S = 2.0
SILENCE_TOLD_S = 0.5
SILENCE_ARRIVALS = 2
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5

SPEAK_S = 3
# Control hosts remove a server after 25 s.
CUT_S = 27
# Longer than the cut and the time after it.
SILENCE_S = 60
LIMIT_PER_S = 1
AFTER_S = 10


class ReturningServer(Worker):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.is_cut = False
        self.is_leaving = False
        self.silence = None
        self.limit = None
        self.spoke_at = None
        self.returned_at = None
        # When each request arrived, through which entry host.
        self.arrivals = []
        self.rejections = []

    def say(self, what):
        self.spoke_at = time.monotonic()
        if what == "leaving":
            self.is_leaving = True
        elif what == "silence":
            self.silence = SILENCE_S
        else:
            self.limit = LIMIT_PER_S

    async def send_heartbeats(self):
        """The same as of other servers, with a pause while the server is cut off from control."""
        while self.is_up:
            beats = asyncio.ensure_future(super().send_heartbeats())
            while self.is_up and not self.is_cut:
                await asyncio.sleep(0.02)
            beats.cancel()
            while self.is_up and self.is_cut:
                await asyncio.sleep(0.02)

    async def handle(self, path, headers, body, attempt):
        target = headers.get("x-target-instance", self.id)
        key = int(headers.get("x-shard-key", "-1"))
        if target != self.id or (self.is_sharded and not self.holds_key(key)):
            return await super().handle(path, headers, body, attempt)
        entry = self.site.entry_of[attempt]
        self.arrivals.append((time.monotonic(), entry, attempt))
        if self.silence is not None:
            self.rejections.append((time.monotonic(), entry))
            return self.answer(503, attempt, headers=[("X-Not-Executed", "1"), ("Retry-After", "%g" % self.silence)])
        return await super().handle(path, headers, body, attempt)

    def answer(self, status, attempt, body=b"", headers=()):
        said = [("X-Instance-Id", self.id)]
        if self.is_leaving:
            said.append(("Server-Leaving", "1"))
        if self.limit is not None:
            said.append(("Server-Limit", "%g" % self.limit))
        return super().answer(status, attempt, body, list(headers) + said)

    def count(self, begin, end):
        return sum(1 for at, _, _ in self.arrivals if begin <= at < end)


class ReturningTrial(Trial):
    server_type = ReturningServer

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # When each entry host passed on the first answer of a server that leaves.
        self.told = {}

    def on_answer(self, pool, entry, headers):
        if headers.get("server-leaving") == "1":
            self.told.setdefault((headers["x-instance-id"], entry), time.monotonic())

    async def play(self):
        self.speakers = {what: [self.servers[pool][index] for pool in POOLS]
                         for index, what in enumerate(("leaving", "silence", "limit"))}
        self.plain_return = [self.servers[pool][3] for pool in POOLS]
        self.record.say("one server of each pool leaves, one wants silence, one names a limit")
        for what, servers in self.speakers.items():
            for server in servers:
                server.say(what)
        await asyncio.sleep(SPEAK_S)
        cut = [server for servers in self.speakers.values() for server in servers] + self.plain_return
        self.record.say("their heartbeats cease, and those of another server of each pool")
        for server in cut:
            server.is_cut = True
        await asyncio.sleep(CUT_S)
        self.record.say("the heartbeats go on")
        for server in cut:
            server.is_cut = False
            server.returned_at = time.monotonic()
        await asyncio.sleep(AFTER_S)
        await self.kill_leader()
        await asyncio.sleep(AFTER_S)
        self.ended = time.monotonic()

    def check_leaving(self, pool, server):
        late = [sent for _, entry, attempt in server.arrivals
                for sent in [self.site.sent_at[attempt]]
                if (server.id, entry) in self.told and sent > self.told[server.id, entry] + DRAIN_S]
        self.record.say("%s: %d requests to the server that leaves came late: %s s after its heartbeats went on" % (
            pool, len(late), ["%.1f" % (sent - server.returned_at) for sent in late]))
        if not any(name == server.id for name, _ in self.told):
            yield "%s: no entry host was told that a server leaves" % pool
        if late:
            yield "DRAIN: %s: %d late requests" % (pool, len(late))

    def check_silence(self, pool, server):
        most = max((sum(1 for at, through, _ in server.arrivals
                        if through == entry and told + SILENCE_TOLD_S <= at < told + SILENCE_S)
                    for told, entry in server.rejections), default=None)
        self.record.say("%s: at most %s arrivals in a time of silence" % (pool, most))
        if most is None:
            yield "%s: no answer asked for silence" % pool
        elif most > SILENCE_ARRIVALS:
            yield "BUDGET: %s: %d arrivals in a time of silence, %d allowed" % (pool, most, SILENCE_ARRIVALS)

    def check_limit(self, pool, server):
        allowed = LIMIT_FACTOR * LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_SLACK
        times = [at for at, _, _ in server.arrivals if at >= server.spoke_at + CONTACT_S]
        worst = max((sum(1 for at in times if begin <= at < begin + LIMIT_WINDOW_S) for begin in times), default=0)
        self.record.say("%s: at most %d requests in 4 s at the server that names a limit" % (pool, worst))
        if worst > allowed:
            yield "LIMIT: %s: %d requests in 4 s, %g allowed" % (pool, worst, allowed)

    def check(self):
        broken = []
        for index, pool in enumerate(POOLS):
            broken += self.check_leaving(pool, self.speakers["leaving"][index])
            broken += self.check_silence(pool, self.speakers["silence"][index])
            broken += self.check_limit(pool, self.speakers["limit"][index])
            # A server that has asked for nothing is used again.
            used = self.plain_return[index].count(self.ended - AFTER_S, self.ended)
            self.record.say("%s: %d requests to the server that asked for nothing" % (pool, used))
            if used == 0 and pool == "keyed":
                broken.append("%s: the server is not used again" % pool)
        return broken


sys.exit(main(ReturningTrial))
