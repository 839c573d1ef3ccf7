"""Real control processes whose disks refuse writes for a while: nothing that was acknowledged is lost, and no process
ends or stays out of the group.

A limit on the size of files stands in for a full disk: every write to a file fails with EFBIG, as with ENOSPC, and the
limit can be set and lifted while the process runs.
"""

import argparse
import http.client
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time

CONTROL_PORT = 8166
INTERNAL_PORT = 7720
HOSTS = 5
CALL_TIMEOUT_S = 1.0
# A change must be acknowledged within this time while a quorum can write.
ACKNOWLEDGE_S = 4.0
# A host counts as lost until this time after its disk has space again.
CATCH_UP_S = 4.0
FULL_S = 4.5

SETTINGS = """[host]
name = {name}
ip = {ip}
failure-domain = zone-a
failure-domains = zone-a
first-start = {first}
data-directory = {data}
heartbeat-interval-s = 0.87
link-mbps = 1000

[listen]
callers =
readiness =
control = {ip}:8166
internal-port = 7720

[control]
seeds = {seeds}

[bounds]
values = MaxHoldS=10
"""


class Failure(Exception):
    pass


class ControlHost:
    def __init__(self, group, index):
        self.group = group
        self.ip = "%s.%d" % (group.net, 10 + index)
        self.name = "control-%d" % index
        self.data = os.path.join(group.folder, self.name + ".data")
        self.settings = os.path.join(group.folder, self.name + ".ini")
        self.is_full = False
        self.process = None
        os.makedirs(self.data)

    def start(self, is_first=False):
        with open(self.settings, "w") as file:
            file.write(SETTINGS.format(name=self.name, ip=self.ip, data=self.data, first=str(is_first).lower(),
                                       seeds=",".join("%s:%d" % (ip, CONTROL_PORT) for ip in self.group.seeds)))
        environment = {**os.environ, "PRIMROSESHIFT_NODE_FILE": self.settings}
        is_limited = self.is_full and not self.group.runtime_writes_files
        limit = 0 if is_limited else resource.RLIM_INFINITY
        self.process = subprocess.Popen(
            [self.group.daemon, "--platform-role", "control"], env=environment, stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY)))
        if self.is_full and not is_limited:
            self.wait_for_main()
            self.set_full(True)
        # The pipe holds all that a process logs here, and is no file, so that the limit does not apply to it.
        os.set_blocking(self.process.stdout.fileno(), False)

    def wait_for_main(self):
        """Waits until the program ignores SIGXFSZ, which is among the first things that it does."""
        bit = 1 << (signal.SIGXFSZ - 1)
        end = time.monotonic() + CATCH_UP_S
        while time.monotonic() < end:
            with open("/proc/%d/status" % self.process.pid) as file:
                ignored = next(line for line in file if line.startswith("SigIgn:"))
            if int(ignored.split()[1], 16) & bit:
                return
        raise Failure("%s does not ignore SIGXFSZ" % self.name)

    def set_full(self, is_full):
        self.is_full = is_full
        limit = 0 if is_full else resource.RLIM_INFINITY
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def end(self, how):
        self.process.send_signal(how)
        self.process.wait(10)

    def log(self):
        return (self.process.stdout.read() or b"").decode(errors="replace")

    def call(self, method, path, body=None):
        connection = http.client.HTTPConnection(self.ip, CONTROL_PORT, timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, body=body, headers={"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None, b""
        finally:
            connection.close()


class Group:
    """Five control hosts, and an operator that adds routes and remembers which were acknowledged."""

    def __init__(self, daemon, folder, seed, runtime_writes_files):
        self.daemon = os.path.abspath(daemon)
        self.runtime_writes_files = runtime_writes_files
        self.folder = folder
        self.random = random.Random(seed)
        self.net = self.find_net()
        self.seeds = ["%s.%d" % (self.net, 10 + index) for index in range(3)]
        self.hosts = [ControlHost(self, index) for index in range(HOSTS)]
        self.acknowledged = set()
        self.sent = 0

    @staticmethod
    def find_net():
        for _ in range(50):
            net = "127.%d.1" % random.randint(20, 250)
            try:
                for port in (CONTROL_PORT, INTERNAL_PORT):
                    with socket.socket() as probe:
                        probe.bind((net + ".10", port))
                return net
            except OSError:
                continue
        raise Failure("no free loopback addresses")

    def try_change(self):
        """Sends a change once, to all hosts in turn. Returns whether it was acknowledged."""
        self.sent += 1
        name = "route-%d" % self.sent
        upsert = {"Routes": [{"Name": name, "Host": "a.example", "PathPrefix": "/%d/" % self.sent, "Kind": "safe",
                              "TimeoutS": 1.0, "TargetLatencyS": 0.25, "Priority": 1, "Service": "letters",
                              "MaxAttempts": 2, "Version": self.sent}]}
        if not self.acknowledged:
            upsert["Services"] = [{"Name": "letters", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1",
                                   "Tls": False, "WarmupS": 3.0, "WarmupPerS": 18.0, "Sharding": True, "WarmS": 2.0,
                                   "Grants": "heartbeat", "Version": 1}]
            upsert["Limits"] = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutS": 3,
                                "IdleTimeoutS": 15, "Version": 1}
        body = json.dumps({"Upsert": upsert, "Remove": {"Routes": []}})
        for host in self.random.sample(self.hosts, HOSTS):
            if host.call("PATCH", "/-/config", body)[0] == 200:
                self.acknowledged.add(name)
                return True
        return False

    def change(self, during):
        end = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < end:
            if self.try_change():
                return
            time.sleep(0.1)
        raise Failure("no change was acknowledged within %.0f s, %s" % (ACKNOWLEDGE_S, during))

    def check(self, during):
        """All processes run, and one of them gives back all that was acknowledged."""
        for host in self.hosts:
            if host.process.poll() is not None:
                raise Failure("%s ended with %s, %s" % (host.name, host.process.returncode, during))
        end = time.monotonic() + ACKNOWLEDGE_S
        while time.monotonic() < end:
            for host in self.hosts:
                status, body = host.call("GET", "/-/config")
                if status == 200:
                    missing = self.acknowledged - {route["Name"] for route in json.loads(body)["Routes"]}
                    if missing:
                        raise Failure("%d acknowledged routes are gone, %s" % (len(missing), during))
                    return
            time.sleep(0.1)
        raise Failure("nothing was read back, %s" % during)

    def run(self):
        for host in self.hosts:
            host.start(is_first=True)
        time.sleep(1)
        self.change("at the start")
        # More than half of the hosts in turn: none may be lost for good. The first change of each turn meets the full
        # disk, also where the leader has it.
        for host in self.random.sample(self.hosts, HOSTS):
            host.set_full(True)
            self.try_change()
            self.change("while one disk is full")
            time.sleep(self.random.uniform(0.5, 1.5))
            host.set_full(False)
            self.change("after one disk was full")
            time.sleep(1)
        self.check("after each disk was full in turn")
        # Restarts in the meantime, by a kill and by a planned stop.
        for how in (signal.SIGKILL, signal.SIGTERM):
            host = self.random.choice(self.hosts)
            host.set_full(True)
            self.try_change()
            host.end(how)
            host.start()
            self.change("while one host is restarted with a full disk")
            time.sleep(FULL_S)
            host.set_full(False)
            time.sleep(1)
            self.check("after a restart with a full disk")
        # Without a quorum that can write, nothing is acknowledged.
        full = self.random.sample(self.hosts, 3)
        for host in full:
            host.set_full(True)
        self.try_change()
        time.sleep(1)
        if any(self.try_change() for _ in range(3)):
            raise Failure("a change was acknowledged while three of five disks are full")
        full[0].set_full(False)
        time.sleep(CATCH_UP_S)
        self.change("after one of three disks has space again")
        for host in full:
            host.set_full(False)
        # All lose their processes. What was acknowledged is on the disks.
        time.sleep(1)
        for host in self.hosts:
            host.end(signal.SIGKILL)
        for host in self.hosts:
            host.start()
        self.change("after all were killed")
        self.check("at the end")

    def end(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("daemon")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runtime-writes-files", action="store_true",
                        help="the runtime of the compiler does not start without writing a file (ThreadSanitizer)")
    arguments = parser.parse_args()
    seed = arguments.seed
    with tempfile.TemporaryDirectory(prefix="primroseshift-") as folder:
        group = Group(arguments.daemon, folder, seed, arguments.runtime_writes_files)
        try:
            group.run()
        except Failure as failure:
            print("seed %d: %s" % (seed, failure))
            for host in group.hosts:
                if host.process:
                    print("-- %s, exit code %s\n%s" % (host.name, host.process.poll(), host.log()))
            return 1
        finally:
            group.end()
        print("seed %d: %d of %d changes acknowledged, all read back" % (seed, len(group.acknowledged), group.sent))
    return 0


sys.exit(main())
