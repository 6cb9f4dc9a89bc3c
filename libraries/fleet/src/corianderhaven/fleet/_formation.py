"""Planning of the replicas to form, dissolve or prepare for; performs no I/O.

The plan handles three cases: the initial formation of a whole fleet with a slow weight store,
members that fail in pairs every few seconds, and empty VMs that are added meanwhile.

Each fabric domain is assigned to one model where possible. Survivors of broken replicas and
spares of a model are then in the same domain, where any of them can complete any replica.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass

from ._replicas import count_missing_members, group_replicas
from ._types import ReplicaState

# The loss of one VM interrupts its whole replica until a spare joins. A model therefore gets
# spare VMs in proportion to its replica size: each member adds this part of the model's share.
SPARE_SHARE_PER_MEMBER = 0.25
LEAVING_FINISH_MS = 9_000.0  # engines wait ten seconds for the replica of a leaving member
WORKING_STATES = (ReplicaState.OPEN, ReplicaState.CLOSING)  # of a head that runs requests
QUOTA_ROUNDING = 0.5  # rounds the VMs of a share to the nearest whole number


def target_shares(models):
    """Return the fraction of all VMs for each model, by name, including spares."""
    weights = {m.name: m.share * (1.0 + SPARE_SHARE_PER_MEMBER * m.size) for m in models}
    total = sum(weights.values()) or 1.0
    return {name: weight / total for name, weight in weights.items()}


@dataclass
class Vm:
    """Endpoint with its state in the plan.

    Parameters
    ----------
    free : bool
        Whether it may join a replica now.
    staging : str or None
        Model that is being loaded onto the host.
    last_model : str or None
        Model of its last replica in this incarnation, whose replicas it joins fastest.
    """

    endpoint: object
    free: bool
    staging: str | None = None
    last_model: str | None = None

    @property
    def model(self):
        """Model that it serves, holds or is loading; None for an empty VM."""
        if not self.free and self.last_model:
            return self.last_model
        return self.staging or next(iter(self.endpoint.staged[-1:]), None)

    def has_staged(self, name):
        """Return whether it can join a replica of a model without a load."""
        return self.free and not self.staging and name in self.endpoint.staged


@dataclass(frozen=True)
class Form:
    """Form a replica of `model`; the first member becomes its head."""

    model: str
    members: tuple
    loads: int


@dataclass(frozen=True)
class Stage:
    """Load `model` onto the host of an endpoint that isn't serving."""

    model: str
    endpoint: object


@dataclass(frozen=True)
class Standby:
    """Load staged weights into the memory of a spare, so that it can join a replica at once."""

    model: str
    endpoint: object


@dataclass(frozen=True)
class Dissolve:
    """Dissolve a replica.

    Parameters
    ----------
    graceful : bool
        Whether its head finishes the requests that it has.
    finish_ms : float
        Maximum time for that.
    """

    replica: object
    reason: str
    graceful: bool = False
    finish_ms: float = LEAVING_FINISH_MS


def find_failed(endpoints, engine, unresponsive=frozenset(), excluded=frozenset()):
    """Return a `Dissolve` for each replica that can't serve in its current state.

    Parameters
    ----------
    endpoints : list of Endpoint
    engine : EngineSpec
    unresponsive : set of str
        Ids of endpoints that don't respond.
    excluded : set of (str, int)
        Replicas that are being formed or dissolved, or have been released.
    """
    actions = []
    for key, replica in group_replicas(endpoints).items():
        model = engine.model(replica.model)
        if key in excluded:
            continue
        if model is None:
            is_working = replica.state in WORKING_STATES
            actions.append(Dissolve(replica, "unknown model", graceful=is_working))
        elif replica.state in (ReplicaState.JOINING, ReplicaState.READY):
            actions.append(Dissolve(replica, "left unfinished"))
        elif replica.state is ReplicaState.BROKEN:
            actions.append(Dissolve(replica, "broken"))
        elif len(replica.members) > model.size:
            actions.append(Dissolve(replica, "other size", graceful=True))
        elif any(e.id in unresponsive for e in replica.members.values()):
            actions.append(Dissolve(replica, "member silent"))
        elif count_missing_members(replica, model.size):
            leaving = any(e.leaving for e in replica.members.values())
            reason = "member leaving" if leaving else "member lost"
            all_listed = len(replica.members) >= model.size
            actions.append(Dissolve(replica, reason, graceful=leaving and all_listed))
        elif replica.state is ReplicaState.CLOSING:
            actions.append(Dissolve(replica, "closing", graceful=True))
    return actions


