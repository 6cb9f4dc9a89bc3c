"""Which replicas to form, dissolve or prepare for; decisions only, no input or output.

Answers three patterns: the first formation of a whole fleet against a slow weight store,
members that die in pairs every few seconds, and empty VMs that arrive meanwhile.

Each fabric domain has a home model. Survivors of broken replicas and spares of one model
then stand in one domain, where any of them completes any replica.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass

from ._replicas import group_replicas, missing_members
from ._types import ReplicaState

# A lost VM takes its whole replica out until a spare joins, so a model's VMs beyond its share
# grow with the size of its replicas: each member adds this part of the share.
SPARE_PER_MEMBER = 0.25
ROUNDING = 0.5


def target_shares(models):
    """Return the share of all VMs that each model should hold, by name."""
    weights = {m.name: m.share * (1.0 + SPARE_PER_MEMBER * m.size) for m in models}
    total = sum(weights.values()) or 1.0
    return {name: weight / total for name, weight in weights.items()}


@dataclass
class Vm:
    """An endpoint as the plan sees it.

    Parameters
    ----------
    free : bool
        Whether it may be given to a replica now.
    staging : str or None
        Model whose load onto the host is under way.
    last_model : str or None
        Model of its last replica in this life, which it joins fastest.
    """

    endpoint: object
    free: bool
    staging: str | None = None
    last_model: str | None = None

    @property
    def model(self):
        """The model that it serves or needs no load for, now or soon; None when empty."""
        if not self.free and self.last_model:
            return self.last_model
        return self.staging or next(iter(self.endpoint.staged[-1:]), None)

    def holds(self, name):
        """Return whether it can join a replica of a model without a load."""
        return self.free and not self.staging and name in self.endpoint.staged

    @property
    def empty(self):
        """Whether it is free and holds no weights."""
        return self.free and not self.staging and not self.endpoint.staged


@dataclass(frozen=True)
class Form:
    """Form a replica of `model` from endpoints; the first becomes its head."""

    model: str
    members: tuple
    loads: int


@dataclass(frozen=True)
class Stage:
    """Load `model` onto the host of an endpoint that serves nothing."""

    model: str
    endpoint: object


@dataclass(frozen=True)
class Standby:
    """Bring staged weights into a spare's memory, so that it joins a replica at once."""

    model: str
    endpoint: object


@dataclass(frozen=True)
class Dissolve:
    """Take a replica apart; `graceful` lets what runs finish."""

    replica: object
    reason: str
    graceful: bool = False


def find_lost(endpoints, engine, dead=frozenset(), skipped=frozenset()):
    """Return a `Dissolve` for each replica that can't serve as it is.

    Parameters
    ----------
    endpoints : list of Endpoint
    engine : EngineSpec
    dead : set of str
        Endpoints that answer nobody, by id.
    skipped : set of (str, int)
        Replicas that are being formed or taken apart, or were.
    """
    actions = []
    for key, replica in group_replicas(endpoints).items():
        model = engine.model(replica.model)
        if key in skipped:
            continue
        if model is None:
            actions.append(Dissolve(replica, "unknown model"))
        elif replica.state in (ReplicaState.JOINING, ReplicaState.READY):
            actions.append(Dissolve(replica, "left unfinished"))
        elif replica.state is ReplicaState.BROKEN:
            actions.append(Dissolve(replica, "broken"))
        elif any(e.id in dead for e in replica.members.values()):
            actions.append(Dissolve(replica, "member silent"))
        elif missing_members(replica, model.size):
            leaving = any(e.leaving for e in replica.members.values())
            reason = "member leaving" if leaving else "member lost"
            all_told = len(replica.members) >= model.size
            actions.append(Dissolve(replica, reason, graceful=leaving and all_told))
        elif replica.state is ReplicaState.CLOSING:
            actions.append(Dissolve(replica, "closing", graceful=True))
    return actions


