"""Tests of the evacuation of zones: state, store and messages, without a network."""

import asyncio
import itertools
import random

import msgspec
import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import (
    ActiveConfig,
    Digest,
    EndpointDirectory,
    EvacuationRecord,
    Evacuations,
    PeerMessage,
    PeerState,
    PeerTable,
    StoreEra,
    StoreRestoredError,
    StoreUnavailableError,
    StoreWatcher,
    encode_state,
)
from corianderhaven.fleet._digests import without_summarized_fields
from corianderhaven.fleet._evacuations import MAX_ENDED, MAX_ZONE_LENGTH, RESTORE_HOLD_MS
from corianderhaven.fleet._peer_state import decode_state
from corianderhaven.fleet.tests.test_store_watcher import CONFIG, Format, Store
from corianderhaven.standins import HostedStore, run_in_virtual_time

HOLD_S = RESTORE_HOLD_MS / 1_000.0
REACT_S = 1.0  # within which a daemon that reads the store acts on an item


class OperatorFormat(Format):
    operator_prefix = "op/"

    def evacuated_zone(self, key):
        return key.removeprefix("op/evacuate/") if key.startswith("op/evacuate/") else None


def make_evacuations(clock=None):
    clock = clock or ManualClock()
    evacuations = Evacuations(clock, DecisionLog(clock))
    evacuations.log = []
    evacuations.on_begun.append(lambda zone, position: evacuations.log.append(("begun", zone)))
    evacuations.on_ended.append(lambda zone, position: evacuations.log.append(("ended", zone)))
    return evacuations


def make_watcher(hosted, clock, format_type=OperatorFormat):
    decisions = DecisionLog(clock)
    store = Store(hosted, StoreEra(clock, decisions))
    watcher = StoreWatcher(
        store,
        format_type(),
        EndpointDirectory(clock, decisions),
        ActiveConfig(format_type().decode_config, decisions),
        clock,
        decisions,
        make_evacuations(clock),
    )
    watcher.own_prefix = "own/"
    watcher.start()
    return store, watcher


def watch(scenario, format_type=OperatorFormat):
    """Run a scenario with a store and a started watcher in virtual time."""

    async def simulate(clock):
        hosted = HostedStore(clock)
        hosted.put(CONFIG, b"1")
        hosted.put("servers/e1", b"ready")
        store, watcher = make_watcher(hosted, clock, format_type)
        await asyncio.sleep(0.5)
        await scenario(hosted, store, watcher)
        watcher.close()

    run_in_virtual_time(simulate)


def evacuate(hosted, zone):
    hosted.put(f"op/evacuate/{zone}", b"{}")


def end(hosted, zone):
    hosted.delete(f"op/evacuate/{zone}")


# State


def test_state_with_the_higher_position_wins_in_any_order():
    """Guards against a late message that begins an ended evacuation again, or ends a new one."""
    states = [("a", True, (1, 5)), ("a", False, (1, 9)), ("a", True, (2, 3)), ("a", False, (2, 4))]
    for order in itertools.permutations(states):
        evacuations = make_evacuations()
        for zone, evacuated, position in order:
            record = EvacuationRecord(evacuated, *position)
            evacuations.merge({zone: record}, "peer")
        assert not evacuations.is_evacuated("a")
        assert evacuations.records()["a"].position == (2, 4)


def test_zones_are_independent_and_listeners_hear_each_change_once():
    evacuations = make_evacuations()
    for zone, evacuated, revision in [("a", True, 2), ("b", True, 3), ("a", False, 4)]:
        for _ in range(2):
            evacuations.observe(zone, evacuated, (1, revision))
    assert evacuations.zones == {"b"}
    assert evacuations.log == [("begun", "a"), ("begun", "b"), ("ended", "a")]
    assert evacuations.version == 3


def test_end_of_an_evacuation_that_was_not_known_notifies_nobody():
    """A starting daemon learns of evacuations that ended long ago."""
    evacuations = make_evacuations()
    evacuations.merge({"a": EvacuationRecord(False, 1, 9)}, "peer")
    assert evacuations.log == []


