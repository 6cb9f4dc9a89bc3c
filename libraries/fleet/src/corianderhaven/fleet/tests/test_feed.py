"""Tests of the feed from the daemons that follow the store to the others of their zone."""

import random
from dataclasses import replace

import msgspec
import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import (
    EndpointDirectory,
    Feed,
    FeedReader,
    FeedRequest,
    FeedWriter,
    Membership,
    ReplicaState,
    StoreItem,
)
from corianderhaven.fleet._directory import EndpointRecord
from corianderhaven.fleet.tests.memory_fleet import endpoint, member


class WatcherFake:
    """Store watcher of which the test decides what it read, and when."""

    def __init__(self, clock, following):
        self.clock = clock
        self.following = following
        self.own_items = {}
        self.store_position = (0, 0)
        self.read_ms = clock.now_ms()
        self.on_own_change = lambda key: None

    def success_age_ms(self):
        return self.clock.now_ms() - self.read_ms if self.read_ms is not None else -1.0

    def set_own_items(self, items):
        changed = {
            k for k in items.keys() | self.own_items if items.get(k) != self.own_items.get(k)
        }
        self.own_items = items
        for key in changed:
            self.on_own_change(key)


def make_side(clock, following, name):
    decisions = DecisionLog(clock)
    directory = EndpointDirectory(clock, decisions)
    directory.synced = following
    watcher = WatcherFake(clock, following)
    if following:
        return FeedWriter(directory, watcher, clock)
    return FeedReader(directory, watcher, name, clock, decisions)


def exchange(writer, reader, name="a"):
    """Let a reader ask a follower once, over the wire; returns the feed or None."""
    request = reader.request(name)
    if request is None:
        return None
    feed = writer.answer(msgspec.json.decode(msgspec.json.encode(request), type=FeedRequest))
    if feed is None:
        return None
    feed = msgspec.json.decode(msgspec.json.encode(feed), type=Feed)
    reader.apply(feed, name)
    return feed


def contents(side):
    return {k: (r.endpoint, r.revision) for k, r in side.directory.records.items()}


def make_pair():
    clock = ManualClock()
    return clock, make_side(clock, True, "a"), make_side(clock, False, "c")


def test_reader_gets_everything_once_and_then_changes_only():
    _, writer, reader = make_pair()
    for number in range(20):
        writer.directory.update(f"e{number}", endpoint(number, entry_number=1), (1, number + 1))
    writer.watcher.set_own_items({"own/x": StoreItem("own/x", b"v", 7)})
    assert exchange(writer, reader).full
    assert contents(reader) == contents(writer)
    assert reader.watcher.own_items["own/x"].value == b"v"
    writer.directory.update("e3", endpoint(3, entry_number=2), (1, 40))  # nothing that matters
    feed = exchange(writer, reader)
    assert (feed.full, feed.endpoints, feed.removed) == (False, [], [])
    head = member(endpoint(4, entry_number=3), "m.1.2", 0, ReplicaState.OPEN)
    writer.directory.update("e4", head, (1, 41))
    writer.directory.remove("e5")
    writer.watcher.set_own_items({})
    feed = exchange(writer, reader)
    assert ([row.id for row in feed.endpoints], feed.removed) == (["e4"], ["e5"])
    assert reader.directory.get("e4").membership == head.membership
    assert reader.directory.get("e5") is None
    assert reader.watcher.own_items == {}


@pytest.mark.parametrize("seed", range(40))
def test_readers_agree_with_their_follower_whatever_is_lost(seed):
    """Follows random changes, lost answers, restarts of followers and switches between two."""
    rng = random.Random(seed)
    clock = ManualClock()
    writers = {"a": make_side(clock, True, "a"), "b": make_side(clock, True, "b")}
    reader = make_side(clock, False, "c")
    revision, numbers = 1, {}
    for _ in range(300):
        clock.advance_ms(rng.uniform(20.0, 300.0))
        revision += 1
        action = rng.choice(["write", "write", "write", "remove", "lose", "restart", "silent"])
        key = rng.randrange(12)
        if action == "write":
            numbers[key] = numbers.get(key, 0) + 1
            state = rng.choice([None, ReplicaState.READY, ReplicaState.OPEN])
            entry = endpoint(key, entry_number=numbers[key], started_ms=1)
            if state is not None:
                entry = member(entry, f"m.{numbers[key]}.1", 0, state, generation=numbers[key])
            for writer in writers.values():
                writer.directory.update(f"e{key}", entry, (1, revision))
        elif action == "remove":
            for writer in writers.values():
                writer.directory.remove(f"e{key}")
        elif action == "restart":
            name = rng.choice("ab")
            old, writers[name] = writers[name], make_side(clock, True, name)
            for record in old.directory.records.values():
                writers[name].directory.update(record.endpoint.id, record.endpoint, record.revision)
        elif action == "lose":
            request = reader.request("a")
            if request is not None:
                writers["a"].answer(request)
        silent = rng.choice("ab") if action == "silent" else None
        for name in "ab":
            if name != silent:
                exchange(writers[name], reader, name)
    clock.advance_ms(1_000.0)
    for name in "ab":
        exchange(writers[name], reader, name)
    assert {k: e for k, (e, _) in contents(reader).items()} == {
        k: e for k, (e, _) in contents(writers["a"]).items()
    }


