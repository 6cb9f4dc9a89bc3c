"""What is true of the engines, sampled beside whatever the daemons believe."""

from collections import defaultdict

from corianderhaven.common import PeriodicThread

from ._faults import VmCondition

SAMPLE_PERIOD_MS = 50.0


class TruthSampler:
    """Sums group downtime and stranded accelerators from the engines themselves.

    Parameters
    ----------
    clock : Clock
    engines : dict of str to EngineMember
    members : int
        VMs of one replica.

    Attributes
    ----------
    downtime_ms : float
        Replica-ms in which a replica that the VMs of a fabric domain could form, were they
        all alive, was not whole.
    stranded_vm_ms : float
        VM-ms of live VMs that belong to a replica which is not whole.
    idle_vm_ms : float
        VM-ms of live VMs that could serve together with other live ones and don't,
        whatever replica they belong to.
    """

    def __init__(self, clock, engines, members):
        self.clock = clock
        self.engines = engines
        self.members = members
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
        """Start the sums anew."""
        self.downtime_ms = self.stranded_vm_ms = self.idle_vm_ms = 0.0

    def sample(self):
        """Add the time since the last sample."""
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
        leaders = [e for e in alive if e.assignment is not None and e.assignment.rank == 0]
        whole = {e.assignment.key for e in leaders if e.whole()}
        serving = len(whole) * self.members
        stranded = [e for e in alive if e.assignment and e.assignment.key not in whole]
        possible = len(engines) // self.members
        possible_now = len(alive) // self.members * self.members
        self.downtime_ms += max(0, possible - len(whole)) * elapsed
        self.stranded_vm_ms += len(stranded) * elapsed
        self.idle_vm_ms += max(0, possible_now - serving) * elapsed

    def figures(self):
        """Return the sums."""
        return {
            "downtime_ms": round(self.downtime_ms),
            "stranded_vm_ms": round(self.stranded_vm_ms),
            "idle_vm_ms": round(self.idle_vm_ms),
        }