def test_late_message_does_not_evacuate_a_zone_whose_item_the_daemon_read_to_be_absent():
    """A partitioned daemon goes on telling of an evacuation that ended before this one started."""
    evacuations = make_evacuations()
    evacuations.apply_listing({}, (1, 50))
    evacuations.merge({"a": EvacuationRecord(True, 1, 20)}, "partitioned")
    assert not evacuations.is_evacuated("a")
    evacuations.merge({"a": EvacuationRecord(True, 1, 51)}, "ahead")
    assert evacuations.is_evacuated("a")
    evacuations.note_read((1, 52))
    assert not evacuations.is_evacuated("a")


def test_changes_that_a_watch_repeats_after_a_listing_begin_nothing():
    """Waiting requests were refused for an evacuation that had ended before the listing."""
    evacuations = make_evacuations()
    evacuations.apply_listing({"b": 12}, (1, 10))
    for zone, evacuated, revision in [("a", True, 7), ("a", False, 9), ("b", True, 12)]:
        evacuations.observe(zone, evacuated, (1, revision))
    evacuations.note_read((1, 8))
    assert evacuations.read_position == (1, 10)
    assert evacuations.log == [("begun", "b")]
    evacuations.observe("b", False, (1, 13))
    assert evacuations.log == [("begun", "b"), ("ended", "b")]


def test_unusable_records_are_ignored_and_ended_ones_bounded():
    evacuations = make_evacuations()
    evacuations.merge({"": EvacuationRecord(True, 1, 1)}, "peer")
    evacuations.merge({"z" * (MAX_ZONE_LENGTH + 1): EvacuationRecord(True, 1, 1)}, "peer")
    evacuations.merge({"a": EvacuationRecord(True, 1, -1)}, "peer")
    assert evacuations.records() == {}
    for number in range(1, 3 * MAX_ENDED):
        evacuations.observe(f"z{number}", True, (1, 2 * number))
        evacuations.observe(f"z{number}", False, (1, 2 * number + 1))
    evacuations.observe("a", True, (1, 9_999))
    assert len(evacuations.records()) == MAX_ENDED + 1
    assert evacuations.zones == {"a"}


# Store


def test_evacuation_is_read_from_watch_and_listing_and_ends_with_its_item():
    async def scenario(hosted, store, watcher):
        evacuate(hosted, "a")
        await asyncio.sleep(REACT_S)
        evacuate(hosted, "b")
        watcher.watch_revision = None
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.zones == {"a", "b"}
        end(hosted, "a")
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.zones == {"b"}
        end(hosted, "b")
        hosted.compact()
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.zones == set()
        hosted.put(CONFIG, b"8")
        await asyncio.sleep(REACT_S)
        assert watcher.active_config.version == 8

    watch(scenario)


def test_item_that_is_written_while_the_store_is_listed_is_not_missed():
    for moment in ("list own/", "list op/", "list servers/"):

        async def scenario(hosted, store, watcher, moment=moment):
            evacuate(hosted, "b")

            def change(call):
                if call == moment:
                    store.before = lambda call: None
                    evacuate(hosted, "a")
                    end(hosted, "b")

            watcher.watch_revision = None
            store.before = change
            await asyncio.sleep(1.5)
            assert watcher.evacuations.zones == {"a"}, moment

        watch(scenario)


def test_listing_costs_as_many_calls_as_before():
    """The operator's items are listed in place of the read of the configuration."""
    calls = {}
    for format_type in (Format, OperatorFormat):
        made = calls[format_type] = []

        async def scenario(hosted, store, watcher, made=made):
            watcher.close()
            store.before = made.append
            await watcher._list_all()

        watch(scenario, format_type)
    assert "list op/" in calls[OperatorFormat]
    assert "read" not in calls[OperatorFormat]
    assert len(calls[OperatorFormat]) == len(calls[Format])


def test_platform_without_operator_items_knows_no_evacuations():
    async def scenario(hosted, store, watcher):
        evacuate(hosted, "a")
        hosted.compact()
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.records() == {}
        assert watcher.active_config.version == 1

    watch(scenario, Format)


