"""Tests of the connections that are kept to endpoints."""

import pytest

from corianderhaven.common import ManualClock, ResponseHead
from corianderhaven.fleet.tests.memory_fleet import endpoint
from corianderhaven.gateway import ConnectionPool, declared_idle_ms


class Transport:
    unsent = 0

    def get_write_buffer_size(self):
        return self.unsent


class IdleFake:
    """Connection of which the test decides whether it can be used again."""

    def __init__(self, reusable=True):
        self.reusable = reusable
        self.usable = True
        self.closed = False
        self.transport = Transport()

    def prepare_for_reuse(self):
        return self.reusable and not self.transport.get_write_buffer_size()

    def close(self):
        self.closed = True


def head(**headers):
    return ResponseHead(200, [(k.encode(), v.encode()) for k, v in headers.items()])


def make_pool():
    clock = ManualClock()
    return clock, ConnectionPool(clock)


def test_connection_is_used_again_only_for_the_same_incarnation():
    _, pool = make_pool()
    connection = IdleFake()
    pool.give_back(endpoint(1, started_ms=5), connection, head())
    assert pool.take(endpoint(1, started_ms=6)) is None
    assert pool.take(endpoint(2, started_ms=5)) is None
    assert pool.take(endpoint(1, started_ms=5)).connection is connection
    assert pool.take(endpoint(1, started_ms=5)) is None


@pytest.mark.parametrize("fault", ["bytes left", "request unsent", "endpoint leaves"])
def test_connection_that_may_not_be_used_again_is_closed(fault):
    _, pool = make_pool()
    connection = IdleFake(reusable=fault != "bytes left")
    connection.transport.unsent = 10 if fault == "request unsent" else 0
    used = endpoint(1)
    if fault == "endpoint leaves":
        used = type(used)(**{**vars(used), "leaving": True})
    pool.give_back(used, connection, head())
    assert connection.closed
    assert pool.take(used) is None


def test_closed_and_overdue_connections_are_not_used():
    clock, pool = make_pool()
    lost, overdue = IdleFake(), IdleFake()
    pool.give_back(endpoint(1), overdue, head())
    clock.advance_ms(1_500.0)
    pool.give_back(endpoint(1), lost, head())
    lost.usable = False
    assert pool.take(endpoint(1)) is None
    assert overdue.closed


def test_rest_limit_follows_what_the_service_allows():
    """Endpoints that forget connections after 300 ms reset half of the requests on them."""
    clock, pool = make_pool()
    dropped = 0
    for number in range(400):
        pool.give_back(endpoint(1), IdleFake(), head())
        clock.advance_ms(50.0 + 37.0 * (number % 20))
        kept = pool.take(endpoint(1))
        if kept is None:
            continue
        if clock.now_ms() - kept.since_ms > 300.0:
            dropped += 1
            pool.record_dropped(endpoint(1), kept)
        else:
            pool.record_good(endpoint(1), kept)
    assert 0 < dropped < 40
    for _ in range(100):
        pool.give_back(endpoint(1), IdleFake(), head())
        clock.advance_ms(pool.limits[endpoint(1).service].limit_ms * 0.8)
        pool.record_good(endpoint(1), pool.take(endpoint(1)))
    assert pool.limits[endpoint(1).service].limit_ms == 8_000.0


def test_endpoint_that_dies_does_not_end_the_use_of_kept_connections():
    """Connections that broke with their endpoint lowered the limit to almost nothing."""
    clock, pool = make_pool()
    for rest_ms in (2.0, 13.0, 84.0):
        pool.give_back(endpoint(1), IdleFake(), head())
        clock.advance_ms(rest_ms)
        pool.record_dropped(endpoint(1), pool.take(endpoint(1)))
    assert pool.limits[endpoint(1).service].limit_ms == 1_000.0


@pytest.mark.parametrize(
    ("value", "expected_ms"),
    [
        ("timeout=5", 4_500.0),
        ("max=3, timeout=2", 1_500.0),
        ("timeout=0", 0.0),
        ("timeout=9999", 8_000.0),
        ("timeout=x", 8_000.0),
        ("timeout=\u00b2", 8_000.0),
        ("", 8_000.0),
    ],
)
def test_declared_timeout_is_kept_with_a_margin(value, expected_ms):
    headers = [(b"keep-alive", value.encode("latin-1"))]
    assert declared_idle_ms(ResponseHead(200, headers)) == expected_ms


def test_kept_connections_are_few_and_closed_when_overdue():
    clock, pool = make_pool()
    connections = [IdleFake() for _ in range(20)]
    for connection in connections:
        pool.give_back(endpoint(1), connection, head())
    assert sum(not c.closed for c in connections) == 6
    clock.advance_ms(9_000.0)
    pool.prune()
    assert all(c.closed for c in connections)
    assert pool.idle == {}
