"""In-memory model of a zone: engines, facts, two placers and a network that delays orders."""

import json
from pathlib import Path

import msgspec

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.config import ConfigRecord, parse_document
from corianderhaven.membership import (
    Assignment,
    FactTable,
    MemberReport,
    MemberStatus,
    PeerInfo,
    Weights,
)
from corianderhaven.placement import ZonePlacer, make_repair_policy
from corianderhaven.platform import Vm, VmKind
from corianderhaven.platform.tests.in_memory_store import InMemoryStore

EXAMPLES = Path(__file__).parents[6] / "examples"
ZONE = "plateau"


def sample_document(members=2, **deployment):
    raw = json.loads((EXAMPLES / "ndiaye.json").read_text())
    raw["deployments"][0].update(members_per_replica=members, **deployment)
    return parse_document(msgspec.json.encode(raw))


class FakeEngine:
    """One engine VM that executes orders immediately."""

    def __init__(self, vm, checks_token):
        self.vm = vm
        self.checks_token = checks_token
        self.incarnation = 1
        self.alive = True
        self.silent = False
        self.leaving = False
        self.token = 0
        self.accepted_tokens = []
        self.assignment = None
        self.draining = False
        self.loaded = []

    @property
    def instance(self):
        return f"{self.vm.id}#{self.incarnation}"

    def die(self):
        self.alive = False
        self.assignment = None
        self.loaded = []

    def recover(self):
        if not self.alive:
            self.incarnation += 1
            self.token = 0
            self.accepted_tokens = []
        self.alive, self.silent = True, False

    def apply_order(self, order, token):
        """Return ``obeyed``, ``refused`` or ``lost``."""
        if not self.alive or self.silent:
            return "lost"
        if self.checks_token and token < self.token:
            return "refused"
        self.token = max(self.token, token)
        self.accepted_tokens.append(token)
        own = self.assignment
        if order.kind == "form":
            replica = order.replica
            self.assignment = Assignment(
                replica.replica_id,
                order.generation,
                token,
                order.rank,
                list(replica.members),
                replica.deployment,
                replica.model,
                replica.version,
                list(replica.adapters),
            )
            self.draining = False
            self.loaded = [Weights(replica.model, replica.version)]
        elif order.kind == "load":
            if own is None:
                self.loaded = [order.weights]
        elif own and (own.replica_id, own.generation) == (order.replica_id, order.generation):
            if order.kind == "drain":
                self.draining = True
            else:
                self.assignment = None
        return "obeyed"

    def report(self):
        status = MemberStatus.FREE if self.assignment is None else MemberStatus.SERVING
        if self.assignment is not None and self.draining:
            status = MemberStatus.DRAINING
        return MemberReport(
            self.vm.id,
            self.instance,
            status,
            self.leaving,
            self.token,
            list(self.loaded),
            assignment=self.assignment,
        )


class FakeDirectory:
    """`VmDirectory` with a fixed VM list."""

    def __init__(self, vms):
        self.vms = {vm.id: vm for vm in vms}

    def endpoints(self, zones):
        return list(self.vms.values())

    def is_leaving(self, vm_id):
        return vm_id not in self.vms


class FakePeerTable:
    """`PeerTable` that ranks every daemon for every job."""

    def __init__(self, own):
        self.own = own

    def is_ranked(self, job, count, candidates=None):
        return True


class FakeConfigHolder:
    """`ConfigHolder` with a fixed document that tests may replace."""

    def __init__(self, document):
        self.record = ConfigRecord(revision=1, change_id="c", operator="o", document=document)

    @property
    def document(self):
        return self.record.document


