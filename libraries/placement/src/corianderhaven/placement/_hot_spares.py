"""Loads weights into spare VMs ahead of need, so that a repair doesn't wait for them."""

from corianderhaven.membership import Weights
from corianderhaven.platform import VmKind

from ._orders import Order, OrderKind

REPEAT_AFTER_MS = 30_000.0
SHARE_OF_LOADS = 2


class HotSpares:
    """Finds free VMs that lack the weights of the deployment they could serve.

    Parameters
    ----------
    zone : str
    facts : FactBoard
    directory : VmDirectory
    clock : Clock
    """

    def __init__(self, zone, facts, directory, clock):
        self.zone = zone
        self.facts = facts
        self.directory = directory
        self.clock = clock
        self.ordered = {}

    def orders(self, document, intent, loading):
        """Return load orders, for at most half of the weight store's limit at once.

        Parameters
        ----------
        document : Document
        intent : ZoneIntent
        loading : int
            Members of replicas that load now; spares wait for them.
        """
        self._forget_done()
        room = document.weight_store_loads // SHARE_OF_LOADS - len(self.ordered)
        if loading or room <= 0:
            return []
        used = intent.used_vms()
        found = [
            order
            for vm in self.directory.endpoints({self.zone})
            if vm.kind is VmKind.ENGINE and vm.id not in used and vm.id not in self.ordered
            for order in self._order_for(vm, document)
        ]
        chosen = found[:room]
        now = self.clock.now_ms()
        self.ordered.update((order.vm, (now, order.weights)) for order in chosen)
        return chosen

    def loading(self):
        """Return how many spares are believed to load now."""
        return len(self.ordered)

    def _forget_done(self):
        limit = self.clock.now_ms() - REPEAT_AFTER_MS
        self.ordered = {
            vm: (sent, weights)
            for vm, (sent, weights) in self.ordered.items()
            if sent > limit and not self._holds(vm, weights)
        }

    def _holds(self, vm_id, weights):
        report = self.facts.fresh_report(vm_id)
        return report is not None and weights in report.loaded

    def _order_for(self, vm, document):
        """Yield the order for the most important deployment that a free VM could serve."""
        report = self.facts.fresh_report(vm.id)
        if report is None or report.assignment is not None or report.leaving:
            return
        fitting = [d for d in document.deployments if _fits(d, vm)]
        if not fitting or self.directory.is_leaving(vm.id):
            return
        deployment = min(fitting, key=lambda d: (d.priority, d.name))
        weights = Weights(deployment.model, deployment.version)
        if weights not in report.loaded:
            check = deployment.engine.checks_fencing_token
            yield Order(OrderKind.LOAD, vm.id, vm.address, "", 0, check, weights=weights)


def _fits(deployment, vm):
    selector = deployment.vms
    return (
        vm.label == selector.label
        and (not selector.zones or vm.zone in selector.zones)
        and (not selector.fabric_domains or vm.fabric_domain in selector.fabric_domains)
    )
