"""Real control and entry processes, and a backend server of each pool that answers 503 with `Retry-After`: no entry host sends
it more than two requests between half a second after such an answer and the end of that time, through a loss of the
leader, a reload and a freeze. Then all servers of both pools do so: callers are refused at once, and return later.
"""

import asyncio
import sys
import time

from trial import POOLS, Trial, main, Worker

# The rule: arrivals from one entry host from TOLD_S after the answer on until the end of the time that it names.
TOLD_S = 0.5
MAX_ARRIVALS = 2
# A freeze or restart of the entry host excuses it; the loss of the leader does not.
SILENCE_S = 3
# Values that are no time. Their servers stay in use.
OTHER_VALUES = ["-3", "", "soon", "1e400", "Wed, 21 Oct 2026 07:28:00 GMT"]


class SilentServer(Worker):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.silence = None
        self.other_value = None
        self.arrivals = []
        # When each entry host was answered so, and the time that was named.
        self.rejections = []

    async def handle(self, path, headers, body, attempt):
        target = headers.get("x-target-instance", self.id)
        key = int(headers.get("x-shard-key", "-1"))
        if target != self.id or (self.is_sharded and not self.holds_key(key)):
            return await super().handle(path, headers, body, attempt)
        entry = self.site.entry_of[attempt]
        self.arrivals.append((time.monotonic(), entry))
        if self.silence is None:
            return await super().handle(path, headers, body, attempt)
        self.rejections.append((time.monotonic(), entry, self.silence))
        return self.answer(503, attempt, headers=[("X-Not-Executed", "1"), ("Retry-After", "%g" % self.silence)])

    def answer(self, status, attempt, body=b"", headers=()):
        other = [] if self.other_value is None or status != 200 else [("Retry-After", self.other_value)]
        return super().answer(status, attempt, body, list(headers) + other)

    def count(self, begin, end):
        return sum(1 for at, _ in self.arrivals if begin <= at < end)


class SilenceTrial(Trial):
    server_type = SilentServer

    def silence(self, servers, seconds):
        for server in servers:
            server.silence = seconds

    async def play(self):
        for pool in POOLS:
            for server, value in zip(self.servers[pool][1:], OTHER_VALUES):
                server.other_value = value
        self.alone = [self.servers[pool][0] for pool in POOLS]
        self.record.say("one server of each pool asks for silence")
        self.begin = time.monotonic()
        self.silence(self.alone, SILENCE_S)
        await asyncio.sleep(5)
        await self.kill_leader()
        self.reload_all()
        await asyncio.sleep(3)
        await self.freeze_entry()
        await asyncio.sleep(3)
        self.silence(self.alone, None)
        self.ended = time.monotonic()
        self.record.say("none asks for silence")
        await asyncio.sleep(8)
        self.all_begin = time.monotonic()
        self.record.say("all servers ask for silence")
        for pool in POOLS:
            self.silence(self.servers[pool], SILENCE_S)
        await asyncio.sleep(6)
        for pool in POOLS:
            self.silence(self.servers[pool], None)
        self.all_ended = time.monotonic()
        await asyncio.sleep(6)

    def is_disturbed(self, entry, begin, end):
        return any(begin - 0.1 <= at <= end for at in self.disturbed[entry])

    def most_arrivals(self, server):
        """The most arrivals after one answer that the rule counts, and the number of answers followed by more than two."""
        counts = [0]
        for answered, entry, seconds in server.rejections:
            if not self.is_disturbed(entry, answered, answered + seconds):
                counts.append(sum(1 for at, through in server.arrivals
                                  if through == entry and answered + TOLD_S <= at < answered + seconds))
        return max(counts), sum(1 for count in counts if count > MAX_ARRIVALS)

    def check(self):
        broken = []
        for pool, alone in zip(POOLS, self.alone):
            most, answers = max((self.most_arrivals(server) for server in self.servers[pool]))
            rejections = sum(len(server.rejections) for server in self.servers[pool])
            self.record.say("%s: at most %d arrivals after one answer; %d of %d answers were followed by more than %d" % (
                pool, most, answers, rejections, MAX_ARRIVALS))
            if most > MAX_ARRIVALS:
                broken.append("%s: %d arrivals in a time of silence, %d allowed" % (pool, most, MAX_ARRIVALS))
            if not alone.rejections:
                broken.append("%s: no answer asked for silence" % pool)
            sent, served = self.served(pool, self.begin, self.begin + 5)
            self.record.say("%s: %d of %d served beside one silent server" % (pool, served, sent))
            if pool == "plain" and served < 0.97 * sent:
                broken.append("%s: %d of %d served although the other servers have room" % (pool, served, sent))
            used = alone.count(self.ended + 4, self.ended + 8)
            self.record.say("%s: %d requests from 4 to 8 s after the end of the silence" % (pool, used))
            if used == 0 and pool == "keyed":
                broken.append("%s: the server is not used again" % pool)
            # From the first second on, every entry host knows of all servers.
            refused = [(took, float(answer.get("retry-after", "0"))) for sent, where, status, took, answer in self.outcomes
                       if where == pool and status == 503 and self.all_begin + 1 <= sent < self.all_begin + 2]
            latest = max((took for took, _ in refused), default=0)
            soonest = min((after for _, after in refused), default=0)
            self.record.say("%s: all silent: %d refused, after at most %.2f s, Retry-After of at least %.2f s" % (
                pool, len(refused), latest, soonest))
            if not refused or latest > 0.4:
                broken.append("%s: %d refused while all servers are silent, after up to %.2f s" % (
                    pool, len(refused), latest))
            sent, served = self.served(pool, self.all_ended + 3.5, self.all_ended + 6)
            self.record.say("%s: %d of %d served after the end of all silence" % (pool, served, sent))
            if served < 0.95 * sent:
                broken.append("%s: %d of %d served after the end" % (pool, served, sent))
        return broken


sys.exit(main(SilenceTrial))