def test_follower_that_loses_the_store_makes_its_readers_stale():
    clock, writer, reader = make_pair()
    exchange(writer, reader)
    clock.advance_ms(500.0)
    exchange(writer, reader)
    assert reader.stale_for_ms() == 500.0  # the store answered the follower that long ago
    writer.watcher.read_ms = None
    for _ in range(10):
        clock.advance_ms(200.0)
        exchange(writer, reader)
    assert reader.stale_for_ms() == 2_500.0
    writer.watcher.read_ms = clock.now_ms()
    exchange(writer, reader)
    assert reader.stale_for_ms() == 0.0


@pytest.mark.parametrize(
    "odd",
    [
        {"slots": 0},
        {"slots": 10**400},
        {"entry_number": 10**30},
        {"started_ms": -1},
        {"started_ms": 10**30},
        {"membership": Membership("m.7.1", 10**400, 0, ReplicaState.OPEN)},
        {"membership": Membership("m.7.1", 70_001, -1, ReplicaState.OPEN)},
        {"membership": Membership("m.7.1", 70_001, 0, "undefined")},
    ],
    ids=lambda odd: ascii(odd)[:60],
)
@pytest.mark.parametrize("known", [True, False])
def test_odd_row_of_an_earlier_follower_hides_no_other_and_names_no_endpoint(odd, known):
    clock, writer, reader = make_pair()
    writer.directory.update("e1", endpoint(1), (1, 10))
    if known:
        writer.directory.update("e2", endpoint(2), (1, 11))
        exchange(writer, reader)
        exchange(writer, reader)
        assert reader.directory.get("e2") is not None
    writer.directory.records["e2"] = EndpointRecord(replace(endpoint(2), **odd), 0.0, (1, 12))
    writer.record_endpoint("e2")
    writer.directory.update("e3", endpoint(3), (1, 13))
    exchange(writer, reader)
    exchange(writer, reader)
    assert contents(reader).keys() == {"e1", "e3"}
    assert reader.position == writer.position
    lines = [e for e in reader.decisions.entries if e["event"] == "endpoint_unreadable"]
    assert [line["endpoint"] for line in lines] == ["e2"]


def make_zone():
    """Return a clock, two followers that know one endpoint, and a reader that follows the first."""
    clock = ManualClock()
    followers = {"a": make_side(clock, True, "a"), "b": make_side(clock, True, "b")}
    for writer in followers.values():
        writer.directory.update("e1", endpoint(1, entry_number=5), (1, 10))
        writer.watcher.store_position = (1, 10)
    reader = make_side(clock, False, "c")
    return clock, followers, reader


def run_exchanges(clock, followers, reader, reading, duration_ms, interval_ms=100.0):
    """Exchange with all followers at intervals; those in `reading` have read the store just now."""
    until_ms = clock.now_ms() + duration_ms
    while clock.now_ms() < until_ms:
        clock.advance_ms(interval_ms)
        for name, writer in followers.items():
            if name in reading:
                writer.watcher.read_ms = clock.now_ms()
            exchange(writer, reader, name)


def test_reader_leaves_a_follower_that_is_cut_from_the_store():
    """Guards against DRAIN: a reader used an endpoint for seconds after its entry was removed."""
    clock, followers, reader = make_zone()
    run_exchanges(clock, followers, reader, ("a", "b"), 1_000.0)
    assert reader.follower == "a"
    followers["b"].directory.remove("e1")
    followers["b"].watcher.store_position = (1, 11)
    run_exchanges(clock, followers, reader, ("b",), 1_600.0)
    assert reader.follower == "b"
    assert reader.directory.get("e1") is None
    assert reader.stale_for_ms() == 0.0


def test_outdated_follower_brings_no_endpoint_back():
    """Guards against DRAIN: a stale feed restored an endpoint whose removal had been read."""
    clock, followers, reader = make_zone()
    run_exchanges(clock, followers, reader, ("a", "b"), 300.0)
    followers["a"].directory.update("e1", endpoint(1, entry_number=6), (1, 11))
    followers["a"].watcher.store_position = (1, 11)
    reader.watcher.following = True  # it reads the store itself for a while
    reader.directory.remove("e1")
    reader.watcher.store_position = (1, 12)
    run_exchanges(clock, followers, reader, (), 300.0)
    reader.watcher.following = False
    run_exchanges(clock, {"a": followers["a"]}, reader, (), 300.0)
    assert reader.directory.get("e1") is None
    followers["a"].directory.remove("e1")
    followers["a"].directory.update("e2", endpoint(2), (1, 12))
    followers["a"].watcher.store_position = (1, 13)
    run_exchanges(clock, {"a": followers["a"]}, reader, ("a",), 300.0)
    assert reader.directory.get("e2") is not None


