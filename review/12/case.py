"""A frozen gateway answers 503 for an order that it had passed on."""
import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
import fleet  # noqa: E402

CLIENTS = 80
ROUNDS = 10
FREEZE_S = 1.5
TIMEOUT_MS = 1200
DEADLINE_MS = 2500
PROMISES = (408, 421, 429, 503)

CONFIGURATION = {
    "version": 1,
    "route_table": [{
        "name": "r-order", "hostname": "desk.example", "path_prefix": "/order/",
        "route_type": "non_idempotent", "timeout_ms": TIMEOUT_MS, "target_latency_ms": 150,
        "priority": 2, "backend": "desk", "max_attempts": 1, "public": True,
        "session_affinity": False, "stream_resume": False}],
    "backends": [{"name": "desk", "health_check": "/healthz", "max_connections": 110,
                  "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Client:
    """Sends orders one after the other; keeps its connection."""

    def __init__(self, address, number, record, answers):
        self.address, self.number, self.record, self.answers = address, number, record, answers
        self.sock = None
        self.sent = 0

    def prepare(self):
        self.sent += 1
        self.request = "%04x%012x" % (self.number, self.sent)
        if self.sock is None:
            self.sock = socket.create_connection(self.address, timeout=1.0)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        headers = {"Host": "desk.example", "X-Sycamorebend-Request-Id": self.request,
                   "X-Sycamorebend-Deadline-Ms": str(DEADLINE_MS)}
        self.text = fleet.request_bytes("POST", "/order/new", headers, b"x" * 600)

    def send(self):
        self.began = time.monotonic()
        self.sock.settimeout(DEADLINE_MS / 1000)
        self.sock.sendall(self.text)

    def receive(self):
        try:
            status, fields, _ = fleet.Reader(self.sock).response()
            retry_after = fields.get("retry-after", "none")
            if fields.get("connection", "").lower() == "close":
                raise ConnectionError("to be closed")
        except (OSError, ValueError) as error:
            if not isinstance(error, ConnectionError) or "to be closed" not in str(error):
                status, retry_after = 0, repr(error)
            self.sock.close()
            self.sock = None
        self.record.note("client %d sent %s and gets %d after %.0f ms, Retry-After %s" % (
            self.number, self.request, status, (time.monotonic() - self.began) * 1000,
            retry_after))
        self.answers[self.request] = status


def case(record, trouble):
    net = fleet.Fleet(record)
    try:
        net.start()
        net.put(CONFIGURATION)
        engines = [fleet.Engine(net, "i-desk%d" % i, "127.61.20%d.1" % i, "desk", slots=20,
                                extra={"work_ms": 30}) for i in range(3)]
        for engine in engines:
            engine.wait_acknowledged()
        net.wait_ready()
        time.sleep(1)
        gateway = net.gateways[0]
        answers = {}
        address = (gateway.ip, net.caller_port)
        clients = [Client(address, i, record, answers) for i in range(CLIENTS)]
        first = threading.Event()

        def on_event(event):
            if event["what"] == "begin":
                first.set()

        for engine in engines:
            engine.on_event = on_event

        def together():
            """All clients send one order each at the same moment."""
            for client in clients:
                client.prepare()
            threads = [threading.Thread(target=client.receive) for client in clients]
            for client in clients:
                client.send()
            for thread in threads:
                thread.start()
            return threads

        def freeze_when_begun(number):
            if not first.wait(2):
                return
            gateway.signal(signal.SIGSTOP)
            record.note("freeze %d of %s" % (number + 1, gateway.name))
            time.sleep(FREEZE_S)
            gateway.signal(signal.SIGCONT)
            record.note("%s wakes" % gateway.name)

        for number in range(ROUNDS):
            # The connections to the engines are open and idle after this one.
            for thread in together():
                thread.join()
            time.sleep(0.5)
            freezer = threading.Thread(target=freeze_when_begun, args=(number,))
            first.clear()
            if trouble:
                freezer.start()
            threads = together()
            if trouble:
                freezer.join()
            for thread in threads:
                thread.join()
            time.sleep(0.5)
        time.sleep(1)
        if gateway.process.poll() is not None:
            raise fleet.CannotRun("the gateway ended")
        began = {event["id"] for engine in engines for event in engine.events
                 if event["what"] == "begin"}
        counts = {}
        for status in answers.values():
            counts[status] = counts.get(status, 0) + 1
        record.note("answers: %s" % counts)
        print("answers: %s" % counts)
        if counts.get(200, 0) < 100:
            raise fleet.CannotRun("too few orders were served")
        return ["REFUSED: %s got %d and has run" % (request, status)
                for request, status in sorted(answers.items())
                if status in PROMISES and request in began]
    finally:
        net.stop()


fleet.run_case(case, HERE)
