"""Tests of the store watcher, the endpoint directory and their behavior in store outages."""

import asyncio
from dataclasses import replace

import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import (
    ActiveConfig,
    AnswerCutShortError,
    EndpointDirectory,
    EngineReport,
    FleetConfig,
    HistoryGoneError,
    LeaseEndedError,
    MetadataStore,
    PeerExchange,
    PeerTable,
    PlatformFormat,
    ReplicaState,
    StoreEra,
    StoreItem,
    StoreUnavailableError,
    StoreWatcher,
)
from corianderhaven.fleet.tests.memory_fleet import endpoint, member
from corianderhaven.standins import HostedStore, run_in_virtual_time

CONFIG = "op/config"


class Format(PlatformFormat):
    endpoint_prefix = "servers/"
    config_key = CONFIG

    def decode_endpoint(self, endpoint_id, value):
        if value == b"fault":
            raise OverflowError("an error that no decoder foresaw")
        if value != b"ready":
            raise ValueError("it isn't ready")
        return endpoint(int(endpoint_id[1:]))

    def decode_config(self, value):
        return FleetConfig(int(value), (), {}, ())


class Store(MetadataStore):
    """Reads from a `HostedStore`; a hook runs before each call."""

    def __init__(self, hosted, era):
        super().__init__(era)
        self.hosted = hosted
        self.before = lambda call: None

    def _item(self, key):
        item = self.hosted.items.get(key)
        return StoreItem(key, item.value, item.revision, item.lease) if item else None

    async def _simulate_call(self, call):
        sent_in = self.era.number
        await asyncio.sleep(0.004)
        self.before(call)
        self.check_era(sent_in, self.hosted.era)

    async def read(self, key):
        await self._simulate_call("read")
        return self._item(key)

    async def list(self, prefix):
        await self._simulate_call(f"list {prefix}")
        keys = [k for k in sorted(self.hosted.items) if k.startswith(prefix)]
        return [self._item(k) for k in keys], self.hosted.revision

    async def watch(self, prefix, after, wait_ms):
        await self._simulate_call("watch")
        sent_in = self.era.number
        events = await self.hosted.wait_for_events(prefix, after, wait_ms)
        self.check_era(sent_in, self.hosted.era)
        if events is None:
            raise HistoryGoneError(prefix)
        items = [
            StoreItem(e["key"], None, e["revision"]) if e.get("deleted") else self._item(e["key"])
            for e in events
        ]
        return [i for i in items if i is not None], self.hosted.revision

    async def put_if(self, key, value, revision, lease=0):
        raise NotImplementedError

    async def grant_lease(self, ttl_ms):
        raise NotImplementedError

    async def renew_lease(self, lease):
        raise NotImplementedError

    async def revoke_lease(self, lease):
        raise NotImplementedError


def watch(scenario):
    """Run a scenario with a store and a started watcher in virtual time."""

    async def simulate(clock):
        hosted = HostedStore(clock)
        hosted.put(CONFIG, b"1")
        hosted.put("servers/e1", b"ready")
        hosted.put("servers/e2", b"ready")
        decisions = DecisionLog(clock)
        directory = EndpointDirectory(clock, decisions)
        active_config = ActiveConfig(Format().decode_config, decisions)
        store = Store(hosted, StoreEra(clock, decisions))
        watcher = StoreWatcher(store, Format(), directory, active_config, clock, decisions)
        watcher.own_prefix = "own/"
        watcher.start()
        await asyncio.sleep(0.5)
        await scenario(hosted, store, watcher)
        watcher.close()

    run_in_virtual_time(simulate)


def known_ids(watcher):
    return sorted(e.id for e in watcher.directory.endpoints())


def test_change_between_reads_of_a_listing_is_not_missed():
    """A daemon missed a configuration that was written while it listed the store again."""
    for moment in ("read", "list own/", "list servers/"):

        async def scenario(hosted, store, watcher, moment=moment):
            def write(call):
                if call == moment:
                    store.before = lambda call: None
                    hosted.put(CONFIG, b"27")
                    hosted.put("servers/e3", b"ready")

            watcher.watch_revision = None
            store.before = write
            await asyncio.sleep(1.5)
            assert watcher.active_config.config.version == 27, moment
            assert known_ids(watcher) == ["e1", "e2", "e3"]

        watch(scenario)


def test_older_and_unreadable_configurations_are_ignored():
    async def scenario(hosted, store, watcher):
        for value in (b"5", b"3", b"nonsense", b"4"):
            hosted.put(CONFIG, value)
            await asyncio.sleep(0.6)
            assert watcher.active_config.config.version == 5

    watch(scenario)


def test_compacted_history_leads_to_a_listing():
    async def scenario(hosted, store, watcher):
        hosted.delete("servers/e2")
        hosted.put(CONFIG, b"9")
        hosted.compact()
        await asyncio.sleep(1.0)
        assert watcher.active_config.config.version == 9
        assert known_ids(watcher) == ["e1"]

    watch(scenario)


