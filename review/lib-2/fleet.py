"""A small deployment of the two programs of deploy/system.toml on loopback.

Each machine has a loopback address of its own; ports are the same on all.
Settings come from the templates in deploy/, filled in as DEPLOY.md says.
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROL = os.path.join(ROOT, "target/bin/sycamorebend-platform-control")
GATEWAY = os.path.join(ROOT, "target/bin/sycamorebend-platform-gateway")
ENGINE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "engine.py")

# Of kit/more/system/sites/karoo-platen.toml (DEPLOY.md, settings of a process).
BOUNDS = {
    "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 56,
}


class CannotRun(Exception):
    """The case could not run; exit code 2."""


def monotonic():
    return time.clock_gettime(time.CLOCK_MONOTONIC)


def render(template, fields):
    """Fills in the placeholders and sections that the two templates use."""
    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                return None
        return value

    def section(match):
        return match.group(2) if look_up(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        name, as_json = match.group(1), match.group(2)
        found = look_up(name)
        if as_json:
            return json.dumps(found)
        if found is None:
            return ""
        return json.dumps(found) if isinstance(found, (bool, dict)) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, one line each, with seconds of the run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = monotonic()

    def line(self, text, at=None):
        with self.lock:
            at = monotonic() if at is None else at
            self.file.write("%9.3f %s\n" % (at - self.start, text))
            self.file.flush()


class Machine:
    def __init__(self, name, ip, program, settings, log):
        self.name, self.ip, self.program = name, ip, program
        self.settings, self.log = settings, log
        self.process = None

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
               "LANG": os.environ.get("LANG", "C"),
               "SYCAMOREBEND_SETTINGS": self.settings}
        with open(self.log, "a") as log:
            self.process = subprocess.Popen([self.program], cwd=ROOT, env=env,
                                            stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def wait(self, timeout=15):
        self.process.wait(timeout)


class Fleet:
    def __init__(self, record, controls=3, gateways=2, bounds=None, zones=("gt-a", "gt-b", "gt-c"),
                 tolerance=1, extra=None):
        for program in (CONTROL, GATEWAY):
            if not os.path.exists(program):
                raise CannotRun("missing " + program)
        self.record = record
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.zones = list(zones)
        self.tolerance = tolerance
        self.extra = extra or {}
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.net = "127.%d.%d" % (64 + os.getpid() % 128, os.getpid() // 128 % 250)
        self.next_ip = 1
        self.ports = {}
        probe_ip = self.net + ".1"
        for name in ("frontend", "readiness", "control_plane", "registry", "internal", "engine"):
            self.ports[name] = free_port(probe_ip)
        self.engines = []
        self.version = 0
        control_ips = [self.new_ip() for _ in range(controls)]
        gateway_ips = [self.new_ip() for _ in range(gateways)]
        self.seeds = control_ips[:3]
        self.controls = [self.machine("core-%d" % i, ip, "core", True) for i, ip in enumerate(control_ips)]
        self.gateways = [self.machine("edge-%d" % i, ip, "edge", True) for i, ip in enumerate(gateway_ips)]

    def new_ip(self):
        ip = "%s.%d" % (self.net, self.next_ip)
        self.next_ip += 1
        return ip

    def machine(self, name, ip, kind, bootstrap, seeds=None):
        zone = self.zones[int(name.split("-")[1]) % len(self.zones)]
        at = lambda port: "%s:%d" % (ip, self.ports[port])
        fields = {
            "node_name": name, "ip": ip, "zone": zone, "bootstrap": bootstrap,
            "listen": {"frontend": at("frontend"), "readiness": at("readiness")} if kind == "edge"
                      else {"control_plane": at("control_plane"), "registry": at("registry")},
            "internal_ports": [self.ports["internal"], self.ports["internal"]],
            "seed_nodes": ["%s:%d" % (seed, self.ports["control_plane"]) for seed in (seeds or self.seeds)],
            "limits": {"memory_mb": 260, "max_fds": 4100},
            "data_dir": os.path.join(self.directory, "disk-" + name),
            "fault_tolerance": {"nodes": self.tolerance, "zones": 0, "regions": 0},
            "bounds": self.bounds,
        }
        fields.update(self.extra)
        with open(os.path.join(ROOT, "deploy", "control.json" if kind == "core" else "gateway.json")) as file:
            text = render(file.read(), fields)
        settings = os.path.join(self.directory, name + ".settings")
        with open(settings, "w") as file:
            file.write(text)
        if kind == "core":
            os.makedirs(fields["data_dir"], exist_ok=True)
        return Machine(name, ip, CONTROL if kind == "core" else GATEWAY, settings,
                       os.path.join(self.directory, name + ".log"))

    def start(self):
        for machine in self.controls + self.gateways:
            machine.start()

    # -- operator ---------------------------------------------------------

    def post(self, ip, port, path, body, timeout=1.0):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        request = urllib.request.Request("http://%s:%d%s" % (ip, port, path), data=data, method="POST",
                                         headers={"Content-Type": "application/json"})
        try:
            with urllib.request.urlopen(request, timeout=timeout) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()
        except OSError:
            return 0, b""

    def get(self, ip, port, path, timeout=1.0):
        try:
            with urllib.request.urlopen("http://%s:%d%s" % (ip, port, path), timeout=timeout) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()
        except OSError:
            return 0, b""

    def replace(self, document, timeout=15):
        """Sends a configuration until it is acknowledged, as the operator does."""
        end = monotonic() + timeout
        while monotonic() < end:
            for control in self.controls:
                status, _ = self.post(control.ip, self.ports["control_plane"], "/api/config/replace", document)
                if status == 200:
                    self.record.line("operator: version %s acknowledged by %s" % (document["version"], control.name))
                    return True
                if status in (400, 409, 412, 413, 422):
                    self.record.line("operator: version %s refused with %s" % (document["version"], status))
                    return False
            time.sleep(0.2)
        raise CannotRun("no acknowledgement of the configuration")

    def ready(self, timeout=20):
        """Waits until the operator's configuration is in force at all gateways."""
        end = monotonic() + timeout
        for gateway in self.gateways:
            while self.get(gateway.ip, self.ports["readiness"], "/readyz", 0.5)[0] != 200:
                if monotonic() > end:
                    raise CannotRun("%s is not ready" % gateway.name)
                time.sleep(0.05)

    # -- engines ----------------------------------------------------------

    def engine(self, service, zone=0, options=None, ip=None):
        engine = Engine(self, service, self.zones[zone % len(self.zones)], options or {}, ip)
        self.engines.append(engine)
        return engine

    def stop(self):
        for engine in self.engines:
            engine.stop()
        for machine in self.controls + self.gateways:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.directory, ignore_errors=True)