def test_unavailable_store_changes_nothing():
    async def scenario(hosted, store, watcher):
        evacuate(hosted, "a")
        await asyncio.sleep(REACT_S)

        def refuse(call):
            raise StoreUnavailableError("the store is down")

        store.before = refuse
        await asyncio.sleep(30.0)
        assert watcher.evacuations.zones == {"a"}
        end(hosted, "a")
        store.before = lambda call: None
        await asyncio.sleep(2 * REACT_S)
        assert watcher.evacuations.zones == set()

    watch(scenario)


def test_restored_store_that_lost_the_item_ends_nothing_before_the_operator_rewrites_it():
    async def scenario(hosted, store, watcher):
        copy = hosted.copy()
        evacuate(hosted, "a")
        await asyncio.sleep(REACT_S)
        hosted.restore(copy)
        await asyncio.sleep(HOLD_S / 2)
        assert watcher.evacuations.zones == {"a"}
        evacuate(hosted, "a")
        await asyncio.sleep(2 * HOLD_S)
        assert watcher.evacuations.zones == {"a"}
        end(hosted, "a")
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.zones == set()
        assert watcher.evacuations.log == [("begun", "a"), ("ended", "a")]

    watch(scenario)


def test_evacuation_that_ended_just_before_a_restore_ends_at_last():
    """The operator's deletion is lost with the item, so no change ever tells of it."""

    async def scenario(hosted, store, watcher):
        copy = hosted.copy()
        evacuate(hosted, "a")
        await asyncio.sleep(REACT_S)
        end(hosted, "a")
        hosted.restore(copy)
        await asyncio.sleep(HOLD_S - 2.0)
        assert watcher.evacuations.zones == {"a"}
        await asyncio.sleep(4.0)
        assert watcher.evacuations.zones == set()

    watch(scenario)


def test_second_restore_begins_the_wait_for_the_operator_anew():
    async def scenario(hosted, store, watcher):
        copy = hosted.copy()
        evacuate(hosted, "a")
        await asyncio.sleep(REACT_S)
        hosted.restore(copy)
        await asyncio.sleep(HOLD_S - 2.0)
        hosted.restore(copy)
        await asyncio.sleep(4.0)
        assert watcher.evacuations.zones == {"a"}

    watch(scenario)


def test_restored_store_reinstates_an_ended_evacuation_until_it_is_deleted_again():
    async def scenario(hosted, store, watcher):
        evacuate(hosted, "a")
        copy = hosted.copy()
        await asyncio.sleep(REACT_S)
        end(hosted, "a")
        for _ in range(20):
            hosted.put("servers/e1", b"ready")
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.zones == set()
        hosted.restore(copy)
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.zones == {"a"}
        end(hosted, "a")
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.zones == set()

    watch(scenario)


def test_listing_across_a_restore_that_a_peer_told_of_is_discarded():
    """Items read before the restore were given positions after it, where no deletion beats them."""

    async def scenario(hosted, store, watcher):
        copy = hosted.copy()
        evacuate(hosted, "a")
        for _ in range(20):
            hosted.put("servers/e1", b"ready")

        def restore(call):
            if call == "list servers/":
                store.before = lambda call: None
                hosted.restore(copy)
                store.era.observe(hosted.era, "peer")

        watcher.close()
        watcher.watch_revision = None
        store.before = restore
        with pytest.raises(StoreRestoredError):
            await watcher._list_all()
        assert watcher.evacuations.records() == {}

    watch(scenario)


def test_daemon_that_stops_reading_the_store_goes_by_its_peers():
    async def scenario(hosted, store, watcher):
        evacuate(hosted, "a")
        await asyncio.sleep(REACT_S)
        watcher.should_follow = lambda: False
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.zones == {"a"}
        end(hosted, "a")
        revision = hosted.revision
        evacuate(hosted, "b")
        await asyncio.sleep(REACT_S)
        assert watcher.evacuations.zones == {"a"}
        records = {"a": EvacuationRecord(False, 1, revision), "b": EvacuationRecord(True, 1, 9)}
        watcher.evacuations.merge(records, "hub")
        assert watcher.evacuations.zones == {"b"}

    watch(scenario)


# Messages