def test_changes_that_fit_in_no_answer_lead_to_a_listing():
    """Guards against CONFIG and DRAIN: the same changes were asked for until history was gone."""

    async def scenario(hosted, store, watcher):
        cut = []

        def cut_short(call):
            if call == "watch" and watcher.watch_revision < hosted.revision:
                cut.append(watcher.watch_revision)
                raise AnswerCutShortError("body above 16777216 bytes")

        hosted.put("servers/e3", b"ready")
        await asyncio.sleep(0.1)  # the watch that waited has ended
        store.before = cut_short
        hosted.delete("servers/e2")
        hosted.put(CONFIG, b"9")
        await asyncio.sleep(1.0)
        assert watcher.active_config.config.version == 9
        assert known_ids(watcher) == ["e1", "e3"]
        (line,) = events_of(watcher, "store_changes_cut_short")
        assert cut == [line["after"]]

    watch(scenario)


def test_outage_removes_no_endpoint_and_entries_may_be_rewritten_after_it():
    async def scenario(hosted, store, watcher):
        def refuse(call):
            raise StoreUnavailableError("the store is down")

        store.before = refuse
        await asyncio.sleep(0.8)  # until the pending watch has ended
        hosted.delete("servers/e1")
        hosted.delete("servers/e2")
        await asyncio.sleep(5.0)
        assert known_ids(watcher) == ["e1", "e2"]
        store.before = lambda call: None
        await asyncio.sleep(1.0)
        hosted.put("servers/e1", b"ready")
        assert known_ids(watcher) == ["e1", "e2"]
        await asyncio.sleep(3.0)
        assert known_ids(watcher) == ["e1"]

    watch(scenario)


def test_call_that_failed_before_a_daemon_stood_by_is_no_outage_later():
    """Guards against DRAIN: an endpoint that was gone was kept for two seconds."""

    async def scenario(hosted, store, watcher):
        def refuse(call):
            raise StoreUnavailableError("the store is cut off")

        watcher.should_follow, watcher.needs_peers = lambda: False, lambda: True
        store.before = refuse
        await asyncio.sleep(2.0)
        assert watcher.failing_since_ms is not None
        watcher.needs_peers = lambda: False
        store.before = lambda call: None
        await asyncio.sleep(5.0)
        hosted.delete("servers/e1")
        watcher.should_follow = lambda: True
        await asyncio.sleep(0.5)
        assert known_ids(watcher) == ["e2"]

    watch(scenario)


def test_entry_deleted_without_an_outage_is_removed_at_once():
    async def scenario(hosted, store, watcher):
        hosted.delete("servers/e1")
        await asyncio.sleep(0.6)
        assert known_ids(watcher) == ["e2"]

    watch(scenario)


def test_unreadable_entry_removes_only_its_own_endpoint():
    async def scenario(hosted, store, watcher):
        hosted.put("servers/e7", b"\xff\x00")
        hosted.put("servers/e1", b"\xff\x00")
        await asyncio.sleep(0.6)
        assert known_ids(watcher) == ["e2"]

    watch(scenario)


def events_of(watcher, name):
    return [entry for entry in watcher.decisions.entries if entry["event"] == name]


@pytest.mark.parametrize("listed", [True, False])
def test_entry_whose_decoding_fails_ends_neither_the_reading_nor_other_entries(listed):
    """Such an entry in a listing ended the daemon, again after each start."""

    async def scenario(hosted, store, watcher):
        hosted.put("servers/e1", b"fault")
        if listed:
            hosted.compact()
        await asyncio.sleep(0.6)
        hosted.put("servers/e3", b"ready")
        await asyncio.sleep(0.6)
        assert not watcher.task.done()
        assert known_ids(watcher) == ["e2", "e3"]
        (line,) = events_of(watcher, "endpoint_unreadable")
        assert line["endpoint"] == "e1"
        assert line["reason"] == "an error that no decoder foresaw"

    watch(scenario)


def test_entry_that_cannot_be_applied_leaves_the_others_of_a_listing():
    directory = EndpointDirectory(ManualClock(), DecisionLog(ManualClock()))
    directory.update("e1", endpoint(1), 3)
    odd = replace(endpoint(1), started_ms="9")
    directory.replace_all([("e1", odd, 4), ("e2", endpoint(2), 5)])
    assert directory.get("e2") is not None
    assert directory.synced


