"""A SIGHUP that arrives while a process starts, before it has opened anything, does not end it."""

import argparse
import asyncio
import os
import shutil
import signal
import sys
import tempfile

from trial import Record, Site, wait_for_main

STARTS = 10
SETTLE_S = 0.3


async def run(daemon, record):
    site = Site(record, entry_hosts=1)
    for role in site.roles:
        site.roles[role]["run"] = "%s --platform-role %s" % (os.path.abspath(daemon), role)
    ended = []
    try:
        for node in (site.control[0], site.entry[0]):
            for _ in range(STARTS):
                await node.start(bootstrap=False)
                await asyncio.wait_for(wait_for_main(node.process.pid), 10)
                node.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(SETTLE_S)
                if not node.is_running():
                    ended.append("%s ended with %s" % (node.name, node.process.returncode))
                node.kill()
                await node.process.wait()
    finally:
        await site.stop()
    return ended


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="primroseshift-")
    record = Record(folder)
    try:
        ended = asyncio.run(run(arguments.daemon, record))
    finally:
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    for line in ended:
        print(line)
    print("%d of %d starts ended" % (len(ended), 2 * STARTS))
    return 1 if ended else 0


sys.exit(main())
