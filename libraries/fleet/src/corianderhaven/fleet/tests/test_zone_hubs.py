"""What the daemons of several zones know of each other through their hubs."""

import pytest

from corianderhaven.common import ManualClock
from corianderhaven.fleet import Digest, HeadDigest, PeerTable

PERIOD_MS = 100.0


class Fleet:
    """Daemons of several zones that exchange in turn, with cuts between them."""

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
        self.dead = set()
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

    def carries(self, one, other):
        zones = frozenset((self.tables[one].zone, self.tables[other].zone))
        return one not in self.dead and other not in self.dead and zones not in self.cuts

    def step(self, periods=1):
        for _ in range(periods):
            self.clock.advance_ms(PERIOD_MS)
            for name, table in self.tables.items():
                for peer in table.targets() if name not in self.dead else ():
                    self.exchange(table, peer)

    def exchange(self, table, peer):
        self.messages[table.own_name] += 1
        if not self.carries(table.own_name, peer.name):
            table.note_unreached(peer)
            return
        other = self.tables[peer.name]
        sender = other.receive(table.message_to(peer))
        table.receive(other.answer_to(sender))

    def living(self):
        return [t for n, t in self.tables.items() if n not in self.dead]


SIZES = [{"a": 2, "b": 1, "c": 1}, {"a": 12, "b": 12, "c": 12}, {"a": 1, "b": 5}, {"a": 3}]


@pytest.mark.parametrize("sizes", SIZES)
def test_every_daemon_knows_the_load_of_all_others_once(sizes):
    fleet = Fleet(sizes)
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


def test_messages_of_a_daemon_do_not_grow_with_its_zone():
    counts = []
    for size in (4, 12, 33):
        fleet = Fleet(dict.fromkeys("abc", size))
        fleet.step(10)
        counts.append([fleet.messages[f"a-{n:02}"] for n in range(size)])
    assert [max(c[2:]) for c in counts] == [20, 20, 20]
    assert [c[0] for c in counts] == [counts[0][0]] * 3


@pytest.mark.parametrize("dead", [["a-00"], ["a-01"], ["a-00", "a-01"]])
def test_zone_without_its_hubs_finds_others(dead):
    fleet = Fleet({"a": 6, "b": 3})
    for name in fleet.own:
        fleet.own[name] = {"h": 1}
    fleet.step(3)
    fleet.dead |= set(dead)
    for name in dead:
        fleet.own[name] = {}
    fleet.step(12)
    assert {t.peer_requests_at("h") for t in fleet.living()} == {len(fleet.living()) - 1}


def test_cut_off_zone_knows_itself_and_forgets_the_others():
    fleet = Fleet({"a": 4, "b": 4})
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
def test_outage_is_confirmed_when_every_daemon_of_every_zone_has_lost_the_store(sizes):
    fleet = Fleet(sizes)
    for name in fleet.own:
        fleet.reachable[name] = False
    fleet.step(5)
    assert all(t.store_outage_confirmed() for t in fleet.tables.values())
    fleet.reachable[list(fleet.own)[-1]] = True
    fleet.step(4)
    others = [t for n, t in fleet.tables.items() if n != list(fleet.own)[-1]]
    assert not any(t.store_outage_confirmed() for t in others)


def test_one_silent_daemon_of_another_zone_leaves_an_outage_unconfirmed():
    fleet = Fleet({"a": 4, "b": 4})
    for name in fleet.own:
        fleet.reachable[name] = False
    fleet.step(4)
    fleet.dead.add("b-03")
    fleet.step(9)
    assert not any(t.store_outage_confirmed() for t in fleet.living())


def test_word_that_the_store_is_away_counts_from_the_oldest_digest_in_it():
    """A successor waits `QUIET_MS`; by then nobody may believe an older word."""
    fleet = Fleet({"a": 4, "b": 4})
    for name in fleet.own:
        fleet.reachable[name] = False
    fleet.step(4)
    fleet.reachable["b-03"] = True
    fleet.dead.add("b-03")  # it can't tell anybody
    begun_ms = fleet.clock.now_ms()
    while any(t.store_outage_confirmed() for t in fleet.living()):
        fleet.step()
        assert fleet.clock.now_ms() - begun_ms <= 600.0 + PERIOD_MS


def test_suspicion_reaches_all_daemons_with_its_age():
    fleet = Fleet({"a": 6, "b": 6})
    heard = {name: [] for name in fleet.own}
    for name, table in fleet.tables.items():
        table.on_suspects = lambda told, _, name=name: heard[name].append(told["h"])
    fleet.step(3)
    fleet.suspects["b-05"] = {"h": 100.0}
    fleet.step(3)
    assert all(heard[name] for name in fleet.own if name != "b-05")
    assert all(age >= 100.0 for ages in heard.values() for age in ages)


def test_load_of_all_heads_is_added_up_once_for_a_choice(monkeypatch):
    """Replays grown trouble-3, given up as too slow: each head's load added all daemons up."""
    fleet = Fleet({"a": 12, "b": 12, "c": 12})
    fleet.step(3)
    table, sums = fleet.tables["a-07"], []
    add_up = table._direct_summary
    monkeypatch.setattr(table, "_direct_summary", lambda *a: sums.append(1) or add_up(*a))
    for number in range(60):
        table.peer_requests_at(f"h{number}")
        assert table.all_peers_reporting()
        table.last_activity_ms(f"h{number}")
    assert len(sums) <= 1
