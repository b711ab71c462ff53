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
CONTACT_S = 3.0
ACK_S = 4.0
CATCH_UP_S = 4.0
GRACE_S = 8.0
CONFIG_APPLY_S = 2.0
RECOVERY_S = 12.0


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


def render(template, fields):
    """Fills in a template as DEPLOY.md tells; only plain placeholders are used."""
    with open(os.path.join(ROOT, template), encoding="utf-8") as file:
        text = file.read()

    def value(match):
        path, _, form = match.group(1).partition("|")
        current = fields
        for part in path.split("."):
            current = current[int(part)] if isinstance(current, list) else current[part]
        if form == "json" or isinstance(current, (bool, dict, list)):
            return json.dumps(current)
        return str(current)

    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Machine:
    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.folder = os.path.join(fleet.folder, name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.folder)
        self.process = None
        self.stopped = False
        self.exits = 0

    def start(self, bootstrap=False):
        """Places the settings file and starts the program, as at every start."""
        fleet = self.fleet
        if self.role == "control":
            os.makedirs(self.data, exist_ok=True)
        ports = fleet.ports
        fields = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "listen": {
                "frontend": f"{self.ip}:{ports['frontend']}",
                "readiness": f"{self.ip}:{ports['readiness']}",
                "control_plane": f"{self.ip}:{ports['control_plane']}",
                "registry": f"{self.ip}:{ports['registry']}",
            },
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seed_nodes": [f"{ip}:{ports['control_plane']}" for ip in fleet.seeds],
            "bootstrap": bootstrap,
            "data_dir": self.data if self.role == "control" else None,
            "fault_tolerance": {"nodes": 1, "zones": 0, "regions": 0},
            "bounds": {"grace_s": GRACE_S, "retry_budget_ratio": 0.2, "budget_slack": 56},
        }
        command, template = fleet.commands[self.role]
        settings = os.path.join(self.folder, "settings")
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
        self.seeds = []
        self.machines = []

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

    def call(self, method, machine, port, path, body=None, timeout=1.0):
        """One call; the status and the body, or 0 and the reason without an answer."""
        connection = http.client.HTTPConnection(machine.ip, self.ports[port], timeout=timeout)
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data,
                               {"Content-Type": "application/json"} if data else {})
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
