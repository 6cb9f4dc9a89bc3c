"""A worker that stands still for a second has its replica dissolved, with the running streams."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from lab import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    HostedModel,
    call,
    request_bytes,
    run,
    trouble,
    wait_for,
)

from corianderhaven.standins import _hosting_site  # noqa: E402

ZONES = ["plateau", "pikine", "rufisque"]
DAEMON_ZONES = ["plateau", "plateau", "pikine", "rufisque"]
EVENTS, EVENT_MS = 40, 75.0  # a stream of 3 s
DEADLINE_MS = 8_000
BASELINE_S = 6.0
AFTER_S = 4.0
STREAMS_PER_S = 3
CONFIG_MS = 2_000
PAUSE_AFTER_S = 0.1
PAUSE_S = 1.2
STALL_MS = 4_000  # after which a head that lacks a member breaks; far longer than the pause


async def case(lab, record):
    """Have members of one model's replicas stand still, and count the streams that are cut."""
    models = [
        HostedModel("m0", 2, 2_000.0, 400.0, share=0.8),
        HostedModel("m1", 2, 2_000.0, 400.0, share=0.2),
    ]
    site = _hosting_site.HostingSite(
        ZONES, 2, models, plain_workers=1, token_ms=EVENT_MS, speed=1.0, events=EVENTS
    )
    site.routes[0]["timeout_ms"] = DEADLINE_MS
    if not await lab.start(site, DAEMON_ZONES):
        record.line("daemons not ready")
        return NOT_RUN

    def heads(model):
        return [
            e
            for e in site.engines.engines.values()
            if e.group
            and e.group.model == model
            and e.group.members[0] == e.id
            and site.engines.state(e) == "open"
        ]

    if not await wait_for(lambda: len(heads("m0")) >= 2 and heads("m1"), 40.0):
        record.line("no replicas", len(heads("m0")), len(heads("m1")))
        return NOT_RUN
    await asyncio.sleep(3.0)
    record.line("replicas: m0", len(heads("m0")), "m1", len(heads("m1")))
    tasks, number = [], 0

    def send(model):
        nonlocal number
        number += 1
        request_id = f"{model}-{number:04d}"
        headers = (
            f"Corianderhaven-Model: {model}",
            "Corianderhaven-Token-Count: 100,200",
            f"Corianderhaven-Prompt-Prefix: a1:40,{number + 4096:x}:60",
        )
        data = request_bytes(request_id, "/draft/1", DEADLINE_MS, headers=headers)
        address = lab.daemons[number % len(lab.daemons)].front
        tasks.append((model, asyncio.create_task(call(record, address, request_id, data, 10.0))))

    async def pause():
        await asyncio.sleep(PAUSE_AFTER_S)
        open_heads = heads("m1")
        members = [m for head in open_heads for m in head.group.members[1:]]
        record.line("workers stand still:", *members)
        site.pause(members)
        for head in open_heads:  # a head makes no progress without its members
            head.unreachable_members = set(members)
        await asyncio.sleep(PAUSE_S)
        site.resume(members)
        for head in open_heads:
            head.unreachable_members = set()
        record.line("workers go on")

    for _ in range(int(BASELINE_S * STREAMS_PER_S)):
        send("m0")
        send("m1")
        await asyncio.sleep(1.0 / STREAMS_PER_S)
    changed_s = record.now()
    version = site.publish_config()
    record.line("configuration", version, "acknowledged, same content")
    pausing = asyncio.create_task(pause()) if trouble() else None
    for _ in range(int(AFTER_S * STREAMS_PER_S)):
        send("m0")
        send("m1")
        await asyncio.sleep(1.0 / STREAMS_PER_S)
    if pausing is not None:
        await pausing
    answers = [(model, await task) for model, task in tasks]
    until_s = changed_s + CONFIG_MS / 1000.0 + 1.0
    begun = [a for _, a in answers if a.status == 200]
    cut = [a for a in begun if not a.whole]
    cut_before = [a for a in cut if a.ended_s < changed_s]
    cut_beside = [
        a
        for a in cut
        if changed_s <= a.ended_s <= until_s and (a.ended_s - a.sent_s) * 1000.0 < 0.7 * DEADLINE_MS
    ]
    record.line(
        f"streams {len(answers)}, begun {len(begun)}, cut {len(cut)}: before the configuration",
        f"{len(cut_before)}, beside it {len(cut_beside)}",
    )
    if len([a for _, a in answers if a.sent_s < changed_s and a.whole]) < len(answers) / 4:
        return NOT_RUN
    before_per_s = len(cut_before) / BASELINE_S
    beside_per_s = len(cut_beside) / (until_s - changed_s)
    return BROKEN if len(cut_beside) >= 3 and beside_per_s > 3 * before_per_s else HELD


run(case, Path(__file__).parent)
