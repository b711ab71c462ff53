"""A heartbeat whose id ends with a line break cuts the head of the requests that follow."""
import hashlib
import json
import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
import fleet  # noqa: E402

CLIENTS = 6
DEADLINE_MS = 2500
BEATS = 8
BEAT_S = 1.2

CONFIGURATION = {
    "version": 1,
    "route_table": [{
        "name": "r-order", "hostname": "desk.example", "path_prefix": "/order/",
        "route_type": "non_idempotent", "timeout_ms": 1200, "target_latency_ms": 150,
        "priority": 2, "backend": "desk", "max_attempts": 1, "public": False,
        "session_affinity": False, "stream_resume": False}],
    "backends": [{"name": "desk", "health_check": "/healthz", "max_connections": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "acme", "api_keys": ["key-of-acme"], "priority": 1}]}


def client(number, address, record, sent, stop):
    sock, count = None, 0
    while not stop.is_set():
        count += 1
        request = "%04x%012x" % (number, count)
        body = ("order %s " % request).encode() + b"x" * 600
        sent[request] = hashlib.sha256(body).hexdigest()[:16]
        headers = {"Host": "desk.example", "X-Sycamorebend-Request-Id": request,
                   "X-Sycamorebend-Deadline-Ms": str(DEADLINE_MS),
                   "Authorization": "Bearer key-of-acme"}
        record.note("client %d sends %s, %d bytes" % (number, request, len(body)))
        try:
            if sock is None:
                sock = socket.create_connection(address, timeout=1.0)
            sock.settimeout(DEADLINE_MS / 1000)
            sock.sendall(fleet.request_bytes("POST", "/order/new", headers, body))
            status, fields, _ = fleet.Reader(sock).response()
            if fields.get("connection", "").lower() == "close":
                sock.close()
                sock = None
        except (OSError, ValueError) as error:
            status = repr(error)
            if sock is not None:
                sock.close()
            sock = None
        record.note("client %d gets %s for %s" % (number, status, request))
        time.sleep(0.05)


def other_writer(net, engine, born, record):
    """Beats with the fields of `engine`, as a writer that read its id from a file with line ends."""
    for sequence in range(1, BEATS + 1):
        body = json.dumps({
            "backend": "desk", "address": engine.address, "zone": "a", "version": "v1", "slots": 20,
            "state": "ready", "warmup_left_ms": 0, "sequence": sequence, "born": born})
        path = "/api/instances/%s%%0D%%0A/heartbeat" % engine.name
        try:
            status, _, _ = fleet.call(net.control(sequence % len(net.cores)), "POST", path, body,
                                      timeout=1.0)
        except OSError as error:
            status = repr(error)
        record.note("other writer: POST %s gets %s" % (path, status))
        time.sleep(BEAT_S)


def case(record, trouble):
    net = fleet.Fleet(record)
    try:
        net.start()
        net.put(CONFIGURATION)
        engines = [fleet.Engine(net, "i-desk%d" % i, "127.61.20%d.1" % i, "desk", slots=20)
                   for i in range(3)]
        for engine in engines:
            engine.wait_acknowledged()
        net.wait_ready()
        time.sleep(1)
        sent, stop = {}, threading.Event()
        address = (net.gateways[0].ip, net.caller_port)
        threads = [threading.Thread(target=client, args=(i, address, record, sent, stop))
                   for i in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(3)
        if trouble:
            other_writer(net, engines[0], engines[0].born(), record)
        else:
            time.sleep(BEATS * BEAT_S)
        time.sleep(3)
        stop.set()
        for thread in threads:
            thread.join()
        time.sleep(0.5)
        runs = [(engine.name, event) for engine in engines for event in engine.events
                if event["what"] == "begin"]
        record.note("%d orders sent, %d runs" % (len(sent), len(runs)))
        print("%d orders sent, %d runs" % (len(sent), len(runs)))
        if len(runs) < 100:
            raise fleet.CannotRun("too few orders ran")
        broken = []
        for name, event in runs:
            if event["id"] not in sent:
                broken.append("UNASKED: %s ran id '%s' that no client sent" % (name, event["id"]))
            elif event["body"] != sent[event["id"]]:
                broken.append("UNASKED: %s ran %s with a body of %d bytes that is not the client's" % (
                    name, event["id"], event["bytes"]))
            elif event["tenant"] != "acme":
                broken.append("UNASKED: %s ran %s for tenant '%s'" % (
                    name, event["id"], event["tenant"]))
        return broken
    finally:
        net.stop()


fleet.run_case(case, HERE)
