"""Control replicas grow by the size of each change of a large configuration."""
import json
import os
import queue
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
import fleet  # noqa: E402
from large import configuration, resident_mb  # noqa: E402

ROUTES = 1580 + 12
MEMORY_MB = 256
IN_PROGRESS = 6
END_S = 100


def case(record, trouble):
    routes = ROUTES if trouble else 12
    net = fleet.Fleet(record)
    stop = threading.Event()
    ended = {core.name: 0 for core in net.cores}
    most = {core.name: 0.0 for core in net.cores}

    def platform():
        """Ends a process that uses more than memory_mb, and starts it again, as DEPLOY.md says."""
        while not stop.is_set():
            for core in net.cores:
                if core.process.poll() is None:
                    most[core.name] = max(most[core.name], resident_mb(core))
                    if resident_mb(core) <= MEMORY_MB:
                        continue
                    record.note("platform: %s uses %.0f MB of %d and is killed" % (
                        core.name, resident_mb(core), MEMORY_MB))
                    core.kill()
                else:
                    record.note("platform: %s has ended by itself" % core.name)
                ended[core.name] += 1
                time.sleep(0.3)
                core.write_settings(False, [one.ip for one in net.cores])
                core.start()
            time.sleep(0.05)

    try:
        net.start()
        net.put(configuration(1, 12))
        net.wait_ready()
        watcher = threading.Thread(target=platform)
        watcher.start()
        began = time.monotonic()
        orders, lock, acknowledged = queue.Queue(), threading.Lock(), [0]
        for version in range(2, 1500):
            orders.put(version)

        def operator(number):
            while not stop.is_set():
                try:
                    version = orders.get_nowait()
                except queue.Empty:
                    return
                body = json.dumps(configuration(version, routes), separators=(",", ":"))
                wait = 0.05
                for attempt in range(100):
                    if stop.is_set():
                        return
                    core = (version + attempt) % len(net.cores)
                    try:
                        status, _, _ = fleet.call(net.control(core), "POST",
                                                  "/api/config/replace", body, timeout=3.0)
                    except (OSError, ValueError):
                        status = 0
                    if status == 200:
                        break
                    time.sleep(wait)
                    wait = min(1.0, wait * 2)
                with lock:
                    acknowledged[0] += status == 200
                    if version % 20 == 0:
                        record.note("operator: version %d, %d bytes, gets %d; %d acknowledged; %s" % (
                            version, len(body), status, acknowledged[0],
                            {name: round(size) for name, size in most.items()}))

        operators = [threading.Thread(target=operator, args=(number,))
                     for number in range(IN_PROGRESS)]
        for thread in operators:
            thread.start()
        while time.monotonic() - began < END_S and sum(ended.values()) < 3 and any(
                thread.is_alive() for thread in operators):
            time.sleep(0.2)
        stop.set()
        for thread in operators + [watcher]:
            thread.join()
        text = "%d changes acknowledged; most memory %s MB; ended %s" % (
            acknowledged[0], {name: round(size) for name, size in most.items()}, ended)
        record.note(text)
        print(text)
        if acknowledged[0] < 100:
            raise fleet.CannotRun("too few changes were acknowledged")
        half = [name for name, count in ended.items() if count > 0]
        if 2 * len(half) >= len(net.cores) and sum(ended.values()) >= 3:
            return ["Fault: processes on %s ended %d times with no disruption there" % (
                ", ".join(half), sum(ended.values()))]
        return []
    finally:
        stop.set()
        net.stop()


fleet.run_case(case, HERE)
