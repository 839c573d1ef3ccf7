"""Real control and entry processes, and callers outside of any control: crowds of large bodies that stop just short of their end or go far
over the limit, and of connections that send half a head. No process ends, each stays within its memory and descriptors, and an ordinary
request is answered while the crowd stays. Guards against an entry host that runs out of memory.
"""

import asyncio
import os
import re
import sys

from trial import HOST, Failure, Trial, main, Worker
from standin import CALLERS_PORT, CONTROL_PORT, Client

MEGABYTE = 1 << 20
# The settings of this test: an entry host with little memory, and a low limit of a body.
ENTRY_MEMORY_MB = 64
CONTROL_MEMORY_MB = 128
DESCRIPTORS = 160
MAX_BODY = 4 * MEGABYTE
CONTROL_BODY = 15 * MEGABYTE
# The crowd. Of eight bodies, one is sent to its end.
BODIES = 24
HALF_HEADS = 240
PIECE = 64 * 1024
ROUNDS_S = 20
# How long a crowd stays: the kernel takes some megabytes of each body before the process reads them.
STAY_S = 2
ORDINARY_S = 10


def head(method, path, fields):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST, "X-Attempt-Id: %016x" % id(fields), "X-Deadline-Ms: 8000"]
    return "\r\n".join(lines + fields + ["", ""]).encode()


def announced(size):
    return ["Content-Length: %d" % size], b"b" * size


def chunked(size, chunk):
    piece = b"%x\r\n" % chunk + b"c" * chunk + b"\r\n"
    return ["Transfer-Encoding: chunked"], piece * (size // chunk) + b"0\r\n\r\n"


# The header fields and the bytes of a body, and whether it may be sent to its end.
FORMS = {
    "announced": lambda: (*announced(MAX_BODY - 100), True),
    "large chunks": lambda: (*chunked(MAX_BODY - PIECE, PIECE), True),
    "small chunks": lambda: (*chunked(MAX_BODY - PIECE, 8), True),
    "far over the limit, announced": lambda: (["Content-Length: %d" % (1 << 40)], b"o" * (2 * MAX_BODY), False),
    "far over the limit, in chunks": lambda: (*chunked(2 * MAX_BODY, PIECE), False),
}


class HostileTrial(Trial):
    server_type = Worker

    def __init__(self, daemon, record, seed, _):
        super().__init__(daemon, record, seed, 1)
        self.checks_memory = not os.environ.get("SANITIZED")
        self.broken = []
        for role, memory in (("entry", ENTRY_MEMORY_MB), ("control", CONTROL_MEMORY_MB)):
            self.lower_limits(role, memory)

    def lower_limits(self, role, memory):
        template = open(os.path.join(os.path.dirname(__file__), "..", "..", "deploy", "node.ini")).read()
        template = re.sub(r"^memory-mb =.*$", "memory-mb = %d" % memory, template, flags=re.M)
        template = re.sub(r"^max-descriptors =.*$", "max-descriptors = %d" % DESCRIPTORS, template, flags=re.M)
        path = os.path.join(self.site.folder, role + ".ini")
        with open(path, "w") as file:
            file.write(template)
        self.site.roles[role]["template"] = path

    async def start(self):
        await super().start()
        route = {"Name": "r-upload", "Host": HOST, "PathPrefix": "/upload/", "Kind": "upload", "Service": "plain", "TimeoutS": 9,
                 "TargetLatencyS": 5, "Priority": 1, "MaxAttempts": 1}
        await self.site.configure({"Routes": [route], "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": MAX_BODY, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}}, version=8)
        await asyncio.sleep(1)

    @staticmethod
    def descriptors(node):
        return len(os.listdir("/proc/%d/fd" % node.process.pid))

    async def watch(self, form, node, bound):
        peak = 0
        while True:
            if not node.is_running():
                self.broken.append("%s: %s ended" % (form, node.name))
                return
            peak = max(peak, node.rss_mb())
            if self.checks_memory and peak > bound:
                self.broken.append("%s: %s has %.0f MB" % (form, node.name, peak))
                return
            await asyncio.sleep(0.01)

    async def send_body(self, address, request, body):
        """Leaves the connection open, unless the other side closes it."""
        reader, writer = await asyncio.open_connection(*address)
        self.open.append(writer)
        try:
            writer.write(request)
            for begin in range(0, len(body), PIECE):
                writer.write(body[begin:begin + PIECE])
                await writer.drain()
                await asyncio.sleep(0)
        except (OSError, ConnectionError):
            writer.close()
        return reader

    async def ordinary(self, form, path="/plain/x", method="GET", body=b""):
        client = Client(self.site, self.site.entry[0])
        _, status, _, _ = await client.send(method, HOST, path, ORDINARY_S, (), body)
        if status != 200:
            self.broken.append("%s: an ordinary %s got %s" % (form, method, status))

    async def play_crowd(self, form, node, bound, senders):
        self.open = []
        watch = asyncio.ensure_future(self.watch(form, node, bound))
        tasks = [asyncio.ensure_future(sender) for sender in senders]
        await asyncio.wait(tasks, timeout=ROUNDS_S)
        await asyncio.sleep(STAY_S)
        # With the crowd still there.
        await self.ordinary(form)
        if node.is_running() and self.descriptors(node) > DESCRIPTORS:
            self.broken.append("%s: %d descriptors are open" % (form, self.descriptors(node)))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in self.open:
            writer.close()
        watch.cancel()
        self.record.say("%s is played, %d broken so far" % (form, len(self.broken)))
        await asyncio.sleep(1)

    async def run(self):
        entry = self.site.entry[0]
        legal = b"l" * (MAX_BODY - 100)
        # A single request inside the limits, in calm.
        await self.ordinary("calm", "/upload/x", "POST", legal)
        callers = (entry.ip, CALLERS_PORT)
        for form, make in FORMS.items():
            fields, body, may_end = make()
            request = head("POST", "/upload/x", fields)
            await self.play_crowd(form, entry, ENTRY_MEMORY_MB, [
                self.send_body(callers, request, body if may_end and i % 8 == 0 else body[:-20]) for i in range(BODIES)])
        half = b"GET /plain/x HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\nX-Field: half"
        await self.play_crowd("half heads", entry, ENTRY_MEMORY_MB,
                              [self.send_body(callers, half, b"") for _ in range(HALF_HEADS)])
        leader = await self.site.find_leader()
        if leader is None:
            raise Failure("no leader")
        fields, body = announced(CONTROL_BODY)
        request = head("PATCH", "/-/config", fields)
        await self.play_crowd("configurations", leader, CONTROL_MEMORY_MB, [
            self.send_body((leader.ip, CONTROL_PORT), request, body[:-20]) for _ in range(BODIES)])
        await self.ordinary("afterwards", "/upload/x", "POST", legal)

    def check(self):
        return self.broken


sys.exit(main(HostileTrial))