def test_unreadable_entry_is_logged_once_however_often_it_is_read_or_written():
    async def scenario(hosted, store, watcher):
        for _ in range(5):
            hosted.put("servers/e7", b"nonsense")
            await asyncio.sleep(0.6)
            watcher.watch_revision = None
            await asyncio.sleep(0.6)
        assert len(events_of(watcher, "endpoint_unreadable")) == 1
        for value in (b"ready", b"nonsense"):
            hosted.put("servers/e7", value)
            await asyncio.sleep(0.6)
        assert [entry["known"] for entry in events_of(watcher, "endpoint_unreadable")] == [
            False,
            True,
        ]
        hosted.delete("servers/e7")
        await asyncio.sleep(0.6)
        assert not watcher.unreadable

    watch(scenario)


@pytest.mark.parametrize(
    ("known_state", "reported_state", "applied"),
    [
        (ReplicaState.READY, ReplicaState.JOINING, False),
        (ReplicaState.BROKEN, ReplicaState.OPEN, False),
        (ReplicaState.JOINING, ReplicaState.READY, True),
        (ReplicaState.READY, ReplicaState.OPEN, True),
    ],
)
def test_late_entry_does_not_revert_a_reported_state(known_state, reported_state, applied):
    async def simulate(clock):
        directory = EndpointDirectory(clock, DecisionLog(clock))
        known_entry = member(endpoint(1, entry_number=4), "r", 0, known_state)
        late_entry = member(endpoint(1, entry_number=5), "r", 0, reported_state)
        directory.update("e1", known_entry, 10)
        directory.update("e1", late_entry, 11)
        return directory.get("e1").membership.state

    assert run_in_virtual_time(simulate) is (reported_state if applied else known_state)


def test_earlier_entry_of_the_same_incarnation_is_ignored():
    async def simulate(clock):
        directory = EndpointDirectory(clock, DecisionLog(clock))
        directory.update("e1", endpoint(1, entry_number=9, zone="new"), 10)
        directory.update("e1", endpoint(1, entry_number=8, zone="old"), 11)
        return directory.get("e1").zone

    assert run_in_virtual_time(simulate) == "new"


@pytest.mark.parametrize(("daemons", "most_calls"), [(1, 9), (4, 9), (12, 7), (36, 5), (360, 5)])
def test_call_rate_grows_more_slowly_than_the_number_of_daemons(daemons, most_calls):
    """36 daemons made 139 calls per second, which cost a tenth of a benchmark run's score."""

    async def scenario(hosted, store, watcher):
        watcher.daemon_count = lambda: daemons
        calls = []
        store.before = calls.append
        for number in range(80):
            hosted.put("servers/e1", b"ready" if number % 2 else b"ready ")
            await asyncio.sleep(0.05)
        assert 3 <= len(calls) <= 2 * most_calls
        watcher.use_min_interval = lambda: True
        await asyncio.sleep(1.0)
        del calls[:]
        for number in range(40):
            hosted.put("servers/e1", b"ready" if number % 2 else b"ready ")
            await asyncio.sleep(0.05)
        assert 7 <= len(calls) <= 10

    watch(scenario)


@pytest.mark.parametrize("daemons", [4, 360])
def test_configuration_is_adopted_in_time_for_any_number_of_daemons(daemons):
    async def scenario(hosted, store, watcher):
        watcher.daemon_count = lambda: daemons
        for version in (5, 6, 7):
            hosted.put(CONFIG, b"%d" % version)
            await asyncio.sleep(1.2)
            assert watcher.active_config.config.version == version

    watch(scenario)


def directory_with(entry):
    clock = ManualClock()
    directory = EndpointDirectory(clock, DecisionLog(clock))
    directory.update(entry.id, entry, 3)
    return directory


def test_relisted_entry_does_not_revert_a_later_report():
    """An endpoint that was cut off from the store left its replica.

    Its entry stayed unchanged, and each listing restored the old membership in the daemons.
    """
    member_entry = member(endpoint(1, started_ms=7), "m.1.2", 0, generation=12)
    directory = directory_with(member_entry)
    directory.update_from_report("e1", EngineReport(7, False, (), None, 0, 0, 1.0))
    assert directory.get("e1").membership is None
    directory.replace_all([("e1", member_entry, 3)])
    assert directory.get("e1").membership is None
    directory.update("e1", member_entry, 4)
    assert directory.get("e1").membership.replica == "m.1.2"


def report_of(started_ms):
    return EngineReport(started_ms, False, ("m",), None, 0, 0, 1.0)


def test_report_of_the_next_endpoint_at_an_address_is_not_that_of_the_ended_one():
    """A replica counted one endpoint twice, as its own and under the ended one's id."""
    ended = endpoint(1, started_ms=7)
    directory = directory_with(ended)
    directory.update("e2", replace(endpoint(2, started_ms=9), address=ended.address), 4)
    assert not directory.update_from_report("e1", report_of(9))
    assert directory.get("e1").started_ms == 7
    assert directory.update_from_report("e2", report_of(9))
    assert directory.get("e2").staged == ("m",)


