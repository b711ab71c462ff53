"""A stand-in of the users' platform for the scripts of the review.

It fills in the settings' templates of deploy/, starts both programs with the
commands of deploy/system.toml on loopback addresses, and plays the operator.
Only signals are sent to the processes, and only to those started here.
"""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Bounds of the small deployments (SYSTEM.md).
SEED_LAG_S = 3
CONTACT_S = 3
ACK_S = 4
CATCH_UP_S = 4
GRACE_S = 8
CONFIG_APPLY_S = 2
RECOVERY_S = 12


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


def commands():
    """The command of each role in deploy/system.toml."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    found = {}
    for section in re.split(r"^\[roles\.", text, flags=re.M)[1:]:
        name = section[: section.index("]")]
        run = re.search(r'^run = "([^"]+)"', section, flags=re.M)
        template = re.search(r'^template = "([^"]+)"', section, flags=re.M)
        found[name] = (run.group(1).split(), template.group(1))
    return found


ABSENT = object()  # A field that the platform doesn't have on these days.


class Scope:
    """The names that a part of a template sees."""

    def __init__(self, template, entry, key=None, comma="", outer=None):
        self.template, self.entry, self.key = template, entry, key
        self.comma, self.outer = comma, outer

    def fail(self, text):
        raise CannotRun(f"{self.template}: {text}")

    def find(self, path):
        """@return the value of a field, or ABSENT if the platform leaves it out."""
        if path == ".":
            return self.entry
        first = path.split(".")[0]
        scope = self
        while scope is not None and not scope.has(first):
            scope = scope.outer
        if scope is None:
            self.fail(f"the stand-in doesn't know the field {path}")
        current = scope.entry
        for part in path.split("."):
            if current is ABSENT:
                return ABSENT
            if isinstance(current, dict) and part in current:
                current = current[part]
            elif isinstance(current, list) and part.isdigit() and int(part) < len(current):
                current = current[int(part)]
            else:
                self.fail(f"the stand-in doesn't know the field {path}")
        return current

    def has(self, name):
        if isinstance(self.entry, list):
            return name.isdigit() and int(name) < len(self.entry)
        return isinstance(self.entry, dict) and name in self.entry

    def placeholder(self, name):
        if name == ",":
            return self.comma
        if name == "@":
            if self.key is None:
                self.fail("{{@}} outside of a section over a list or table")
            return str(self.key)
        path, _, form = name.partition("|")
        if form not in ("", "json"):
            self.fail(f"unknown form {form} of the field {path}")
        value = self.find(path)
        if value is ABSENT:
            value = None
        if form == "json":
            return json.dumps(value, default=lambda absent: None)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(json.dumps(item) if isinstance(item, (bool, dict, list)) else str(item)
                            for item in value)
        return json.dumps(value) if isinstance(value, (bool, dict)) else str(value)

    def entries(self, path):
        """@return the scopes in which a section is rendered."""
        value = self.find(path)
        if value is ABSENT or value is None or value is False:
            return []
        if not isinstance(value, (dict, list)):
            return [Scope(self.template, value, self.key, self.comma, self)]
        items = list(value.items() if isinstance(value, dict) else enumerate(value))
        return [Scope(self.template, entry, key, "," if i + 1 < len(items) else "", self)
                for i, (key, entry) in enumerate(items)]


def parse_template(template, tokens, section=None):
    """@param tokens text and placeholders in turn; taken from the front.
    @return texts, placeholders and sections with their contents."""
    parts = []
    while tokens:
        text = tokens.pop(0)
        parts.append(("text", text))
        if not tokens:
            break
        name = tokens.pop(0)
        if name[0] in "#^":
            parts.append((name[0], name[1:], parse_template(template, tokens, name[1:])))
        elif name[0] == "/":
            if name[1:] != section:
                raise CannotRun(f"{template}: {{{{{name}}}}} ends no section")
            return parts
        else:
            parts.append(("field", name))
    if section is not None:
        raise CannotRun(f"{template}: the section {section} has no end")
    return parts


def render_parts(parts, scope):
    rendered = []
    for kind, *rest in parts:
        if kind == "text":
            rendered.append(rest[0])
        elif kind == "field":
            rendered.append(scope.placeholder(rest[0]))
        elif kind == "#":
            rendered += [render_parts(rest[1], inner) for inner in scope.entries(rest[0])]
        elif scope.find(rest[0]) in (ABSENT, None) or scope.find(rest[0]) is False:
            rendered.append(render_parts(rest[1], scope))
    return "".join(rendered)


def render_text(template, text, fields):
    """Fills in a template as DEPLOY.md tells.
    @param template its name, for errors.  A field that isn't in `fields` is one:
    the platform would leave it empty, and the stand-in is what lacks it."""
    parts = parse_template(template, re.split(r"\{\{([^{}]+)\}\}", text))
    return render_parts(parts, Scope(template, fields))


def render(template, fields):
    with open(os.path.join(ROOT, template), encoding="utf-8") as file:
        return render_text(template, file.read(), fields)


# The machines and bounds of karoo-platen (SYSTEM.md), as in the example of
# DEPLOY.md.
LIMITS = {
    "gateway": {"cpu_quota": 0.25, "speed_factor": 1, "memory_mb": 260, "max_fds": 4100,
                "bandwidth_mbps": 1000.0, "disk_mb": 0},
    "control": {"cpu_quota": 0.6, "speed_factor": 1, "memory_mb": 256, "max_fds": 4096,
                "bandwidth_mbps": 1000.0, "disk_mb": 128},
}
BOUNDS = {
    "seed_lag_s": SEED_LAG_S, "reuse_after_s": 2, "contact_ms": CONTACT_S * 1000,
    "ack_ms": ACK_S * 1000, "catch_up_s": CATCH_UP_S, "drain_ms": 2000, "grace_s": GRACE_S,
    "loss_slack_ms": 200, "config_apply_ms": CONFIG_APPLY_S * 1000, "downgrade_slack_ms": 250,
    "partition_max_ms": 5000, "fail_closed": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 56,
    "recovery_s": RECOVERY_S, "delivery_slack_ms": 120, "reuse_window_s": 9, "ttl_max_s": 5,
}
SERVES = {"gateway": ["edge"], "control": ["control_plane", "registry"]}


def settings_fields(name, role, ip, zone, ports, seeds, bootstrap, data):
    """The fields of a machine's settings.
    @param seeds addresses of machines that serve control.
    @param data its disk; gateways have none."""
    listens = ["frontend", "readiness"] if role == "gateway" else ["control_plane", "registry"]
    return {
        "node_name": name,
        "role": role,
        "machine_class": "edge" if role == "gateway" else "core",
        "serves": SERVES[role],
        "ip": ip,
        "zone": zone,
        "region": "gauteng",
        "zones": {zone: "gauteng" for zone in "abc"},
        "listen": {listen: f"{ip}:{ports[listen]}" for listen in listens},
        "internal_ports": [ports["internal"], ports["internal"] + 15],
        "seed_nodes": [f"{seed}:{ports['control_plane']}" for seed in seeds],
        "bootstrap": bootstrap,
        "in_tolerance": role == "control",
        "limits": LIMITS[role],
        "data_dir": data if role == "control" else None,
        "discovery": "registration",
        "entrypoint": "registry",
        "heartbeat_ms": 1200,
        "fault_tolerance": {"nodes": 1, "zones": 0, "regions": 0},
        "bounds": BOUNDS,
        "config_mode": "highest",
        "cloud_api": ABSENT,
    }


class Machine:
    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.folder = os.path.join(fleet.folder, name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.folder)
        self.process = None
        self.stopped = False
        self.exits = 0

    def start(self, bootstrap=False, seeds=None, keep_settings=False):
        """Places the settings file and starts the program, as at every start.
        @param seeds those of the settings file; None: the operator's list.
        @param keep_settings the file of the start before stays as it is."""
        fleet = self.fleet
        if self.role == "control":
            os.makedirs(self.data, exist_ok=True)
        fields = settings_fields(self.name, self.role, self.ip, self.zone, fleet.ports,
                                 fleet.seeds if seeds is None else seeds, bootstrap, self.data)
        command, template = fleet.commands[self.role]
        settings = os.path.join(self.folder, "settings")
        if not keep_settings:
            with open(settings, "w", encoding="utf-8") as file:
                file.write(render(template, fields))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C.UTF-8",
                       "SYCAMOREBEND_SETTINGS": settings}
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        fleet.note(f"{self.name} ({self.ip}) is started as process {self.process.pid}, "
                   f"bootstrap {str(bootstrap).lower()}")

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.fleet.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)
        self.stopped = number == signal.SIGSTOP

    def wait_end(self, timeout):
        try:
            self.process.wait(timeout)
            self.fleet.note(f"{self.name} ended with status {self.process.returncode}")
            return True
        except subprocess.TimeoutExpired:
            return False

    def lose_disk(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.fleet.note(f"{self.name} has lost its disk")

    def log(self):
        path = os.path.join(self.folder, "log")
        if not os.path.exists(path):
            return ""
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Fleet:
    def __init__(self, record_path):
        self.begun = time.monotonic()
        self.lock = threading.Lock()
        self.record = open(record_path, "w", encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.commands = commands()
        for command, _ in self.commands.values():
            if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
                raise CannotRun(f"{command[0]} is not built")
        pid = os.getpid()
        self.prefix = f"127.{64 + pid % 128}.{pid // 128 % 250}"
        self.ports = self.free_ports()
        self.seed_lists = []  # The operator's lists, each with the time of its begin.
        self.machines = []

    @property
    def seeds(self):
        """The operator's list: addresses of machines that serve control."""
        return self.seeds_before(0)

    @seeds.setter
    def seeds(self, addresses):
        self.seed_lists.append((time.monotonic(), list(addresses)))

    def seeds_before(self, lag_s):
        """@return the operator's list of `lag_s` ago, or the first one."""
        end = time.monotonic() - lag_s
        lists = self.seed_lists or [(0, [])]
        return next((addresses for begun, addresses in reversed(lists) if begun <= end),
                    lists[0][1])

    def free_ports(self):
        """Ports that are free on the first addresses of this fleet."""
        names = ["frontend", "readiness", "control_plane", "registry", "internal"]
        found, held = {}, []
        for name in names:
            sock = socket.socket()
            sock.bind((f"{self.prefix}.1", 0))
            found[name] = sock.getsockname()[1]
            held.append(sock)
        for sock in held:
            sock.close()
        return found

    def note(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.begun:8.3f} s  {text}"
            print(line, flush=True)
            self.record.write(line + "\n")
            self.record.flush()

    def add(self, name, role, zone):
        machine = Machine(self, name, role, f"{self.prefix}.{len(self.machines) + 1}", zone)
        self.machines.append(machine)
        return machine

    def call(self, method, machine, port, path, body=None, timeout=1.0, headers=None):
        """One call; the status and the body, or 0 and the reason without an answer."""
        connection = http.client.HTTPConnection(machine.ip, self.ports[port], timeout=timeout)
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data,
                               dict(headers or {},
                                    **({"Content-Type": "application/json"} if data else {})))
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            return 0, type(error).__name__.encode()
        finally:
            connection.close()

    def replace(self, machines, document, tries_s=ACK_S, note=True):
        """Sends a configuration like the operator: the same again, to the next
        machine, until one acknowledges it.  @return the machine that did."""
        end = time.monotonic() + tries_s
        turn = 0
        while True:
            machine = machines[turn % len(machines)]
            status, body = self.call("POST", machine, "control_plane", "/api/config/replace",
                                     document)
            if note or status != 200:
                self.note(f"operator: version {document['version']} to {machine.name}: "
                          f"{status or body.decode()} "
                          f"{body[:160].decode(errors='replace') if status not in (0, 200) else ''}")
            if status == 200:
                return machine
            if 400 <= status < 500 or time.monotonic() > end:
                return None
            turn += 1
            time.sleep(min(0.5, 0.05 * 2 ** turn))

    def fetch(self, machine, note=True):
        """@return the version that a machine answers, or None."""
        status, body = self.call("GET", machine, "control_plane", "/api/config/fetch")
        version = json.loads(body).get("version") if status == 200 else None
        if note:
            self.note(f"operator: read at {machine.name}: "
                      f"{status or body.decode()}{f', version {version}' if version else ''}")
        return version

    def close(self):
        for machine in self.machines:
            if machine.alive():
                if machine.stopped:
                    machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def document(version, service="app", padding=0):
    """A valid configuration in the form of the example in PROTOCOL.md."""
    return {
        "version": version,
        "route_table": [
            {"name": "r", "hostname": "h.example", "path_prefix": "/a/",
             "route_type": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 150,
             "priority": 2, "backend": service, "max_attempts": 1, "public": False}],
        "backends": [{"name": service, "health_check": "/healthz", "max_connections": 110,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t", "api_keys": ["k1"], "priority": 1}],
    }


def run(case, record_path):
    """Runs `case(fleet, trouble)`, which returns what broke the rule, and ends
    with the status that the issue names."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None
    try:
        fleet = Fleet(record_path)
        fleet.note(f"TROUBLE={int(trouble)}")
        broken = case(fleet, trouble)
        for line in broken:
            fleet.note("BROKEN: " + line)
        fleet.note("the rule was broken" if broken else "the rule held")
        status = 1 if broken else 0
    except CannotRun as error:
        if fleet is not None:
            fleet.note(f"cannot run: {error}")
        print("cannot run:", error)
        status = 2
    finally:
        if fleet is not None:
            fleet.close()
    raise SystemExit(status)
