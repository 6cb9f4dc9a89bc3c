"""Cached VM list, read from the platform or from a peer; it may lag behind."""

import threading

import msgspec

from corianderhaven.common import CorianderhavenError, TransportError
from corianderhaven.platform import VmKind, VmState

from ._messages import VmSnapshot

READERS_PER_ZONE = 2
ENTRY_VMS_PER_OTHER_ZONE = 3


class VmDirectory:
    """Reads the VM list from the platform while ranked for it, otherwise from peers.

    Parameters
    ----------
    vm_list : BaseVmList
    clock : Clock
    peers : PeerTable
    transport : PeerTransport
    adoption : ZoneAdoption
    """

    def __init__(self, vm_list, clock, peers, transport, adoption):
        self.vm_list = vm_list
        self.clock = clock
        self.peers = peers
        self.transport = transport
        self.adoption = adoption
        self.vms = {}
        self.stamp = 0
        self.platform_reachable = False
        self.lock = threading.Lock()

    def update(self):
        """Read the platform's list if this daemon is ranked for it or has no list yet."""
        if self.vms and not self.peers.is_ranked("vm-list", READERS_PER_ZONE):
            return
        try:
            vms = self.vm_list.read()
        except CorianderhavenError:
            self.platform_reachable = False
            return
        self.platform_reachable = True
        relevant = {vm.id: vm for vm in self._relevant(vms)}
        with self.lock:
            if relevant != self.vms:
                self.vms = relevant
                self.stamp = self.clock.wall_ms()

    def adopt(self, snapshot):
        """Replace the list by a peer's list if that one changed later."""
        with self.lock:
            if snapshot.stamp <= self.stamp:
                return
            self.stamp = snapshot.stamp
            self.vms = {vm.id: vm for vm in self._relevant(snapshot.vms)}

    def pull(self, address):
        """Fetch and adopt the list of a peer."""
        try:
            exchange = self.transport.call(address, "GET", "/peer/vms")
            self.adopt(msgspec.json.decode(exchange.body, type=VmSnapshot))
        except (TransportError, msgspec.DecodeError):
            return

    def snapshot(self):
        """Return the list to send to a peer."""
        with self.lock:
            return VmSnapshot(self.stamp, list(self.vms.values()))

    def endpoints(self, zones):
        """Return the engine and service VMs of `zones`, including leaving ones."""
        return [vm for vm in self.vms.values() if vm.zone in zones and vm.kind is not VmKind.ENTRY]

    def entry_addresses(self):
        """Return the peer addresses of listed daemons other than this one, by zone."""
        entries = {}
        for vm in self.vms.values():
            if vm.kind is VmKind.ENTRY and vm.id != self.peers.own.name:
                entries.setdefault(vm.zone, []).append(vm.address)
        return entries

    def is_leaving(self, vm_id):
        """Return whether a VM is marked as leaving or no longer listed."""
        vm = self.vms.get(vm_id)
        return vm is None or vm.state is VmState.LEAVING

    def _relevant(self, vms):
        """Yield all VMs of the served zones and a few entry VMs of each other zone."""
        served = self.adoption.served_zones()
        kept_counts = {}
        for vm in vms:
            if vm.zone in served:
                yield vm
            elif vm.kind is VmKind.ENTRY:
                kept_counts[vm.zone] = kept_counts.get(vm.zone, 0) + 1
                if kept_counts[vm.zone] <= ENTRY_VMS_PER_OTHER_ZONE:
                    yield vm
