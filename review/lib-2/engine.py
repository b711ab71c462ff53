"""A stand-in for an engine, as PROTOCOL.md describes it. Prints what it runs.

Options (JSON, first argument): id, address, service, zone, control, slots;
fail_share: share of the requests that end with a 500 of its own;
work_ms, events, event_ms; crash: "first_event" or "start" - a request whose
body begins with POISON ends the process after its first event, or when it
begins to run.
"""
import asyncio
import json
import os
import random
import sys
import time
import urllib.request

options = json.loads(sys.argv[1])
ID = options["id"]
IP, _, PORT = options["address"].partition(":")
BORN = int(time.time() * 1000)
running = 0


def say(text):
    sys.stdout.write("%.4f %s\n" % (time.clock_gettime(time.CLOCK_MONOTONIC), text))
    sys.stdout.flush()


def beat(state):
    """Calls the next daemon until one acknowledges."""
    beat.sequence += 1
    body = {"backend": options["service"], "address": options["address"], "zone": options["zone"], "version": "v1",
            "slots": options.get("slots", 32), "state": state, "warmup_left_ms": 0, "sequence": beat.sequence,
            "born": BORN}
    for _ in options["control"]:
        address = options["control"][beat.next % len(options["control"])]
        request = urllib.request.Request("http://%s/api/instances/%s/heartbeat" % (address, ID),
                                         data=json.dumps(body).encode(), method="POST",
                                         headers={"Content-Type": "application/json"})
        try:
            with urllib.request.urlopen(request, timeout=1.0) as response:
                if response.status // 100 == 2:
                    if not beat.known:
                        beat.known = True
                        say("registered")
                    return True
        except OSError:
            pass
        beat.next += 1
    return False


beat.sequence = 0
beat.known = False
beat.next = random.randrange(16)


async def beats():
    loop = asyncio.get_running_loop()
    while True:
        done = await loop.run_in_executor(None, beat, "ready")
        await asyncio.sleep(1.2 if done else 0.2)


def head(status, request_id, extra, close=False):
    lines = ["HTTP/1.1 %d X" % status, "X-Sycamorebend-Response-Signature: %s.%s" % (ID, request_id),
             "X-Sycamorebend-Instance-Load: %d,0,%d" % (running, options.get("slots", 32)), "Keep-Alive: timeout=10"]
    if request_id:
        lines.append("X-Sycamorebend-Request-Id: " + request_id)
    return ("\r\n".join(lines + extra) + "\r\n\r\n").encode()


async def serve(reader, writer):
    global running
    try:
        while True:
            line = await reader.readline()
            if not line:
                return
            method, path, _ = line.decode("latin-1").split(" ", 2)
            headers = {}
            while True:
                line = await reader.readline()
                if line in (b"\r\n", b""):
                    break
                name, _, value = line.decode("latin-1").partition(":")
                headers[name.lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            request_id = headers.get("x-sycamorebend-request-id", "")
            say("arrives %s %s %s" % (request_id, method, path))
            if headers.get("x-sycamorebend-expect-instance", ID) != ID:
                writer.write(head(421, request_id, ["X-Sycamorebend-Not-Executed: 1", "Content-Length: 0"]))
                await writer.drain()
                continue
            running += 1
            say("runs %s" % request_id)
            try:
                await run(writer, path, headers, body, request_id)
            finally:
                running -= 1
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()


async def run(writer, path, headers, body, request_id):
    poison = body.startswith(b"POISON") and options.get("crash")
    if poison and options["crash"] == "start":
        say("crashes with %s" % request_id)
        os._exit(1)
    await asyncio.sleep(options.get("work_ms", 20) / 1000.0)
    if random.random() < options.get("fail_share", 0):
        writer.write(head(500, request_id, ["Content-Length: 0"]))
        await writer.drain()
        say("ended %s 500" % request_id)
        return
    if path.startswith("/stream/"):
        first = int(headers.get("last-event-id", 0)) + 1
        writer.write(head(200, request_id, ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]))
        for number in range(first, options.get("events", 10) + 1):
            event = b"id: %d\ndata: piece %d of %s\n\n" % (number, number, request_id.encode())
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(options.get("event_ms", 20) / 1000.0)
            if poison:
                say("crashes with %s" % request_id)
                os._exit(1)
        writer.write(b"0\r\n\r\n")
    else:
        data = b"answer to %s by %s" % (request_id.encode(), ID.encode())
        writer.write(head(200, request_id, ["Content-Length: %d" % len(data)]) + data)
    await writer.drain()
    say("ended %s 200" % request_id)


async def main():
    server = await asyncio.start_server(serve, IP, int(PORT))
    asyncio.get_running_loop().create_task(beats())
    async with server:
        await server.serve_forever()


asyncio.run(main())
