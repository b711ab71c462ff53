#!/usr/bin/env python3
"""Measures the cost slopes that docs/CAPACITY.md uses, on this machine.

Starts one control replica and one entry daemon on loopback, puts control load
on them with sycamorebend-capacity-clients, and reads processor time and memory
from /proc. Prints one line for each point and a least-squares slope with its
largest deviation for each series.

Usage: scripts/measure_capacity.py [--seconds N] [--series NAME[,NAME]]
Series: feed (entry daemons at a control replica), report (backend servers at an
entry daemon), changes (configuration changes by number of customers).
"""
import argparse
import hashlib
import json
import os
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "bin")
CONTROL = "127.0.0.1:19101"
ENTRY = "127.0.0.1:19201"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
MODELS = 22


def document(customers):
    return {
        "tiers": ["urgent", "interactive", "standard", "batch"],
        "classes": [{"name": f"class-{i}", "tier": "standard",
                     "match": f"model=model-{i}", "servers": f"model=model-{i}"}
                    for i in range(MODELS)],
        "customers": [{"name": f"customer-{i}", "key_sha256":
                       hashlib.sha256(str(i).encode()).hexdigest(),
                       "tiers": ["standard", "batch"]}
                      for i in range(customers)],
    }


class Daemon:
    """A process under measurement."""

    def __init__(self, name, settings, folder):
        path = os.path.join(folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, name + ".log"), "w",
                        encoding="utf-8")
        self.process = subprocess.Popen(
            [os.path.join(BIN, name), "--settings=" + path], stderr=self.log)
        self.address = settings["address"]

    def wait_until_ready(self):
        for _ in range(200):
            try:
                urllib.request.urlopen(f"http://{self.address}/readyz", timeout=1)
                return
            except OSError:
                time.sleep(0.1)
        raise RuntimeError(f"{self.address} did not become ready")

    def cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def stop(self):
        self.process.terminate()
        try:
            self.process.wait(timeout=60)
        except subprocess.TimeoutExpired:
            self.process.kill()
        self.log.close()


def start_daemons(folder):
    control = Daemon("sycamorebend-control", {
        "id": 1, "address": CONTROL, "failure_domain": "fd-0",
        "data_directory": os.path.join(folder, "data"), "max_followers": 500,
        "replicas": [{"id": 1, "address": CONTROL}]}, folder)
    control.wait_until_ready()
    return control


def start_entry(folder):
    entry = Daemon("sycamorebend-entry", {
        "entry_id": "measured", "address": ENTRY, "failure_domain": "fd-0",
        "replicas": [CONTROL], "address_valid_ms": 500}, folder)
    entry.wait_until_ready()
    return entry


def apply(folder, customers, label, version=[0]):
    """Applies a document; `version` counts the accepted changes."""
    value = document(customers)
    value["server_labels"] = {"changed": {"change": label}}
    path = os.path.join(folder, "document.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(value, file)
    subprocess.run([os.path.join(BIN, "sycamorebend-ctl"),
                    "--control=" + CONTROL, "apply", path,
                    f"--expected-version={version[0]}"],
                   check=True, capture_output=True, timeout=30)
    version[0] += 1


def client_load(daemon, target, mode, count, seconds):
    """Runs the clients; measures from the end of their warm-up on.

    @return the clients' totals, the daemon's share of a core in percent, and
    the duration in seconds."""
    with subprocess.Popen(
            [os.path.join(BIN, "sycamorebend-capacity-clients"),
             "--target=" + target, "--mode=" + mode, f"--count={count}",
             f"--seconds={seconds}"],
            stdout=subprocess.PIPE, text=True) as clients:
        clients.stdout.readline()
        before = daemon.cpu_seconds()
        start = time.monotonic()
        out = clients.stdout.readline().split()
        elapsed = time.monotonic() - start
        cpu = (daemon.cpu_seconds() - before) / elapsed * 100
    return dict(zip(out[::2], map(int, out[1::2]))), cpu, elapsed


def slope(points):
    """Least-squares slope and the largest deviation from the line."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    offset = mean_y - gradient * mean_x
    worst = max(abs(y - offset - gradient * x) for x, y in points)
    return gradient, offset, worst


def report_series(name, daemon, target, mode, counts, seconds):
    rows = []
    for count in counts:
        totals, cpu, elapsed = client_load(daemon, target, mode, count, seconds)
        # What the daemon receives is what the clients send.
        received = totals["bytes_sent"] / elapsed / 1000
        sent = totals["bytes_received"] / elapsed / 1000
        rows.append((count, cpu, daemon.resident_mb(), received, sent))
        print(f"{name} count {count} cpu {cpu:.3f} % memory "
              f"{rows[-1][2]:.1f} MB received {received:.2f} KB/s sent "
              f"{sent:.2f} KB/s messages {totals['messages']} failures "
              f"{totals['failures']}", flush=True)
    for column, unit in ((1, "% of a core"), (2, "MB"), (3, "KB/s received"),
                         (4, "KB/s sent")):
        gradient, offset, worst = slope([(r[0], r[column]) for r in rows])
        print(f"{name} slope {gradient:.6f} {unit} each, at none {offset:.3f}, "
              f"largest deviation {worst:.3f}", flush=True)


def measure_changes(folder, control, entry, changes):
    rows = []
    for customers in (100, 400, 800, 1200):
        apply(folder, customers, "first")
        before = (control.cpu_seconds(), entry.cpu_seconds())
        start = time.monotonic()
        for number in range(changes):
            apply(folder, customers, str(number))
        elapsed = time.monotonic() - start
        time.sleep(1)
        cost = [(now - then) * 1000 / changes for now, then in
                zip((control.cpu_seconds(), entry.cpu_seconds()), before)]
        rows.append((customers, *cost))
        print(f"changes customers {customers} control {cost[0]:.2f} ms entry "
              f"{cost[1]:.2f} ms each (idle load included), {elapsed:.1f} s for "
              f"{changes} changes, memory control {control.resident_mb():.1f} "
              f"entry {entry.resident_mb():.1f} MB", flush=True)
    for column, role in ((1, "control"), (2, "entry")):
        gradient, offset, worst = slope([(r[0], r[column]) for r in rows])
        print(f"changes slope {gradient:.5f} ms for each customer in {role}, at "
              f"none {offset:.3f}, largest deviation {worst:.3f}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--series", default="feed,report,changes")
    options = parser.parse_args()
    series = options.series.split(",")
    with tempfile.TemporaryDirectory() as folder:
        daemons = []
        try:
            control = start_daemons(folder)
            daemons.append(control)
            apply(folder, 1200, "start")
            if "feed" in series:
                report_series("feed", control, CONTROL, "feed",
                              (8, 32, 64, 96), options.seconds)
            # Waits until the leases of the simulated entry daemons expire: while
            # they count as live, an entry daemon tracks only its share of the
            # servers.
            time.sleep(6)
            entry = start_entry(folder)
            daemons.append(entry)
            if "report" in series:
                report_series("report", entry, ENTRY, "report",
                              (15, 100, 400, 1500), options.seconds)
            if "changes" in series:
                measure_changes(folder, control, entry, 20)
        finally:
            for daemon in reversed(daemons):
                daemon.stop()


if __name__ == "__main__":
    main()
