"""Starts the two programs of the deploy file on loopback addresses.

Only the standard library is used. Each machine has its own address in
127.0.0.0/8, as ports are the same on all machines.
"""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(ROOT, "target/bin/sycamorebend-platform-gateway")
CONTROL = os.path.join(ROOT, "target/bin/sycamorebend-platform-control")


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """The file in which a case notes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def note(self, text):
        with self.lock:
            self.file.write("%9.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template, fields):
    """Fills in a template as DEPLOY.md tells; sections are left out or kept once."""
    with open(os.path.join(ROOT, "deploy", template), encoding="utf-8") as file:
        text = file.read()

    def section(match):
        value = lookup(fields, match.group(1))
        return match.group(2) if value not in (None, False) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def field(match):
        name, as_json = match.group(1), match.group(2)
        value = lookup(fields, name)
        if as_json:
            return json.dumps(value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", field, text)


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_slack_ms": 250, "partition_max_ms": 5000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 56,
    "recovery_s": 12, "ttl_max_s": 5,
}


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Machine:
    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.directory = os.path.join(fleet.directory, name)
        self.data = os.path.join(self.directory, "data")
        os.makedirs(self.data)
        self.settings = os.path.join(self.directory, "settings")
        self.process = None

    def write_settings(self, bootstrap, seeds):
        fleet = self.fleet
        edge = self.role == "gateway"
        fields = {
            "node_name": self.name, "ip": self.ip, "zone": self.zone,
            "listen": {
                "frontend": "%s:%d" % (self.ip, fleet.caller_port),
                "readiness": "%s:%d" % (self.ip, fleet.admin_port),
                "control_plane": "%s:%d" % (self.ip, fleet.api_port),
                "registry": "%s:%d" % (self.ip, fleet.directory_port)},
            "internal_ports": [fleet.internal_port, fleet.internal_port],
            "seed_nodes": ["%s:%d" % (ip, fleet.api_port) for ip in seeds],
            "bootstrap": bootstrap, "data_dir": None if edge else self.data,
            "fault_tolerance": {"nodes": fleet.tolerated, "zones": 0, "regions": 0},
            "limits": {"memory_mb": fleet.memory_mb, "max_fds": 4100},
            "bounds": BOUNDS}
        text = render("gateway.json" if edge else "control.json", fields)
        # Which port the metrics have is fixed in the template, on the machine's own address.
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.rename(self.settings + ".new", self.settings)

    def start(self):
        log = open(os.path.join(self.directory, "log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.directory,
                       "LANG": "C", "SYCAMOREBEND_SETTINGS": self.settings}
        program = GATEWAY if self.role == "gateway" else CONTROL
        self.process = subprocess.Popen([program], cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def log(self):
        with open(os.path.join(self.directory, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Fleet:
    def __init__(self, record, cores=3, gateways=1, memory_mb=260, net="127.61", tolerated=1):
        for program in (GATEWAY, CONTROL):
            if not os.access(program, os.X_OK):
                raise CannotRun("%s is not built" % program)
        self.record, self.memory_mb, self.tolerated = record, memory_mb, tolerated
        self.directory = tempfile.mkdtemp(prefix="review-3-")
        (self.caller_port, self.admin_port, self.api_port, self.directory_port,
         self.internal_port) = free_ports(5)
        zones = ["a", "b", "c"]
        self.cores = [Machine(self, "core-%d" % i, "control", "%s.%d.1" % (net, 10 + i),
                              zones[i % 3]) for i in range(cores)]
        self.gateways = [Machine(self, "edge-%d" % i, "gateway", "%s.%d.1" % (net, 100 + i),
                                 zones[i % 3]) for i in range(gateways)]
        self.engines = []
        seeds = [core.ip for core in self.cores[:3]]
        for machine in self.cores + self.gateways:
            machine.write_settings(True, seeds)

    def start(self):
        for machine in self.cores + self.gateways:
            machine.start()

    def control(self, index=0):
        return self.cores[index].ip, self.api_port

    def put(self, configuration, tries=100):
        """Sends a configuration as the operator does, until it is acknowledged."""
        for attempt in range(tries):
            core = attempt % len(self.cores)
            try:
                status, _, body = call(self.control(core), "POST", "/api/config/replace",
                                       json.dumps(configuration), timeout=1.0)
            except OSError as error:
                status, body = 0, str(error)
            if status == 200:
                self.record.note("operator: version %d acknowledged by %s" % (
                    configuration["version"], self.cores[core].name))
                return
            if status in (400, 409, 412, 413, 422):
                raise CannotRun("configuration refused: %d %s" % (status, body))
            time.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    def wait_ready(self, seconds=30):
        end = time.monotonic() + seconds
        for gateway in self.gateways:
            while True:
                try:
                    status, _, _ = call((gateway.ip, self.admin_port), "GET", "/readyz",
                                        timeout=1.0)
                except OSError:
                    status = 0
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun("%s is not ready" % gateway.name)
                time.sleep(0.1)

    def stop(self):
        for engine in self.engines:
            engine.stop()
        for machine in self.cores + self.gateways:
            if machine.process is not None:
                machine.signal(signal.SIGCONT)
                machine.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def more(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def line(self):
        while b"\n" not in self.buffer:
            self.more()
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r").decode("latin-1")

    def exactly(self, count):
        while len(self.buffer) < count:
            self.more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        first = self.line()
        headers = {}
        while True:
            line = self.line()
            if not line:
                return first, headers
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()

    def body(self, headers, response):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while True:
                size = int(self.line().split(";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return data
                data += self.exactly(size)
                self.exactly(2)
        if "content-length" in headers:
            return self.exactly(int(headers["content-length"]))
        if not response:
            return b""
        data = self.buffer
        self.buffer = b""
        while True:
            more = self.sock.recv(65536)
            if not more:
                return data
            data += more

    def response(self, no_body=False):
        first, headers = self.head()
        status = int(first.split()[1])
        return status, headers, b"" if no_body else self.body(headers, True)


def request_bytes(method, path, headers, body=b""):
    if isinstance(body, str):
        body = body.encode()
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % item for item in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def call(address, method, path, body=b"", headers=None, timeout=5.0):
    """One call on its own connection: status, headers, body."""
    with socket.create_connection(address, timeout=timeout) as sock:
        sock.settimeout(timeout)
        fields = {"Host": "%s:%d" % address, "Connection": "close"}
        if body:
            fields["Content-Type"] = "application/json"
        fields.update(headers or {})
        sock.sendall(request_bytes(method, path, fields, body))
        return Reader(sock).response()


class Engine:
    """A backend server: a separate process that announces itself."""

    def __init__(self, fleet, name, ip, backend, slots=6, extra=None):
        self.fleet, self.name, self.ip, self.backend = fleet, name, ip, backend
        self.port = free_ports(1)[0]
        self.address = "%s:%d" % (ip, self.port)
        self.events = []
        self.on_event = None
        settings = {"id": name, "ip": ip, "port": self.port, "backend": backend, "slots": slots,
                    "zone": "a", "controls": ["%s:%d" % (core.ip, fleet.api_port)
                                              for core in fleet.cores]}
        settings.update(extra or {})
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "engine.py")
        self.process = subprocess.Popen([sys.executable, "-u", script, json.dumps(settings)],
                                        stdout=subprocess.PIPE, stdin=subprocess.DEVNULL)
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()
        fleet.engines.append(self)

    def read(self):
        for line in self.process.stdout:
            event = json.loads(line)
            if self.on_event is not None:
                self.on_event(event)
            event["at"] = time.monotonic()
            self.events.append(event)
            if event["what"] != "beat":
                self.fleet.record.note("engine %s: %s" % (self.name, json.dumps(event)))

    def wait_acknowledged(self, seconds=15):
        end = time.monotonic() + seconds
        while not any(event["what"] == "beat" for event in self.events):
            if time.monotonic() > end:
                raise CannotRun("engine %s was not acknowledged" % self.name)
            time.sleep(0.05)

    def born(self):
        return next(event["born"] for event in self.events if event["what"] == "beat")

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def run_case(case, folder):
    """Runs `case(record, trouble)`, which returns a list of broken rules; exits as the issue says."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("disruption: %s" % ("yes" if trouble else "no"))
    try:
        broken = case(record, trouble)
    except CannotRun as error:
        record.note("could not run: %s" % error)
        print("could not run: %s" % error)
        sys.exit(2)
    except Exception as error:  # a stand-in failed: the case says nothing
        record.note("could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(2)
    for line in broken:
        record.note("BROKEN: %s" % line)
        print("broken: %s" % line)
    record.note("result: %s" % ("broken" if broken else "held"))
    print("result: %s" % ("broken" if broken else "held"))
    sys.exit(1 if broken else 0)
