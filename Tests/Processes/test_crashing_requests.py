"""Real control and entry processes, and backend servers that crash: a zone crashes while half of the traffic asks for one page, and
another request crashes each server that runs it and is sent again and again. The page is served again; the other
request stops reaching servers soon after it has crashed three, also through a loss of the leader.
"""

import asyncio
import sys
import time

from trial import DEADLINE_S, HOST, Client, Trial, main, Worker

PAGE = "/plain/page"
CRASHING = "/plain/crashing"
PAGE_SHARE = 0.5
RESEND_S = 0.5
# A crashed server comes back after this time.
BACK_AFTER_S = 4
# The rule: the time after the third crash from which on the request reaches no server.
STOPPED_S = 3
# The request is sent at once again to another server by the entry host that had it as the quarantine began.
MAX_LATE_CRASHES = 0


class CrashableServer(Worker):
    crashes = []

    def on_run(self, attempt, path, body):
        if path == CRASHING:
            CrashableServer.crashes.append((time.monotonic(), self.id))
            asyncio.ensure_future(self.crash_for(BACK_AFTER_S))

    async def crash_for(self, seconds):
        await self.crash()
        await asyncio.sleep(seconds)
        self.successor = type(self)(self.site, self.service, self.zone, is_sharded=self.is_sharded, address=self.address)
        await self.successor.start()

    async def work(self, attempt, path):
        await super().work(attempt, path)
        if not self.is_up:
            raise ConnectionError("crashed")


class CrashTrial(Trial):
    server_type = CrashableServer
    server_count = 14

    def __init__(self, *args):
        super().__init__(*args)
        self.page_outcomes = []
        # When the crashing request was sent, its status, and how long that took.
        self.resent = []

    def draw_request(self, pool):
        if pool == "plain" and self.random.random() < PAGE_SHARE:
            return "GET", PAGE
        return "GET", "/%s/%016x" % (pool, self.random.getrandbits(64))

    def on_outcome(self, entry, method, path, attempt, status, body):
        if path == PAGE:
            self.page_outcomes.append((self.site.sent_at[attempt], status))

    async def resend(self):
        while True:
            sent = time.monotonic()
            client = Client(self.site, self.random.choice(self.site.entry))
            _, status, _, _ = await client.send("GET", HOST, CRASHING, DEADLINE_S)
            self.resent.append((sent, status, time.monotonic() - sent))
            await asyncio.sleep(max(0, sent + RESEND_S - time.monotonic()))

    async def play(self):
        down = [server for server in self.servers["plain"] if server.zone == self.site.zones[0]]
        self.record.say("the %d plain servers of %s crash; a request that crashes servers is sent" % (
            len(down), self.site.zones[0]))
        crashes = [asyncio.ensure_future(server.crash_for(BACK_AFTER_S)) for server in down]
        caller = asyncio.ensure_future(self.resend())
        await asyncio.sleep(12)
        self.leader_killed = time.monotonic()
        await self.kill_leader()
        await asyncio.sleep(10)
        self.end = time.monotonic()
        caller.cancel()
        await asyncio.gather(*crashes)

    def check(self):
        broken = []
        crashes = [at for at, _ in CrashableServer.crashes]
        self.record.say("the request crashed %d servers, after %s s" % (
            len(crashes), ["%.1f" % (at - crashes[0]) for at in crashes]))
        if len(crashes) < 3:
            return ["the request crashed %d servers, the trial needs 3" % len(crashes)]
        late = sum(1 for at in crashes if at > crashes[2] + STOPPED_S)
        if late > MAX_LATE_CRASHES:
            broken.append("%d servers crashed later than %.0f s after the third" % (late, STOPPED_S))
        refused = [(status, took) for sent, status, took in self.resent if sent > crashes[2] + STOPPED_S]
        slowest = max((took for _, took in refused), default=0)
        self.record.say("then it was answered %s, after at most %.2f s" % (sorted({status for status, _ in refused}), slowest))
        if not refused or any(status is None or status < 400 for status, _ in refused) or slowest > 0.5:
            broken.append("the request was not refused at once")
        for name, begin, end in (("before the loss of the leader", self.leader_killed - 4, self.leader_killed),
                                 ("after it", self.end - 6, self.end - 1)):
            statuses = [status for sent, status in self.page_outcomes if begin <= sent < end]
            served = sum(1 for status in statuses if status == 200)
            self.record.say("the page, %s: %d of %d served" % (name, served, len(statuses)))
            if not statuses or served < 0.97 * len(statuses):
                broken.append("the page, %s: %d of %d served" % (name, served, len(statuses)))
        return broken


sys.exit(main(CrashTrial))
