"""Tests of the decision whether a replica that seems to have failed is dissolved now."""

from types import SimpleNamespace

import pytest

from corianderhaven.common import ManualClock
from corianderhaven.fleet import ReplicaState, Vm, find_failed
from corianderhaven.fleet._dissolution import (
    HEAD_SILENCE_MS,
    PROBE_INTERVAL_MS,
    STALL_MARGIN_MS,
    DissolutionPolicy,
    HeadActivity,
    find_completing,
)
from corianderhaven.fleet._order_sender import Silence
from corianderhaven.fleet._replicas import group_replicas
from corianderhaven.fleet.tests.memory_fleet import endpoint, engine_spec, member

STALL_MS = 4_000.0
ENGINE = engine_spec()
SIZES = {"large": 4, "small": 2}


def make_members(model, number, state=ReplicaState.OPEN):
    """Return the endpoints of one whole replica."""
    return [
        member(
            endpoint(10 * number + rank, staged=(model,)),
            f"{model}.1.{number}",
            rank,
            state,
            number,
        )
        for rank in range(SIZES[model])
    ]


def make_spares(model, count, first=900, domain="d0"):
    return [Vm(endpoint(first + n, domain, staged=(model,)), True) for n in range(count)]


class Scene:
    """Replicas of which some members are silent, and the policy."""

    def __init__(self, *replicas):
        self.clock = ManualClock()
        self.clock.advance_ms(10_000.0)
        self.endpoints = [e for members in replicas for e in members]
        self.sender = SimpleNamespace(unresponsive={}, silences={}, recovered_ms={})
        settings = SimpleNamespace(stall_ms=STALL_MS, config_ms=0.0)
        self.policy = DissolutionPolicy(self.sender, settings, self.clock, HeadActivity())
        self.policy.note_listed(group_replicas(self.endpoints))
        self.clock.advance_ms(10_000.0)

    def silence(self, *silent):
        now = self.clock.now_ms()
        for one in silent:
            self.sender.silences.setdefault(one.id, Silence(now, now)).last_ms = now
            self.sender.unresponsive[one.id] = now

    def failed(self):
        return find_failed(self.endpoints, ENGINE, self.sender.unresponsive.keys())

    def split(self, spares=()):
        """Return the names of the replicas that are dissolved now, and of the doubtful ones."""
        vms = [Vm(e, False) for e in self.endpoints if e.id not in self.sender.unresponsive]
        due, kept = self.policy.split(self.failed(), [*vms, *spares], ENGINE)
        return [a.replica.name for a in due], [a.replica.name for a in kept]


@pytest.mark.parametrize("model", ["small", "large"])
def test_silent_member_costs_its_replica_only_where_a_spare_completes_another(model):
    members = make_members(model, 1)
    scene = Scene(members)
    scene.silence(members[1])
    assert scene.split() == ([], [f"{model}.1.1"])
    assert scene.split(make_spares(model, 1, domain="d1")) == ([], [f"{model}.1.1"])
    assert scene.split(make_spares(model, 1)) == ([f"{model}.1.1"], [])


def test_replica_with_a_silent_member_is_dissolved_when_its_head_must_have_broken():
    members = make_members("small", 1)
    scene = Scene(members)
    scene.silence(members[1])
    scene.clock.advance_ms(STALL_MS + STALL_MARGIN_MS - 1.0)
    scene.silence(members[1])
    assert scene.split() == ([], ["small.1.1"])
    scene.clock.advance_ms(1.0)
    assert scene.split() == (["small.1.1"], [])


def test_head_that_has_sent_events_since_keeps_its_replica():
    """It has all its members, whatever this daemon reaches."""
    members = make_members("small", 1)
    scene = Scene(members)
    scene.silence(members[1])
    scene.policy.activity.last_ms = {members[0].id: scene.clock.now_ms() + 200.0}.get
    scene.clock.advance_ms(400.0)
    scene.silence(members[1])
    assert scene.split(make_spares("small", 1)) == ([], ["small.1.1"])
    assert scene.policy.stalled_heads(scene.failed()) == []
    scene.policy.activity.last_ms = {members[0].id: scene.clock.now_ms() - 500.0}.get
    assert scene.split(make_spares("small", 1)) == (["small.1.1"], [])
    assert scene.policy.stalled_heads(scene.failed()) == [members[0]]


def test_silent_head_is_waited_for_no_longer_than_before():
    members = make_members("small", 1)
    scene = Scene(members)
    scene.silence(members[0])
    assert scene.split() == ([], ["small.1.1"])
    scene.clock.advance_ms(HEAD_SILENCE_MS)
    scene.silence(members[0])
    assert scene.split() == (["small.1.1"], [])


def test_replica_that_is_silent_as_a_whole_is_left_alone():
    members = make_members("small", 1)
    scene = Scene(members)
    scene.silence(*members)
    scene.clock.advance_ms(2 * STALL_MS)
    scene.silence(*members)
    assert scene.split(make_spares("small", 2)) == ([], ["small.1.1"])


def test_member_that_left_is_not_waited_for():
    members = make_members("large", 1)
    scene = Scene(members[:2] + members[3:])
    scene.silence(members[1])
    assert scene.split() == (["large.1.1"], [])


def test_heads_and_silent_members_are_probed_at_intervals():
    members = make_members("large", 1)
    scene = Scene(members)
    scene.silence(members[2])
    _, kept = scene.policy.split(scene.failed(), [], ENGINE)
    assert scene.policy.take_due_probes(kept) == [members[0], members[2]]
    assert scene.policy.take_due_probes(kept) == []
    scene.clock.advance_ms(PROBE_INTERVAL_MS)
    assert scene.policy.take_due_probes(kept) == [members[0], members[2]]


@pytest.mark.parametrize(
    ("lost", "spares", "completing"),
    [
        (1, 0, 0),  # three VMs of four
        (2, 0, 2),  # six VMs: one replica, for which the members of both are needed
        (4, 0, 4),  # twelve VMs: three replicas
        (5, 0, 4),  # fifteen VMs: still three, so the last one gains nothing
        (1, 1, 1),
        (2, 1, 1),  # the spare serves one of them
        (1, 4, 0),  # these spares complete a replica by themselves
        (1, 5, 1),
    ],
)
def test_only_as_many_replicas_are_given_up_as_others_are_completed(lost, spares, completing):
    replicas = [
        (group_replicas(members).popitem()[1], members[:3])
        for members in (make_members("large", number) for number in range(1, lost + 1))
    ]
    found = find_completing(replicas, make_spares("large", spares), ENGINE)
    assert len(found) == completing
    assert found == {replica.key for replica, _ in replicas[:completing]}
