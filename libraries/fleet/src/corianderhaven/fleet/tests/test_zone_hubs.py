"""Tests of the exchange of state between zones through hubs."""

import random
from collections import Counter

import msgspec
import pytest

from corianderhaven.common import ManualClock
from corianderhaven.fleet import Digest, HeadDigest, PeerMessage, PeerTable

EXCHANGE_INTERVAL_MS = 100.0


class ZonedDaemons:
    """Daemons of several zones that exchange digests in rounds, with network partitions."""

    def __init__(self, sizes):
        self.clock = ManualClock()
        self.records = [
            (f"{zone}-{n:02}", f"10.0.{z}.{n}:1", zone)
            for z, (zone, size) in enumerate(sizes.items())
            for n in range(size)
        ]
        self.tables = {}
        self.own = {name: {} for name, _, _ in self.records}
        self.reachable = dict.fromkeys(self.own, True)
        self.suspects = {name: {} for name in self.own}
        self.failed = set()
        self.cuts = set()
        self.messages = dict.fromkeys(self.own, 0)
        for name, address, zone in self.records:
            self.add(name, address, zone)

    def add(self, name, address, zone):
        table = PeerTable(name, self.clock, zone)
        table.make_digest = lambda: Digest(
            name,
            address,
            {h: HeadDigest(n, 5.0) for h, n in self.own[name].items()},
            self.suspects[name],
            self.reachable[name],
            zone=zone,
        )
        table.set_listed_daemons(self.records)
        self.tables[name] = table

    def can_exchange(self, one, other):
        zones = frozenset((self.tables[one].zone, self.tables[other].zone))
        return one not in self.failed and other not in self.failed and zones not in self.cuts

    def step(self, rounds=1):
        for _ in range(rounds):
            self.clock.advance_ms(EXCHANGE_INTERVAL_MS)
            for name, table in self.tables.items():
                for peer in table.targets() if name not in self.failed else ():
                    self.exchange(table, peer)

    def exchange(self, table, peer):
        self.messages[table.own_name] += 1
        if not self.can_exchange(table.own_name, peer.name):
            table.mark_unreachable(peer)
            return
        other = self.tables[peer.name]
        sender = other.receive(table.message_to(peer))
        table.receive(other.response_to(sender))

    def running_tables(self):
        return [t for n, t in self.tables.items() if n not in self.failed]


SIZES = [{"a": 2, "b": 1, "c": 1}, {"a": 12, "b": 12, "c": 12}, {"a": 1, "b": 5}, {"a": 3}]


@pytest.mark.parametrize("sizes", SIZES)
def test_every_daemon_counts_the_load_of_each_other_daemon_once(sizes):
    fleet = ZonedDaemons(sizes)
    for number, name in enumerate(fleet.own):
        fleet.own[name] = {"h": 1 + number, f"own-{name}": 2}
    fleet.step(4)
    total = sum(own["h"] for own in fleet.own.values())
    for name, table in fleet.tables.items():
        assert table.peer_requests_at("h") == total - fleet.own[name]["h"]
        assert table.reporting_daemons() == len(fleet.own) - 1
        assert table.all_peers_reporting()
        assert all(table.peer_requests_at(f"own-{o}") == 2 * (o != name) for o in fleet.own)
        assert fleet.clock.now_ms() - table.last_activity_ms("h") < 400.0


def test_message_rate_of_a_daemon_is_independent_of_zone_size():
    counts = []
    for size in (4, 12, 33):
        fleet = ZonedDaemons(dict.fromkeys("abc", size))
        fleet.step(10)
        counts.append([fleet.messages[f"a-{n:02}"] for n in range(size)])
    assert [max(c[2:]) for c in counts] == [20, 20, 20]
    assert [c[0] for c in counts] == [counts[0][0]] * 3


@pytest.mark.parametrize("failed", [["a-00"], ["a-01"], ["a-00", "a-01"]])
def test_zone_replaces_failed_hubs(failed):
    fleet = ZonedDaemons({"a": 6, "b": 3})
    for name in fleet.own:
        fleet.own[name] = {"h": 1}
    fleet.step(3)
    fleet.failed |= set(failed)
    for name in failed:
        fleet.own[name] = {}
    fleet.step(12)
    assert {t.peer_requests_at("h") for t in fleet.running_tables()} == {
        len(fleet.running_tables()) - 1
    }


def test_partitioned_zone_keeps_its_own_load_and_drops_that_of_others():
    fleet = ZonedDaemons({"a": 4, "b": 4})
    for name in fleet.own:
        fleet.own[name] = {"h": 1}
    fleet.step(4)
    fleet.cuts.add(frozenset("ab"))
    fleet.step(15)
    assert {t.peer_requests_at("h") for t in fleet.tables.values()} == {3}
    assert not any(t.all_peers_reporting() for t in fleet.tables.values())
    fleet.cuts.clear()
    fleet.step(15)
    assert {t.peer_requests_at("h") for t in fleet.tables.values()} == {7}


