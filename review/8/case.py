"""The last tenant of the configuration is removed; requests with its key and with made-up keys follow."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import fleet as lib


def configuration(version, tenants):
    return {
        "version": version,
        "route_table": [
            {"name": "r-order", "hostname": "h.example", "path_prefix": "/order/", "route_type": "non_idempotent",
             "timeout_ms": 2500, "target_latency_ms": 150, "priority": 2, "backend": "desk", "max_attempts": 1,
             "public": False, "session_affinity": False, "stream_resume": False}],
        "backends": [{"name": "desk", "health_check": "/healthz", "max_connections": 110, "protocol": "h1",
                      "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": tenants}


def case(record, trouble):
    fleet = lib.Fleet(record, controls=3, gateways=2)
    ran = set()
    try:
        def on_line(engine, at, text):
            words = text.split()
            if words[0] == "runs":
                ran.add(words[1])
        lib.Engine.options_hook = staticmethod(on_line)
        fleet.start()
        for number in range(3):
            fleet.engine("desk", number, {"work_ms": 30})
        tenants = [{"name": "t1", "api_keys": ["key-one", "key-two"], "priority": 1}]
        fleet.replace(configuration(7, tenants))
        fleet.ready()
        time.sleep(3)

        def send(name, key):
            results = []
            for number, gateway in enumerate(fleet.gateways * 5):
                request_id = "%s-%d" % (name, number)
                answer = lib.request("%s:%d" % (gateway.ip, fleet.ports["frontend"]), "POST", "/order/x", request_id,
                                     [("Authorization", "Bearer " + key)], b"an order", deadline_ms=2500)
                record.line("client: %s with key %s at %s got %s" % (request_id, key, gateway.name, answer.status))
                results.append(answer.status)
            return results

        if set(send("sound", "key-one")) != {200}:
            raise lib.CannotRun("orders with a sound key are not served")
        # A key is taken away, with trouble also the tenant's last one, and with it the tenant.
        left = [] if trouble else [{"name": "t1", "api_keys": ["key-two"], "priority": 1}]
        fleet.replace(configuration(8, left))
        # Well beyond config_apply_ms; nothing else happens.
        time.sleep(fleet.bounds["config_apply_ms"] / 1000.0 + 2.0)
        send("dropped", "key-one")
        send("never", "key-that-nobody-ever-held")
        time.sleep(0.5)
        dropped = sorted(name for name in ran if name.startswith("dropped-"))
        never = sorted(name for name in ran if name.startswith("never-"))
        if dropped or never:
            return "%d orders ran with the key that version 8 had dropped, %d with a key that no configuration ever " \
                   "held" % (len(dropped), len(never))
        return ""
    finally:
        fleet.stop()


lib.main(case)
