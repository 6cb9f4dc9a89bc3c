"""Tests of the way of one request by peers, with peers that behave by a script."""

import asyncio
from types import SimpleNamespace

import pytest

from corianderhaven.gateway._peer_routing import PeerRouting
from corianderhaven.gateway._request_context import AttemptResult


class ScriptedForwarder:
    """Peers by name with their results; a silent one answers in the end if it isn't left."""

    def __init__(self, script):
        self.script = script
        self.ended = []

    def pick(self, service, declined=frozenset()):
        left = [name for name in self.script if name not in declined]
        return SimpleNamespace(id=left[0]) if left else None

    def begin(self, context, target):
        return SimpleNamespace(
            target=target,
            is_ready=False,
            retry_after_ms=1.0,
            replacement=None,
            leaves_silent=False,
        )

    async def prepare(self, forward, streaming, ahead=False):
        result = self.script[forward.target.id]
        if result is AttemptResult.SILENT and not forward.leaves_silent:
            forward.replacement = await forward.find_other()
            result = AttemptResult.SILENT if forward.replacement else AttemptResult.COMPLETE
        forward.is_ready = result is AttemptResult.COMPLETE
        return result

    async def deliver(self, forward, streaming):
        return AttemptResult.COMPLETE

    def end(self, forward, result=None):
        self.ended.append((forward.target.id, result))


def serve(script, overflow=False):
    """Have scripted peers serve a request; return its outcome and the peers' results."""
    reasons = []

    async def end_unserved(context, reason, retry_after_ms=0.0):
        reasons.append(reason)

    context = SimpleNamespace(
        service=SimpleNamespace(name="s"),
        declined_by=set(),
        origin=None,
        overflowed=False,
        attempt_results=[],
        can_retry=lambda result: True,
        outcome="unfinished",
    )
    gateway = SimpleNamespace(
        forwarder=ScriptedForwarder(script),
        end_unserved=end_unserved,
        retry_budget=SimpleNamespace(try_spend=lambda service: True),
        dispatcher=SimpleNamespace(
            lacks_path=lambda context: not overflow, prefers_peer=lambda context: overflow
        ),
    )
    routing = PeerRouting(gateway, context, streaming=True)
    asyncio.run(routing.is_served())
    return reasons or [context.outcome], gateway.forwarder.ended


@pytest.mark.parametrize("overflow", [False, True])
@pytest.mark.parametrize("second", [AttemptResult.DECLINED, AttemptResult.NOT_SENT])
def test_silent_peer_is_kept_if_no_other_takes_the_request(second, overflow):
    """Guards against LOST: a stream was cut as the peer that was to take over declined."""
    outcomes, ended = serve({"p1": AttemptResult.SILENT, "p2": second}, overflow)
    assert outcomes == ["complete"]
    assert ended == [("p2", second), ("p1", AttemptResult.COMPLETE)]


@pytest.mark.parametrize("overflow", [False, True])
def test_silent_peer_is_left_once_another_has_answered(overflow):
    script = {"p1": AttemptResult.SILENT, "p2": AttemptResult.COMPLETE}
    outcomes, ended = serve(script, overflow)
    assert outcomes == ["complete"]
    assert ended == [("p1", AttemptResult.SILENT), ("p2", AttemptResult.COMPLETE)]
