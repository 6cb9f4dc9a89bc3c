"""Tests of the stand-in engines: what a head does while it closes, or lacks a member."""

import pytest

from corianderhaven.standins import HostedEngine, HostedEngines, HostedModel


class SteppedClock:
    def __init__(self):
        self.time_ms = 0.0

    def now_ms(self):
        return self.time_ms


@pytest.fixture
def clock():
    return SteppedClock()


@pytest.fixture
def engines(clock):
    hosted = HostedEngines(clock, [HostedModel("large", 2, 400.0, 100.0)])
    for name in ("e0", "e1"):
        hosted.add(HostedEngine(name, "a", "d0", staged=["large"]))
    group = {"group": "g1", "epoch": 1}
    join = {"operation": "join", "model": "large", "members": ["e0", "e1"], **group}
    for engine in hosted.engines.values():
        assert hosted.order(engine, join) == 202
    clock.time_ms += 100.0
    for engine in hosted.engines.values():
        hosted.state(engine)
    assert hosted.order(hosted.engines["e0"], {"operation": "open", **group}) == 202
    clock.time_ms += hosted.form_ms
    return hosted


def order(engines, operation, **fields):
    body = {"operation": operation, "group": "g1", "epoch": 1, **fields}
    return engines.order(engines.engines["e0"], body)


def test_head_that_closes_finishes_what_it_has_and_accepts_nothing_new(engines):
    head = engines.engines["e0"]
    with engines.accept(head) as group:
        assert order(engines, "close", close_mode="wait") == 202
        assert engines.state(head) == "closing"
        assert engines.makes_progress(head, group)
        assert not engines.accepts_requests(head)
        assert engines.report(head)["active"] == 1
    assert engines.state(head) == "ready"
    assert not engines.is_working(head, group)


def test_head_that_closes_at_once_drops_what_it_has(engines):
    head = engines.engines["e0"]
    with engines.accept(head) as group:
        assert order(engines, "close", close_mode="cut") == 202
        assert engines.state(head) == "ready"
        assert not engines.is_working(head, group)


def test_requests_of_a_group_end_with_it_although_the_head_is_soon_in_another(engines, clock):
    head = engines.engines["e0"]
    with engines.accept(head) as group:
        assert order(engines, "leave") == 202
        join = {"operation": "join", "group": "g2", "epoch": 2, "model": "large"}
        assert engines.order(head, {**join, "members": ["e0", "e1"]}) == 202
        assert not engines.is_working(head, group)


def test_head_stalls_while_a_member_stands_still_and_breaks_in_the_end(engines, clock):
    head, member = engines.engines.values()
    member.paused = True
    assert engines.is_working(head)
    assert not engines.makes_progress(head)
    clock.time_ms += 1_200.0
    member.paused = False
    assert engines.makes_progress(head)
    member.paused = True
    engines.state(head)
    clock.time_ms += engines.stall_ms
    assert engines.state(head) == "broken"


def test_head_that_stands_still_itself_does_not_break(engines, clock):
    head, member = engines.engines.values()
    head.paused = member.paused = True
    engines.state(head)
    clock.time_ms += 2 * engines.stall_ms
    head.paused = member.paused = False
    assert engines.makes_progress(head)
