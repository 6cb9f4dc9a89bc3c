"""Tests of formation, repair and roll-out with the in-memory zone model."""

import pytest

from corianderhaven.config import Deployment, Floor
from corianderhaven.placement.tests.zone_model import ZoneModel, sample_document


def test_replicas_are_formed_from_one_fabric_domain():
    model = ZoneModel(vms=9, members=4, domains=2)
    model.run(8)
    whole = model.whole()
    assert len(whole) == 2
    for vms in whole.values():
        assert len({model.directory.vms[vm].fabric_domain for vm in vms}) == 1


def test_lost_member_is_replaced_by_a_spare():
    model = ZoneModel(vms=5, members=2)
    model.run(8)
    before = model.whole()
    victim = next(iter(next(iter(before.values()))))
    model.engines[victim].die()
    model.run(8)
    assert len(model.whole()) == 2
    assert victim not in set().union(*model.whole().values())


def test_weights_are_preloaded_into_a_spare():
    model = ZoneModel(vms=5, members=2)
    model.run(10)
    whole = set().union(*model.whole().values())
    spare = next(e for e in model.engines.values() if e.vm.id not in whole)
    assert [w.model for w in spare.loaded] == ["report-drafter"]
    assert spare.assignment is None


def test_short_pause_is_tolerated_and_long_pause_is_repaired():
    model = ZoneModel(vms=3, members=2)
    model.run(8)
    ((name, vms),) = model.whole().items()
    paused = model.engines[sorted(vms)[1]]
    generation = model.stored_intent()["next_generation"]
    paused.silent = True
    model.run(5)
    paused.silent = False
    model.run(4)
    assert model.whole() == {name: vms}
    assert model.stored_intent()["next_generation"] == generation
    paused.silent = True
    model.run(60)
    assert len(model.whole()) == 1
    assert paused.vm.id not in next(iter(model.whole().values()))


def test_returning_vm_with_an_obsolete_assignment_is_released():
    model = ZoneModel(vms=3, members=2)
    model.run(8)
    paused = model.engines[sorted(next(iter(model.whole().values())))[0]]
    paused.silent = True
    model.run(60)
    paused.silent = False
    model.run(6)
    assert paused.assignment is None
    assert len(model.whole()) == 1


def test_two_incomplete_replicas_are_merged_into_one():
    model = ZoneModel(vms=8, members=4)
    model.run(8)
    first, second = (sorted(vms) for vms in model.whole().values())
    model.engines[first[0]].die()
    model.engines[second[0]].die()
    model.run(12)
    assert len(model.whole()) == 1


def test_replicas_recover_after_a_fabric_domain_outage():
    model = ZoneModel(vms=8, members=2, domains=2)
    model.run(10)
    assert len(model.whole()) == 4
    silent_engines = [e for e in model.engines.values() if e.vm.fabric_domain == "f0"]
    for engine in silent_engines:
        engine.silent = True
    model.run(20)
    assert len(model.whole()) == 2
    for engine in silent_engines:
        engine.silent = False
    model.run(10)
    assert len(model.whole()) == 4


def test_flapping_vm_is_not_used_for_a_replica():
    model = ZoneModel(vms=3, members=2)
    model.run(8)
    ((name, vms),) = model.whole().items()
    spare = next(e for e in model.engines.values() if e.vm.id not in vms)
    generation = model.stored_intent()["next_generation"]
    for _ in range(10):
        spare.die()
        model.run(2)
        spare.recover()
        model.run(2)
    assert model.whole() == {name: vms}
    assert model.stored_intent()["next_generation"] == generation


@pytest.mark.parametrize("checks_token", [True, False])
def test_repair_during_an_hour_long_platform_outage(checks_token):
    model = ZoneModel(vms=5, members=2, checks_token=checks_token)
    model.run(12)
    assert len(model.whole()) == 2
    for placer in model.placers:
        placer.intents.store.down = True
    model.run(20)
    victim = next(iter(next(iter(model.whole().values()))))
    model.engines[victim].die()
    model.clock.advance_ms(3_600_000)
    model.run(20)
    assert len(model.whole()) == (2 if checks_token else 1)
    for placer in model.placers:
        placer.intents.store.down = False
    model.run(30)
    assert len(model.whole()) == 2
    stored = {
        r["replica_id"]: {m["vm"] for m in r["members"]} for r in model.stored_intent()["replicas"]
    }
    assert stored == model.whole()
    assert not model.orders_without_lease


def test_resumed_former_holder_is_refused():
    model = ZoneModel(vms=5, members=2)
    model.run(10, placers=[0])
    holder, other = model.placers
    assert holder.lease.state == "held"
    model.run(20, placers=[1])
    assert other.lease.token > holder.lease.token
    victim = next(iter(next(iter(model.whole().values()))))
    model.engines[victim].die()
    model.run(10, placers=[1])
    whole = model.whole()
    model.run(4, placers=[0])
    assert model.whole() == whole
    assert holder.lease.state != "held"


def test_roll_out_keeps_whole_replicas_at_the_floor():
    model = ZoneModel(vms=6, members=2, floor={"whole_replicas": 2})
    model.run(10)
    assert len(model.whole()) == 3
    model.holder.record.document = sample_document(2, floor={"whole_replicas": 2}, version="v2")
    lowest = 3
    for _ in range(80):
        model.step()
        lowest = min(lowest, len(model.whole()))
    versions = {e.assignment.version for e in model.engines.values() if e.assignment}
    assert versions == {"v2"}
    assert len(model.whole()) == 3
    assert lowest >= 2


def test_leaving_member_is_replaced():
    model = ZoneModel(vms=3, members=2)
    model.run(8)
    leaving = model.engines[sorted(next(iter(model.whole().values())))[0]]
    leaving.leaving = True
    model.run(30)
    assert leaving.vm.id not in set().union(*model.whole().values())
    assert len(model.whole()) == 1


def test_higher_priority_deployment_below_its_floor_preempts_a_replica():
    model = ZoneModel(vms=4, members=2, priority=5)
    model.run(10)
    assert len(model.whole()) == 2
    document = sample_document(2, priority=5)
    urgent = Deployment(
        name="urgent",
        model="report-drafter",
        version="v1",
        members_per_replica=2,
        vms=document.deployments[0].vms,
        priority=1,
        floor=Floor(whole_replicas=1),
    )
    document.deployments.append(urgent)
    model.holder.record.document = document
    model.run(60)
    served = sorted(e.assignment.deployment for e in model.engines.values() if e.assignment)
    assert served == ["drafts", "drafts", "urgent", "urgent"]
