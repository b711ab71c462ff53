#!/usr/bin/env python3
"""Measures how soon a control replica that lost its disk has a vote again.

Usage: scripts/measure_catch_up.py ROUTES,WRITERS,CHANGES...

For each argument, starts five control replicas of target/ on loopback, makes
CHANGES changes of a configuration of ROUTES routes, and then, while WRITERS
operators go on changing it, erases the disks of three followers one after the
other. Prints the seconds from the start of the empty replica to its vote (None:
not within 30 s) and the most memory of each replica in MB.
"""
import json
import os
import shutil
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review/lib-3"))
import fleet  # noqa: E402
from large import configuration, resident_mb  # noqa: E402

DOWN_S = 0.5
LONGEST_S = 30.0
PAUSE_S = 3.0
TOO_LARGE = 413


def status(net, core):
    body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "control.status", "params": {}})
    try:
        _, _, text = fleet.call((core.ip, net.internal_port), "POST", "/rpc", body, timeout=1.0)
        return json.loads(text).get("result") or {}
    except (OSError, ValueError):
        return {}


class Operators:
    """Sends each version until it is acknowledged or refused for good."""

    def __init__(self, net, routes):
        self.net, self.routes = net, routes
        self.lock, self.stopped = threading.Lock(), threading.Event()
        self.version, self.acknowledged = 1, 0

    def change(self):
        with self.lock:
            self.version += 1
            version = self.version
        body = json.dumps(configuration(version, self.routes), separators=(",", ":"))
        attempt = 0
        while not self.stopped.is_set():
            attempt += 1
            core = (version + attempt) % len(self.net.cores)
            try:
                code, _, _ = fleet.call(self.net.control(core), "POST", "/api/config/replace", body,
                                        timeout=3.0)
            except (OSError, ValueError):
                code = 0
            if code in (200, TOO_LARGE):
                with self.lock:
                    self.acknowledged += code == 200
                return code
            time.sleep(0.1)
        return 0

    def run(self):
        while not self.stopped.is_set():
            self.change()


def time_to_vote(net, core, most):
    """Seconds from the start of `core` with an empty disk to its vote, or None."""
    core.kill()
    shutil.rmtree(core.data)
    os.makedirs(core.data)
    time.sleep(DOWN_S)
    core.write_settings(False, [one.ip for one in net.cores[:3]])
    address = "%s:%d" % (core.ip, net.internal_port)
    others = [one for one in net.cores if one is not core]
    former = max((replica["id"] for one in others for replica in status(net, one).get("replicas", [])),
                 default=0)
    begin = time.monotonic()
    core.start()
    while time.monotonic() - begin < LONGEST_S:
        for one in net.cores:
            most[one.name] = max(most.get(one.name, 0), round(resident_mb(one)))
        for one in others:
            report = status(net, one)
            if report.get("is_leader") and any(
                    replica["address"] == address and replica["voter"] and replica["id"] > former
                    for replica in report["replicas"]):
                return round(time.monotonic() - begin, 2)
        time.sleep(0.03)
    return None


def measure(routes, writers, changes):
    net = fleet.Fleet(fleet.Record(os.devnull), cores=5, tolerated=2)
    operators = Operators(net, routes)
    threads = [threading.Thread(target=operators.run, daemon=True) for _ in range(writers)]
    most = {}
    try:
        net.start()
        net.put(configuration(1, 12))
        net.wait_ready()
        for _ in range(changes):
            if operators.change() == TOO_LARGE:
                print("%d routes: refused with %d" % (routes, TOO_LARGE), flush=True)
                return
        for thread in threads:
            thread.start()
        times = []
        for core in net.cores[1:4]:
            time.sleep(PAUSE_S)
            times.append(time_to_vote(net, core, most))
        print("%d routes, %d writers: vote after %s s, %d changes, memory %s MB" % (
            routes, writers, times, operators.acknowledged, most), flush=True)
    finally:
        operators.stopped.set()
        for thread in threads:
            if thread.ident is not None:
                thread.join(5)
        net.stop()


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    for argument in sys.argv[1:]:
        measure(*(int(number) for number in argument.split(",")))


main()
