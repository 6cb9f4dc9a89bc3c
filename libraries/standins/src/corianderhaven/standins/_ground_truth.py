"""Ground truth about the engines, sampled independently of what the daemons report."""

from collections import defaultdict

from corianderhaven.common import PeriodicThread

from ._faults import VmCondition

SAMPLE_PERIOD_MS = 50.0


class GroundTruthSampler:
    """Computes group downtime and stranded accelerators from the state of the engines.

    Parameters
    ----------
    clock : Clock
    engines : dict of str to EngineMember
    members_per_replica : int
        Number of VMs in one replica.

    Attributes
    ----------
    downtime_ms : float
        Replica-ms of missing replicas: those that a fabric domain could form if all its VMs
        were alive, minus those that are whole.
    stranded_vm_ms : float
        VM-ms of live VMs that are assigned to a replica that is not whole.
    idle_vm_ms : float
        VM-ms of live VMs that could form whole replicas with other live VMs of their fabric
        domain but do not serve, whichever replica they are assigned to.
    """

    def __init__(self, clock, engines, members_per_replica):
        self.clock = clock
        self.engines = engines
        self.members_per_replica = members_per_replica
        self.downtime_ms = 0.0
        self.stranded_vm_ms = 0.0
        self.idle_vm_ms = 0.0
        self.last_ms = None
        self.periodic = None

    def start(self):
        """Start sampling."""
        self.periodic = PeriodicThread("truth", self.sample, SAMPLE_PERIOD_MS).start()
        return self

    def close(self):
        """Stop sampling."""
        self.periodic.close()

    def reset(self):
        """Reset all totals to zero."""
        self.downtime_ms = self.stranded_vm_ms = self.idle_vm_ms = 0.0

    def sample(self):
        """Add the time since the previous sample to the totals."""
        now = self.clock.now_ms()
        elapsed = 0.0 if self.last_ms is None else now - self.last_ms
        self.last_ms = now
        domains = defaultdict(list)
        for engine in self.engines.values():
            domains[engine.vm.fabric_domain].append(engine)
        for engines in domains.values():
            self._add_domain(engines, elapsed)

    def _add_domain(self, engines, elapsed):
        alive = [e for e in engines if e.condition is VmCondition.ALIVE]
        heads = [e for e in alive if e.assignment is not None and e.assignment.rank == 0]
        whole_keys = {e.assignment.key for e in heads if e.is_replica_whole()}
        serving = len(whole_keys) * self.members_per_replica
        stranded = [e for e in alive if e.assignment and e.assignment.key not in whole_keys]
        possible = len(engines) // self.members_per_replica
        possible_now = len(alive) // self.members_per_replica * self.members_per_replica
        self.downtime_ms += max(0, possible - len(whole_keys)) * elapsed
        self.stranded_vm_ms += len(stranded) * elapsed
        self.idle_vm_ms += max(0, possible_now - serving) * elapsed

    def totals(self):
        """Return the totals, rounded to ms."""
        return {
            "downtime_ms": round(self.downtime_ms),
            "stranded_vm_ms": round(self.stranded_vm_ms),
            "idle_vm_ms": round(self.idle_vm_ms),
        }
