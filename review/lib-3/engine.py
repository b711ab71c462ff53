"""A backend server of a service without streams, as PROTOCOL.md tells.

Prints a line for each request that it begins, ends or rejects.
Settings (JSON, first argument): id, ip, port, backend, slots, zone, controls,
work_ms, and those of the cases.
"""
import hashlib
import json
import os
import random
import socket
import sys
import threading
import time

from fleet import Reader, call

SETTINGS = json.loads(sys.argv[1])
BORN = int(time.time() * 1000)
LOCK = threading.Lock()
SLOTS = threading.Semaphore(SETTINGS["slots"])
RUNNING = [0]
RANDOM = random.Random(SETTINGS["id"])


def say(what, **fields):
    fields["what"] = what
    os.write(1, (json.dumps(fields) + "\n").encode())


def beat():
    sequence = 0
    controls = SETTINGS["controls"]
    while True:
        sequence += 1
        body = json.dumps({
            "backend": SETTINGS["backend"], "address": "%s:%d" % (SETTINGS["ip"], SETTINGS["port"]),
            "zone": SETTINGS["zone"], "version": "v1", "slots": SETTINGS["slots"],
            "state": "ready", "warmup_left_ms": 0, "sequence": sequence, "born": BORN})
        for attempt in range(len(controls)):
            ip, port = controls[(sequence + attempt) % len(controls)].split(":")
            try:
                status, _, _ = call((ip, int(port)), "POST",
                                    "/api/instances/%s/heartbeat" % SETTINGS["id"], body, timeout=1.0)
            except (OSError, ValueError):
                continue
            if status // 100 == 2:
                say("beat", sequence=sequence, born=BORN)
                break
        time.sleep(1.2)


def answer(sock, status, reason, headers, body, spoiled=""):
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % item for item in headers.items()]
    if spoiled == "framing":
        lines.append("Transfer-Encoding : chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append("Content-Length: %d" % len(body))
    head = "\r\n".join(lines) + "\r\n\r\n"
    if spoiled == "name":
        head = head.replace("Instance-Load:", "Instance Load:")
    sock.sendall(head.encode() + body)


class SlowReader(Reader):
    """Reads a body at `read_rate` bytes a second."""

    def more(self):
        rate = SETTINGS["read_rate"]
        data = self.sock.recv(max(1, rate // 20))
        if not data:
            raise ConnectionError("closed")
        self.buffer += data
        time.sleep(len(data) / rate)


def serve(sock):
    if "read_rate" in SETTINGS:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = SlowReader(sock) if "read_rate" in SETTINGS else Reader(sock)
    try:
        while True:
            first, headers = reader.head()
            body = reader.body(headers, False)
            if len(first.split(" ")) != 3:
                answer(sock, 400, "Bad Request", {"X-Sycamorebend-Not-Executed": "1",
                                                  "Connection": "close"}, b"")
                return
            method, path, _ = first.split(" ")
            request = headers.get("x-sycamorebend-request-id", "")
            fields = {"X-Sycamorebend-Request-Id": request, "Keep-Alive": "timeout=15",
                      "X-Sycamorebend-Instance-Load": "%d,0,%d" % (RUNNING[0], SETTINGS["slots"])}
            if path == "/healthz":
                fields["X-Sycamorebend-Instance-Id"] = SETTINGS["id"]
                answer(sock, 200, "OK", fields, b"")
                continue
            expected = headers.get("x-sycamorebend-expect-instance", SETTINGS["id"])
            if expected != SETTINGS["id"]:
                say("rejected", id=request, status=421)
                fields["X-Sycamorebend-Not-Executed"] = "1"
                answer(sock, 421, "Misdirected Request", fields, b"")
                continue
            with SLOTS:
                with LOCK:
                    RUNNING[0] += 1
                say("begin", id=request, path=path, bytes=len(body),
                    body=hashlib.sha256(body).hexdigest()[:16],
                    tenant=headers.get("x-sycamorebend-tenant", ""))
                time.sleep(SETTINGS.get("work_ms", 30) / 1000)
                with LOCK:
                    RUNNING[0] -= 1
                say("end", id=request)
            fields["X-Sycamorebend-Response-Signature"] = "%s.%s" % (SETTINGS["id"], request)
            if SETTINGS.get("stream"):
                fields["Content-Type"] = "text/event-stream"
                head = "HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n" % "\r\n".join(
                    "%s: %s" % item for item in fields.items())
                sock.sendall(head.encode())
                if method != "HEAD":
                    for number in range(1, 4):
                        event = b"id: %d\ndata: part\n\n" % number
                        sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                    sock.sendall(b"0\r\n\r\n")
                continue
            spoiled = ""
            if RANDOM.random() < SETTINGS.get("spoil", 0):
                spoiled = RANDOM.choice(["name", "framing"])
                say("spoiled", id=request, how=spoiled)
            answer(sock, 200, "OK", fields, ("done " + request).encode() + b"." * 780, spoiled)
    except (OSError, ValueError):
        pass
    finally:
        sock.close()


def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((SETTINGS["ip"], SETTINGS["port"]))
    listener.listen(256)
    threading.Thread(target=beat, daemon=True).start()
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
