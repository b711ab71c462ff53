"""A large configuration, as after `big_config`."""


def configuration(version, routes):
    """As the example of PROTOCOL.md, with `routes` routes; each version changes one timeout."""
    table = [{
        "name": "r-%07x" % (number * 7919), "hostname": "ficu95.example",
        "path_prefix": "/pufi%05x/" % (number * 131), "route_type": "streaming",
        "timeout_ms": 15000 - (version if number == version % routes else 0),
        "target_latency_ms": 600, "priority": 0, "backend": "huvo11a", "max_attempts": 1,
        "public": False, "session_affinity": True, "stream_resume": False,
        "target_itl_ms": 250} for number in range(routes)]
    return {
        "version": version, "route_table": table,
        "backends": [
            {"name": "huvo11a", "health_check": "/healthz", "max_connections": 610,
             "protocol": "h1", "tls": False},
            {"name": "wuno96b", "health_check": "/healthz", "max_connections": 480,
             "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "huka%d" % number, "api_keys": ["xd9dnn2ctnfzs989an%d" % number],
                     "priority": 1} for number in range(24)]}


def resident_mb(machine):
    with open("/proc/%d/status" % machine.process.pid, encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0
