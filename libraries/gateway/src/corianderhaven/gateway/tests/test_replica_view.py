"""Tests of the suspicion of heads and its expiry."""

from dataclasses import replace

import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import (
    Endpoint,
    EndpointDirectory,
    Membership,
    ModelSpec,
    ReplicaState,
)
from corianderhaven.gateway import ReplicaView

SUSPICION_MS = 2_500.0


def make_head(generation=1):
    membership = Membership("m.1.1", generation, 0, ReplicaState.OPEN)
    return Endpoint("h", "s", "127.0.0.1:1", "a", 9, False, membership=membership)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def views(clock):
    directory = EndpointDirectory(clock, DecisionLog(clock))
    return [ReplicaView(directory, None, clock) for _ in range(3)]


def exchange_suspicions(views, delay_ms=0.0):
    """Report the local suspicions of each view to all views."""
    reports = [view.local_suspicions() for view in views]
    for view in views:
        for suspicions in reports:
            for age_ms in suspicions.values():
                view.add_peer_suspicion(make_head(), age_ms + delay_ms)


def is_trusted(view, clock, generation=1):
    return view._is_trusted(make_head(generation), clock.now_ms())


def test_suspicion_is_not_renewed_by_reports_among_daemons(clock, views):
    """Daemons renewed a false suspicion of a head endlessly.

    A peer's copy expired later by the delivery time of a digest. A suspicion that had expired
    was therefore adopted again from a peer that still reported it.
    """
    views[0].suspect(make_head())
    for _ in range(30):
        clock.advance_ms(100.0)
        exchange_suspicions(views, delay_ms=100.0)
        if clock.now_ms() < 100.0 + SUSPICION_MS - 200.0:
            assert not any(is_trusted(view, clock) for view in views)
    assert all(is_trusted(view, clock) for view in views)


def test_peer_suspicion_expires_with_the_original(clock, views):
    views[0].suspect(make_head())
    clock.advance_ms(1_000.0)
    assert views[1].add_peer_suspicion(make_head(), views[0].local_suspicions()["h"])
    assert not views[1].add_peer_suspicion(make_head(), views[0].local_suspicions()["h"])
    assert views[1].local_suspicions() == {}
    clock.advance_ms(SUSPICION_MS - 1_000.0)
    assert is_trusted(views[0], clock)
    assert is_trusted(views[1], clock)


@pytest.mark.parametrize("seen_by_both", [False, True])
def test_suspicion_that_a_peer_raises_again_lasts_without_a_gap(clock, views, seen_by_both):
    """Guards against requests to a stalled head at each end of the suspicion of 2.5 s."""
    for view in views[: 2 if seen_by_both else 1]:
        view.suspect(make_head())
    for step in range(60):
        clock.advance_ms(100.0)
        if step % 3 == 0:
            views[0].suspect(make_head())
        if step % 5 == 0:
            exchange_suspicions(views[:2], delay_ms=50.0)
        assert step < 5 or not any(is_trusted(view, clock) for view in views[:2])


def test_suspicion_that_two_daemons_saw_is_not_renewed_among_them(clock, views):
    for view in views:
        view.suspect(make_head())
        clock.advance_ms(300.0)
    for _ in range(30):
        clock.advance_ms(100.0)
        exchange_suspicions(views, delay_ms=100.0)
    assert all(is_trusted(view, clock) for view in views)


def test_second_suspicion_of_the_same_replica_is_new(clock, views):
    views[0].suspect(make_head())
    views[1].add_peer_suspicion(make_head(), 0.0)
    clock.advance_ms(SUSPICION_MS + 500.0)
    views[0].suspect(make_head())
    assert views[1].add_peer_suspicion(make_head(), 0.0)
    assert not is_trusted(views[1], clock)


@pytest.mark.parametrize(
    ("states", "is_forming"),
    [
        (["joining", "joining"], True),
        (["ready", "joining"], True),
        (["joining"], False),  # the others have refused, or it is a spare that stands by
        (["open", "ready"], False),
        (["broken", "ready"], False),
    ],
)
def test_replica_is_being_formed_until_its_head_is_open(clock, states, is_forming):
    directory = EndpointDirectory(clock, DecisionLog(clock))
    for rank, state in enumerate(states):
        membership = Membership("m.1.1", 1, rank, ReplicaState(state))
        member = Endpoint(f"e{rank}", "s", "a:1", "a", 9, False, membership=membership)
        directory.update(member.id, member, (1, rank + 1))
    view = ReplicaView(directory, None, clock)
    model = ModelSpec("m", 2, 1.0, 1.0, 16.0, 1.6)
    assert view.is_forming("s", model) == is_forming
    assert not view.is_forming("s", replace(model, name="other"))


def test_head_of_another_replica_is_trusted(clock, views):
    views[0].suspect(make_head())
    assert is_trusted(views[0], clock, generation=2)
    views[0].prune({"other"})
    assert is_trusted(views[0], clock)


def test_head_that_only_one_daemon_cannot_connect_to_stays_in_use_at_the_others(clock, views):
    """A daemon without a path to some heads took them away from all others."""
    views[0].suspect(make_head(), unreachable=True)
    assert not is_trusted(views[0], clock)
    assert views[0].local_suspicions() == {}
    clock.advance_ms(100.0)
    (age_ms,) = views[0].local_suspicions(unreachable=True).values()
    assert views[1].add_peer_suspicion(make_head(), age_ms, unreachable=True)
    assert not views[1].add_peer_suspicion(make_head(), age_ms, unreachable=True)
    assert is_trusted(views[1], clock)
    assert views[1].local_suspicions(unreachable=True) == {}
    assert views[1].add_peer_suspicion(make_head(), age_ms)  # another one has seen it silent
    assert not is_trusted(views[1], clock)
