"""Demonstrate requests through two daemons against a small stand-in of the hosting platform.

The store, engines and plain workers run in this process; each daemon is a separate process.
Requests of each kind go through both daemons while a replica loses a member and the store is
unavailable. Exits with 0 if every request was answered completely, no non-idempotent operation
ran twice, no replica rule was violated and both daemons stopped with exit code 0.
"""

import asyncio
import sys
import tempfile

from corianderhaven.common import ClientConnection, ConnectionLostError
from corianderhaven.standins import HostedDaemonProcess, HostingSite, small_models

REQUESTS = 60
READY_S = 20.0


async def send_request(address, number):
    """Send request `number` and return whether its answer was complete."""
    kind = ("draft", "status", "issue")[number % 3]
    headers = [
        ("host", "site.example"),
        ("corianderhaven-attempt-id", f"demo-{number}"),
        ("corianderhaven-deadline-ms", "4000"),
        ("authorization", "Bearer key-a"),
    ]
    method, body = "GET", b""
    if kind != "status":
        method, body = "POST", b"{}"
        headers.append(("content-length", "2"))
    if kind == "draft":
        headers += [
            ("corianderhaven-model", ("small", "large")[number % 2]),
            ("corianderhaven-token-count", "100,40"),
        ]
    connection = await ClientConnection.open(address, 1000)
    try:
        await connection.send(method, f"/{kind}/{number}", headers, body)
        head = await connection.read_head()
        answer = await connection.read_body()
        events = answer.count(b"id: ")
        return head.status == 200 and (kind != "draft" or events == 8)
    except ConnectionLostError:
        return False
    finally:
        connection.close()


async def wait_until_served(site, daemons):
    """Wait until the daemons are ready and each model has an open replica."""
    async with asyncio.timeout(READY_S):
        while not all([await d.is_ready() for d in daemons]) or not serves_all(site):
            await asyncio.sleep(0.1)


def serves_all(site):
    """Return whether each model has an open replica."""
    states = [
        (e.group.model, site.engines.state(e)) for e in site.engines.engines.values() if e.group
    ]
    return all((m.name, "open") in states for m in site.models)


async def run_demonstration(folder):
    """Run the demonstration and return the exit code."""
    site = await HostingSite(["a", "b"], 4, small_models(), token_ms=30.0).start()
    store = site.store_server.address
    daemons = [HostedDaemonProcess(f"edge-{z}-1", z, store, folder) for z in ("a", "b")]
    try:
        await wait_until_served(site, daemons)
        print("both daemons ready, both models served")
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(send_request(daemons[number % 2].front, number)))
            await asyncio.sleep(0.04)
            if number == 20:
                head = next(
                    e
                    for e in site.engines.engines.values()
                    if site.engines.state(e) == "open" and len(e.group.members) == 2
                )
                site.kill(head.group.members[1])
                print("a replica lost a member")
            if number in (35, 50):
                site.store.faults.away = number == 35
                print("the store is", "away" if number == 35 else "back")
        complete = sum(await asyncio.gather(*tasks))
        print(f"{complete} of {REQUESTS} answers were complete")
        max_runs = max(site.run_counts()[f"demo-{n}"] for n in range(REQUESTS) if n % 3 == 2)
        print(f"most runs of one non-idempotent operation: {max_runs}")
        print(f"violations of replica rules: {len(site.engines.violations)}")
        passed = complete == REQUESTS and max_runs == 1 and not site.engines.violations
    finally:
        loop = asyncio.get_running_loop()
        codes = [await loop.run_in_executor(None, d.stop) for d in daemons]
        site.close()
    print(f"daemons stopped with exit codes {codes}")
    return 0 if passed and codes == [0, 0] else 1


def main():
    """Run the program and return its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run_demonstration(folder))


if __name__ == "__main__":
    sys.exit(main())
