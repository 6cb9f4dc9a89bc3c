"""Tests of the decision whether an endpoint failed or the path to it, on drawn histories."""

import random
from types import SimpleNamespace

import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import Endpoint
from corianderhaven.gateway import Reachability
from corianderhaven.gateway._path_prober import PathProber
from corianderhaven.gateway._reachability import MIN_FAILED_ENDPOINTS

ZONES = ("a", "b", "c")
SERVICES = {"engines": 20, "ledger": 1}  # endpoints in each zone
CONNECT_MS = 60.0
CONTROLS = 2


def make_endpoints():
    return [
        Endpoint(f"{service}-{zone}-{number}", service, "127.0.0.1:1", zone, 6, False)
        for service, count in SERVICES.items()
        for zone in ZONES
        for number in range(count)
    ]


class History:
    """Connections that a daemon opens to endpoints, some of which are dead or cut off."""

    def __init__(self, seed, dead_share=0.0, cut=lambda endpoint: False):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.reachability = Reachability(self.clock, DecisionLog(self.clock))
        self.endpoints = make_endpoints()
        self.cut = cut
        self.dead = {e.id for e in self.endpoints if self.rng.random() < dead_share}

    def connect(self, endpoint):
        if endpoint.id in self.dead or self.cut(endpoint):
            self.reachability.record_failed(endpoint)
            return False
        self.reachability.record_connected(endpoint)
        return True

    def send(self):
        """Connect to a random endpoint and, if that fails, to others of its service."""
        endpoint = self.rng.choice(self.endpoints)
        if not self.reachability.is_reachable(endpoint) or self.connect(endpoint):
            return
        others = [
            e
            for e in self.endpoints
            if e.service == endpoint.service and e.id not in self.reachability.failures
        ]
        for other in self.rng.sample(others, min(CONTROLS, len(others))):
            if self.connect(other):
                return

    def probe(self):
        """Connect to a random endpoint of each lost scope, as the prober does."""
        for service, zone in list(self.reachability.lost_scopes):
            scope = [
                e for e in self.endpoints if service in (None, e.service) and zone in (None, e.zone)
            ]
            self.connect(self.rng.choice(scope))

    def run(self, sends):
        for _ in range(sends):
            self.clock.advance_ms(self.rng.uniform(1.0, 100.0))
            self.send()
            self.probe()


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("dead_share", [0.05, 0.2])
def test_dead_endpoints_are_rarely_taken_for_a_lost_path(seed, dead_share):
    history = History(seed, dead_share)
    false_verdicts = 0
    for _ in range(200):
        history.run(1)
        false_verdicts += (None, None) in history.reachability.lost_scopes
    assert false_verdicts <= 2


@pytest.mark.parametrize("seed", range(20))
def test_partition_from_all_endpoints_is_believed_after_one_failed_send(seed):
    history = History(seed)
    history.run(50)
    assert not history.reachability.any_lost
    history.cut = lambda endpoint: True
    engine = history.endpoints[0]
    for endpoint in (engine, *history.endpoints[5:7]):
        history.connect(endpoint)
    assert not any(history.reachability.is_reachable(e) for e in history.endpoints)


@pytest.mark.parametrize("seed", range(20))
def test_partition_from_a_service_leaves_the_other_one_in_reach(seed):
    history = History(seed, cut=lambda endpoint: endpoint.service == "engines")
    history.run(50)
    ledger = [e for e in history.endpoints if e.service == "ledger"]
    history.connect(ledger[0])
    assert all(history.reachability.is_reachable(e) for e in ledger)
    engines = [e for e in history.endpoints if e.service == "engines"]
    assert history.reachability.all_lost_for_ms(engines) > 0.0
    assert history.reachability.all_lost_for_ms(ledger) == 0.0
    assert not any(history.reachability.is_reachable(e) for e in engines)


