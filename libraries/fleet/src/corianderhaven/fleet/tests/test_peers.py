"""Tests of the exchange of digests between daemons."""

import pytest
from msgspec.json import encode

from corianderhaven.common import ManualClock
from corianderhaven.fleet import Digest, HeadDigest, PeerMessage, PeerTable


def make_table(*names):
    clock = ManualClock()
    peers = PeerTable("own", clock)
    peers.set_listed_daemons([(name, f"10.0.0.{n}:1", "") for n, name in enumerate(names)])
    return clock, peers


def receive_digest(peers, name, reachable=True, address="10.0.0.0:1", **heads):
    digest = Digest(name, address, {h: HeadDigest(*v) for h, v in heads.items()})
    digest.store_reachable = reachable
    peers.receive(encode(PeerMessage(digest)))


def test_load_of_valid_digests_is_summed_and_expires():
    clock, peers = make_table("a", "b")
    receive_digest(peers, "a", h=(3, 5.0))
    receive_digest(peers, "b", address="10.0.0.1:1", h=(4, -1.0))
    assert peers.peer_requests_at("h") == 7
    assert peers.last_activity_ms("h") == clock.now_ms() - 5.0
    clock.advance_ms(700.0)
    assert peers.peer_requests_at("h") == 0
    assert peers.last_activity_ms("h") is None


def test_digest_that_expires_while_the_zone_is_summarized_is_in_all_parts_or_in_none():
    """Guards against a KeyError that ended the exchange with a peer."""

    class TickingClock(ManualClock):
        def now_ms(self):
            self.current_ms += 0.2
            return self.current_ms

    clock = TickingClock()
    peers = PeerTable("own", clock)
    for waited_ms in range(590, 600):
        receive_digest(peers, "a", h=(3, 5.0))
        peers.direct = None
        clock.advance_ms(waited_ms + 0.3)
        summary = peers._zone_summary("a")
        assert all(head.own == 0 for head in summary.heads.values())
        assert summary.daemons == 1


def test_outage_is_confirmed_only_by_valid_digests_of_all_peers():
    clock, peers = make_table("a", "b")
    receive_digest(peers, "a", reachable=False)
    assert not peers.store_outage_confirmed()
    receive_digest(peers, "b", reachable=False, address="10.0.0.1:1")
    assert peers.store_outage_confirmed()
    receive_digest(peers, "b", reachable=True, address="10.0.0.1:1")
    assert not peers.store_outage_confirmed()
    receive_digest(peers, "b", reachable=False, address="10.0.0.1:1")
    clock.advance_ms(700.0)
    assert not peers.store_outage_confirmed()


def test_daemon_without_peers_confirms_no_outage():
    _, peers = make_table()
    assert not peers.store_outage_confirmed()


def test_cut_off_zone_confirms_no_outage():
    """In a partition, peers in this zone lose the store and the others are unreachable."""
    clock, peers = make_table("same", "other")
    receive_digest(peers, "same", reachable=False)
    clock.advance_ms(100.0)
    assert not peers.store_outage_confirmed()


def test_daemon_with_a_new_address_replaces_its_predecessor():
    clock, peers = make_table("a")
    receive_digest(peers, "a", h=(5, 1.0))
    peers.set_listed_daemons([("a", "10.9.9.9:1", "")])
    assert [p.address for p in peers.targets()] == ["10.9.9.9:1"]
    assert peers.peer_requests_at("h") == 0
    peers.set_listed_daemons([])
    clock.advance_ms(11_000.0)
    assert peers.targets() == []


def test_suspicions_and_opened_heads_are_passed_to_callbacks():
    _, peers = make_table("a")
    suspects, opened = [], []
    peers.on_suspects = lambda heads, daemon: suspects.append((heads, daemon))
    peers.on_opened = opened.append
    digest = Digest("a", "10.0.0.0:1", suspects={"h": 7.0}, opened={"e": ("m.3.1", 30_001, 7)})
    peers.receive(encode(PeerMessage(digest)))
    assert suspects == [({"h": 7.0}, "a")]
    assert opened == [{"e": ("m.3.1", 30_001, 7)}]


@pytest.mark.parametrize("body", [b"", b"{}", b'{"daemon": 3}', b"\xff"])
def test_unreadable_digest_changes_nothing(body):
    _, peers = make_table("a")
    with pytest.raises(ValueError, match=r"."):
        peers.receive(body)
    assert peers.fresh_peers() == []


def test_own_digest_is_ignored():
    _, peers = make_table()
    receive_digest(peers, "own", h=(3, 1.0))
    assert peers.peers == {}
