"""Case: a request is run with a part of its body, as its client left while it was read.

See claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import hashlib
import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
CLIENTS = 90
SHARE_THAT_LEAVES = 0.3
LEAVE_WITHIN_S = 0.0625  # half of the objective of 125 ms
GIVE_UP_S, CALM_S, TIMES = 4.0, 2.0, 6  # length of each give_up, the pause after it, how often
PAUSE_S = (0.7, 1.3)
LINES = 100  # 3,500 bytes; the site's bodies have 3,600 at most
DEADLINE_MS = 600


def configuration():
    """Return the configuration: the route of closure-log of the site."""
    route = {
        "name": "r-closure",
        "host": HOST,
        "path_prefix": "/closures/",
        "route_kind": "non_idempotent",
        "timeout_ms": 600,
        "goal_ms": 125,
        "priority": 2,
        "service": "field-app",
        "max_attempts": 1,
        "anonymous": False,
    }
    config = {
        "version": 7,
        "routes": [route],
        "services": [{"name": "field-app", "health_path": "/healthz", "max_connections": 48}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }
    return json.dumps(config).encode()


def body_lines(request):
    """Return the lines of a body, which the client sends as a chunk each."""
    mark = hashlib.sha256(request.encode()).hexdigest()[:8]
    return [f'{{"cover":"{mark}{n:03d}","state":"c"}}\n'.encode() for n in range(LINES)]


async def send(daemon, request, leaves, seen):
    """Send one request; a client that leaves closes its connection soon after the last byte."""
    reader, writer = await asyncio.open_connection(daemon.ip, daemon.front_port)
    lines = body_lines(request)
    head = (
        f"POST /closures/1 HTTP/1.1\r\nhost: {HOST}\r\ncorianderhaven-attempt-id: {request}\r\n"
        f"corianderhaven-deadline-ms: {DEADLINE_MS}\r\nauthorization: Bearer {KEY}\r\n"
        "transfer-encoding: chunked\r\n\r\n"
    )
    one = seen[request] = {"body": b"".join(lines), "left": leaves, "status": None}
    try:
        chunks = [b"%x\r\n%s\r\n" % (len(line), line) for line in lines]
        writer.write(head.encode() + b"".join(chunks) + b"0\r\n\r\n")
        await writer.drain()
        if leaves:
            await asyncio.sleep(random.uniform(0.0, LEAVE_WITHIN_S))
            return
        line, _, _ = await asyncio.wait_for(standins.read_message(reader), 1.0)
        one["status"] = int(line.split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        one["status"] = repr(error)
    finally:
        writer.close()


async def run_client(number, daemons, seen, begun):
    """Send requests to one daemon after the other, each on a connection of its own."""
    count = 0
    while time.monotonic() - begun < TIMES * (GIVE_UP_S + CALM_S):
        await asyncio.sleep(random.uniform(*PAUSE_S))
        count += 1
        now = time.monotonic() - begun
        given_up = now % (GIVE_UP_S + CALM_S) < GIVE_UP_S
        leaves = TROUBLE and given_up and number < SHARE_THAT_LEAVES * CLIENTS
        request = f"c{number:02d}-{count:04d}"
        await send(daemons[(number + count) % len(daemons)], request, leaves, seen)


async def play(folder, log):
    """Play the case and return its exit code."""
    store = await standins.Store().start()
    store.put("op/config", configuration())
    zones = ("plateau", "pikine", "rufisque")
    workers = [
        await standins.Worker(f"i-{n:08x}", "field-app", zone, store).start()
        for n, zone in enumerate(zones, 0x7F3A91C2)
    ]
    daemons = [
        standins.Daemon(f"edge-{zone}-{n}", zone, f"127.0.0.{n + 20}", store.address, folder)
        for n, zone in enumerate(("plateau", *zones))
    ]
    try:
        for daemon in daemons:
            daemon.start()
        await standins.wait_ready(daemons)
        await asyncio.sleep(2.0)
        seen = {}
        begun = time.monotonic()
        await asyncio.gather(*(run_client(n, daemons, seen, begun) for n in range(CLIENTS)))
        await asyncio.sleep(1.0)
        return judge(log, workers, seen)
    finally:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for daemon in daemons:
            daemon.kill()
        for worker in workers:
            worker.close()
        store.close()


def describe(body):
    """Return the length and a digest of a body."""
    return f"{len(body)} bytes {hashlib.sha256(body).hexdigest()[:12]}"


def judge(log, workers, seen):
    """Write down what was seen and return the exit code."""
    ran = {}
    for worker in workers:
        for request, bodies in worker.bodies.items():
            ran.setdefault(request, []).extend((worker.id, body) for body in bodies)
    changed = unasked = 0
    for request, one in sorted(seen.items()):
        runs = ran.get(request, [])
        wrong = [body for _, body in runs if body != one["body"]]
        changed += bool(wrong)
        log(
            f"{request} sent {describe(one['body'])}, client {'left' if one['left'] else 'stayed'}"
            f", answer {one['status']}, run: {[f'{w} {describe(b)}' for w, b in runs]}"
            + (" BODY CHANGED" if wrong else "")
        )
        if wrong:
            log(f"  the worker's body begins with {wrong[0][:60]!r}")
    unasked = len(set(ran) - set(seen))
    left = [request for request, one in seen.items() if one["left"]]
    log(f"requests: {len(seen)}, of clients that left: {len(left)}")
    log(f"of these, run at all: {sum(request in ran for request in left)}")
    log(f"run with a changed body: {changed}; run with an id that no client sent: {unasked}")
    return 1 if changed or unasked else 0


def main():
    """Run the case and return its exit code."""
    standins.end_on_sigterm()
    started = time.monotonic()
    with (FOLDER / "record.txt").open("w", encoding="utf-8") as record:

        def log(text):
            record.write(f"{time.monotonic() - started:7.2f} {text}\n")
            record.flush()

        log(f"TROUBLE={int(TROUBLE)}")
        try:
            with tempfile.TemporaryDirectory() as folder:
                code = asyncio.run(play(folder, log))
        except (Exception, KeyboardInterrupt) as error:  # the case couldn't run
            log(f"couldn't run: {error!r}")
            code = 2
        log(f"exit code {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