class ZoneModel:
    """Two placers that compete for a zone.

    Attributes
    ----------
    delayed : list
        Orders in the network that have not been delivered; used only if `delay_orders` is set.
    orders_without_lease : list of str
        Orders sent without holding the lease to engines that don't check tokens.
    """

    def __init__(
        self, vms=6, members=2, checks_token=True, domains=1, policy="weighed", **deployment
    ):
        self.clock = ManualClock()
        self.document = sample_document(
            members, engine={"checks_fencing_token": checks_token}, **deployment
        )
        listed = [
            Vm(
                id=f"v{n}",
                address="127.0.0.1:1",
                zone=ZONE,
                kind=VmKind.ENGINE,
                label="drafting",
                fabric_domain=f"f{n % domains}",
            )
            for n in range(vms)
        ]
        self.engines = {vm.id: FakeEngine(vm, checks_token) for vm in listed}
        self.directory = FakeDirectory(listed)
        self.store = InMemoryStore(self.clock)
        self.holder = FakeConfigHolder(self.document)
        self.checks_token = checks_token
        self.delay_orders = False
        self.delayed = []
        self.orders_without_lease = []
        self.placers = [self._make_placer(name, policy) for name in ("a", "b")]

    def _make_placer(self, name, policy):
        own = PeerInfo(name, ZONE, f"{name}-1", "127.0.0.1:1", 1)
        facts = FactTable(self.clock)
        store = InMemoryStore(self.clock, self.store.kv)
        placer = ZonePlacer(
            ZONE,
            store,
            self.clock,
            self.holder,
            FakePeerTable(own),
            facts,
            self.directory,
            make_repair_policy(policy),
            DecisionLog(self.clock),
        )
        placer.orders.send_all = lambda orders, lease: self._send(placer, orders, lease)
        return placer

    def _send(self, placer, orders, lease):
        """Replace `OrderSender.send_all`: send orders through the modelled network."""
        results = []
        for order in orders:
            if not lease.may_order(order.checks_fencing_token):
                continue
            self._check_lease_held(placer, order)
            if self.delay_orders and order.checks_fencing_token:
                self.delayed.append((order, lease.token))
                continue
            results.append(self.engines[order.vm].apply_order(order, lease.token))
        return "refused" not in results

    def _check_lease_held(self, placer, order):
        if order.checks_fencing_token:
            return
        owner = placer.lease.own.name
        self.store.kv.expire()
        stored = self.store.kv.range(f"/corianderhaven/zones/{ZONE}/lease".encode())
        if not stored or json.loads(stored[0].value)["daemon"] != owner:
            self.orders_without_lease.append(f"{owner} ordered {order.vm} without the lease")

    def deliver(self, index):
        """Deliver one delayed order."""
        order, token = self.delayed.pop(index)
        self.engines[order.vm].apply_order(order, token)

    def probe(self):
        """Update the facts of both placers from the engines."""
        for vm_id, engine in self.engines.items():
            for placer in self.placers:
                facts = placer.planner.facts
                if engine.silent and engine.alive:
                    continue
                facts.observe(vm_id, engine.report() if engine.alive else None)

    def step(self, placers=(0, 1), advance_ms=500.0):
        """Advance the clock, probe the engines and run the given placers once."""
        self.clock.advance_ms(advance_ms)
        self.probe()
        for index in placers:
            self.placers[index].tick()

    def run(self, steps, placers=(0, 1)):
        for _ in range(steps):
            self.step(placers)

    def whole(self):
        """Return the VMs of each replica whose members all report the same assignment."""
        found = {}
        for engine in self.engines.values():
            own = engine.assignment
            if own is None or own.rank != 0:
                continue
            members = [self.engines[m.vm] for m in own.members]
            agreed = all(
                e.alive
                and not e.silent
                and e.instance == m.instance
                and e.assignment is not None
                and e.assignment.replica_id == own.replica_id
                and e.assignment.generation == own.generation
                and e.assignment.rank == rank
                for rank, (e, m) in enumerate(zip(members, own.members, strict=True))
            )
            if agreed:
                found[own.replica_id] = {m.vm for m in own.members}
        return found

    def max_replicas(self):
        """Return the maximum number of replicas set in the document."""
        return self.holder.document.deployments[0].max_replicas_per_zone

    def stored_intent(self):
        item = self.store.kv.range(f"/corianderhaven/zones/{ZONE}/intent".encode())
        return json.loads(item[0].value) if item else {"replicas": [], "next_generation": 0}