def test_partition_from_a_zone_leaves_the_others_in_reach():
    history = History(1, cut=lambda endpoint: endpoint.zone == "a")
    history.run(200)
    engines = [e for e in history.endpoints if e.service == "engines"]
    in_reach = {e.zone for e in engines if history.reachability.is_reachable(e)}
    assert in_reach == {"b", "c"}


def test_zone_that_stays_lost_tells_nothing_of_the_others():
    """Guards against REFUSED: probes of a lost zone made a quiet one look lost, again and again."""
    history = History(1, cut=lambda endpoint: endpoint.zone == "b")
    lost = [e for e in history.endpoints if e.zone == "b" and e.service == "engines"]
    quiet = [e for e in history.endpoints if e.zone == "a"]
    for endpoint in lost[:2]:
        history.connect(endpoint)
    history.clock.advance_ms(1.0)
    assert history.connect(quiet[0])
    for endpoint in lost:
        history.clock.advance_ms(200.0)
        history.connect(endpoint)
        assert all(map(history.reachability.is_reachable, quiet))
        assert not history.reachability.is_reachable(endpoint)


def test_loss_of_the_rest_is_believed_while_a_zone_is_lost():
    cut = {"b"}
    history = History(1, cut=lambda endpoint: endpoint.zone in cut)
    by_zone = {z: [e for e in history.endpoints if e.zone == z] for z in ZONES}
    for endpoint in by_zone["b"][:2]:
        history.connect(endpoint)
    history.clock.advance_ms(1.0)
    history.connect(by_zone["a"][0])
    cut.update(ZONES)
    for zone in ("a", "c"):
        for endpoint in by_zone[zone][:2]:
            history.connect(endpoint)
    engines = [e for e in history.endpoints if e.service == "engines"]
    assert not any(map(history.reachability.is_reachable, engines))


def test_scope_is_probed_where_it_is_not_known_to_be_lost():
    history = History(1, cut=lambda endpoint: endpoint.zone == "b")
    for endpoint in [e for e in history.endpoints if e.zone == "b"][:MIN_FAILED_ENDPOINTS]:
        history.connect(endpoint)
    reachability = history.reachability
    assert (None, None) in reachability.lost_scopes
    directory = SimpleNamespace(endpoints=lambda: history.endpoints)
    prober = PathProber(reachability, directory, history.clock)
    draws = [prober.due() for _ in range(50)]
    assert all({e.zone for e in due} > {"b"} for due in draws)
    history.clock.advance_ms(1.0)
    for endpoint in draws[0]:
        history.connect(endpoint)
    assert reachability.lost_scopes == {("engines", "b")}


def test_one_opened_connection_ends_the_belief_and_is_logged():
    history = History(1, cut=lambda endpoint: True)
    history.run(20)
    assert not history.reachability.is_reachable(history.endpoints[0])
    history.cut = lambda endpoint: False
    history.clock.advance_ms(1_000.0)
    assert history.connect(history.endpoints[0])
    assert history.reachability.is_reachable(history.endpoints[1])
    events = [e["event"] for e in history.reachability.decisions.entries]
    assert "paths_lost" in events
    assert "paths_regained" in events


def test_one_lost_packet_does_not_put_an_endpoint_out_of_reach():
    history = History(1)
    endpoint = history.endpoints[0]
    history.reachability.record_failed(endpoint)
    assert history.reachability.is_reachable(endpoint)
    history.reachability.record_failed(endpoint)
    assert not history.reachability.is_reachable(endpoint)
    history.clock.advance_ms(3_000.0)
    assert history.reachability.is_reachable(endpoint)


def test_open_connections_count_only_when_they_bring_data_after_the_partition():
    history = History(1, cut=lambda endpoint: True)
    while not history.reachability.lost_scopes:
        history.send()
    endpoint = history.endpoints[0]
    history.reachability.record_data(endpoint)
    history.clock.advance_ms(50.0)
    assert not history.reachability.keeps_connections(endpoint)
    history.clock.advance_ms(500.0)
    history.reachability.record_data(endpoint)
    assert history.reachability.keeps_connections(endpoint)