def test_entry_shows_whose_report_seemed_to_be_a_restart():
    """The report comes before the entry of the endpoint that has the address now."""
    ended = endpoint(1, started_ms=7)
    directory = directory_with(ended)
    assert directory.update_from_report("e1", report_of(9))  # a restart, as far as is known
    directory.update("e2", replace(endpoint(2, started_ms=9), address=ended.address), 4)
    assert directory.get("e1") is None
    assert directory.update_from_report("e2", report_of(9))


def test_late_entry_of_the_ended_endpoint_does_not_confirm_its_seeming_restart():
    ended = endpoint(1, started_ms=7)
    directory = directory_with(ended)
    assert directory.update_from_report("e1", report_of(9))
    directory.update("e1", ended, 4)
    directory.update("e2", replace(endpoint(2, started_ms=9), address=ended.address), 5)
    assert directory.get("e1") is None


def test_endpoint_that_seemed_to_restart_may_start_again_elsewhere():
    """Its own start is earlier than that of the endpoint at its old address."""
    directory = directory_with(endpoint(1, started_ms=7))
    assert directory.update_from_report("e1", report_of(9))
    directory.remove("e1")
    directory.update("e1", replace(endpoint(1, started_ms=8), address="127.0.0.1:77"), 5)
    assert directory.get("e1") is not None


def test_restart_under_the_same_id_and_address_is_known_from_the_report():
    directory = directory_with(endpoint(1, started_ms=7))
    assert directory.update_from_report("e1", report_of(9))
    assert directory.get("e1").started_ms == 9
    directory.update("e1", endpoint(1, started_ms=9), 4)
    assert directory.reported_restarts == set()
    assert directory.update_from_report("e1", report_of(9))


def test_opened_head_is_known_from_the_keeper_before_its_entry():
    directory = directory_with(endpoint(1, started_ms=7))
    directory.update_from_keeper("e1", "m.1.2", 12, 7)
    assert directory.get("e1").membership.state is ReplicaState.OPEN


def test_report_of_the_keeper_is_ignored_for_other_incarnations_and_older_replicas():
    restarted = directory_with(endpoint(1, started_ms=8))
    restarted.update_from_keeper("e1", "m.1.2", 12, 7)
    assert restarted.get("e1").membership is None
    newer = directory_with(member(endpoint(1, started_ms=7), "m.1.3", 0, generation=13))
    newer.update_from_keeper("e1", "m.1.2", 12, 7)
    assert newer.get("e1").membership.replica == "m.1.3"


def test_announcement_of_an_opened_head_does_not_bring_it_back():
    """A former keeper's digest came back by a zone's summary after the head had left."""
    directory = directory_with(member(endpoint(1, entry_number=4), "m.1.2", 0, generation=12))
    directory.update("e1", endpoint(1, entry_number=5), 4)
    directory.update_from_keeper("e1", "m.1.2", 12, 0)
    assert directory.get("e1").membership is None


def test_record_is_written_after_its_first_write_failed():
    """Only its lease was renewed from then on, and no peer ever found the daemon."""

    async def simulate(clock):
        hosted = HostedStore(clock)
        decisions = DecisionLog(clock)
        store = RecordStore(hosted, StoreEra(clock, decisions))
        table = PeerTable("own", clock, "a")
        watcher = StoreWatcher(
            store,
            Format(),
            EndpointDirectory(clock, decisions),
            ActiveConfig(Format().decode_config, decisions),
            clock,
            decisions,
        )
        exchange = PeerExchange(table, store, watcher, "own/daemons/", "x:1", decisions, None)
        exchange.start()
        await asyncio.sleep(6.0)
        exchange.close()
        return sorted(hosted.items)

    assert run_in_virtual_time(simulate) == ["own/daemons/own"]


class RecordStore(Store):
    """Store whose first write fails."""

    failures = 1

    async def put_if(self, key, value, revision, lease=0):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("the store is down")
        return self.hosted.put(key, value, lease)

    async def grant_lease(self, ttl_ms):
        return self.hosted.grant_lease(ttl_ms)

    async def renew_lease(self, lease):
        if not self.hosted.renew_lease(lease):
            raise LeaseEndedError(str(lease))


def test_item_that_can_not_be_applied_does_not_keep_others_out():
    async def scenario(hosted, store, watcher):
        update = watcher.directory.update

        def fail_for_one(endpoint_id, endpoint_, revision):
            if endpoint_id == "e5":
                raise ZeroDivisionError("unexpected")
            update(endpoint_id, endpoint_, revision)

        watcher.directory.update = fail_for_one
        hosted.put("servers/e5", b"ready")
        hosted.put("servers/e6", b"ready")
        await asyncio.sleep(0.6)
        assert known_ids(watcher) == ["e1", "e2", "e6"]
        assert not watcher.task.done()

    watch(scenario)
