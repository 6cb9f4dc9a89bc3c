"""Tests of replica choice, prefix affinity and forwarding to other zones."""

import random
from types import SimpleNamespace

from corianderhaven.common import ManualClock
from corianderhaven.membership import Load, MemberReference, PeerInfo, PeerTable
from corianderhaven.routing import LeastWaitChooser, LoadTracker, Replica, TargetFinder
from corianderhaven.routing._cache_events import CacheEvent, CacheEventFollower
from corianderhaven.routing._prefix_affinity import PrefixIndex, prompt_blocks
from corianderhaven.routing._remote_zones import RemoteZone
from corianderhaven.routing._targets import MIN_FORWARDED_DRAFTS

OWN = PeerInfo("own", "z", "own-1", "127.0.0.1:1", 1)


def make_replica(name, running=0, step_ms=20.0, age_ms=0.0):
    members = (MemberReference(name, "i", "127.0.0.1:9"),)
    load = Load(running, 0, step_ms)
    return Replica(name, 1, "d", "m", "v", (), members, "z", load, age_ms)


def make_least_wait_chooser(affinity=True):
    clock = ManualClock()
    tracker = LoadTracker(clock, PeerTable(clock, OWN))
    return clock, tracker, LeastWaitChooser(tracker, random.Random(3), affinity)


def counts(chooser, replicas, times=200, blocks=()):
    chosen = [chooser.choose(replicas, list(blocks)).replica.replica_id for _ in range(times)]
    return {r.replica_id: chosen.count(r.replica_id) for r in replicas}


def test_loaded_replica_is_avoided():
    _, _, chooser = make_least_wait_chooser()
    assert counts(chooser, [make_replica("a", 9), make_replica("b"), make_replica("c")])["a"] == 0


def test_recent_starts_are_added_to_a_stale_load_report():
    clock, tracker, chooser = make_least_wait_chooser()
    replicas = [make_replica("a", age_ms=2000.0), make_replica("b", age_ms=2000.0)]
    for _ in range(5):
        tracker.begin("a~1")
    clock.advance_ms(500)
    assert tracker.estimate_requests(replicas[0]) == 5
    assert counts(chooser, replicas)["a"] == 0


def test_straggler_is_avoided_until_its_slowdown_decays():
    clock, tracker, chooser = make_least_wait_chooser()
    replicas = [make_replica(name) for name in "abcd"]
    for name in "abcd":
        for _ in range(10):
            tracker.record_token_gap(f"{name}~1", 80.0 if name == "a" else 20.0)
    assert counts(chooser, replicas)["a"] == 0
    clock.advance_ms(60_000)
    assert counts(chooser, replicas)["a"] > 20


def test_prefix_keeps_its_replica_unless_overloaded():
    _, tracker, chooser = make_least_wait_chooser()
    replicas = [make_replica(name) for name in "abcdefgh"]
    blocks = prompt_blocks("street history " * 200)
    first = chooser.choose(replicas, blocks).replica
    chooser.record_sent(first, blocks)
    assert counts(chooser, replicas, blocks=blocks)[first.replica_id] == 200
    for _ in range(20):
        tracker.begin(first.key)
    assert counts(chooser, replicas, blocks=blocks)[first.replica_id] == 0


def test_equal_prefixes_have_equal_blocks():
    shared = "x" * 600
    assert prompt_blocks(shared + "a" * 300)[:2] == prompt_blocks(shared + "b" * 300)[:2]
    assert prompt_blocks(shared + "a" * 300)[-1] != prompt_blocks(shared + "b" * 300)[-1]
    assert prompt_blocks("short") == []


def test_cache_events_update_the_prefix_index():
    index = PrefixIndex()
    blocks = prompt_blocks("a street " * 200)
    follower = CacheEventFollower(ManualClock(), None, None, index)
    for number, block in enumerate(blocks[:3], 1):
        follower._apply("r", CacheEvent(number, "stored", block))
    assert index.cached_block_count("r", blocks) == 3
    follower._apply("r", CacheEvent(9, "evicted", blocks[1]))
    assert index.cached_block_count("r", blocks) == 1
    assert follower.last_sequences == {"r": 9}


class FullRemoteZone:
    """Stand-in for `RemoteZones`: one zone whose summary reports no free slot."""

    def for_deployment(self, name):
        return [RemoteZone("far", ("127.0.0.1:7",), 0, 0.0)]


class EmptyReplicaView:
    """Stand-in for `ReplicaView`: a zone without replicas."""

    def for_deployment(self, deployment):
        return []


def test_zone_without_replicas_forwards_to_full_remote_zones():
    _, tracker, chooser = make_least_wait_chooser()
    holder = SimpleNamespace(document=SimpleNamespace(accounts=[]))
    finder = TargetFinder(EmptyReplicaView(), chooser, tracker, FullRemoteZone(), holder)
    limits = SimpleNamespace(in_flight_per_replica=4)
    deployment = SimpleNamespace(name="d", limits=limits)
    assert finder.slots(deployment, 0) == MIN_FORWARDED_DRAFTS
    for _ in range(MIN_FORWARDED_DRAFTS):
        tracker.begin("127.0.0.1:7")
    assert finder.slots(deployment, 0) == MIN_FORWARDED_DRAFTS
    assert not finder.has_free_slot(deployment, 0)
    assert finder.slots(deployment, 1) == 0