@pytest.mark.parametrize("sizes", SIZES)
def test_outage_is_confirmed_when_all_daemons_of_all_zones_have_lost_the_store(sizes):
    fleet = ZonedDaemons(sizes)
    for name in fleet.own:
        fleet.reachable[name] = False
    fleet.step(5)
    assert all(t.store_outage_confirmed() for t in fleet.tables.values())
    fleet.reachable[list(fleet.own)[-1]] = True
    fleet.step(4)
    others = [t for n, t in fleet.tables.items() if n != list(fleet.own)[-1]]
    assert not any(t.store_outage_confirmed() for t in others)


def test_silent_daemon_of_another_zone_prevents_confirmation_of_an_outage():
    fleet = ZonedDaemons({"a": 4, "b": 4})
    for name in fleet.own:
        fleet.reachable[name] = False
    fleet.step(4)
    fleet.failed.add("b-03")
    fleet.step(9)
    assert not any(t.store_outage_confirmed() for t in fleet.running_tables())


def test_confirmation_of_an_outage_expires_with_its_oldest_digest():
    """A new keeper waits `TAKEOVER_DELAY_MS`; by then, older confirmations must be invalid."""
    fleet = ZonedDaemons({"a": 4, "b": 4})
    for name in fleet.own:
        fleet.reachable[name] = False
    fleet.step(4)
    fleet.reachable["b-03"] = True
    fleet.failed.add("b-03")  # so it can't report that it reaches the store
    start_ms = fleet.clock.now_ms()
    while any(t.store_outage_confirmed() for t in fleet.running_tables()):
        fleet.step()
        assert fleet.clock.now_ms() - start_ms <= 600.0 + EXCHANGE_INTERVAL_MS


def test_suspicion_reaches_all_daemons_with_its_age():
    fleet = ZonedDaemons({"a": 6, "b": 6})
    received_ages = {name: [] for name in fleet.own}
    for name, table in fleet.tables.items():
        table.on_suspects = lambda suspects, _, name=name: received_ages[name].append(suspects["h"])
    fleet.step(3)
    fleet.suspects["b-05"] = {"h": 100.0}
    fleet.step(3)
    assert all(received_ages[name] for name in fleet.own if name != "b-05")
    assert all(age >= 100.0 for ages in received_ages.values() for age in ages)


def test_load_of_all_heads_is_aggregated_once_per_choice(monkeypatch):
    """Choosing a head became too slow: each query of a head's load aggregated all daemons."""
    fleet = ZonedDaemons({"a": 12, "b": 12, "c": 12})
    fleet.step(3)
    table, summaries = fleet.tables["a-07"], []
    summarize = table._summarize_direct_digests
    monkeypatch.setattr(
        table, "_summarize_direct_digests", lambda *a: summaries.append(1) or summarize(*a)
    )
    for number in range(60):
        table.peer_requests_at(f"h{number}")
        assert table.all_peers_reporting()
        table.last_activity_ms(f"h{number}")
    assert len(summaries) <= 1


@pytest.mark.parametrize("seed", range(30))
def test_summary_for_a_member_is_the_sum_of_all_others(seed):
    """It is worked out from one sum for all members, less what the member itself reported."""
    rng = random.Random(seed)
    clock = ManualClock()
    hub = PeerTable("a", clock, "z")
    hub.make_digest = lambda: Digest("a", "127.0.0.1:1", {"h1": HeadDigest(2, 5.0)}, zone="z")
    digests = {}
    for _ in range(40):
        clock.advance_ms(rng.uniform(0.0, 30.0))
        name = f"m{rng.randrange(6)}"
        heads = {f"h{n}": HeadDigest(rng.randrange(1, 9), 3.0) for n in rng.sample(range(8), 3)}
        suspects = {f"h{n}": 10.0 for n in rng.sample(range(8), 1) if rng.random() < 0.3}
        digests[name] = Digest(name, f"127.0.0.1:{name[1:]}", heads, suspects, zone="z")
        peer = hub.receive(msgspec.json.encode(PeerMessage(digests[name])))
        hub.direct = None  # as after the time for which the sum is kept
        answer = msgspec.json.decode(hub.response_to(peer), type=PeerMessage)
        summary = next(s for s in answer.zones if s.zone == "z")
        others = [d for n, d in digests.items() if n != name]
        expected = Counter({"h1": 2})
        for digest in others:
            expected.update({i: h.own for i, h in digest.heads.items()})
        assert {i: h.own for i, h in summary.heads.items() if h.own} == dict(expected)
        assert summary.suspects.keys() == {i for d in others for i in d.suspects}
        assert summary.daemons == len(others) + 1
        assert summary.complete


def test_sum_of_a_zone_is_worked_out_once_for_many_members():
    clock = ManualClock()
    hub = PeerTable("a", clock, "z")
    peers = [
        hub.receive(msgspec.json.encode(PeerMessage(Digest(f"m{n}", f"127.0.0.1:{n}", zone="z"))))
        for n in range(30)
    ]
    sums = []
    for peer in peers:
        hub.response_to(peer)
        sums.append(hub.direct)
        clock.advance_ms(1.0)
    assert len({id(direct) for direct in sums}) <= 2