def make_table(name, zone, clock, evacuations):
    table = PeerTable(name, clock, zone)
    table.on_evacuations = evacuations.merge
    table.make_digest = lambda: Digest(
        name, f"{name}:1", zone=zone, evacuations=evacuations.records()
    )
    return table


def exchange(one, other):
    """Exchange messages between two tables, as `PeerExchange` does."""
    peer = next(p for p in one.peers.values() if p.name == other.own_name)
    sender = other.receive(one.message_to(peer))
    one.receive(other.response_to(sender))


def make_fleet(zones, per_zone):
    clock = ManualClock()
    fleet = {}
    for zone, number in itertools.product(zones, range(per_zone)):
        name = f"edge-{zone}-{number}"
        evacuations = make_evacuations(clock)
        fleet[name] = (make_table(name, zone, clock, evacuations), evacuations)
    listed = [(name, f"{name}:1", table.zone) for name, (table, _) in fleet.items()]
    for table, _ in fleet.values():
        table.set_listed_daemons(listed)
    return clock, fleet


def exchange_all(clock, fleet, rng, lost=lambda one, other: False):
    """Let every daemon exchange messages with its targets once, in random order."""
    clock.advance_ms(100.0)
    for name in rng.sample(sorted(fleet), len(fleet)):
        table, _ = fleet[name]
        for peer in table.targets():
            if peer is not None and not lost(name, peer.name):
                exchange(table, fleet[peer.name][0])


@pytest.mark.parametrize("seed", range(5))
def test_one_daemon_with_the_store_tells_all_zones(seed):
    """All other daemons may be partitioned from the store, also the hubs of other zones."""
    clock, fleet = make_fleet("abc", 4)
    rng = random.Random(seed)
    exchange_all(clock, fleet, rng)
    _, reader = fleet[f"edge-{rng.choice('abc')}-{rng.randrange(4)}"]
    reader.apply_listing({"b": 7}, (1, 9))
    for _ in range(4):
        exchange_all(clock, fleet, rng)
    assert all(e.zones == {"b"} for _, e in fleet.values())
    reader.observe("b", False, (1, 12))
    for _ in range(4):
        exchange_all(clock, fleet, rng)
    assert all(e.zones == set() for _, e in fleet.values())


def test_daemon_cut_off_during_an_evacuation_brings_it_to_nobody_back():
    clock, fleet = make_fleet("ab", 3)
    rng = random.Random(1)
    exchange_all(clock, fleet, rng)
    _, reader = fleet["edge-a-0"]
    reader.apply_listing({"b": 7}, (1, 9))
    for _ in range(3):
        exchange_all(clock, fleet, rng)
    reader.observe("b", False, (1, 12))
    for _ in range(3):
        exchange_all(clock, fleet, rng, lambda one, other: "edge-b-2" in (one, other))
    assert fleet["edge-b-2"][1].zones == {"b"}
    for _ in range(3):
        exchange_all(clock, fleet, rng)
    assert all(e.zones == set() for _, e in fleet.values())
    assert sum(e.log.count(("begun", "b")) for _, e in fleet.values()) == len(fleet)


def test_messages_between_builds_are_read():
    evacuations = make_evacuations()
    table = make_table("own", "a", ManualClock(), evacuations)
    table.receive(b'{"digest": {"daemon": "other", "address": "127.0.0.1:1"}}')
    assert evacuations.records() == {}

    class EarlierDigest(msgspec.Struct):
        daemon: str
        address: str

    class EarlierMessage(msgspec.Struct):
        digest: EarlierDigest

    digest = Digest("d", "x", evacuations={"a": EvacuationRecord(True, 1, 2)})
    body = msgspec.json.encode(PeerMessage(digest))
    assert msgspec.json.decode(body, type=EarlierMessage).digest.daemon == "d"
    assert without_summarized_fields(digest).evacuations == digest.evacuations


def test_state_for_a_starting_daemon_tells_of_evacuations():
    records = {"a": EvacuationRecord(True, 2, 7), "b": EvacuationRecord(False, 1, 3)}
    state = decode_state(encode_state(PeerState(b"{}", 1, evacuations=records)))
    assert state.evacuations == records
    evacuations = make_evacuations()
    evacuations.merge(state.evacuations, "peer")
    assert evacuations.zones == {"a"}