class FormationPlanner:
    """Plans formations and loads for the engines of one service.

    Keeps the share of each fabric domain that is assigned to each model.

    Parameters
    ----------
    engine : EngineSpec

    Attributes
    ----------
    retained : set of str
        Models that the configuration doesn't name, but whose VMs stay as they are for now.
    """

    def __init__(self, engine):
        self.engine = engine
        self.retained = set()
        self.domain_shares = {}
        self.targets = target_shares(engine.models)

    def plan(self, vms, load_slots, discovery_complete=True, loads_are_fast=True):
        """Return the actions to take now, most useful first.

        Parameters
        ----------
        vms : list of Vm
            All usable endpoints of the service, in replicas or free.
        load_slots : int
            Number of loads from the weight store that may start now.
        discovery_complete : bool
            Whether all endpoints are known; until then, loads are planned only for whole
            replicas.
        loads_are_fast : bool
            Whether a load takes no longer than waiting for other VMs. If it takes longer, VMs
            are loaded one by one on their hosts, so that those that already have the weights
            stay free for any replica that they can complete meanwhile.
        """
        domains = self._group_by_domain(vms)
        self._assign_domains(domains)
        actions = []
        for model in self._models_by_shortfall(vms):
            for domain in self._domains_by_fewest_vms(domains, model):
                actions += self._form_without_loads(domains[domain], model)
        while load_slots > 0:
            action, loads = self._next_load(
                domains, vms, load_slots, discovery_complete, loads_are_fast
            )
            if action is None:
                break
            load_slots -= loads
            actions.append(action)
        return actions + self._standby_actions(vms)

    def _group_by_domain(self, vms):
        domains = defaultdict(list)
        for vm in vms:
            domains[(vm.endpoint.zone, vm.endpoint.domain)].append(vm)
        return domains

    def _assign_domains(self, domains):
        """Update the share of each domain that is assigned to each model.

        A domain that already holds weights keeps its assignment. An empty one is assigned to a
        single model if that model's target share allows, so that its spares can replace members
        of many replicas.
        """
        assigned = {}
        for domain, vms in domains.items():
            held = Counter(vm.model for vm in vms if self._is_declared(vm.model))
            if held:
                shares = {name: count / held.total() for name, count in held.items()}
                assigned[domain] = self.domain_shares.get(domain, shares)
        self.domain_shares = assigned
        for domain in sorted(d for d in domains if d not in assigned):
            shares = self._shares_of_empty_domain(domain[0], len(domains), len(domains[domain]))
            self.domain_shares[domain] = shares

    def _is_declared(self, name):
        return self.engine.model(name) is not None

    def _is_empty(self, vm):
        """Return whether a VM is free and has no weights that are in use, or may soon be again."""
        needed = any(self._is_declared(n) or n in self.retained for n in vm.endpoint.staged)
        return vm.free and not vm.staging and not needed

    def _shares_of_empty_domain(self, zone, domain_count, vm_count):
        """Assign a domain to the model furthest below its target share, or split it."""
        in_zone, total = Counter(), Counter()
        for (other_zone, _), shares in self.domain_shares.items():
            for name, share in shares.items():
                total[name] += share
                in_zone[name] += share * (other_zone == zone)
        deficits = {
            m: self.targets[m.name] * domain_count - total[m.name] for m in self.engine.models
        }
        first = max(
            deficits, key=lambda m: (deficits[m] >= 1.0, -in_zone[m.name], deficits[m], m.size)
        )
        first = first if deficits[first] > 0.0 else max(deficits, key=deficits.get)
        others = [m for m in deficits if m is not first and deficits[m] > 0.0]
        if deficits[first] >= 1.0 or not others:
            return {first.name: 1.0}
        second = max(others, key=deficits.get)
        vms = round(min(deficits[first], 1.0) * vm_count / first.size) * first.size
        if not 0 < vms < vm_count or vm_count - vms < second.size:
            return {max((first, second), key=deficits.get).name: 1.0}
        return {first.name: vms / vm_count, second.name: 1.0 - vms / vm_count}

    def _remaining_quota(self, domain, vms, model):
        """Return how many more VMs of a domain are assigned to a model."""
        share = self.domain_shares[domain].get(model.name, 0.0)
        return share * len(vms) - sum(vm.model == model.name for vm in vms) + QUOTA_ROUNDING

    def _models_by_shortfall(self, vms):
        """Return the models, those whose VMs are furthest below their share first."""
        held = Counter(vm.model for vm in vms)
        total = max(1, len(vms))
        return sorted(
            self.engine.models, key=lambda m: (held[m.name] / total - m.share, -m.size, m.name)
        )

    def _domains_by_fewest_vms(self, domains, model):
        """Return the domains, those with the fewest VMs of `model` first, to spread failures."""

        def vm_count(domain):
            return sum(vm.model == model.name for vm in domains[domain])

        return sorted(domains, key=lambda domain: (vm_count(domain), domain[::-1]))

    def _form_without_loads(self, vms, model):
        """Form replicas from VMs that have the weights in memory or on the host."""
        ready = [vm for vm in vms if vm.has_staged(model.name)]
        ready.sort(key=lambda vm: (vm.last_model != model.name, vm.endpoint.id))
        actions = []
        while len(ready) >= model.size:
            members, ready = ready[: model.size], ready[model.size :]
            actions.append(self._form(members, model, 0))
        return actions

    def _form(self, members, model, loads):
        for vm in members:
            vm.free = False
            vm.last_model = model.name
        return Form(model.name, tuple(vm.endpoint for vm in members), loads)

    def _next_load(self, domains, vms, load_slots, discovery_complete, loads_are_fast):
        """Return the most useful action that needs loads, and the number of its loads."""
        if loads_are_fast:
            action = self._next_formation_with_loads(domains, vms, load_slots)
            if action is not None:
                return action, action.loads
        if not discovery_complete:
            return None, 0
        for model in self._models_by_shortfall(vms):
            for domain in sorted(domains, key=lambda d: -self._count_spares(domains[d], model)):
                is_home_domain = self.domain_shares[domain].get(model.name, 0.0) > 0.5
                action = self._stage_to_complete(domains[domain], model, is_home_domain)
                if action is not None:
                    return action, 1
        for domain in sorted(domains, key=lambda d: -len(domains[d])):
            empty = [vm for vm in domains[domain] if self._is_empty(vm)]
            if empty:
                model = max(
                    self.engine.models,
                    key=lambda m: self._remaining_quota(domain, domains[domain], m),
                )
                return self._stage(empty[0], model), 1
        return None, 0

    def _next_formation_with_loads(self, domains, vms, load_slots):
        """Form a replica that needs loads, of the model furthest below its share."""
        for model in self._models_by_shortfall(vms):
            for domain in self._domains_by_fewest_vms(domains, model):
                quota = self._remaining_quota(domain, domains[domain], model)
                action = self._form_with_loads(domains[domain], model, min(load_slots, quota))
                if action is not None:
                    return action
        return None

    def _count_spares(self, vms, model):
        """Return the number of free VMs that hold or are loading `model`."""
        return sum(vm.free and vm.model == model.name for vm in vms)

    def _form_with_loads(self, vms, model, load_slots):
        """Form a replica in which some VMs must load the weights."""
        ready = [vm for vm in vms if vm.has_staged(model.name)]
        empty = [vm for vm in vms if self._is_empty(vm)]
        loads = model.size - len(ready)
        if loads <= 0 or loads > min(len(empty), load_slots):
            return None
        return self._form(ready + empty[:loads], model, loads)

    def _stage_to_complete(self, vms, model, is_home_domain):
        """Stage a VM if that helps to complete a replica with the existing spares."""
        spares = self._count_spares(vms, model)
        needed = model.size - spares
        if spares == 0 or needed <= 0:
            return None
        candidates = [vm for vm in vms if self._is_empty(vm)]
        if is_home_domain:
            candidates += self._leftover_vms(vms, model)
        if len(candidates) < needed:
            return None
        return self._stage(candidates[0], model)

    def _leftover_vms(self, vms, model):
        """Return free VMs of other models that are too few to form a replica."""
        leftovers = []
        for other in self.engine.models:
            left = [vm for vm in vms if vm.has_staged(other.name)]
            if other.name != model.name and 0 < len(left) < other.size:
                leftovers += left
        return leftovers

    def _stage(self, vm, model):
        vm.staging = model.name
        return Stage(model.name, vm.endpoint)

    def _standby_actions(self, vms):
        """Return a `Standby` for each spare with weights on its host but not in memory."""
        actions = []
        for vm in vms:
            staged = [name for name in vm.endpoint.staged[-1:] if self._is_declared(name)]
            if vm.free and not vm.staging and staged and vm.last_model != staged[0]:
                actions.append(Standby(staged[0], vm.endpoint))
        return actions
