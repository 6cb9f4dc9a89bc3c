"""Tests of replicas whose model the configuration no longer names, or names with another size."""

import asyncio
from contextlib import ExitStack
from dataclasses import replace

import pytest

from corianderhaven.fleet._replica_tasks import RETENTION_MS
from corianderhaven.fleet.tests.memory_fleet import MemoryFleet, engine_spec
from corianderhaven.fleet.tests.test_keeper_model import replace_keeper
from corianderhaven.standins import run_in_virtual_time

LARGE, SMALL = engine_spec().models
TIMEOUT_MS = 8_000.0
CONFIG_MS = 2_000.0


def make_fleet(clock, requests=None, model="small", **fields):
    """Return a fleet in which replicas of a model serve; `requests` counts those at each head."""
    fleet = MemoryFleet(clock, 1, domains=1, per_domain=4, config_ms=CONFIG_MS, **fields)
    fleet.configure([LARGE, SMALL], TIMEOUT_MS)
    for engine in fleet.hosted.engines.values():
        engine.staged = [model]

    def requests_at(head_id):
        group = fleet.hosted.engines[head_id].group
        return group.active if group is not None else 0

    for keeper in fleet.keepers.values():
        keeper.activity.requests_at = requests_at if requests is None else requests
    return fleet


def open_heads(fleet):
    return [e for e in fleet.hosted.engines.values() if fleet.hosted.accepts_requests(e)]


def groups(fleet):
    return {e.id: e.group and e.group.key for e in fleet.hosted.engines.values()}


@pytest.mark.parametrize("requests", [None, lambda head_id: 0], ids=["told", "unknown"])
@pytest.mark.parametrize("lasts_s", [0.5, 3.0, 7.5])
def test_requests_of_a_model_that_is_dropped_are_finished(lasts_s, requests):
    """Guards against LOST: heads had to leave at once when a version no longer named their model.

    The requests that daemons tell of keep the replica open, and those that none tells of as well.
    """

    async def simulate(clock):
        fleet = make_fleet(clock, requests)
        await asyncio.sleep(8)
        heads = open_heads(fleet)
        assert len(heads) == 2
        with ExitStack() as work:
            kept = [work.enter_context(fleet.hosted.accept(head)) for head in heads]
            fleet.configure([LARGE], TIMEOUT_MS)
            await asyncio.sleep(lasts_s)
            assert fleet.hosted.cuts == []
            assert all(fleet.hosted.is_working(h, g) for h, g in zip(heads, kept, strict=True))
        await asyncio.sleep(CONFIG_MS / 1000.0 + 1.0)
        assert not any(groups(fleet).values())
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


@pytest.mark.parametrize("requests", [1, 0])
def test_model_that_is_back_in_the_next_version_keeps_its_replicas(requests):
    """Guards against a second outage for each configuration that is taken back."""

    async def simulate(clock):
        fleet = make_fleet(clock)
        await asyncio.sleep(8)
        before = groups(fleet)
        with ExitStack() as work:
            for head in open_heads(fleet)[:requests]:
                work.enter_context(fleet.hosted.accept(head))
            fleet.configure([LARGE], TIMEOUT_MS)
            await asyncio.sleep(1.0)
            fleet.configure([LARGE, SMALL], TIMEOUT_MS)
            await asyncio.sleep(5.0)
        assert groups(fleet) == before
        assert fleet.open_replicas("small") == 2
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_dropped_model_that_returns_while_its_requests_run_out_serves_again():
    async def simulate(clock):
        fleet = make_fleet(clock, lambda head_id: 0)
        await asyncio.sleep(8)
        heads = open_heads(fleet)
        with ExitStack() as work:
            for head in heads:
                work.enter_context(fleet.hosted.accept(head))
            fleet.configure([LARGE], TIMEOUT_MS)
            await asyncio.sleep(CONFIG_MS / 1000.0 + 1.0)
            assert {fleet.hosted.state(head) for head in heads} == {"closing"}
            fleet.configure([LARGE, SMALL], TIMEOUT_MS)
            await asyncio.sleep(1.0)
            assert fleet.hosted.cuts == []
        await asyncio.sleep(2.0)
        assert fleet.open_replicas("small") == 2
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_request_without_an_end_holds_a_dropped_model_for_a_bounded_time():
    """No request may take longer than its route allows, so what lasts longer is not waited for."""

    async def simulate(clock):
        fleet = make_fleet(clock)
        await asyncio.sleep(8)
        with ExitStack() as work:
            for head in open_heads(fleet):
                work.enter_context(fleet.hosted.accept(head))
            fleet.configure([LARGE], TIMEOUT_MS / 2)
            await asyncio.sleep((CONFIG_MS + TIMEOUT_MS) / 1000.0)
            assert any(groups(fleet).values())
            await asyncio.sleep(TIMEOUT_MS / 1000.0 + 2.0)
        assert not any(groups(fleet).values())
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


