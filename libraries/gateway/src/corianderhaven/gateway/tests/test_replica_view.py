"""Which heads are under suspicion, and for how long."""

import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import Endpoint, EndpointDirectory, Membership, ReplicaState
from corianderhaven.gateway import ReplicaView

SUSPECT_MS = 2_500.0


def head(generation=1):
    place = Membership("m.1.1", generation, 0, ReplicaState.OPEN)
    return Endpoint("h", "s", "127.0.0.1:1", "a", 9, False, membership=place)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def views(clock):
    directory = EndpointDirectory(clock, DecisionLog(clock))
    return [ReplicaView(directory, None, clock) for _ in range(3)]


def exchange(views, ages=0.0):
    """Let each view tell all others of its suspicions."""
    told = [view.suspected() for view in views]
    for view in views:
        for suspects in told:
            for age_ms in suspects.values():
                view.suspect_told(head(), age_ms + ages)


def trusted(view, clock, generation=1):
    return view._trusted(head(generation), clock.now_ms())


def test_daemons_do_not_keep_a_suspicion_up_by_hearing_it_from_each_other(clock, views):
    """Replays a false alarm: each daemon's belief outlived the other's by a digest's way.

    The first one lapsed while a peer still told of it, and so began anew, without end.
    """
    views[0].suspect(head())
    for _ in range(30):
        clock.advance_ms(100.0)
        exchange(views, ages=100.0)
        if clock.now_ms() < 100.0 + SUSPECT_MS - 200.0:
            assert not any(trusted(view, clock) for view in views)
    assert all(trusted(view, clock) for view in views)


def test_told_suspicion_lasts_as_long_as_the_first_hand_one(clock, views):
    views[0].suspect(head())
    clock.advance_ms(1_000.0)
    assert views[1].suspect_told(head(), views[0].suspected()["h"])
    assert not views[1].suspect_told(head(), views[0].suspected()["h"])
    assert views[1].suspected() == {}
    clock.advance_ms(SUSPECT_MS - 1_000.0)
    assert trusted(views[0], clock)
    assert trusted(views[1], clock)


def test_second_alarm_of_the_same_replica_counts_anew(clock, views):
    views[0].suspect(head())
    views[1].suspect_told(head(), 0.0)
    clock.advance_ms(SUSPECT_MS + 500.0)
    views[0].suspect(head())
    assert views[1].suspect_told(head(), 0.0)
    assert not trusted(views[1], clock)


def test_head_of_another_replica_is_trusted(clock, views):
    views[0].suspect(head())
    assert trusted(views[0], clock, generation=2)
    views[0].forget({"other"})
    assert trusted(views[0], clock)
