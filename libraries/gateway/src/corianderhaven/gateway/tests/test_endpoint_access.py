"""Tests of the endpoints that may get requests, and of the heads that are chosen from."""

from types import SimpleNamespace

import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import (
    Endpoint,
    EndpointDirectory,
    EngineSpec,
    Evacuations,
    Membership,
    ModelSpec,
    ReplicaState,
    ServiceSpec,
)
from corianderhaven.gateway import EndpointAccess, ReplicaView

ENGINE = EngineSpec(9, (ModelSpec("m", 1, 1.0, 1.0, 1.0, 1.0),))


def make_endpoint(endpoint_id, zone, state=ReplicaState.OPEN):
    membership = state and Membership(f"m.1.{endpoint_id}", 1, 0, state)
    address = f"127.0.0.1:{endpoint_id}"
    return Endpoint(endpoint_id, "s", address, zone, 9, False, 1, 1, membership=membership)


@pytest.fixture
def evacuations():
    clock = ManualClock()
    return Evacuations(clock, DecisionLog(clock))


def make_view(evacuations, *endpoints):
    clock = ManualClock()
    directory = EndpointDirectory(clock, DecisionLog(clock))
    for number, endpoint in enumerate(endpoints, 1):
        directory.update(endpoint.id, endpoint, (1, number))
    config = SimpleNamespace(version=1, services={"s": ServiceSpec("s", ENGINE)})
    return ReplicaView(
        directory, SimpleNamespace(config=config), clock, EndpointAccess(evacuations)
    )


def head_ids(heads):
    return sorted(head.id for head in heads)


def test_denial_names_its_reason_and_follows_the_zone(evacuations):
    access = EndpointAccess(evacuations)
    endpoints = [make_endpoint("1", "a"), make_endpoint("2", "b")]
    assert access.allowed(endpoints) == endpoints
    evacuations.observe("a", True, (1, 5))
    assert [access.refusal(e) for e in endpoints] == ["zone evacuated", None]
    assert access.allowed(endpoints) == endpoints[1:]
    evacuations.observe("a", False, (1, 6))
    assert access.allowed(endpoints) == endpoints


def test_all_are_refused_only_if_there_are_endpoints_and_each_is_denied(evacuations):
    """Without endpoints the usual wait applies, as some may appear."""
    access = EndpointAccess(evacuations)
    endpoints = [make_endpoint("1", "a"), make_endpoint("2", "b")]
    evacuations.observe("a", True, (1, 5))
    assert access.refusal_of_all([]) is None
    assert access.refusal_of_all(endpoints) is None
    assert access.refusal_of_all(endpoints[:1]).retry_after_ms > 0.0
    assert EndpointAccess().refusal_of_all(endpoints) is None


def test_heads_of_an_evacuated_zone_are_left_out_at_once_and_come_back(evacuations):
    """Heads are cached until the directory changes, which an evacuation does not do."""
    view = make_view(evacuations, make_endpoint("1", "a"), make_endpoint("2", "b"))
    assert head_ids(view.available_heads("s", "m")) == ["1", "2"]
    evacuations.observe("a", True, (1, 5))
    for heads in (
        view.available_heads("s", "m"),
        view.expected_heads("s", "m"),
        view.all_heads("s")["m"],
    ):
        assert head_ids(heads) == ["2"]
    view.suspect(make_endpoint("2", "b"))
    assert head_ids(view.expected_heads("s", "m")) == ["2"]
    evacuations.observe("a", False, (1, 6))
    assert head_ids(view.available_heads("s", "m")) == ["1"]
    assert head_ids(view.all_heads("s")["m"]) == ["1", "2"]


@pytest.mark.parametrize(
    ("endpoints", "zones", "refused"),
    [
        ([("1", "a"), ("2", "b")], ["a"], False),
        ([("1", "a"), ("2", "b")], ["a", "b"], True),
        ([("1", "a"), ("2", "b", None)], ["a"], True),  # no head is left; one isn't formed for it
        ([("1", "a", None), ("2", "b", None)], ["a"], False),  # a replica may be formed in b
        ([("1", "a", None), ("2", "b", ReplicaState.JOINING)], ["a", "b"], True),
        ([], ["a"], False),
    ],
)
def test_model_is_refused_when_its_last_head_is_evacuated(evacuations, endpoints, zones, refused):
    view = make_view(evacuations, *(make_endpoint(*values) for values in endpoints))
    for number, zone in enumerate(zones, 1):
        evacuations.observe(zone, True, (1, number))
    assert (view.refusal("s", "m") is not None) == refused
