"""Plans the desired replicas of an availability zone."""

from collections import Counter

from corianderhaven.membership import MemberReference
from corianderhaven.platform import VmKind

from ._intent import DrainReason, IntentReplica
from ._member_state import MemberState, assess_replica
from ._plan import Plan
from ._repair import RepairAction, RepairCase
from ._stability import StabilityTracker

DRAIN_BOUND_MS = 10_000.0
REUSABLE_STATES = (
    MemberState.READY,
    MemberState.LOADING,
    MemberState.MISPLACED,
    MemberState.BROKEN,
    MemberState.DRAINING,
)


class Planner:
    """Plans the replicas of one availability zone.

    Parameters
    ----------
    zone : str
    facts : FactTable
    directory : VmDirectory
    clock : Clock
    policy : BaseRepairPolicy
    """

    def __init__(self, zone, facts, directory, clock, policy):
        self.zone = zone
        self.facts = facts
        self.directory = directory
        self.clock = clock
        self.policy = policy
        self.stability = StabilityTracker(clock)
        self.drain_started = {}
        self.count_spare_loads = lambda: 0

    def plan(self, document, intent, may_change):
        """Return a `Plan` for the current document, intent and facts.

        Parameters
        ----------
        document : Document
        intent : ZoneIntent
            Not modified.
        may_change : callable
            Takes a deployment; returns whether its replicas may be changed now.
        """
        plan = Plan(intent.copy())
        self._update_stability()
        deployments = sorted(
            (d for d in document.deployments if self._in_zone(d) and may_change(d)),
            key=lambda d: (d.priority, d.name),
        )
        self._retire_replicas(plan, document, may_change)
        for deployment in deployments:
            self._repair(plan, deployment, document)
        for deployment in deployments:
            self._finish_drains(plan, deployment)
            self._roll_out(plan, deployment)
        for deployment in deployments:
            self._form_replicas(plan, deployment, document)
        self._preempt_replica(plan, deployments)
        return plan

    def states(self, intent):
        """Return the `ReplicaState` of each intended replica by id."""
        return {
            r.replica_id: assess_replica(r, self.facts, self.directory) for r in intent.replicas
        }

    def engines(self):
        """Return the engine VMs of the zone."""
        return [vm for vm in self.directory.endpoints({self.zone}) if vm.kind is VmKind.ENGINE]

    def eligible(self, deployment):
        """Return the engine VMs that match a deployment's selector."""
        selector = deployment.vms
        return [
            vm
            for vm in self.engines()
            if vm.label == selector.label
            and (not selector.fabric_domains or vm.fabric_domain in selector.fabric_domains)
        ]

    def _in_zone(self, deployment):
        return not deployment.vms.zones or self.zone in deployment.vms.zones

    def _update_stability(self):
        for vm in self.engines():
            self.stability.update(vm.id, self.facts.fresh_report(vm.id) is not None)

    def _record_change(self, plan, event, replica_id, **details):
        plan.add_change(event, replica_id, self.zone, **details)

    def _retire_replicas(self, plan, document, may_change):
        """Drain replicas that their deployment no longer needs, or whose deployment is gone."""
        wanted = {d.name: d for d in document.deployments if self._in_zone(d)}
        counts = Counter()
        for replica in list(plan.intent.replicas):
            deployment = wanted.get(replica.deployment)
            counts[replica.deployment] += 1
            surplus = (
                deployment is None
                or counts[replica.deployment] > deployment.max_replicas_per_zone
                or len(replica.members) != deployment.members_per_replica
            )
            if surplus and replica.drain is not DrainReason.RETIRE:
                replica.drain = DrainReason.RETIRE
                self._record_change(plan, "replica_retired", replica.replica_id)
            if deployment is None and self._is_drained(replica):
                self._remove(plan, replica, "replica_removed")

    def _repair(self, plan, deployment, document):
        replicas = [r for r in plan.intent.replicas if r.deployment == deployment.name]
        for replica in sorted(replicas, key=lambda r: r.replica_id):
            state = assess_replica(replica, self.facts, self.directory)
            if not state.missing or replica.drain is DrainReason.RETIRE:
                continue
            if self._is_finishing_requests(replica, state):
                continue
            self._repair_one(plan, deployment, replica, state, document)

    def _is_finishing_requests(self, replica, state):
        """Return whether a replica with leaving members is still finishing its requests."""
        leaving = state.count(MemberState.LEAVING)
        if leaving != state.missing or leaving + state.count(MemberState.READY) != len(
            state.members
        ):
            return False
        return state.running > 0 and not self._exceeded_drain_bound(replica)

    def _repair_one(self, plan, deployment, replica, state, document):
        spares = self._find_spares(plan, deployment, replica.fabric_domain)
        case = self._make_repair_case(plan, deployment, replica, state, spares)
        decision = self.policy.decide(case, deployment.repair)
        if decision.action is RepairAction.WAIT:
            return
        if decision.action is RepairAction.DISSOLVE:
            self._remove(plan, replica, "replica_dissolved", costs=decision.costs)
            return
        chosen = spares[: state.missing]
        if not self._may_load(plan, deployment, chosen, document):
            return
        self._replace_members(plan, replica, state, chosen)
        self._record_change(
            plan,
            "replica_repaired",
            replica.replica_id,
            generation=replica.generation,
            costs=decision.costs,
            states=[s.value for s in state.members],
            spares=[vm.id for vm in chosen],
        )

    def _make_repair_case(self, plan, deployment, replica, state, spares):
        other = self._find_completable(plan, deployment, replica, state, len(spares))
        loaded = [vm for vm in spares if self._has_loaded(vm.id, deployment)]
        return RepairCase(
            alive=state.alive,
            missing=state.missing,
            lost=state.count(MemberState.LOST) + state.count(MemberState.LEAVING),
            silent_ms=state.silent_ms,
            spares=len(spares),
            spares_loaded=len(loaded) >= state.missing,
            can_complete_other=other is not None,
            other_alive=other.alive if other else 0,
        )

    def _find_completable(self, plan, deployment, replica, state, spares):
        """Return the state of another incomplete replica that the members could complete.

        Of two such replicas, only the one with more missing members, or on a tie the one with
        the greater id, gives up its members, so that they are not both dissolved.
        """
        for other in plan.intent.replicas:
            if other is replica or other.fabric_domain != replica.fabric_domain:
                continue
            other_state = assess_replica(other, self.facts, self.directory)
            if not other_state.missing or other.drain is DrainReason.RETIRE:
                continue
            donates = (state.missing, replica.replica_id) > (other_state.missing, other.replica_id)
            enough = other_state.missing <= state.alive + spares
            if other.deployment == deployment.name and donates and enough:
                return other_state
        return None

    def _find_spares(self, plan, deployment, domain):
        """Return the free VMs of a fabric domain, those with the weights loaded first."""
        used = plan.intent.used_vms()
        free = [
            vm
            for vm in self.eligible(deployment)
            if vm.fabric_domain == domain and self._is_free(vm, plan.intent, used)
        ]
        return sorted(free, key=lambda vm: (not self._has_loaded(vm.id, deployment), vm.id))

    def _is_free(self, vm, intent, used):
        """Return whether a VM can join a replica now.

        A VM that came back as another instance is still listed in the intent as a lost member;
        it may replace itself.
        """
        report = self.facts.fresh_report(vm.id)
        if report is None or report.leaving or self.directory.is_leaving(vm.id):
            return False
        if report.assignment is not None or not self.stability.is_stable(vm.id):
            return False
        if vm.id not in used:
            return True
        listing_replicas = [r for r in intent.replicas if vm.id in r.vms]
        return all(
            member.instance != report.instance
            for replica in listing_replicas
            for member in replica.members
            if member.vm == vm.id
        )

    def _has_loaded(self, vm_id, deployment):
        report = self.facts.fresh_report(vm_id)
        return report is not None and any(
            (w.model, w.version) == (deployment.model, deployment.version) for w in report.loaded
        )

    def _may_load(self, plan, deployment, vms, document):
        """Return whether the weight store's limit allows the loads that `vms` need."""
        needed = sum(1 for vm in vms if not self._has_loaded(vm.id, deployment))
        if not needed:
            return True
        loading = self.loading(plan.intent) + self.count_spare_loads()
        return loading == 0 or loading + needed <= document.weight_store_loads

    def loading(self, intent):
        """Return how many members load weights or are about to."""
        return sum(
            state in (MemberState.LOADING, MemberState.MISPLACED)
            for replica in intent.replicas
            for state in assess_replica(replica, self.facts, self.directory).members
        )

    def _replace_members(self, plan, replica, state, spares):
        reused = [
            member
            for member, member_state in zip(replica.members, state.members, strict=True)
            if member_state in REUSABLE_STATES
        ]
        replica.members = reused + [self._member_reference(vm) for vm in spares]
        replica.generation = self._next_generation(plan)
        replica.drain = DrainReason.NONE
        self.drain_started.pop(replica.replica_id, None)

    def _member_reference(self, vm):
        return MemberReference(vm.id, self.facts.fresh_report(vm.id).instance, vm.address)

    def _next_generation(self, plan):
        generation = plan.intent.next_generation
        plan.intent.next_generation += 1
        return generation

    def _remove(self, plan, replica, event, **details):
        plan.intent.replicas.remove(replica)
        self.drain_started.pop(replica.replica_id, None)
        self._record_change(plan, event, replica.replica_id, **details)

    def _exceeded_drain_bound(self, replica):
        now = self.clock.now_ms()
        return now - self.drain_started.setdefault(replica.replica_id, now) > DRAIN_BOUND_MS

    def _is_drained(self, replica):
        """Return whether a draining replica is idle or exceeded the drain bound.

        It is idle once none of its members is ready or loading and no requests are reported.
        """
        bound_exceeded = self._exceeded_drain_bound(replica)
        state = assess_replica(replica, self.facts, self.directory)
        stopped = all(s not in (MemberState.READY, MemberState.LOADING) for s in state.members)
        return bound_exceeded or (stopped and state.running == 0)

    def _finish_drains(self, plan, deployment):
        for replica in [r for r in plan.intent.replicas if r.deployment == deployment.name]:
            if replica.drain is DrainReason.NONE or not self._is_drained(replica):
                continue
            if replica.drain is DrainReason.RETIRE:
                self._remove(plan, replica, "replica_removed")
                continue
            replica.model, replica.version = deployment.model, deployment.version
            replica.adapters = list(deployment.adapters)
            replica.generation = self._next_generation(plan)
            replica.drain = DrainReason.NONE
            self.drain_started.pop(replica.replica_id, None)
            self._record_change(
                plan, "replica_rolled_out", replica.replica_id, version=deployment.version
            )

    def _roll_out(self, plan, deployment):
        """Drain one outdated replica at a time, never falling below the floor."""
        replicas = [r for r in plan.intent.replicas if r.deployment == deployment.name]
        outdated = [r for r in replicas if not _is_current(r, deployment)]
        states = {r.replica_id: assess_replica(r, self.facts, self.directory) for r in replicas}
        draining = [r for r in replicas if r.drain is not DrainReason.NONE]
        whole = [r for r in replicas if states[r.replica_id].whole]
        converging = [r for r in replicas if states[r.replica_id].converging and r not in whole]
        if not outdated or draining or converging:
            return
        incomplete_first = sorted(
            outdated, key=lambda r: (states[r.replica_id].whole, r.replica_id)
        )
        replica = incomplete_first[0]
        if states[replica.replica_id].whole and len(whole) - 1 < deployment.floor.whole_replicas:
            return
        replica.drain = DrainReason.ROLL_OUT
        self._record_change(plan, "roll_out_begun", replica.replica_id, version=deployment.version)

    def _form_replicas(self, plan, deployment, document):
        """Form new replicas, each from free VMs of a single fabric domain."""
        domains = sorted({vm.fabric_domain for vm in self.eligible(deployment)})
        for domain in domains:
            while self._count_replicas(plan, deployment) < deployment.max_replicas_per_zone:
                used = plan.intent.used_vms()
                spares = [
                    vm for vm in self._find_spares(plan, deployment, domain) if vm.id not in used
                ]
                chosen = spares[: deployment.members_per_replica]
                if len(chosen) < deployment.members_per_replica:
                    break
                if not self._may_load(plan, deployment, chosen, document):
                    return
                self._add_replica(plan, deployment, domain, chosen)

    def _add_replica(self, plan, deployment, domain, vms):
        taken = {r.replica_id for r in plan.intent.replicas}
        numbers = range(1, len(taken) + 2)
        names = (f"{deployment.name}-{self.zone}-{number}" for number in numbers)
        replica = IntentReplica(
            replica_id=next(name for name in names if name not in taken),
            generation=self._next_generation(plan),
            deployment=deployment.name,
            model=deployment.model,
            version=deployment.version,
            adapters=list(deployment.adapters),
            fabric_domain=domain,
            members=[self._member_reference(vm) for vm in vms],
        )
        plan.intent.replicas.append(replica)
        self._record_change(
            plan,
            "replica_formed",
            replica.replica_id,
            generation=replica.generation,
            fabric_domain=domain,
            members=replica.vms,
        )

    def _count_replicas(self, plan, deployment):
        return sum(1 for r in plan.intent.replicas if r.deployment == deployment.name)

    def _preempt_replica(self, plan, deployments):
        """Drain a replica of the lowest-priority deployment to free VMs for one below its floor."""
        for deployment in deployments:
            if self._count_replicas(plan, deployment) >= deployment.floor.whole_replicas:
                continue
            if self._has_enough_unused_vms(plan, deployment):
                continue
            victims = [
                (other, replica)
                for other in deployments
                if other.priority > deployment.priority
                and other.vms.label == deployment.vms.label
                and self._count_replicas(plan, other) > other.floor.whole_replicas
                for replica in plan.intent.replicas
                if replica.deployment == other.name
            ]
            if any(replica.drain is not DrainReason.NONE for _, replica in victims):
                return
            if victims:
                _, replica = max(victims, key=lambda v: (v[0].priority, v[1].replica_id))
                replica.drain = DrainReason.RETIRE
                self._record_change(
                    plan, "replica_preempted", replica.replica_id, by=deployment.name
                )
                return

    def _has_enough_unused_vms(self, plan, deployment):
        """Return whether the VMs that no replica uses suffice for a new one."""
        used = plan.intent.used_vms()
        unused = Counter(
            vm.fabric_domain
            for vm in self.eligible(deployment)
            if vm.id not in used and self.facts.fresh_report(vm.id) is not None
        )
        return any(count >= deployment.members_per_replica for count in unused.values())


def _is_current(replica, deployment):
    return (replica.model, replica.version, replica.adapters) == (
        deployment.model,
        deployment.version,
        deployment.adapters,
    )
