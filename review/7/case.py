"""A streaming request that crashes each engine that begins to run it, after its first event."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import fleet as lib

ENGINES = 8
COMEBACKS = 22
INTERVAL_S = 1.5
CRASH = os.environ.get("CRASH", "first_event")


def configuration(version):
    return {
        "version": version,
        "route_table": [
            {"name": "r-stream", "hostname": "h.example", "path_prefix": "/stream/", "route_type": "streaming",
             "timeout_ms": 15000, "target_latency_ms": 600, "priority": 0, "backend": "press", "max_attempts": 1,
             "public": False, "session_affinity": True, "stream_resume": False, "target_itl_ms": 200}],
        "backends": [{"name": "press", "health_check": "/healthz", "max_connections": 240, "protocol": "h1",
                      "tls": False, "engine_type": {"slots": 32, "kv_capacity": 329196, "kv_token_bytes": 262144,
                                                    "bandwidth_mbps": 1100000.0, "migrations": True, "replicas": True,
                                                    "stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                                                    "handle_ttl_s": 5.0, "model_list": [{"name": "m"}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": ["key-one"], "priority": 1}]}


def headers(tag):
    return [("Authorization", "Bearer key-one"), ("X-Sycamorebend-Model", "m"),
            ("X-Sycamorebend-Token-Usage", "826,290"),
            ("X-Sycamorebend-Prefix-Hash", "5c1e07a2:198,%s:628" % tag)]


def case(record, trouble):
    fleet = lib.Fleet(record, controls=3, gateways=2)
    arrivals, crashes, lost = [], [], []
    try:
        def on_line(engine, at, text):
            words = text.split()
            if words[0] == "arrives" and words[1].startswith("poison-"):
                arrivals.append((at, words[1]))
            if words[0] == "crashes":
                crashes.append((at, words[2]))
        lib.Engine.options_hook = staticmethod(on_line)
        fleet.start()
        for number in range(ENGINES):
            fleet.engine("press", number, {"crash": CRASH if trouble else None, "restart_after": 3.0,
                                           "events": 20, "event_ms": 40})
        fleet.replace(configuration(7))
        fleet.ready()
        time.sleep(3)
        stop = threading.Event()

        def others():
            number = 0
            while not stop.is_set():
                number += 1
                gateway = fleet.gateways[number % len(fleet.gateways)]
                name = "other-%d" % number

                def one(gateway=gateway, name=name, number=number):
                    answer = lib.request("%s:%d" % (gateway.ip, fleet.ports["frontend"]), "POST", "/stream/q", name,
                                         headers("b%07x" % number), b"a sound question %d" % number, deadline_ms=15000)
                    if answer.status == 200 and not answer.whole:
                        lost.append(name)
                    record.line("client: %s got %s whole=%s %s" % (name, answer.status, answer.whole, answer.note))
                threading.Thread(target=one, daemon=True).start()
                time.sleep(0.15)
        threading.Thread(target=others, daemon=True).start()
        for number in range(COMEBACKS):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            name = "poison-%d" % number
            record.line("client: sends %s to %s" % (name, gateway.name))
            # The same path, caller and body each time.
            answer = lib.request("%s:%d" % (gateway.ip, fleet.ports["frontend"]), "POST", "/stream/q", name,
                                 headers("a0000000"), b"POISON: the same question", deadline_ms=15000)
            record.line("client: %s got %s whole=%s %s" % (name, answer.status, answer.whole, answer.note))
            time.sleep(INTERVAL_S)
        stop.set()
        time.sleep(1.5)
        if not trouble:
            if len(arrivals) < COMEBACKS:
                raise lib.CannotRun("only %d of %d requests reached an engine" % (len(arrivals), COMEBACKS))
            return ""
        crashes.sort()
        if len(crashes) < 3:
            return ""
        limit = crashes[2][0] + fleet.bounds["contact_ms"] / 1000.0
        late = [name for at, name in arrivals if at > limit]
        record.line("%d crashes; %d retries reached engines later than contact_ms after the third; %d sound streams "
                    "were cut" % (len(crashes), len(late), len(lost)))
        if len(late) > 3:
            return "%d retries of the request reached engines later than contact_ms after it had crashed the third " \
                   "(allowed: 3); it crashed %d engines, and %d sound streams were cut" % (
                       len(late), len(crashes), len(lost))
        return ""
    finally:
        fleet.stop()


lib.main(case)