class FormationPlanner:
    """Chooses formations and loads for the engines of one service.

    Keeps, for each fabric domain, which part of it is meant for which model.

    Parameters
    ----------
    engine : EngineSpec
    """

    def __init__(self, engine):
        self.engine = engine
        self.parts = {}
        self.targets = target_shares(engine.models)

    def plan(self, vms, load_slots, settled=True, loads_quick=True):
        """Return the actions to take now, most useful first.

        Parameters
        ----------
        vms : list of Vm
            All endpoints of the service that can be used, in replicas or free.
        load_slots : int
            Loads from the weight store that may begin now.
        settled : bool
            Whether all endpoints are known; before, only whole replicas are loaded.
        loads_quick : bool
            Whether a load takes no longer than waiting for other VMs would. Where it does, VMs
            are loaded one by one on their hosts, so that those that hold the weights already
            stay free for whatever replica they can complete meanwhile.
        """
        domains = self._domains(vms)
        self._assign(domains)
        actions = []
        for model in self._neediest_first(vms):
            for domain in self._poorest_first(domains, model):
                actions += self._form_staged(domains[domain], model)
        while load_slots > 0:
            action, loads = self._next_load(domains, vms, load_slots, settled, loads_quick)
            if action is None:
                break
            load_slots -= loads
            actions.append(action)
        return actions + self._standbys(vms)

    def _domains(self, vms):
        domains = defaultdict(list)
        for vm in vms:
            domains[(vm.endpoint.zone, vm.endpoint.domain)].append(vm)
        return domains

    def _assign(self, domains):
        """Decide which part of each domain is meant for which model.

        A domain that holds weights already goes on as it is. Empty ones are given to one
        model as a whole where its share allows, so that spares serve many replicas.
        """
        committed = {}
        for domain, vms in domains.items():
            held = Counter(vm.model for vm in vms if self._knows(vm.model))
            if held:
                parts = {name: count / held.total() for name, count in held.items()}
                committed[domain] = self.parts.get(domain, parts)
        self.parts = committed
        for domain in sorted(d for d in domains if d not in committed):
            parts = self._parts_of_empty(domain[0], len(domains), len(domains[domain]))
            self.parts[domain] = parts

    def _knows(self, name):
        return self.engine.model(name) is not None

    def _parts_of_empty(self, zone, domain_count, vm_count):
        """Give a domain to the model that is furthest below its share, or split it."""
        in_zone, total = Counter(), Counter()
        for (other_zone, _), parts in self.parts.items():
            for name, part in parts.items():
                total[name] += part
                in_zone[name] += part * (other_zone == zone)
        short = {m: self.targets[m.name] * domain_count - total[m.name] for m in self.engine.models}
        first = max(short, key=lambda m: (short[m] >= 1.0, -in_zone[m.name], short[m], m.size))
        first = first if short[first] > 0.0 else max(short, key=short.get)
        others = [m for m in short if m is not first and short[m] > 0.0]
        if short[first] >= 1.0 or not others:
            return {first.name: 1.0}
        second = max(others, key=short.get)
        vms = round(min(short[first], 1.0) * vm_count / first.size) * first.size
        if not 0 < vms < vm_count or vm_count - vms < second.size:
            return {max((first, second), key=short.get).name: 1.0}
        return {first.name: vms / vm_count, second.name: 1.0 - vms / vm_count}

    def _room(self, domain, vms, model):
        """Return how many more VMs of a domain are meant for a model."""
        part = self.parts[domain].get(model.name, 0.0)
        return part * len(vms) - sum(vm.model == model.name for vm in vms) + ROUNDING

    def _neediest_first(self, vms):
        """Order models by how far their VMs are from their share."""
        held = Counter(vm.model for vm in vms)
        total = max(1, len(vms))
        return sorted(
            self.engine.models, key=lambda m: (held[m.name] / total - m.share, -m.size, m.name)
        )

    def _poorest_first(self, domains, model):
        """Order domains by how many of their VMs hold `model`, so that losses spread."""

        def holding(domain):
            return sum(vm.model == model.name for vm in domains[domain])

        return sorted(domains, key=lambda domain: (holding(domain), domain[::-1]))

    def _form_staged(self, vms, model):
        """Form replicas of VMs that hold the weights already, in memory or on the host."""
        ready = [vm for vm in vms if vm.holds(model.name)]
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

    def _next_load(self, domains, vms, load_slots, settled, loads_quick):
        """Return the load that helps most, and how many loads it takes."""
        if loads_quick:
            action = self._loaded_replica(domains, vms, load_slots)
            if action is not None:
                return action, action.loads
        if not settled:
            return None, 0
        for model in self._neediest_first(vms):
            for domain in sorted(domains, key=lambda d: -self._spares(domains[d], model)):
                at_home = self.parts[domain].get(model.name, 0.0) > 0.5
                action = self._completing_stage(domains[domain], model, at_home)
                if action is not None:
                    return action, 1
        for domain in sorted(domains, key=lambda d: -len(domains[d])):
            empty = [vm for vm in domains[domain] if vm.empty]
            if empty:
                roomiest = max(
                    self.engine.models, key=lambda m: self._room(domain, domains[domain], m)
                )
                return self._stage(empty[0], roomiest), 1
        return None, 0

    def _loaded_replica(self, domains, vms, load_slots):
        """Form a replica that needs loads, of the model that is furthest from its share."""
        for model in self._neediest_first(vms):
            for domain in self._poorest_first(domains, model):
                room = self._room(domain, domains[domain], model)
                action = self._whole_replica(domains[domain], model, min(load_slots, room))
                if action is not None:
                    return action
        return None

    def _spares(self, vms, model):
        """Count the free VMs that hold `model`, or soon will."""
        return sum(vm.free and vm.model == model.name for vm in vms)

    def _whole_replica(self, vms, model, load_slots):
        """Form a replica of VMs of which some must load."""
        ready = [vm for vm in vms if vm.holds(model.name)]
        empty = [vm for vm in vms if vm.empty]
        loads = model.size - len(ready)
        if loads <= 0 or loads > min(len(empty), load_slots):
            return None
        return self._form(ready + empty[:loads], model, loads)

    def _completing_stage(self, vms, model, at_home):
        """Stage a VM so that a replica can be formed of those left over."""
        spares = self._spares(vms, model)
        needed = model.size - spares
        if spares == 0 or needed <= 0:
            return None
        candidates = [vm for vm in vms if vm.empty]
        if at_home:
            candidates += self._strays(vms, model)
        if len(candidates) < needed:
            return None
        return self._stage(candidates[0], model)

    def _strays(self, vms, model):
        """Return free VMs of other models that are too few for a replica of theirs."""
        strays = []
        for other in self.engine.models:
            left = [vm for vm in vms if vm.holds(other.name)]
            if other.name != model.name and 0 < len(left) < other.size:
                strays += left
        return strays

    def _stage(self, vm, model):
        vm.staging = model.name
        return Stage(model.name, vm.endpoint)

    def _standbys(self, vms):
        """Prepare spares that hold weights on their host but not in memory."""
        actions = []
        for vm in vms:
            staged = vm.endpoint.staged[-1:]
            if vm.free and not vm.staging and staged and vm.last_model != staged[0]:
                actions.append(Standby(staged[0], vm.endpoint))
        return actions
