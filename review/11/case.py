"""Disks are lost two at a time, each time after the machines before had their time to catch up."""
import json
import os
import shutil
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
import fleet  # noqa: E402
from large import configuration, resident_mb  # noqa: E402

ROUTES = 1580 + 12
CHANGES = 300
GAP_S = 0.2
CHANGES_END_S = 62.0
IN_PROGRESS = 8
CATCH_UP_S = 6.0
MARGIN_S = 0.5
DOWN_S = 0.5
RECOVERY_S = 15.0
READ_S = 5.0


def put(net, record, version, routes, acknowledged, end):
    """An order of the operator: sent again, to any daemon, until it is acknowledged."""
    body = json.dumps(configuration(version, routes), separators=(",", ":"))
    wait = 0.1
    for attempt in range(40):
        if time.monotonic() > end:
            break
        core = (version + attempt) % len(net.cores)
        try:
            status, _, _ = fleet.call(net.control(core), "POST", "/api/config/replace", body,
                                      timeout=3.0)
        except (OSError, ValueError):
            status = 0
        if status == 200:
            acknowledged.append(version)
            record.note("operator: version %d, %d bytes, acknowledged by %s" % (
                version, len(body), net.cores[core].name))
            return
        time.sleep(wait)
        wait = min(1.0, wait * 2)
    record.note("operator: version %d gets no acknowledgement" % version)


def lose_disks(net, record, cores):
    for core in cores:
        record.note("%s is killed and loses its disk" % core.name)
        core.kill()
        shutil.rmtree(core.data)
        os.makedirs(core.data)
    time.sleep(DOWN_S)
    for core in cores:
        core.write_settings(False, [one.ip for one in net.cores[:3]])
        core.start()
        record.note("%s is back with an empty disk" % core.name)


def read(net, record):
    """Reads the configuration at each daemon: the highest version, or None."""
    newest = None
    for core in net.cores:
        try:
            status, _, body = fleet.call((core.ip, net.api_port), "GET", "/api/config/fetch",
                                         timeout=1.0)
        except (OSError, ValueError) as error:
            status, body = 0, repr(error)
        version = json.loads(body)["version"] if status == 200 else None
        record.note("operator: %s answers a read with %s, version %s" % (
            core.name, status, version))
        if version is not None:
            newest = max(newest or 0, version)
    return newest


def case(record, trouble):
    net = fleet.Fleet(record, cores=5, tolerated=2)
    try:
        net.start()
        net.put(configuration(1, 12))
        net.wait_ready()
        time.sleep(4)
        acknowledged, threads = [1], []
        began = time.monotonic()
        for version in range(2, CHANGES + 2):
            if time.monotonic() - began > CHANGES_END_S:
                break
            thread = threading.Thread(target=put, args=(
                net, record, version, ROUTES, acknowledged, began + CHANGES_END_S + 4.0))
            thread.start()
            threads.append(thread)
            time.sleep(GAP_S)
            while sum(one.is_alive() for one in threads) >= IN_PROGRESS:
                time.sleep(0.02)
        for thread in threads:
            thread.join()
        record.note("memory of the replicas, MB: %s" % [round(resident_mb(c)) for c in net.cores])
        if len(acknowledged) < 60:
            raise fleet.CannotRun("too few changes were acknowledged")
        if trouble:
            lose_disks(net, record, net.cores[0:2])
            time.sleep(CATCH_UP_S + MARGIN_S)
            lose_disks(net, record, net.cores[2:4])
        time.sleep(RECOVERY_S)
        newest = max(acknowledged)
        end, seen = time.monotonic() + READ_S, None
        while time.monotonic() < end and seen is None:
            seen = read(net, record)
            time.sleep(0.5)
        ended = [core.name for core in net.cores if core.process.poll() is not None]
        if ended:
            raise fleet.CannotRun("%s ended" % ended)
        print("newest acknowledged version %d, read back %s" % (newest, seen))
        record.note("newest acknowledged version %d, read back %s" % (newest, seen))
        if seen is None:
            return ["CONFIG/LOST: version %d was acknowledged; for %.0f s, from %.0f s after the "
                    "last machine was back, no daemon gives a configuration" % (
                        newest, READ_S, RECOVERY_S)]
        if seen < newest:
            return ["CONFIG/LOST: version %d was acknowledged, version %d is read back" % (
                newest, seen)]
        return []
    finally:
        net.stop()


fleet.run_case(case, HERE)
