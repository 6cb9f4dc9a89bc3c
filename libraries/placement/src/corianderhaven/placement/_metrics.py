"""Metrics of group downtime and stranded accelerators, accumulated over time."""

from prometheus_client import Counter, Gauge, Histogram

GROUP_DOWNTIME = Counter(
    "corianderhaven_group_downtime_ms",
    "Replica-milliseconds in which a replica that its VMs could form was not whole.",
    ["deployment"],
)
STRANDED = Counter(
    "corianderhaven_stranded_vm_ms",
    "VM-milliseconds of live VMs whose replica was incomplete.",
    ["deployment", "reason"],
)
WHOLE = Gauge("corianderhaven_whole_replicas", "Whole replicas.", ["deployment", "zone"])
TIME_TO_WHOLE = Histogram(
    "corianderhaven_time_to_whole_seconds",
    "Time from the loss of a replica to its being whole again.",
    ["deployment"],
    buckets=(0.5, 1, 2, 3, 5, 8, 13, 30, 60, 120, 300),
)


class PlacementMetrics:
    """Accumulates the metrics of one zone from the intent and the facts.

    Parameters
    ----------
    clock : Clock
    zone : str
    planner : Planner

    Attributes
    ----------
    group_downtime_ms : dict of str to float
        By deployment.
    stranded_vm_ms : dict of (str, str) to float
        By deployment and reason, the state of the replica's first member that is not ready.
    """

    def __init__(self, clock, zone, planner):
        self.clock = clock
        self.zone = zone
        self.planner = planner
        self.group_downtime_ms = {}
        self.stranded_vm_ms = {}
        self.down_since = {}
        self.last_ms = None

    def update(self, document, intent):
        """Account for the time since the last update."""
        now = self.clock.now_ms()
        elapsed = 0.0 if self.last_ms is None else now - self.last_ms
        self.last_ms = now
        states = self.planner.states(intent)
        for deployment in document.deployments:
            replicas = [r for r in intent.replicas if r.deployment == deployment.name]
            self._update_deployment(deployment, replicas, states, elapsed, now)

    def _update_deployment(self, deployment, replicas, states, elapsed, now):
        whole = sum(1 for r in replicas if states[r.replica_id].whole)
        missing = max(0, self._possible(deployment) - whole)
        WHOLE.labels(deployment.name, self.zone).set(whole)
        if missing:
            name = deployment.name
            self.group_downtime_ms[name] = self.group_downtime_ms.get(name, 0.0) + missing * elapsed
            GROUP_DOWNTIME.labels(name).inc(missing * elapsed)
        for replica in replicas:
            self._update_replica(deployment.name, replica, states[replica.replica_id], elapsed, now)

    def _update_replica(self, name, replica, state, elapsed, now):
        if state.whole:
            since = self.down_since.pop(replica.replica_id, None)
            if since is not None:
                TIME_TO_WHOLE.labels(name).observe((now - since) / 1000)
            return
        self.down_since.setdefault(replica.replica_id, now)
        reason = next(s.value for s in state.members if s.value != "ready")
        key = (name, reason)
        self.stranded_vm_ms[key] = self.stranded_vm_ms.get(key, 0.0) + state.alive * elapsed
        STRANDED.labels(name, reason).inc(state.alive * elapsed)

    def _possible(self, deployment):
        """Return how many replicas the listed VMs could form, were they all alive."""
        domains = {}
        for vm in self.planner.eligible(deployment):
            domains[vm.fabric_domain] = domains.get(vm.fabric_domain, 0) + 1
        possible = sum(count // deployment.members_per_replica for count in domains.values())
        return min(possible, deployment.max_replicas_per_zone)