class Engine:
    """A process of engine.py at one address; started again some seconds after it has crashed."""
    numbers = 0

    def __init__(self, fleet, service, zone, options, ip):
        self.fleet, self.service, self.zone, self.options = fleet, service, zone, options
        self.ip = ip or fleet.new_ip()
        self.address = "%s:%d" % (self.ip, fleet.ports["engine"])
        self.restart_after = options.get("restart_after")
        self.crashes = []
        self.process = None
        self.stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopped:
            Engine.numbers += 1
            self.id = "i-%04x%04x" % (Engine.numbers, random.randrange(65536))
            options = dict(self.options, id=self.id, address=self.address, service=self.service, zone=self.zone,
                           control=["%s:%d" % (c.ip, self.fleet.ports["control_plane"]) for c in self.fleet.controls])
            self.process = subprocess.Popen([sys.executable, ENGINE, json.dumps(options)],
                                            stdout=subprocess.PIPE, text=True)
            for line in self.process.stdout:
                at, _, text = line.rstrip("\n").partition(" ")
                self.on_line(float(at), text)
            self.process.wait()
            if self.stopped:
                return
            self.crashes.append(monotonic())
            self.fleet.record.line("engine %s ended" % self.id)
            if self.restart_after is None:
                return
            time.sleep(self.restart_after)

    def on_line(self, at, text):
        if not self.quiet or text == "registered":
            self.fleet.record.line("engine %s %s" % (self.id, text), at)
        hook = self.options_hook
        if hook is not None:
            hook(self, at, text)

    options_hook = None
    # Set by a case that records by itself what engines do.
    quiet = False

    def stop(self):
        self.stopped = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# -- callers ------------------------------------------------------------------

class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.note = 0, {}, b"", False, ""


def read_answer(file):
    answer = Answer()
    line = file.readline()
    if not line:
        answer.note = "closed"
        return answer
    answer.status = int(line.split()[1])
    while True:
        line = file.readline()
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.status == 100:
        return read_answer(file)
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = file.readline()
            if not size.endswith(b"\n"):
                answer.note = "cut"
                return answer
            count = int(size.split(b";")[0], 16)
            data = file.read(count + 2)
            if len(data) < count + 2:
                answer.body += data
                answer.note = "cut"
                return answer
            if count == 0:
                answer.whole = True
                return answer
            answer.body += data[:-2]
    length = answer.headers.get("content-length")
    if length is not None:
        answer.body = file.read(int(length))
        answer.whole = len(answer.body) == int(length)
    else:
        answer.body = file.read()
        answer.whole = True
    if not answer.whole:
        answer.note = "cut"
    return answer


def request(address, method, path, request_id, headers=(), body=b"", host="h.example", deadline_ms=5000,
            timeout=None):
    """One attempt of a client on a connection of its own."""
    ip, _, port = address.partition(":")
    text = ["%s %s HTTP/1.1" % (method, path), "Host: " + host, "X-Sycamorebend-Request-Id: " + request_id,
            "X-Sycamorebend-Deadline-Ms: %d" % deadline_ms, "Connection: close"]
    text += ["%s: %s" % header for header in headers]
    if body or method == "POST":
        text.append("Content-Length: %d" % len(body))
    answer = Answer()
    try:
        with socket.create_connection((ip, int(port)), timeout=1.0) as connection:
            connection.settimeout(timeout or deadline_ms / 1000.0)
            connection.sendall("\r\n".join(text).encode("latin-1") + b"\r\n\r\n" + body)
            with connection.makefile("rb") as file:
                return read_answer(file)
    except (OSError, ValueError, IndexError) as error:
        answer.note = type(error).__name__
        return answer


def main(case):
    """Runs `case(record, trouble)`, which returns a text if the rule was broken, and exits."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def end(number, frame):
        raise CannotRun("ended by signal %d" % number)
    signal.signal(signal.SIGTERM, end)
    try:
        broken = case(record, trouble)
    except CannotRun as error:
        record.line("cannot run: %s" % error)
        print("cannot run: %s" % error)
        sys.exit(2)
    text = "BROKEN: " + broken if broken else "held"
    record.line(text)
    print(text)
    sys.exit(1 if broken else 0)
