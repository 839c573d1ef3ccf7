"""Real control and entry processes, and backend servers that start again under the names that they had. The call which says
that an earlier incarnation leaves arrives after the new one has registered, before and after a loss of the leader: the new one is used
again. A server that does leave gets no request later than the platform allows, though a heartbeat of it arrives late.
"""

import asyncio
import json
import sys
import time

from trial import POOLS, Trial, call_control, main, Worker

# The rule: the time after the acknowledgement of a departure from which on the server gets no request.
DRAIN_S = 2
# "A heartbeat may arrive seconds late."
LATE_S = 3
# A removed server that goes on sending heartbeats gets requests again within this time: the platform's steady state.
RETURN_S = 12


class NamedServer(Worker):
    """A server that may take the name and address of an earlier incarnation."""

    def __init__(self, *args, earlier=None, **kwargs):
        super().__init__(*args, address=earlier.address if earlier else None, **kwargs)
        self.arrivals = []
        if earlier:
            self.id = earlier.id
            self.born = max(self.born, earlier.born + 1)

    def on_arrival(self, attempt, path):
        self.arrivals.append(time.monotonic())

    def count(self, begin, end):
        return sum(1 for at in self.arrivals if begin <= at < end)

    async def start_again(self):
        again = type(self)(self.site, self.service, self.zone, is_sharded=self.is_sharded, earlier=self)
        await again.start()
        while not again.is_registered:
            await asyncio.sleep(0.05)
        return again

    async def say_leave(self):
        """Sends the call until it is acknowledged, and returns when that was."""
        while True:
            status, _ = await call_control(self.site.control_addresses(), "DELETE", "/-/instances/" + self.id)
            if status == 200:
                return time.monotonic()
            await asyncio.sleep(0.1)

    async def send_late_heartbeat(self):
        """A heartbeat that was sent before the departure."""
        body = {"Address": "%s:8080" % self.address, "born": self.born,
                "Info": {"Service": self.service, "Version": "v1", "Zone": self.zone, "MaxConcurrency": self.slots},
                "Status": {"State": "ready", "Seqno": self.seqno + 1, "WarmupLeftS": 0}}
        if self.is_sharded:
            body.update(Holds=[], Released=[])
        status, answer = await call_control(self.site.control_addresses(), "PUT", "/-/instances/" + self.id, body)
        return status, json.loads(answer)


class DepartureTrial(Trial):
    server_type = NamedServer

    async def replace(self, server):
        """The server crashes and starts again; the call of its earlier incarnation arrives a second later."""
        await server.crash()
        await asyncio.sleep(1)
        again = await server.start_again()
        await asyncio.sleep(1)
        acknowledged = await server.say_leave()
        self.record.say("%s: the departure of the earlier incarnation is acknowledged" % server.service)
        self.replaced.append((again, acknowledged))

    async def depart(self, server):
        server.beats.cancel()
        acknowledged = await server.say_leave()
        self.record.say("%s: the departure of a server is acknowledged" % server.service)
        await asyncio.sleep(LATE_S)
        status, _ = await server.send_late_heartbeat()
        self.record.say("%s: its late heartbeat: %s" % (server.service, status))
        self.departed.append((server, acknowledged))

    async def play(self):
        self.replaced, self.departed = [], []
        await asyncio.gather(*(self.replace(self.servers[pool][0]) for pool in POOLS),
                             *(self.depart(self.servers[pool][1]) for pool in POOLS))
        await asyncio.sleep(RETURN_S)
        await asyncio.gather(*(self.replace(self.servers[pool][2]) for pool in POOLS))
        await self.kill_leader()
        await asyncio.sleep(RETURN_S)
        self.last_begin = time.monotonic()
        await asyncio.sleep(3)
        self.end = time.monotonic()

    def check(self):
        broken = []
        for server, acknowledged in self.replaced:
            pause = min((at for at in server.arrivals if at > acknowledged + DRAIN_S), default=self.end) - acknowledged
            used = server.count(acknowledged + DRAIN_S, self.end)
            self.record.say("%s: %d requests again, from %.1f s after the late departure on" % (server.service, used, pause))
            if used == 0 or pause > RETURN_S:
                broken.append("%s: a running server gets no requests for %.1f s after a departure of its earlier incarnation" % (
                    server.service, pause))
        for server, acknowledged in self.departed:
            late = server.count(acknowledged + DRAIN_S, self.end)
            self.record.say("%s: %d requests later than %.0f s after a departure" % (server.service, late, DRAIN_S))
            if late:
                broken.append("%s: %d requests reached a server that had left" % (server.service, late))
        for pool in POOLS:
            sent, served = self.served(pool, self.last_begin, self.end - 1)
            self.record.say("%s: %d of %d served in the end" % (pool, served, sent))
            if served < 0.97 * sent:
                broken.append("%s: %d of %d served in the end" % (pool, served, sent))
        return broken


sys.exit(main(DepartureTrial))
