"""A stand-in plain service that counts executions per operation id."""

import threading
from collections import Counter

from corianderhaven.common import (
    CorianderhavenError,
    ErrorCode,
    Outcome,
    Router,
    json_response,
    new_id,
)

from ._faults import VmCondition, drop_connection


class ExecutionCounter:
    """Executions of all endpoints of one service, counted per operation id."""

    def __init__(self):
        self.counts = Counter()
        self.lock = threading.Lock()

    def record(self, operation_id):
        """Count one execution and return the count so far."""
        with self.lock:
            self.counts[operation_id] += 1
            return self.counts[operation_id]


class ServiceEndpoint:
    """One endpoint of a plain service.

    Parameters
    ----------
    vm : VmLayout
    clock : Clock
    ledger : ExecutionCounter

    Attributes
    ----------
    fault : str
        ``none``, ``refuse`` (503 before running), ``drop_before``, ``drop_after`` (runs, then
        loses the answer) or ``slow``.
    """

    def __init__(self, vm, clock, ledger):
        self.vm = vm
        self.clock = clock
        self.ledger = ledger
        self.instance = new_id("vm")
        self.condition = VmCondition.ALIVE
        self.leaving = False
        self.fault = "none"
        self.slow_ms = 0.0
        self.in_flight = 0
        self.received_while_leaving = 0
        self.router = Router()
        self.router.add("GET", "/state", self._state)
        self.router.add("POST", "/operations/{operation}", self._run)
        self.router.add("GET", "/executions", self._executions)

    def kill(self):
        """Lose the VM."""
        self.condition = VmCondition.DEAD

    def restore(self):
        """Bring the VM back, as a new instance if it had died."""
        if self.condition is VmCondition.DEAD:
            self.instance = new_id("vm")
            self.leaving = False
        self.condition = VmCondition.ALIVE

    def _check_condition(self, request):
        while self.condition is VmCondition.SILENT:
            self.clock.sleep_ms(50.0)
            if request.caller_disconnected():
                drop_connection(request)
        if self.condition is VmCondition.DEAD:
            drop_connection(request)

    def _state(self, request):
        self._check_condition(request)
        return json_response(
            {
                "vm": self.vm.id,
                "instance": self.instance,
                "status": "serving",
                "leaving": self.leaving,
                "token": 0,
                "loaded": [],
                "load": {
                    "running": self.in_flight,
                    "queued": 0,
                    "step_ms": 0.0,
                    "age_ms": 0.0,
                },
            }
        )

    def _run(self, request):
        self._check_condition(request)
        if self.leaving:
            self.received_while_leaving += 1
        if self.fault == "refuse":
            raise CorianderhavenError(
                ErrorCode.ENDPOINT_REFUSED, "refused", Outcome.NOT_RUN, retry_after_ms=100
            )
        if self.fault == "drop_before":
            drop_connection(request)
        body = request.json()
        self.in_flight += 1
        try:
            return self._execute(request, body)
        finally:
            self.in_flight -= 1

    def _execute(self, request, body):
        named = body.get("operation_id") if isinstance(body, dict) else None
        operation_id = str(named or request.request_id)
        count = self.ledger.record(operation_id)
        if self.slow_ms:
            self.clock.sleep_ms(self.slow_ms)
        if self.fault == "drop_after" or self.condition is VmCondition.DEAD:
            drop_connection(request)
        answer = {"operation_id": operation_id, "executions": count, "endpoint": self.vm.id}
        return json_response(answer)

    def _executions(self, request):
        with self.ledger.lock:
            return json_response({"executions": dict(self.ledger.counts)})
