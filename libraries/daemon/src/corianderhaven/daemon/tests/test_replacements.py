"""Tests of requests that have a replacement beside a silent attempt."""

import asyncio
import time

from corianderhaven.daemon.tests.hosted_site import (
    heads,
    send_draft,
    send_request,
    wait_until,
    workers,
)
from corianderhaven.daemon.tests.test_silent_endpoints import EVENTS, run_scenario
from corianderhaven.gateway import _sender
from corianderhaven.standins import HostedModel, HostingSite


def test_dropped_connection_to_the_only_replica_is_replaced_by_a_new_one(monkeypatch):
    """Guards against a wait for other replicas, of which there were none, until the deadline."""
    answer = HostingSite._answer_request

    async def swallow_on_used_connections(self, worker, request, caller):
        if worker.engine is not None and caller in worker.used_connections:
            await asyncio.sleep(100.0)
        await answer(self, worker, request, caller)

    monkeypatch.setattr(HostingSite, "_answer_request", swallow_on_used_connections)

    async def scenario(site, daemons):
        assert (await send_draft(daemons[0])).complete
        started_s = time.monotonic()
        assert (await send_draft(daemons[0])).complete
        assert time.monotonic() - started_s < 3.0

    model = HostedModel("small", 1, 300.0, 80.0)
    fields = {"zones": ["a"], "domain_size": 1, "models": [model]}
    run_scenario(scenario, daemons=1, site_fields=fields)


def test_error_of_a_silent_endpoint_is_answered_once_its_replacement_is_refused():
    """Guards against a search that went on until the deadline after the attempt had ended."""

    async def scenario(site, daemons):
        one, two = workers(site, "ledger")
        for worker in (one, two):
            worker.faults.slow_ms, worker.faults.fail = 250.0, True
        task = asyncio.create_task(send_request(daemons[0], "/status/1"))
        await wait_until(lambda: one.active or two.active)
        other = two if one.active else one
        site.pause([other.id])
        other.faults.shed = True
        await asyncio.sleep(0.4)
        site.resume([other.id])
        answer = await task
        assert answer.status == 500
        ended = [e for e in daemons[0].decisions.entries if e["event"] == "request_ended"]
        assert ended[-1]["total_ms"] < 1_500.0

    run_scenario(scenario, daemons=1, site_fields={"plain_workers": 2})


def test_broken_end_of_a_silent_stream_does_not_stop_its_replacement():
    """Guards against LOST: any end of the silent attempt stopped the other, which was sound."""

    async def scenario(site, daemons):
        daemon, all_heads = daemons[0], heads(site, "small")
        entries = daemon.gateway.load_tracker.entries
        for head in all_heads:
            head.faults.unframed = head.faults.no_events = True
        site.pause([head.id for head in all_heads])
        draft = asyncio.create_task(send_draft(daemon))
        await wait_until(lambda: sum(bool(e.own_in_flight) for e in entries.values()) == 2)
        await asyncio.sleep(0.1)
        streams = daemon.gateway.silence_detector.heads
        busy = [i for i, entry in entries.items() if entry.own_in_flight]
        silent = min(busy, key=lambda i: min(s.sent_ms for s in streams[i].streams))
        others = [head for head in all_heads if head.id != silent]
        for head in others:
            head.faults.unframed = head.faults.no_events = False
        site.resume([silent])
        await asyncio.sleep(0.2)
        site.resume([head.id for head in others])
        answer = await draft
        assert answer.complete
        assert answer.event_ids == list(range(1, EVENTS + 1))

    run_scenario(scenario, daemons=1)


def test_attempt_that_was_replaced_while_it_connected_is_not_sent(monkeypatch):
    async def scenario(site, daemons):
        connect, slow = _sender.ClientConnection.open, []

        async def open_first_late(address, timeout_ms, source_ip=None):
            connection = await connect(address, timeout_ms, source_ip)
            if not slow:
                slow.append(address)
                await asyncio.sleep(0.4)
            return connection

        caller = await connect(daemons[0].callers_server.address, 1_000.0)
        monkeypatch.setattr(_sender.ClientConnection, "open", open_first_late)
        answer = await send_request(daemons[0], "/status/1", connection=caller)
        assert answer.status == 200
        assert site.run_counts()[answer.request_id] == 1
        caller.close()

    run_scenario(scenario, daemons=1, site_fields={"plain_workers": 3})
