"""Real control and entry processes, and a backend server of each pool that says in all its answers that it leaves, while its
heartbeats say that it is ready: no entry host sends it a request of a caller later than the drain time after passing on
such an answer, through a loss of the leader, a reload, a freeze and a restart. A server that restarts is used again.
"""

import asyncio
import sys
import time

from trial import POOLS, Trial, main, Worker

# The rule: a request that a caller sent later than this after the entry host had passed on an answer with the header.
DRAIN_S = 2.0
# Values that do not say that a server leaves. The servers with these values stay in use.
OTHER_VALUES = ["0", "", "no", "1e400", "9" * 60]
LEAVING_S = 12


class LeavingServer(Worker):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.said = None
        self.said_since = None
        self.arrivals = []

    def say(self, value):
        self.said = value
        self.said_since = time.monotonic()

    def answer(self, status, attempt, body=b"", headers=()):
        said = [] if self.said is None else [("Server-Leaving", self.said)]
        return super().answer(status, attempt, body, list(headers) + said + [("X-Instance-Id", self.id)])

    async def handle(self, path, headers, body, attempt):
        answer = await super().handle(path, headers, body, attempt)
        if answer is not None and not answer.startswith(b"HTTP/1.1 421"):
            self.arrivals.append((time.monotonic(), attempt))
        return answer

    def count(self, begin, end):
        return sum(1 for at, _ in self.arrivals if begin <= at < end)


class LeavingTrial(Trial):
    server_type = LeavingServer

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # When each entry host passed on the first answer with the header, by the server's ID.
        self.told = {}

    def on_answer(self, pool, entry, headers):
        if headers.get("server-leaving") == "1":
            self.told.setdefault((headers["x-instance-id"], entry), time.monotonic())

    async def play(self):
        for pool in POOLS:
            for server, value in zip(self.servers[pool][1:], OTHER_VALUES):
                server.say(value)
        self.record.say("one server of each pool leaves")
        for pool in POOLS:
            self.servers[pool][0].say("1")
        await asyncio.sleep(LEAVING_S / 2)
        self.reload_all()
        await self.freeze_entry()
        await self.kill_leader()
        await self.restart_entry()
        await asyncio.sleep(LEAVING_S / 2)
        self.restarted_at = time.monotonic()
        self.record.say("the servers start again under their names")
        self.restarted = []
        for pool in POOLS:
            old = self.servers[pool][0]
            await old.crash()
            server = LeavingServer(self.site, pool, old.zone, is_sharded=old.is_sharded, address=old.address)
            server.id = old.id
            self.restarted.append(server)
            await server.start()
        await asyncio.sleep(10)

    def is_late(self, server, attempt):
        entry, sent = self.site.entry_of[attempt], self.site.sent_at[attempt]
        told = self.told.get((server.id, entry))
        if told is None or sent <= told + DRAIN_S:
            return False
        return not any(told <= at <= sent for at in self.disturbed[entry])

    def check(self):
        broken = []
        for pool, restarted in zip(POOLS, self.restarted):
            leaving = self.servers[pool][0]
            late = [attempt for _, attempt in leaving.arrivals if self.is_late(leaving, attempt)]
            begin = leaving.said_since
            self.record.say("%s: %d requests late; arrivals in each second from the first such answer on: %s" % (
                pool, len(late), [leaving.count(begin + i, begin + i + 1) for i in range(LEAVING_S)]))
            if late:
                broken.append("%s: %d requests sent later than %g s after the answer" % (pool, len(late), DRAIN_S))
            if not any(name == leaving.id for name, _ in self.told):
                broken.append("%s: no entry host was told" % pool)
            for server in self.servers[pool][1:]:
                if server.count(self.restarted_at - 4, self.restarted_at) == 0 and pool == "keyed":
                    broken.append("%s: the server that says %r is not used" % (pool, server.said))
            sent, served = self.served(pool, begin, begin + 5)
            self.record.say("%s: %d of %d served in the 5 s in which the server leaves" % (pool, served, sent))
            if served < 0.97 * sent:
                broken.append("%s: %d of %d served although the other servers have room" % (pool, served, sent))
            used = len(restarted.arrivals)
            self.record.say("%s: %d requests to the restarted server" % (pool, used))
            if used == 0 and pool == "keyed":
                broken.append("%s: the restarted server is not used" % pool)
        return broken


sys.exit(main(LeavingTrial))
