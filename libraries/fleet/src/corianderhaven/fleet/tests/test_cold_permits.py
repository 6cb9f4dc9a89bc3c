"""Tests of the permits for cold endpoints, whose bound holds in any one second."""

import msgspec
import pytest

from corianderhaven.common import ManualClock
from corianderhaven.fleet import PeerTable, PermitIssuer, PermitRequest, PermitWish, decode_permits

RATE_PER_S = 15.0
INTERVAL_MS = 1_000.0 / RATE_PER_S
SETTLED_MS = 10_000.0


class EarlierWish(msgspec.Struct, array_like=True):
    """Wish as earlier builds know it."""

    endpoint: str
    started_ms: int
    zone: str
    rate_per_s: float


class Side:
    """An issuer that is the first hub of its zone, and hears from the others as told."""

    def __init__(self, others=2):
        self.clock = ManualClock()
        self.table = PeerTable("edge-0", self.clock, "a")
        self.heard = others
        self.table.reporting_daemons = lambda: self.heard
        self.in_flight = 0
        self.table.peer_requests_at = lambda endpoint_id: self.in_flight
        self.others = [(f"edge-{n + 1}", "", "b") for n in range(others)]
        self.table.set_listed_daemons(self.others)
        self.issuer = PermitIssuer(self.table, self.clock)
        self.clock.advance_ms(SETTLED_MS)

    def offer(self, **fields):
        values = {"cold": True, **fields}
        return self.issuer.offer(PermitWish("e-1", 7, "a", RATE_PER_S, **values))

    def issued_in(self, time_ms):
        """Return the permits for a second's demand, asked for every 5 ms."""
        count = 0
        for _ in range(round(time_ms / 5.0)):
            count += self.offer().granted
            self.clock.advance_ms(5.0)
        return count


@pytest.fixture
def side():
    return Side()


def test_wish_of_an_earlier_build_is_answered_as_before(side):
    body = b'{"daemon":"edge-9","wishes":[["e-1",7,"a",15.0]]}'
    wish = decode_permits(body, PermitRequest).wishes[0]
    assert not wish.cold
    offer = side.issuer.offer(wish)
    assert not offer.granted
    assert offer.wait_ms == pytest.approx(300.0)


def test_earlier_build_reads_a_wish_for_a_cold_endpoint():
    wish = PermitWish("e-1", 7, "a", RATE_PER_S, True, 4, False)
    read = msgspec.json.decode(msgspec.json.encode(wish), type=EarlierWish)
    assert (read.endpoint, read.rate_per_s) == ("e-1", RATE_PER_S)


def test_empty_endpoint_gets_its_first_request_at_once(side):
    assert side.offer().wait_ms == 0.0


def test_requests_just_sent_without_permits_count(side):
    """A head that was filled and is then found to be cold would get both in one second."""
    side.in_flight = 4
    assert side.offer().wait_ms == pytest.approx(4 * INTERVAL_MS - 200.0)
    assert Side().offer(in_flight=2).wait_ms == pytest.approx(2 * INTERVAL_MS)


def test_guarded_endpoint_does_not_pause(side):
    side.in_flight = 15
    assert side.offer(warm=True).wait_ms == 0.0


def test_new_issuer_waits_for_permits_of_the_previous_one():
    side = Side()
    side.issuer.started_ms = side.clock.now_ms()
    assert not side.offer().granted
    side = Side()
    side.table.mark_unreachable(side.table.peers["edge-1"])
    assert not side.offer().granted


def test_issuer_that_still_sends_messages_is_not_replaced():
    """A lost call made two issuers: a cold head got 33 requests in one second."""
    side = Side()
    side.table.set_listed_daemons([("edge+0", "", "a"), ("edge+1", "", "a")])
    hubs = [side.table.peers[name] for name in ("edge+0", "edge+1")]
    for peer in hubs:
        peer.last_heard_ms = side.clock.now_ms()
        side.table.mark_unreachable(peer)
    side.heard = 4
    side.clock.advance_ms(500.0)
    assert side.offer().wait_ms == 300.0
    assert not side.table.is_permit_issuer("e-1", "a", 600.0)
    side.clock.advance_ms(200.0)
    assert side.table.is_permit_issuer("e-1", "a", 600.0)


def test_cut_reduces_the_rate_also_when_the_other_side_is_no_longer_listed():
    """Both sides together sent up to 1.65 times the rate once the store's list was shorter."""
    side = Side(others=3)
    side.offer()
    side.heard = 1
    for _ in range(2):
        count = side.issued_in(4_000.0)
        assert count <= 0.65 * 4 * RATE_PER_S + 3
        for peer in [p for p in side.table.peers.values() if p.name != "edge-1"]:
            side.table.peers.pop(peer.name)
