"""All stand-ins in one process and their control listener."""

import threading

import msgspec

from corianderhaven.common import (
    Clock,
    CorianderhavenError,
    ErrorCode,
    HttpServer,
    Router,
    json_response,
)

from ._engine import EngineMember, WeightStore
from ._engine_http import EngineFront
from ._faults import VmCondition
from ._ground_truth import GroundTruthSampler
from ._kv_gateway import KvGateway
from ._kv_store import KvStore
from ._layout import VmLayout
from ._service import ExecutionCounter, ServiceEndpoint
from ._vm_list import VmList

SERVICE_THREADS = 24
CONTROL_THREADS = 8
PLATFORM_THREADS = 80
KILL_TIMEOUT_S = 0.2


class FaultRequest(msgspec.Struct):
    """Request to set one fault.

    Attributes
    ----------
    target : str
        A VM ID, a fabric domain as ``domain:NAME``, a zone as ``zone:NAME``, or ``platform``.
    fault : str
        See docs/standins.md.
    value : object
        Argument of the fault: a number, bool, string, list or object.
    """

    target: str
    fault: str
    value: object = None


class Site:
    """Starts and stops the stand-ins of a layout.

    Parameters
    ----------
    layout : Layout
    clock : Clock or None
    """

    def __init__(self, layout, clock=None):
        self.layout = layout
        self.clock = clock or Clock()
        self.engines = {}
        self.services = {}
        self.execution_counters = {}
        self.servers = {}
        self.kv_store = None
        self.kv_gateway = None
        self.vm_list = None
        self.weight_store = WeightStore()
        self.control = None
        self.ground_truth = GroundTruthSampler(
            self.clock, self.engines, layout.engine.members_per_replica
        )
        self.lock = threading.Lock()

    def start(self):
        """Start all listeners and engine loops."""
        if self.layout.platform is not None:
            self._start_platform()
        for vm in () if self.layout.only_listed else self.layout.vms:
            self._start_vm(vm)
        self.ground_truth.start()
        router = Router()
        router.add("POST", "/faults", self._handle_fault)
        router.add("POST", "/truth/reset", self._reset_ground_truth)
        router.add("GET", "/counters", self._get_counters)
        router.add("GET", "/executions", self._get_executions)
        self.control = HttpServer(self.layout.control_address, router, CONTROL_THREADS).start()
        return self

    def close(self):
        """Stop all listeners and engine loops."""
        for server in [self.control, *self.servers.values()]:
            server.shutdown_timeout_s = 0.1
            server.close()
        self.ground_truth.close()
        for engine in self.engines.values():
            engine.close()

    def _start_platform(self):
        platform = self.layout.platform
        self.kv_store = KvStore(self.clock)
        self.kv_gateway = KvGateway(self.kv_store, platform, self.clock, self.layout.seed)
        self.vm_list = VmList(self.clock, self.layout.vms, platform.vm_list_lag_ms)
        router = Router()
        self.kv_gateway.register(router)
        self.vm_list.register(router, self.kv_gateway.faults)
        self.servers["platform"] = HttpServer(platform.address, router, PLATFORM_THREADS).start()

    def _start_vm(self, vm):
        if vm.kind == "engine":
            member = EngineMember(
                vm,
                self.layout.engine,
                self.clock,
                self.engines,
                self.weight_store,
                self.layout.seed,
            )
            self.engines[vm.id] = member.start()
            router, threads = EngineFront(member).router, self.layout.engine.threads
        elif vm.kind == "service":
            counter = self.execution_counters.setdefault(vm.label, ExecutionCounter())
            self.services[vm.id] = ServiceEndpoint(vm, self.clock, counter)
            router, threads = self.services[vm.id].router, SERVICE_THREADS
        else:
            return
        self.servers[vm.id] = HttpServer(vm.address, router, threads, KILL_TIMEOUT_S).start()

    def set_fault(self, target, fault, value=None):
        """Set one fault; raise `CorianderhavenError` if the fault or target is unknown."""
        if target == "platform":
            if self.kv_gateway is None:
                raise CorianderhavenError(
                    ErrorCode.NOT_FOUND, "this process does not run the platform"
                )
            self._set_platform_fault(fault, value)
            return
        for vm in self._targets(target):
            self._set_vm_fault(vm, fault, value)

    def _targets(self, target):
        kind, _, name = target.rpartition(":")
        attribute = {"domain": "fabric_domain", "zone": "zone", "": "id"}.get(kind, "id")
        running = [] if self.layout.only_listed else self.layout.vms
        found = [vm for vm in running if getattr(vm, attribute) == name]
        if not found:
            raise CorianderhavenError(ErrorCode.NOT_FOUND, f"fault target {target} does not exist")
        return found

    def _set_platform_fault(self, fault, value):
        faults = self.kv_gateway.faults
        if fault == "list":
            self.vm_list.set_state(*value)
        elif fault == "add":
            self.vm_list.add(msgspec.convert(value, VmLayout))
        elif fault == "cut":
            faults.cut_sources = set(value)
        elif fault in ("down", "delay_ms", "lose_answers"):
            setattr(faults, fault, value)
        else:
            raise CorianderhavenError(ErrorCode.INVALID_REQUEST, f"unknown platform fault: {fault}")

    def _set_vm_fault(self, vm, fault, value):
        endpoint = self.engines.get(vm.id) or self.services.get(vm.id)
        if endpoint is None:
            return
        if fault == "kill":
            endpoint.kill()
            self.servers[vm.id].close()
        elif fault == "restore":
            endpoint.restore()
            if self.servers[vm.id].server is None:
                self.servers[vm.id].start()
        elif fault == "silent":
            endpoint.condition = VmCondition.SILENT
        elif fault == "silence_existing":
            endpoint.silenced_before_ms = self.clock.now_ms()
        elif fault == "straggle":
            endpoint.straggle = float(value)
        elif fault == "leaving":
            endpoint.leaving = bool(value)
        elif fault == "operation":
            endpoint.fault = value
        elif fault == "slow_ms":
            endpoint.slow_ms = float(value)
        else:
            raise CorianderhavenError(ErrorCode.INVALID_REQUEST, f"unknown VM fault: {fault}")

    def _handle_fault(self, request):
        fault_request = request.json(FaultRequest)
        self.set_fault(fault_request.target, fault_request.fault, fault_request.value)
        return json_response({})

    def _get_executions(self, request):
        executions = {
            name: dict(counter.counts) for name, counter in self.execution_counters.items()
        }
        return json_response({"executions": executions})

    def counters(self):
        """Return the counters that tests and benchmarks read."""
        engines = self.engines.values()
        return {
            "tokens_generated": sum(engine.tokens_generated for engine in engines),
            "drafts_on_incomplete": sum(engine.drafts_on_incomplete for engine in engines),
            "orders_refused": sum(engine.orders_refused for engine in engines),
            "received_while_leaving": {
                vm_id: service.received_while_leaving for vm_id, service in self.services.items()
            },
            "truth": self.ground_truth.totals(),
            "weight_store_highest": self.weight_store.peak_loading,
            "kv": dict(self.kv_gateway.calls) if self.kv_gateway else {},
        }

    def _reset_ground_truth(self, request):
        self.ground_truth.reset()
        return json_response({})

    def _get_counters(self, request):
        return json_response(self.counters())
