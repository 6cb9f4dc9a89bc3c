"""LOST: requests that wait for a worker when the grace period of a SIGTERM ends."""

import asyncio
import signal

from engines import EngineSite, is_served, model
from harness import (
    BROKEN,
    HELD,
    MACHINES,
    TROUBLE,
    Client,
    Daemon,
    all_ready,
    run_case,
    wait_for,
)

GRACE_S = 8.0
LOSS_SLACK_S = 0.2
EVENT_MS = 87.0
LONG_EVENTS = 87  # the longest answer of the site: 87 pieces
PLACES = 10  # 9 slots of the group, and one that waits at its head
DEADLINE_MS = 8000
USUAL, SHORT_EVENTS = 20, 5
WAITING = 2


async def case(record, folder, daemons):
    """Bring the case about; return its code."""
    site = await EngineSite(
        record, ["sofia-a"], 4, [model("m0", 4, 16, 1.6, 1.0)], EVENT_MS
    ).start()
    site.routes = [{**r, "timeout_ms": DEADLINE_MS} for r in site.routes]
    site.publish_config()
    for name, zone, ip in MACHINES:
        daemon = Daemon(folder, name, zone, ip, site.store_server.address, record, stall_ms=400)
        daemons.append(daemon)
        daemon.start()
    await wait_for(lambda: all_ready(daemons), 20, "all machines are ready")
    await wait_for(lambda: is_served(site, "m0"), 20, "the model is served")
    await asyncio.sleep(4.0)
    leaving = daemons[0]
    clients = []

    def ask(events, label, number):
        client = Client(leaving.front, record)
        clients.append(client)
        headers = [
            ("corianderhaven-model", "m0"),
            ("corianderhaven-token-count", f"674,{events * 5}"),
            ("corianderhaven-prompt-prefix", f"5c1e07a2:40,{number:08x}:634"),
        ]
        body = b'{"n":%d}' % number
        return asyncio.create_task(
            client.send("POST", "/draft/2f", DEADLINE_MS, body, headers, label=label)
        )

    usual = []
    for number in range(USUAL):
        usual.append(ask(SHORT_EVENTS, "usual", number))
        await asyncio.sleep(0.2)
    for task in usual:
        await task
    running = []
    stopped = None
    for number in range(USUAL, USUAL + PLACES):
        if stopped is None and number >= USUAL + PLACES // 2:
            stopped = record.now()
            if TROUBLE:
                leaving.signal(signal.SIGTERM)
        running.append(ask(LONG_EVENTS, "long", number))
        await asyncio.sleep(0.1)
    waiting = []
    for number in range(USUAL + PLACES, USUAL + PLACES + WAITING):
        await asyncio.sleep(0.6)
        waiting.append(ask(SHORT_EVENTS, "wait", number))
    long_answers = [await t for t in running]
    answers = [await t for t in waiting]
    for client in clients:
        client.close()
    runs = {r.request_id for r in site.runs}
    lost = [
        a
        for a in answers
        if not a.complete
        and a.request_id not in runs
        and a.ended - a.sent > LOSS_SLACK_S
        and a.ended - a.sent < DEADLINE_MS / 1000 - 0.1
        and a.ended < stopped + GRACE_S + 1.0
    ]
    for a in answers:
        record.say(f"{a}; run: {a.request_id in runs}")
    record.say(
        f"{sum(a.complete for a in long_answers)} of {len(long_answers)} long streams complete; "
        f"{len(lost)} of {len(answers)} waiting requests lost without an answer"
    )
    if not TROUBLE and not all(a.complete for a in answers):
        return BROKEN
    return BROKEN if lost else HELD


run_case(case, __file__)
