"""An operator's version that no longer names a model cuts off the model's running streams."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from lab import BROKEN, HELD, NOT_RUN, HostedModel, call, request_bytes, run, trouble, wait_for  # noqa: E402

from corianderhaven.standins import _hosting_site  # noqa: E402

ZONES = ["plateau", "pikine", "rufisque"]
DAEMON_ZONES = ["plateau", "plateau", "pikine", "rufisque"]
EVENTS, EVENT_MS = 40, 75.0  # a stream of 3 s
DEADLINE_MS = 8_000
BASELINE_S = 6.0
STREAMS_PER_S = 8
CONFIG_MS = 2_000


async def case(lab, record):
    """Retire a model while its streams run, and count those that are cut."""
    models = [HostedModel("m0", 2, 2_000.0, 400.0), HostedModel("m1", 2, 2_000.0, 400.0)]
    site = _hosting_site.HostingSite(
        ZONES, 8, models, plain_workers=1, token_ms=EVENT_MS, speed=1.0, events=EVENTS
    )
    site.routes[0]["timeout_ms"] = DEADLINE_MS
    if not await lab.start(site, DAEMON_ZONES):
        record.line("daemons not ready")
        return NOT_RUN

    def heads(model):
        engines = site.engines.engines.values()
        return [
            e
            for e in engines
            if e.group
            and e.group.model == model
            and e.group.members[0] == e.id
            and site.engines.state(e) == "open"
        ]

    if not await wait_for(lambda: len(heads("m0")) >= 3 and len(heads("m1")) >= 3, 40.0):
        record.line("no replicas", len(heads("m0")), len(heads("m1")))
        return NOT_RUN
    await asyncio.sleep(1.0)
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

    for _ in range(int(BASELINE_S * STREAMS_PER_S)):
        send("m0")
        send("m1")
        await asyncio.sleep(1.0 / STREAMS_PER_S)
    # The clients have gone over to m0 when the operator retires m1.
    changed_s = record.now()
    if trouble():
        site.models = [models[0]]
    version = site.publish_config()
    record.line("configuration", version, "acknowledged; models", [m.name for m in site.models])
    for _ in range(int(4.0 * STREAMS_PER_S)):
        send("m0")
        await asyncio.sleep(1.0 / STREAMS_PER_S)
    answers = [(model, await task) for model, task in tasks]
    until_s = changed_s + CONFIG_MS / 1000.0 + 1.0

    def is_counted(answer):
        """Sent before the end of the span, cut within it, with under 0.7 of its time used."""
        used_ms = (answer.ended_s - answer.sent_s) * 1000.0
        return (
            answer.ended_s >= changed_s
            and answer.sent_s <= until_s
            and answer.ended_s <= until_s
            and used_ms < 0.7 * DEADLINE_MS
        )

    begun = [a for _, a in answers if a.status == 200]
    cut_before = [a for a in begun if not a.whole and a.ended_s < changed_s]
    cut_beside = [a for a in begun if not a.whole and is_counted(a)]
    open_at_change = [a for a in begun if a.sent_s < changed_s <= a.ended_s]
    record.line(
        f"streams {len(answers)}, begun {len(begun)}, open at the change {len(open_at_change)},",
        f"cut before it {len(cut_before)}, cut beside it {len(cut_beside)}",
    )
    if not open_at_change or len(begun) < 0.9 * len(answers):
        return NOT_RUN
    before_per_s = len(cut_before) / BASELINE_S
    beside_per_s = len(cut_beside) / (until_s - changed_s)
    return BROKEN if len(cut_beside) >= 3 and beside_per_s > 3 * before_per_s else HELD


run(case, Path(__file__).parent)
