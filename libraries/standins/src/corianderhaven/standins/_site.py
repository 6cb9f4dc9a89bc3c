"""All stand-ins of one process, with their control listener."""

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
from ._kv_gateway import KvGateway
from ._kv_store import KvStore
from ._layout import VmLayout
from ._service import ExecutionCounter, ServiceEndpoint
from ._truth import TruthSampler
from ._vm_list import VmList

SERVICE_THREADS = 24
CONTROL_THREADS = 8
PLATFORM_THREADS = 80
KILL_TIMEOUT_S = 0.2


class FaultOrder(msgspec.Struct):
    """One fault to set.

    Attributes
    ----------
    target : str
        A VM id, a fabric domain as ``domain:NAME``, a zone as ``zone:NAME``, or ``platform``.
    fault : str
        See docs/standins.md.
    value : object
        Number, bool or list that the fault takes.
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
        self.truth = TruthSampler(self.clock, self.engines, layout.engine.members_per_replica)
        self.lock = threading.Lock()

    def start(self):
        """Start every listener and engine loop."""
        if self.layout.platform is not None:
            self._start_platform()
        for vm in () if self.layout.only_listed else self.layout.vms:
            self._start_vm(vm)
        self.truth.start()
        router = Router()
        router.add("POST", "/faults", self._set_fault)
        router.add("POST", "/truth/reset", self._reset_truth)
        router.add("GET", "/counters", self._counters)
        router.add("GET", "/executions", self._executions)
        self.control = HttpServer(self.layout.control_address, router, CONTROL_THREADS).start()
        return self

    def close(self):
        """Stop everything."""
        for server in [self.control, *self.servers.values()]:
            server.shutdown_timeout_s = 0.1
            server.close()
        self.truth.close()
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
            ledger = self.execution_counters.setdefault(vm.label, ExecutionCounter())
            self.services[vm.id] = ServiceEndpoint(vm, self.clock, ledger)
            router, threads = self.services[vm.id].router, SERVICE_THREADS
        else:
            return
        self.servers[vm.id] = HttpServer(vm.address, router, threads, KILL_TIMEOUT_S).start()

    def set_fault(self, target, fault, value=None):
        """Set one fault; raises `CorianderhavenError` for an unknown one."""
        if target == "platform":
            if self.kv_gateway is None:
                raise CorianderhavenError(ErrorCode.NOT_FOUND, "no platform here")
            self._platform_fault(fault, value)
            return
        for vm in self._targets(target):
            self._vm_fault(vm, fault, value)

    def _targets(self, target):
        kind, _, name = target.rpartition(":")
        attribute = {"domain": "fabric_domain", "zone": "zone", "": "id"}.get(kind, "id")
        running = [] if self.layout.only_listed else self.layout.vms
        found = [vm for vm in running if getattr(vm, attribute) == name]
        if not found:
            raise CorianderhavenError(ErrorCode.NOT_FOUND, f"no such target: {target}")
        return found

    def _platform_fault(self, fault, value):
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
            raise CorianderhavenError(ErrorCode.INVALID_REQUEST, f"no such fault: {fault}")

    def _vm_fault(self, vm, fault, value):
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
            raise CorianderhavenError(ErrorCode.INVALID_REQUEST, f"no such fault: {fault}")

    def _set_fault(self, request):
        order = request.json(FaultOrder)
        self.set_fault(order.target, order.fault, order.value)
        return json_response({})

    def _executions(self, request):
        executions = {name: dict(ledger.counts) for name, ledger in self.execution_counters.items()}
        return json_response({"executions": executions})

    def counters(self):
        """Return counts for checks and figures."""
        engines = self.engines.values()
        return {
            "tokens_generated": sum(engine.tokens_generated for engine in engines),
            "drafts_on_incomplete": sum(engine.drafts_on_incomplete for engine in engines),
            "orders_refused": sum(engine.orders_refused for engine in engines),
            "received_while_leaving": {
                vm_id: service.received_while_leaving for vm_id, service in self.services.items()
            },
            "truth": self.truth.figures(),
            "weight_store_highest": self.weight_store.highest,
            "kv": dict(self.kv_gateway.calls) if self.kv_gateway else {},
        }

    def _reset_truth(self, request):
        self.truth.reset()
        return json_response({})

    def _counters(self, request):
        return json_response(self.counters())
