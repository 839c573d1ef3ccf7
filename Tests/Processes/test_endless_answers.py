"""Real control and entry processes, and servers that send bytes without end: no entry host ends or exceeds its memory, other requests
are served, and the memory is given back.
"""

import asyncio
import os
import sys
import time

from trial import POOLS, Trial, main, Worker

# What the users' smallest entry hosts have.
MEMORY_MB = 160
# An entry host that has nothing to do, some time after the bytes.
IDLE_MEMORY_MB = 40
FAULTY = 3
# Such a server is known to be faulty only once 16 MB of a body have arrived.
BODIES = ("chunks", "body without a length", "body of the largest length")
FORM_S = 2.5
ANSWER = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
# How an answer begins, and the bytes that are sent until the entry host closes the connection.
FORMS = {
    "letters": (b"", b"x" * 4096),
    "endless field": (b"HTTP/1.1 200 OK\r\nX:", b" " * 4096),
    "endless fields": (b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 200),
    "informational answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "chunk size": (ANSWER + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 4096),
    "chunk extension": (ANSWER + b"Transfer-Encoding: chunked\r\n\r\n5;", b"e" * 4096),
    "chunks": (ANSWER + b"Transfer-Encoding: chunked\r\n\r\n", b"1000\r\n" + b"b" * 4096 + b"\r\n"),
    "trailer": (ANSWER + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-T: v\r\n" * 500),
    "body without a length": (ANSWER + b"\r\n", b"b" * 16384),
    "body of the largest length": (ANSWER + b"Content-Length: 16000000\r\n\r\n", b"b" * 16384),
    "length beyond the bound": (ANSWER + b"Content-Length: 999999999999\r\n\r\n", b"b" * 16384),
    "bytes after an answer": (ANSWER + b"Content-Length: 2\r\n\r\nok", b"b" * 4096),
    "answers to others": (b"", b"HTTP/1.1 200 OK\r\nX-Attempt-Id: none\r\nContent-Length: 4000\r\n\r\n" + b"o" * 4000),
}


class EndlessServer(Worker):
    form = None
    is_faulty = False

    async def serve_one(self, message, reader, writer, state):
        _, headers, _ = message
        key = int(headers.get("x-shard-key", "-1"))
        is_meant = headers.get("x-target-instance", self.id) == self.id and not (
            self.is_sharded and not self.holds_key(key))
        if EndlessServer.form is None or not self.is_faulty or not is_meant:
            await super().serve_one(message, reader, writer, state)
            return
        first, more = FORMS[EndlessServer.form]
        writer.write(first.replace(b"{id}", headers.get("x-attempt-id", "").encode()))
        until = time.monotonic() + FORM_S
        while not writer.is_closing() and self.is_up and time.monotonic() < until:
            writer.write(more)
            await writer.drain()
            # Some 16 MB a second on each connection, so that the test leaves processor time to the others of a CI run.
            await asyncio.sleep(0.001)
        writer.close()


class EndlessTrial(Trial):
    server_type = EndlessServer

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.checks_memory = not os.environ.get("SANITIZED")
        self.peaks = {}
        self.rows = []

    def memory(self):
        return max(entry.rss_mb() for entry in self.site.entry)

    async def watch_memory(self):
        while True:
            self.peaks[EndlessServer.form] = max(self.peaks.get(EndlessServer.form, 0), self.memory())
            await asyncio.sleep(0.05)

    async def play(self):
        watch = asyncio.ensure_future(self.watch_memory())
        for pool in POOLS:
            for server in self.servers[pool][:FAULTY]:
                server.is_faulty = True
        for form in FORMS:
            begin = time.monotonic()
            EndlessServer.form = form
            await asyncio.sleep(FORM_S)
            EndlessServer.form = None
            self.rows.append((form, begin, time.monotonic()))
            await asyncio.sleep(0.5)
        await asyncio.sleep(2)
        self.idle_memory = self.memory()
        self.end = time.monotonic()
        await asyncio.sleep(3)
        watch.cancel()

    def check(self):
        broken = []
        for form, begin, end in self.rows:
            # Each entry host has met the faulty servers after the first second.
            sent, served = self.served("plain", begin + 1, end)
            keyed, keyed_served = self.served("keyed", begin, end)
            self.record.say("%s: at most %.0f MB; plain %d of %d served after a second, keyed %d of %d" % (
                form, self.peaks[form], served, sent, keyed_served, keyed))
            if self.checks_memory and self.peaks[form] > MEMORY_MB:
                broken.append("%s: %.0f MB" % (form, self.peaks[form]))
            if served < (0.5 if form in BODIES else 0.9) * sent:
                broken.append("%s: %d of %d served although three servers have room" % (form, served, sent))
            # Half of the keys belong to sound servers.
            if keyed_served < 0.3 * keyed:
                broken.append("%s: %d of %d requests for keys served" % (form, keyed_served, keyed))
        self.record.say("idle: %.0f MB" % self.idle_memory)
        if self.checks_memory and self.idle_memory > IDLE_MEMORY_MB:
            broken.append("idle: %.0f MB" % self.idle_memory)
        if not all(entry.is_running() for entry in self.site.entry):
            broken.append("an entry host ended")
        for pool in POOLS:
            sent, served = self.served(pool, self.end, self.end + 2)
            if served < 0.95 * sent:
                broken.append("%s: %d of %d served afterwards" % (pool, served, sent))
        return broken


sys.exit(main(EndlessTrial))