@pytest.mark.parametrize("after_s", [0.5, 2.5])
def test_next_keeper_lets_the_requests_of_a_dropped_model_finish(after_s):
    """The keeper ends before it has closed the heads, or after."""

    async def simulate(clock):
        fleet = make_fleet(clock, lambda head_id: 0)
        await asyncio.sleep(8)
        heads = open_heads(fleet)
        with ExitStack() as work:
            for head in heads:
                work.enter_context(fleet.hosted.accept(head))
            fleet.configure([LARGE], TIMEOUT_MS)
            await asyncio.sleep(after_s)
            replace_keeper(fleet)
            await asyncio.sleep(7.0 - after_s)
            assert fleet.hosted.cuts == []
        await asyncio.sleep(4.0)
        assert not any(groups(fleet).values())
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def resize(fleet, model, size):
    """Put a version in force that names another size of a model."""
    models = [replace(m, size=size) if m.name == model else m for m in (LARGE, SMALL)]
    fleet.hosted.models[model] = replace(fleet.hosted.models[model], size=size)
    fleet.configure(models, TIMEOUT_MS)


@pytest.mark.parametrize(("model", "size"), [("small", 4), ("small", 3), ("large", 2)])
@pytest.mark.parametrize("lasts_s", [1.0, 6.0])
def test_requests_of_a_model_that_gets_another_size_are_finished(lasts_s, model, size):
    """Guards against LOST: a larger size had the heads leave at once, as if members were lost."""

    async def simulate(clock):
        fleet = make_fleet(clock, model=model)
        await asyncio.sleep(8)
        heads = open_heads(fleet)
        assert len(heads) == 4 // fleet.hosted.models[model].size
        for keeper in fleet.keepers.values():
            keeper.activity.last_ms = lambda head_id: clock.now_ms() - 80.0
        with ExitStack() as work:
            kept = [work.enter_context(fleet.hosted.accept(head)) for head in heads]
            resize(fleet, model, size)
            await asyncio.sleep(0.3)  # the version and the order to close reach the heads
            fleet.hosted.violations.clear()
            await asyncio.sleep(lasts_s)
            assert fleet.hosted.cuts == []
            assert all(fleet.hosted.is_working(h, g) for h, g in zip(heads, kept, strict=True))
            assert not open_heads(fleet)
        await asyncio.sleep(3.0)
        assert fleet.open_replicas(model) == 4 // size
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


@pytest.mark.parametrize(("model", "size"), [("small", 4), ("large", 2)])
def test_idle_replicas_of_a_model_that_gets_another_size_are_formed_anew_at_once(model, size):
    async def simulate(clock):
        fleet = make_fleet(clock, model=model)
        await asyncio.sleep(8)
        resize(fleet, model, size)
        await asyncio.sleep(1.5)
        fleet.hosted.violations.clear()
        assert fleet.open_replicas(model) == 4 // size
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_vms_of_a_dropped_model_serve_another_one_in_the_end():
    """Guards against lost capacity: VMs that held a dropped model only were never loaded anew."""

    async def simulate(clock):
        fleet = make_fleet(clock)
        await asyncio.sleep(8)
        fleet.configure([replace(LARGE, load_s=1.0)], TIMEOUT_MS)
        fleet.hosted.models["large"] = replace(fleet.hosted.models["large"], load_ms=1_000.0)
        await asyncio.sleep((CONFIG_MS + RETENTION_MS) / 1000.0 + 4.5)
        assert fleet.open_replicas("large") == 1
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


@pytest.mark.parametrize("dropped_s", [0.5, 3.0, 10.0, 50.0])
def test_model_that_comes_back_is_served_however_few_vms_are_free(dropped_s):
    """Guards against LOST: its VMs had been loaded with the other model, which gave none back."""

    async def simulate(clock):
        fleet = make_fleet(clock)
        await asyncio.sleep(8)
        fast = [replace(model, load_s=0.3) for model in (LARGE, SMALL)]
        fleet.hosted.models["large"] = replace(fleet.hosted.models["large"], load_ms=300.0)
        fleet.configure(fast[:1], TIMEOUT_MS)
        await asyncio.sleep(dropped_s)
        fleet.configure(fast, TIMEOUT_MS)
        await asyncio.sleep(5.0)
        assert fleet.open_replicas("small") == 2
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []


def test_new_keeper_retains_the_vms_of_a_dropped_model_as_well():
    async def simulate(clock):
        fleet = make_fleet(clock)
        await asyncio.sleep(8)
        fleet.configure([LARGE], TIMEOUT_MS)
        await asyncio.sleep(CONFIG_MS / 1000.0 + 3.0)
        replace_keeper(fleet)
        await asyncio.sleep(8.0)
        fleet.configure([LARGE, SMALL], TIMEOUT_MS)
        await asyncio.sleep(5.0)
        assert fleet.open_replicas("small") == 2
        return fleet.hosted.violations

    assert run_in_virtual_time(simulate) == []
