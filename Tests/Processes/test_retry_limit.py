"""Real control and entry processes, and backend servers that reject most requests, so that the retry limit of a pool, which holds
over all entry hosts together, is used up. Entry hosts are killed or stopped and started in turn, under their names and under
new ones, some are frozen, and the leader is lost: the repeats at a pool stay within the limit in every window.
"""

import asyncio
import signal
import sys
import time

from trial import METRICS_PORT, POOLS, Trial, call, main, Worker

# The bounds of the platform: repeats allowed for each request in a window, and besides.
RATIO = 0.2
SLACK = 56
WINDOW_S = 10
REJECTED = 0.7
# Few requests, so that the slack is the larger part of the limit.
RATE_PER_S = 20
# A host that is started may use the slack only after two windows.
BEFORE_S = 25
# All hosts are killed in turn, then hosts are disturbed in several ways.
KILLS_S = 20
KILL_GAP_S = 0.5
MIXED_S = 25
MIXED_GAP_S = 1.2
AFTER_S = 12


class RejectingServer(Worker):
    rejects = True

    async def handle(self, path, headers, body, attempt):
        if headers.get("x-target-instance", self.id) == self.id:
            self.site.arrivals[self.service].append((time.monotonic(), attempt))
            if self.rejects and self.site.random.random() < REJECTED:
                return self.reject(503, attempt)
        return await super().handle(path, headers, body, attempt)


class RetryLimitTrial(Trial):
    server_type = RejectingServer
    rate_per_s = RATE_PER_S

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.site.random = self.random
        self.site.arrivals = {pool: [] for pool in POOLS}
        self.renamed = 0

    async def start_again(self, entry, how):
        """Ends the process and starts another one."""
        if not entry.is_running():
            return
        self.record.say("%s %s" % (how, entry.name))
        entry.process.send_signal(signal.SIGTERM if how == "stop" else signal.SIGKILL)
        await asyncio.wait_for(entry.process.wait(), 10)
        if how == "replace":
            # A host in the place of another one, with a name that the leader does not know.
            self.renamed += 1
            entry.name = "%s-r%d" % (entry.name.partition("-r")[0], self.renamed)
            self.disturbed.setdefault(entry.name, [])
        await entry.start(bootstrap=False)

    async def freeze(self, entry):
        if not entry.is_running():
            return
        self.record.say("freeze %s" % entry.name)
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(3)
        entry.process.send_signal(signal.SIGCONT)

    async def disturb_in_turn(self, ways, gap_s, seconds):
        """One host after the other is disturbed, so that hosts come and go while their shares are in use."""
        running = []
        end = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < end:
            entry = self.site.entry[turn % len(self.site.entry)]
            how = ways[turn % len(ways)]
            running.append(asyncio.ensure_future(
                self.freeze(entry) if how == "freeze" else self.start_again(entry, how)))
            turn += 1
            await asyncio.sleep(gap_s)
        await asyncio.gather(*running)

    async def play(self):
        await asyncio.sleep(BEFORE_S)
        self.counted_at = time.monotonic()
        self.charged = await self.count_charged()
        self.began = time.monotonic()
        self.record.say("entry hosts are restarted in turn")
        await self.disturb_in_turn(["kill"], KILL_GAP_S, KILLS_S)
        await self.disturb_in_turn(["kill", "kill", "replace", "freeze", "stop"], MIXED_GAP_S, MIXED_S)
        await self.kill_leader()
        self.record.say("no more disturbances")
        await asyncio.sleep(AFTER_S)
        RejectingServer.rejects = False
        self.sound_from = time.monotonic()
        await asyncio.sleep(4)
        self.ended = time.monotonic()

    async def count_charged(self):
        """The retries of each pool that the entry hosts have counted so far."""
        charged = {pool: 0.0 for pool in POOLS}
        for entry in self.site.entry:
            _, _, text = await call(entry.ip, METRICS_PORT, "GET", "/metrics")
            for line in text.decode().splitlines():
                if line.startswith("primroseshift_retries_total{"):
                    pool = line.partition('pool="')[2].partition('"')[0]
                    charged[pool] += float(line.rpartition(" ")[2])
        return charged

    def repeats(self, pool):
        """When each arrival beyond the first of its attempt came."""
        seen, times = set(), []
        for at, attempt in self.site.arrivals[pool]:
            if attempt in seen:
                times.append(at)
            seen.add(attempt)
        return times

    def requests(self, pool, begin):
        """The requests that callers sent, in this window, the one before it or the one half a window before: the most."""
        sent = [at for at, where, *_ in self.outcomes if where == pool]
        count = lambda start: sum(1 for at in sent if start <= at < start + WINDOW_S)
        return max(count(begin), count(begin - WINDOW_S), count(begin - WINDOW_S / 2))

    def check(self):
        broken = []
        for pool in POOLS:
            times = self.repeats(pool)
            worst, where = 0.0, None
            for begin in times:
                count = sum(1 for at in times if begin <= at < begin + WINDOW_S)
                allowed = RATIO * self.requests(pool, begin) + SLACK
                if count / allowed > worst:
                    worst, where = count / allowed, (begin - self.began, count, allowed)
            if where is None:
                broken.append("%s: no request was repeated" % pool)
                continue
            before = sum(1 for at in times if at < self.counted_at)
            self.record.say("%s: %d repeats before the restarts, %d charged" % (pool, before, self.charged[pool]))
            if before > self.charged[pool]:
                broken.append("%s: %d of %d repeats were not charged" % (pool, before - self.charged[pool], before))
            self.record.say("%s: at %.1f s, %d repeats in ten seconds, %.0f allowed (%.2f); %d in all" % (
                (pool,) + where + (worst, len(times))))
            if worst > 1:
                broken.append("BUDGET: %s: %d repeats in ten seconds, %.0f allowed" % (pool, where[1], where[2]))
            sent, served = self.served(pool, self.sound_from + 0.5, self.ended - 1.5)
            self.record.say("%s: %d of %d served by sound servers" % (pool, served, sent))
            if served < 0.9 * sent:
                broken.append("%s: %d of %d served by sound servers" % (pool, served, sent))
        return broken


sys.exit(main(RetryLimitTrial))
