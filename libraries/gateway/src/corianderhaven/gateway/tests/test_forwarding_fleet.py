"""Simulated fleets in which daemons have lost the endpoints: who serves, and who carries the load.

Replays the load pattern of a zone that is cut off from all endpoints at once, in fleets of the size
of today, of the large deployment and of the two-year target.
"""

from collections import Counter

import msgspec
import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import Digest, PeerMessage, PeerTable
from corianderhaven.gateway import PeerForwarder

FLEETS = {4: 3, 78: 5, 360: 11}  # daemons: availability zones
SERVICE = "engines"
REQUESTS = 60  # of each daemon that is cut off, in flight at once
MAX_LOAD_RATIO = 3.0  # of the busiest peer to its own load, in a zone of several daemons
MAX_TRIES = 4


def fleet(size):
    """Return the names of the daemons with their zones; the first zones are the larger ones."""
    zones = FLEETS[size]
    return {f"d{n:03}": f"z{n % zones:02}" for n in range(size)}


def cut_daemons(daemons, extent):
    """Return the daemons that are cut off: one, most or all of the first zone."""
    zone = [name for name, z in daemons.items() if z == "z00"]
    counts = {"one": 1, "most": max(1, len(zone) - 1), "all": len(zone)}
    return set(zone[: counts[extent]])


def make_forwarder(name, daemons, cut, clock, informed=True):
    """Return the forwarder of a daemon, which knows by digests which peers are cut off."""
    peers = PeerTable(name, clock, daemons[name])
    records = [(n, f"127.0.0.1:{i}", z) for i, (n, z) in enumerate(daemons.items())]
    peers.set_listed_daemons(records)
    if informed:
        for peer in list(peers.peers.values()):
            lost = [SERVICE] if peer.name in cut else []
            digest = Digest(peer.name, peer.address, zone=peer.zone, lost_services=lost)
            peers.receive(msgspec.json.encode(PeerMessage(digest)))
    return PeerForwarder(peers, None, clock, DecisionLog(clock))


@pytest.mark.parametrize("extent", ["one", "most", "all"])
@pytest.mark.parametrize("size", FLEETS)
def test_all_requests_find_a_peer_and_no_peer_carries_much_more(size, extent):
    daemons, clock = fleet(size), ManualClock()
    cut = cut_daemons(daemons, extent)
    load, between_zones = Counter(), 0
    for name in cut:
        forwarder = make_forwarder(name, daemons, cut, clock)
        for _ in range(REQUESTS):
            target = forwarder.pick(SERVICE)
            assert target is not None
            assert target.id not in cut
            forwarder.in_flight[target.id] += 1
            load[target.id] += 1
            between_zones += target.zone != daemons[name]
    own_load = REQUESTS  # callers are spread evenly
    sound_in_zone = sum(z == "z00" for z in daemons.values()) - len(cut)
    if sound_in_zone >= len(cut):
        assert between_zones == 0
    else:
        assert max(load.values()) + own_load <= MAX_LOAD_RATIO * own_load


@pytest.mark.parametrize("size", FLEETS)
def test_daemon_without_word_of_the_others_finds_one_in_a_few_tries(size):
    """In the first moments of a zone's partition no digest tells which peers are cut off too."""
    daemons, clock = fleet(size), ManualClock()
    cut = cut_daemons(daemons, "all")
    served, requests = 0, 0
    for name in cut:
        forwarder = make_forwarder(name, daemons, cut, clock, informed=False)
        for _ in range(REQUESTS):
            declined = set()
            for _ in range(MAX_TRIES):
                target = forwarder.pick(SERVICE, declined)
                if target is None:
                    break
                if target.id not in cut:
                    served += 1
                    break
                declined.add(target.id)
                forwarder.avoid(target)
            requests += 1
            clock.advance_ms(20.0)
    assert served >= 0.9 * requests


def test_peers_that_declined_are_asked_again_later():
    daemons, clock = fleet(4), ManualClock()
    forwarder = make_forwarder("d000", daemons, set(), clock, informed=False)
    for name in daemons:
        if name != "d000":
            target = forwarder.pick(SERVICE)
            forwarder.avoid(target)
    assert forwarder.pick(SERVICE) is None
    clock.advance_ms(1_000.0)
    assert forwarder.pick(SERVICE) is not None


def test_members_hear_from_their_hub_which_daemons_are_cut_off():
    daemons = {f"d{n}": "a" for n in range(5)}
    clock = ManualClock()
    tables = {name: PeerTable(name, clock, "a") for name in daemons}
    for name, table in tables.items():
        table.set_listed_daemons([(n, f"127.0.0.1:{i}", "a") for i, n in enumerate(daemons)])
        lost = [SERVICE] if name == "d3" else []
        table.make_digest = lambda n=name, lost=lost: Digest(
            n, f"127.0.0.1:{n[1:]}", zone="a", lost_services=lost
        )
    hub = tables["d0"]
    for name in ("d3", "d4"):
        peer = hub.receive(tables[name].message_to(tables[name].peers["d0"]))
        tables[name].receive(hub.response_to(peer))
    assert tables["d4"].daemons_without(SERVICE) == {"d3"}
    assert tables["d3"].daemons_without(SERVICE) == set()
    clock.advance_ms(1_000.0)
    assert tables["d4"].daemons_without(SERVICE) == set()


def test_peers_that_are_only_listed_do_not_count_as_a_way_round():
    daemons, clock = fleet(4), ManualClock()
    forwarder = make_forwarder("d000", daemons, set(), clock, informed=False)
    assert forwarder.pick(SERVICE) is not None
    assert not forwarder.has_peer(SERVICE)
    informed = make_forwarder("d000", daemons, set(), clock)
    assert informed.has_peer(SERVICE)