def test_outdated_follower_of_an_earlier_version_brings_no_endpoint_back(monkeypatch):
    """Guards against DRAIN while a site runs two versions: the older one tells no position."""
    clock, followers, reader = make_zone()
    answer = FeedWriter.answer

    def answer_without_position(writer, request):
        feed = answer(writer, FeedRequest(request.source, request.position, request.contents))
        feed.store_position, feed.contents = (0, 0), True
        return feed

    monkeypatch.setattr(FeedWriter, "answer", answer_without_position)
    run_exchanges(clock, followers, reader, ("a", "b"), 300.0)
    followers["a"].directory.update("e1", endpoint(1, entry_number=6), (1, 11))
    followers["b"].directory.remove("e1")
    run_exchanges(clock, followers, reader, ("b",), 1_600.0)
    assert reader.directory.get("e1") is None
    run_exchanges(clock, {"a": followers["a"]}, reader, (), 1_500.0)
    assert reader.follower == "a"
    assert reader.directory.get("e1") is None
    followers["a"].directory.remove("e1")
    followers["a"].directory.update("e2", endpoint(2), (1, 12))
    run_exchanges(clock, {"a": followers["a"]}, reader, ("a",), 300.0)
    assert reader.directory.get("e2") is not None


def test_feed_without_a_position_in_the_store_is_applied():
    """Daemons of an earlier version don't tell theirs."""
    _, followers, reader = make_zone()
    feed = followers["a"].answer(reader.request("a"))
    reader.watcher.store_position = (1, 12)
    feed.store_position = (0, 0)
    reader.apply(feed, "a")
    assert reader.directory.get("e1") is not None


def test_daemon_that_does_not_follow_gives_no_feed():
    _, writer, reader = make_pair()
    writer.watcher.following = False
    assert exchange(writer, reader) is None


def test_of_two_that_began_to_follow_the_first_goes_on():
    clock = ManualClock()
    first, second = make_side(clock, True, "c"), make_side(clock, True, "d")
    reader_of_first = make_side(clock, False, "c")
    reader_of_second = make_side(clock, False, "d")
    for reader, writer in ((reader_of_first, first), (reader_of_second, second)):
        reader.watcher = writer.watcher
    clock.advance_ms(3_000.0)
    first.watcher.read_ms = second.watcher.read_ms = clock.now_ms()
    assert exchange(second, reader_of_first, "d") is None
    feed = exchange(first, reader_of_second, "c")
    assert (feed.full, feed.endpoints) == (False, [])
    assert reader_of_first.stale_for_ms() == 3_000.0
    assert reader_of_second.stale_for_ms() == 0.0


def test_leaving_word_is_not_undone_by_a_feed():
    _, writer, reader = make_pair()
    writer.directory.update("e1", endpoint(1, started_ms=5, entry_number=2), (1, 4))
    exchange(writer, reader)
    reader.directory.mark_leaving("e1", 5, "answer")
    changed = replace(endpoint(1, started_ms=5, entry_number=3), staged=("m",))
    writer.directory.update("e1", changed, (1, 9))
    exchange(writer, reader)
    assert reader.directory.get("e1").staged == ("m",)
    assert reader.directory.get("e1").leaving


def test_turn_between_cold_and_warm_reaches_readers():
    """Routing doesn't compare the time, so it would otherwise stay at the daemon that reads it."""
    clock = ManualClock()
    writer, reader = make_side(clock, True, "a"), make_side(clock, False, "r")
    writer.directory.on_entry = lambda entry, previous: (
        previous is not None
        and (entry.warmup_remaining_ms > 0.0) != (previous.warmup_remaining_ms > 0.0)
    )
    heard = []
    warm = replace(endpoint(1), entry_number=1)
    writer.directory.update("e1", warm, (1, 1))
    exchange(writer, reader)
    reader.directory.on_entry = lambda entry, previous: heard.append(entry.warmup_remaining_ms)
    version = writer.directory.version
    entries = [(2, 2_000.0), (3, 1_990.0), (4, 0.0)]
    for number, remaining_ms in entries:
        entry = replace(warm, entry_number=number, warmup_remaining_ms=remaining_ms)
        writer.directory.update("e1", entry, (1, number))
        clock.advance_ms(100.0)
        exchange(writer, reader)
    assert heard == [1_900.0, 0.0]
    assert writer.directory.version == version
