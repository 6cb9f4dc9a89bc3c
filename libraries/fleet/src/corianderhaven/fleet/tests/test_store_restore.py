"""Tests of a store that comes back from a copy some seconds old, one era higher."""

import asyncio

import msgspec
import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import Digest, EndpointDirectory, PeerMessage, PeerTable, StoreEra
from corianderhaven.fleet.tests.memory_fleet import MemoryFleet, endpoint
from corianderhaven.fleet.tests.test_keeper_model import stage_all
from corianderhaven.fleet.tests.test_store_watcher import CONFIG, known_ids, watch
from corianderhaven.standins import run_in_virtual_time

# Two leases, for one that was lost and one that an unaware holder may count on, and two tries.
ORDER_AGAIN_S = 7.0


async def restore_at_random(fleet, seconds):
    """Restore the store at random moments, between kills, cuts and restarts of members."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        await asyncio.sleep(fleet.random.uniform(0.3, 3.0))
        names = list(fleet.keepers)
        fault = fleet.random.choice(["restore", "restore", "kill", "restart", "cut", "down"])
        alive = [e for e in fleet.hosted.engines.values() if e.alive]
        duration = fleet.random.uniform(0.2, 4.0)
        if fault == "restore" and not fleet.store_down:
            fleet.restore_store(fleet.random.uniform(0.1, 8.0))
        elif fault == "kill" and len(alive) > 10:
            fleet.hosted.kill(fleet.random.choice(alive).id)
        elif fault == "restart":
            fleet.hosted.restart(fleet.random.choice(alive).id)
        elif fault == "cut":
            name = fleet.random.choice(names)
            fleet.daemons_without_store.add(name)
            loop.call_later(duration, fleet.daemons_without_store.discard, name)
        elif fault == "down":
            fleet.store_down = True
            loop.call_later(duration, setattr, fleet, "store_down", False)
    fleet.store_down = False
    fleet.daemons_without_store.clear()


@pytest.mark.parametrize("seed", range(60))
def test_restores_at_any_step_leave_one_keeper_and_rising_generations(seed):
    async def simulate(clock):
        fleet = MemoryFleet(clock, seed, keepers=3)
        stage_all(fleet)
        await asyncio.sleep(fleet.random.uniform(0.5, 8.0))
        await restore_at_random(fleet, 40)
        await asyncio.sleep(ORDER_AGAIN_S)
        ordering = [n for n, k in fleet.keepers.items() if k.lease.may_order()]
        await asyncio.sleep(25)
        return fleet, ordering

    fleet, ordering = run_in_virtual_time(simulate)
    assert fleet.hosted.violations == []
    assert fleet.overlaps == []
    assert fleet.outdated_orders == 0
    assert len(ordering) == 1
    assert fleet.open_replicas() >= 2


@pytest.mark.parametrize("age_s", [0.2, 1.0, 3.0, 8.0])
def test_keeper_can_order_again_within_the_bound(age_s):
    async def simulate(clock):
        fleet = MemoryFleet(clock, keepers=3)
        stage_all(fleet)
        await asyncio.sleep(10)
        before = fleet.lease_holder().lease.tenure
        fleet.restore_store(age_s)
        await asyncio.sleep(ORDER_AGAIN_S)
        holder = next(k for k in fleet.keepers.values() if k.lease.may_order())
        return before, holder.lease.tenure, fleet.overlaps

    before, after, overlaps = run_in_virtual_time(simulate)
    assert after > before
    assert overlaps == []


def test_holder_that_hears_of_a_later_era_from_a_peer_stops_at_once():
    async def simulate(clock):
        fleet = MemoryFleet(clock, keepers=1)
        await asyncio.sleep(9)
        lease = fleet.lease_holder().lease
        assert lease.may_order()
        peers = PeerTable("own", clock)
        peers.on_peer_state = lambda digest: fleet.eras["k0"].observe(digest.era, digest.daemon)
        message = PeerMessage(Digest("other", "127.0.0.1:1", era=2))
        peers.receive(msgspec.json.encode(message))
        return lease.may_order()

    assert run_in_virtual_time(simulate) is False


def test_holder_succeeded_before_an_outage_does_not_go_on_during_it():
    """Cut off alone, then with all others, it counted the outage as confirmed and ordered again."""

    async def simulate(clock):
        fleet = MemoryFleet(clock, keepers=2)
        stage_all(fleet)
        await asyncio.sleep(9)
        first = next(n for n, k in fleet.keepers.items() if k.lease.tenure is not None)
        fleet.daemons_without_store.add(first)
        await asyncio.sleep(4.5)
        fleet.store_down = True
        await asyncio.sleep(5)
        return fleet.overlaps

    assert run_in_virtual_time(simulate) == []


def test_message_of_an_earlier_version_has_no_era():
    peers = PeerTable("own", ManualClock())
    seen = []
    peers.on_peer_state = seen.append
    peers.receive(b'{"digest": {"daemon": "other", "address": "127.0.0.1:1"}}')
    assert [digest.era for digest in seen] == [0]
    assert PeerMessage(seen[0]).zones == []


def test_watcher_lists_the_restored_store_and_keeps_the_newer_configuration():
    async def scenario(hosted, store, watcher):
        copy = hosted.copy()
        hosted.put(CONFIG, b"9")
        hosted.put("servers/e3", b"ready")
        hosted.delete("servers/e1")
        await asyncio.sleep(1.0)
        assert known_ids(watcher) == ["e2", "e3"]
        hosted.restore(copy)
        await asyncio.sleep(1.0)
        assert watcher.active_config.config.version == 9
        # An endpoint that the copy lacks has two seconds to write its entry again.
        assert "e3" in known_ids(watcher)
        hosted.put("servers/e4", b"ready")
        await asyncio.sleep(1.0)
        assert "e4" in known_ids(watcher)
        await asyncio.sleep(1.5)
        assert "e3" not in known_ids(watcher)

    watch(scenario)


def test_restore_that_has_caught_up_with_the_revision_is_noticed():
    """The store answers a watch from an old revision without 410 once it has as many again."""

    async def scenario(hosted, store, watcher):
        copy = hosted.copy()
        for _ in range(5):
            hosted.put("servers/e1", b"ready")
        await asyncio.sleep(0.6)
        hosted.restore(copy)
        hosted.put("servers/e9", b"ready")
        for _ in range(9):
            hosted.put("servers/e2", b"ready")
        await asyncio.sleep(1.0)
        assert "e9" in known_ids(watcher)

    watch(scenario)


def make_directory():
    clock = ManualClock()
    return clock, EndpointDirectory(clock, DecisionLog(clock))


def test_entry_that_an_endpoint_writes_after_a_restore_takes_effect():
    """A lower revision made the directory ignore an entry saying that its endpoint leaves."""
    _, directory = make_directory()
    directory.update("e1", endpoint(1, started_ms=7, entry_number=30), (1, 900))
    leaving = endpoint(1, started_ms=7, entry_number=31)
    directory.update("e1", type(leaving)(**{**vars(leaving), "leaving": True}), (2, 400))
    assert directory.get("e1").leaving


def test_endpoint_that_has_left_is_not_brought_back_by_the_copy():
    _, directory = make_directory()
    gone = endpoint(1, started_ms=7, entry_number=30)
    directory.update("e1", gone, (1, 900))
    directory.remove("e1")
    directory.update("e1", endpoint(1, started_ms=7, entry_number=28), (2, 400))
    assert directory.get("e1") is None
    directory.update("e1", endpoint(1, started_ms=7, entry_number=31), (2, 410))
    assert directory.get("e1") is not None


def test_leaving_endpoint_stays_leaving_until_it_has_started_again():
    _, directory = make_directory()
    directory.update("e1", endpoint(1, started_ms=7, entry_number=30), (1, 900))
    directory.mark_leaving("e1", 7, "answer")
    directory.update("e1", endpoint(1, started_ms=7, entry_number=31), (1, 901))
    assert directory.get("e1").leaving
    directory.remove("e1")
    directory.update("e1", endpoint(1, started_ms=7, entry_number=32), (2, 500))
    assert directory.get("e1").leaving
    directory.update("e1", endpoint(1, started_ms=9, entry_number=1), (2, 510))
    assert not directory.get("e1").leaving


def test_word_of_leaving_that_precedes_the_entry_is_kept():
    _, directory = make_directory()
    directory.mark_leaving("e1", 7, "peer")
    directory.update("e1", endpoint(1, started_ms=7, entry_number=3), (1, 5))
    assert directory.get("e1").leaving


def test_late_word_about_an_earlier_life_changes_nothing():
    _, directory = make_directory()
    directory.update("e1", endpoint(1, started_ms=9, entry_number=1), (1, 5))
    directory.mark_leaving("e1", 7, "peer")
    assert not directory.get("e1").leaving


def test_late_answer_of_an_earlier_era_is_recognized():
    clock = ManualClock()
    era = StoreEra(clock, DecisionLog(clock))
    restored = []
    era.listeners.append(lambda: restored.append(era.number))
    assert era.observe(4, "store")
    assert restored == []
    assert era.observe(5, "store")
    assert not era.observe(4, "store")
    assert restored == [5]
