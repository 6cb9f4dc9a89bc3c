"""Probing of endpoints, distributed over the daemons of a zone."""

import http.client
import threading

import msgspec

from corianderhaven.common import (
    MS_PER_S,
    JsonClient,
    PeriodicThread,
    TransportError,
    rendezvous_order,
)

from ._facts import decode_report

PROBE_PERIOD_MS = 1_000.0
PROBE_TIMEOUT_MS = 700.0
PROBERS_PER_ENDPOINT = 2
SUPERVISION_PERIOD_MS = 500.0


class EndpointProbe:
    """Requests the report of one endpoint at a fixed period.

    Parameters
    ----------
    vm : Vm
    facts : FactTable
    on_change : callable
        Called with the VM id and the report when the endpoint's state has changed.
    """

    def __init__(self, vm, facts, on_change):
        self.vm = vm
        self.facts = facts
        self.on_change = on_change
        self.client = JsonClient(vm.address, PROBE_TIMEOUT_MS)
        self.stopping = threading.Event()
        self.thread = None
        self.probes = 0

    def start(self):
        """Start the probing thread."""
        self.thread = threading.Thread(target=self._run, name=f"probe-{self.vm.id}", daemon=True)
        self.thread.start()
        return self

    def close(self):
        """Stop probing."""
        self.stopping.set()

    def _run(self):
        while not self.stopping.wait(PROBE_PERIOD_MS / MS_PER_S):
            self.probe()
        self.client.close()

    def probe(self):
        """Request the report once; timeouts and undecodable reports record nothing."""
        self.probes += 1
        try:
            exchange = self.client.call("GET", "/state")
            report = decode_report(exchange.body) if exchange.status == http.client.OK else None
        except TransportError as error:
            if error.timed_out:
                return
            report = None
        except msgspec.DecodeError:
            return
        if report is not None and report.vm != self.vm.id:
            report = None
        if self.facts.observe(self.vm.id, report):
            self.on_change(self.vm.id, report)


class ProbeSupervisor:
    """Starts and stops probes as ranks and the VM list change.

    Parameters
    ----------
    facts : FactTable
    directory : VmDirectory
    peers : PeerTable
    adoption : ZoneAdoption
    decisions : DecisionLog
    heartbeater : Heartbeater
        Sends changes to peers immediately.
    """

    def __init__(self, facts, directory, peers, adoption, decisions, heartbeater):
        self.facts = facts
        self.directory = directory
        self.peers = peers
        self.adoption = adoption
        self.decisions = decisions
        self.heartbeater = heartbeater
        self.probes = {}
        self.changed = threading.Event()
        self.periodic = None
        self.pusher = None

    def start(self):
        """Start the supervising thread and the thread that pushes changed facts."""
        self.periodic = PeriodicThread("probe-supervisor", self.update, SUPERVISION_PERIOD_MS)
        self.periodic.start()
        self.pusher = PeriodicThread("fact-push", self._push, 0.0).start()
        return self

    def close(self):
        """Stop all probes."""
        self.periodic.close()
        self.pusher.stopping.set()
        self.changed.set()
        for probe in self.probes.values():
            probe.close()

    def update(self):
        """Update the VM list and probe exactly the endpoints that this daemon is ranked for."""
        self.directory.update()
        wanted = {vm.id: vm for vm in self._ranked()}
        for vm_id in [v for v, p in self.probes.items() if wanted.get(v) is None]:
            self.probes.pop(vm_id).close()
            self.facts.withdraw(vm_id)
            self.changed.set()
        for vm in self.facts.mark_silent():
            self._state_changed(vm, None, "silent")
        for vm_id, vm in wanted.items():
            running = self.probes.get(vm_id)
            if running is not None and running.vm.address == vm.address:
                continue
            if running is not None:
                running.close()
            self.probes[vm_id] = EndpointProbe(vm, self.facts, self._state_changed).start()
        self.facts.remove_absent(self.directory.vms)

    def _ranked(self):
        candidates = self.peers.job_candidates(self.peers.own.zone)
        own = self.peers.own.name
        return [
            vm
            for vm in self.directory.endpoints(self.adoption.served_zones())
            if own in rendezvous_order(candidates, vm.id)[:PROBERS_PER_ENDPOINT]
        ]

    def _state_changed(self, vm_id, report, status_without_report="lost"):
        assignment = report.assignment if report else None
        self.decisions.record(
            "endpoint_changed",
            vm=vm_id,
            status=report.status.value if report else status_without_report,
            instance=report.instance if report else None,
            leaving=report.leaving if report else None,
            replica=assignment.replica_id if assignment else None,
        )
        self.changed.set()

    def _push(self):
        self.changed.wait()
        if self.pusher.stopping.is_set():
            return
        self.changed.clear()
        self.heartbeater.push_facts()
