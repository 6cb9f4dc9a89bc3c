"""Preloads weights into spare VMs, so that a repair doesn't wait for them."""

from corianderhaven.membership import Weights
from corianderhaven.platform import VmKind

from ._orders import Order, OrderKind

RESEND_AFTER_MS = 30_000.0
SPARE_LOAD_DIVISOR = 2


class HotSpares:
    """Finds free VMs that lack the weights of the deployment they could serve.

    Parameters
    ----------
    zone : str
    facts : FactTable
    directory : VmDirectory
    clock : Clock
    """

    def __init__(self, zone, facts, directory, clock):
        self.zone = zone
        self.facts = facts
        self.directory = directory
        self.clock = clock
        self.pending_loads = {}

    def orders(self, document, intent, loading):
        """Return load orders, using at most half of the weight store's limit of parallel loads.

        Parameters
        ----------
        document : Document
        intent : ZoneIntent
        loading : int
            Number of replica members that are loading; spares wait until it is 0.
        """
        self._remove_completed()
        available = document.weight_store_loads // SPARE_LOAD_DIVISOR - len(self.pending_loads)
        if loading or available <= 0:
            return []
        used = intent.used_vms()
        load_orders = [
            order
            for vm in self.directory.endpoints({self.zone})
            if vm.kind is VmKind.ENGINE and vm.id not in used and vm.id not in self.pending_loads
            for order in self._load_orders(vm, document)
        ]
        chosen = load_orders[:available]
        now = self.clock.now_ms()
        self.pending_loads.update((order.vm, (now, order.weights)) for order in chosen)
        return chosen

    def loading(self):
        """Return the number of recent load orders that are not known to be complete."""
        return len(self.pending_loads)

    def _remove_completed(self):
        resend_before_ms = self.clock.now_ms() - RESEND_AFTER_MS
        self.pending_loads = {
            vm: (sent_ms, weights)
            for vm, (sent_ms, weights) in self.pending_loads.items()
            if sent_ms > resend_before_ms and not self._has_loaded(vm, weights)
        }

    def _has_loaded(self, vm_id, weights):
        report = self.facts.fresh_report(vm_id)
        return report is not None and weights in report.loaded

    def _load_orders(self, vm, document):
        """Yield the order for the highest-priority deployment that a free VM could serve."""
        report = self.facts.fresh_report(vm.id)
        if report is None or report.assignment is not None or report.leaving:
            return
        candidates = [d for d in document.deployments if _matches_selector(d, vm)]
        if not candidates or self.directory.is_leaving(vm.id):
            return
        deployment = min(candidates, key=lambda d: (d.priority, d.name))
        weights = Weights(deployment.model, deployment.version)
        if weights not in report.loaded:
            check = deployment.engine.checks_fencing_token
            yield Order(OrderKind.LOAD, vm.id, vm.address, "", 0, check, weights=weights)


def _matches_selector(deployment, vm):
    selector = deployment.vms
    return (
        vm.label == selector.label
        and (not selector.zones or vm.zone in selector.zones)
        and (not selector.fabric_domains or vm.fabric_domain in selector.fabric_domains)
    )
