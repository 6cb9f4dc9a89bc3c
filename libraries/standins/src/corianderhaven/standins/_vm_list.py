"""The platform's VM list, which lags behind the actual state."""

import threading

import msgspec

from corianderhaven.common import json_response

from ._faults import drop_connection


class VmList:
    """Lists the VMs as they were `lag_ms` ago.

    Parameters
    ----------
    clock : Clock
    vms : list of VmLayout
    lag_ms : float
    """

    def __init__(self, clock, vms, lag_ms):
        self.clock = clock
        self.vms = vms
        self.lag_ms = lag_ms
        self.lock = threading.Lock()
        self.versions = [(float("-inf"), [self._entry(vm, "live") for vm in vms])]

    def set_state(self, vm_id, state):
        """Set the state of a VM to ``live``, ``leaving`` or ``gone``."""
        with self.lock:
            latest = self.versions[-1][1]
            current = [entry for entry in latest if entry["id"] != vm_id]
            if state != "gone":
                vm = next(vm for vm in self.vms if vm.id == vm_id)
                current.append(self._entry(vm, state))
            self.versions.append((self.clock.now_ms(), current))

    def add(self, vm):
        """List a new VM, replacing any listed VM with the same ID."""
        with self.lock:
            self.vms = [known for known in self.vms if known.id != vm.id] + [vm]
        self.set_state(vm.id, "live")

    def visible_entries(self):
        """Return the entries as of `lag_ms` ago."""
        with self.lock:
            limit = self.clock.now_ms() - self.lag_ms
            return next(entries for at, entries in reversed(self.versions) if at <= limit)

    def register(self, router, faults):
        """Add the route; `faults` is the `KvFaults` shared with the key-value service."""

        def handle(request):
            if faults.down or request.connection.remote_addr in faults.cut_sources:
                drop_connection(request)
            return json_response({"vms": self.visible_entries()})

        router.add("GET", "/vms", handle)

    def _entry(self, vm, state):
        entry = msgspec.to_builtins(vm)
        entry["state"] = state
        return entry
