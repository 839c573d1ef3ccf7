"""Real control processes: what the operator sends is read back as it was sent, through a loss of the leader and a restart of
all hosts at once; each invalid change is refused as a whole, with the reason, and changes nothing.
"""

import argparse
import asyncio
import json
import os
import shutil
import sys
import tempfile
import time

from trial import HOST, Record, Site
from standin import call_control

SERVICE = {"HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False, "WarmupS": 0.0, "WarmupPerS": 18.0,
           "Version": 7}
ROUTE = {"Host": HOST, "PathPrefix": "/a/", "Kind": "safe", "TimeoutS": 1.5, "TargetLatencyS": 0.5, "Priority": 1,
         "MaxAttempts": 2, "Service": "letters", "Version": 7}
FIRST = {
    "Routes": [dict(ROUTE, Name="r-a"), dict(ROUTE, Name="r-b", PathPrefix="/b/", Extra={"note": [1, None, "ü"]})],
    "Services": [dict(SERVICE, Name="letters"), dict(SERVICE, Name="parcels", Sharding=True, WarmS=2.0)],
    "Tenants": [{"Name": "t-a", "ApiKeys": ["k-1", "k-2"], "RatePerS": 12.5, "Burst": 40, "Priority": 0, "Version": 7},
                {"Name": "t-b", "ApiKeys": [], "Version": 7}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutS": 3, "IdleTimeoutS": 15, "Version": 7}}
# Each with a part of the reason that the operator is told.
INVALID = [
    ({"Upsert": {"Routes": [dict(ROUTE, Name="r-c", Version=9), dict(ROUTE, Name="r-d", Service="none", Version=9)]}}, "r-d"),
    ({"Upsert": {"Routes": [dict(ROUTE, Name="r-c", TimeoutS=601, Version=9)]}}, "TimeoutS"),
    ({"Upsert": {"Routes": [dict(ROUTE, Name="r-c", Host="", Version=9)]}}, "Host"),
    ({"Upsert": {"Routes": [dict(ROUTE, Name="r-c", Kind="odd", Version=9)]}}, "Kind"),
    ({"Upsert": {"Tenants": [{"Name": "t-c", "ApiKeys": ["k-9"], "Version": 9},
                             {"Name": "t-d", "ApiKeys": ["k-9"], "Version": 9}]}}, "share"),
    ({"Upsert": {"Tenants": [{"Name": "t-c", "ApiKeys": ["k-2"], "Version": 9}]}}, "share"),
    ({"Upsert": {"Tenants": [{"Name": "t-c", "Version": 9}]}}, "ApiKeys"),
    ({"Upsert": {"Policies": [{"Name": "p", "Version": 9}]}}, "Policies"),
    ({"Remove": {"Services": [{"Name": "letters", "Version": 9}]}}, "letters"),
]


async def send(site, body):
    """Sends a change until it has a clear answer. Returns the status and the decoded body."""
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        status, answer = await call_control(site.control_addresses(), "PATCH", "/-/config", body)
        if status is not None:
            return status, json.loads(answer)
        await asyncio.sleep(0.2)
    raise RuntimeError("no clear answer")


async def read(site):
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        status, answer = await call_control(site.control_addresses(), "GET", "/-/config")
        if status == 200:
            return json.loads(answer)
        await asyncio.sleep(0.2)
    raise RuntimeError("the configuration cannot be read")


async def expect(site, expected, when, broken):
    found = await read(site)
    for table in sorted(set(expected) | set(found)):
        if found.get(table) != expected.get(table):
            broken.append("%s: %s read back as %s" % (when, table, json.dumps(found.get(table))))


async def run(site):
    broken = []
    for node in site.control:
        await node.start(bootstrap=True)
    status, _ = await send(site, {"Upsert": FIRST, "Remove": {"Routes": []}})
    if status != 200:
        return ["the first configuration: %s" % status]
    await expect(site, FIRST, "at first", broken)
    for body, part in INVALID:
        status, answer = await send(site, body)
        if status != 400 or part not in answer.get("Error", ""):
            broken.append("%s: %s %s" % (json.dumps(body), status, answer))
    await expect(site, FIRST, "after invalid changes", broken)
    # A key moves to another tenant, a tenant is removed; an older version changes nothing.
    second = dict(FIRST, Tenants=[{"Name": "t-b", "ApiKeys": ["k-2"], "Version": 11}])
    for body in ({"Upsert": {"Tenants": [dict(FIRST["Tenants"][0], ApiKeys=["k-1"], Version=9)]}},
                 {"Upsert": {"Tenants": second["Tenants"]}, "Remove": {"Tenants": [{"Name": "t-a", "Version": 11}]}},
                 {"Upsert": {"Tenants": [dict(FIRST["Tenants"][0], ApiKeys=["k-3"], Version=10)]}},
                 {"Upsert": FIRST, "Remove": {"Routes": []}}):
        status, answer = await send(site, body)
        if status != 200:
            broken.append("%s: %s %s" % (json.dumps(body), status, answer))
    await expect(site, second, "after changes", broken)
    leader = await site.find_leader()
    leader.kill()
    await leader.process.wait()
    await expect(site, second, "after the loss of the leader", broken)
    await leader.start(bootstrap=False)
    for node in site.control:
        node.kill()
    for node in site.control:
        await node.process.wait()
        await node.start(bootstrap=False)
    await expect(site, second, "after a restart of all hosts", broken)
    return broken


async def play(daemon, record):
    site = Site(record, entry_hosts=0)
    site.roles["control"]["run"] = "%s --platform-role control" % os.path.abspath(daemon)
    try:
        return await run(site)
    finally:
        await site.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="primroseshift-")
    record = Record(folder)
    try:
        broken = asyncio.run(play(arguments.daemon, record))
    finally:
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        print("BROKEN " + line)
    return 1 if broken else 0


sys.exit(main())
