"""Stand-in plain service that counts executions per operation ID."""

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
    """Counts executions per operation ID across all endpoints of one service."""

    def __init__(self):
        self.counts = Counter()
        self.lock = threading.Lock()

    def record(self, operation_id):
        """Count one execution and return the new count of the operation ID."""
        with self.lock:
            self.counts[operation_id] += 1
            return self.counts[operation_id]


class ServiceEndpoint:
    """One endpoint of a plain service.

    Parameters
    ----------
    vm : VmLayout
    clock : Clock
    execution_counter : ExecutionCounter

    Attributes
    ----------
    fault : str
        ``none``, ``refuse`` (503 without running the operation), ``drop_before`` (drops the
        connection before running it) or ``drop_after`` (runs it, then drops the connection).
    slow_ms : float
        Delay added to each operation.
    """

    def __init__(self, vm, clock, execution_counter):
        self.vm = vm
        self.clock = clock
        self.execution_counter = execution_counter
        self.instance = new_id("vm")
        self.condition = VmCondition.ALIVE
        self.leaving = False
        self.fault = "none"
        self.slow_ms = 0.0
        self.in_flight = 0
        self.received_while_leaving = 0
        self.router = Router()
        self.router.add("GET", "/state", self._get_state)
        self.router.add("POST", "/operations/{operation}", self._run_operation)
        self.router.add("GET", "/executions", self._get_executions)

    def kill(self):
        """Simulate the death of the VM."""
        self.condition = VmCondition.DEAD

    def restore(self):
        """Bring the VM back, as a new instance if it was dead."""
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

    def _get_state(self, request):
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

    def _run_operation(self, request):
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
        requested_id = body.get("operation_id") if isinstance(body, dict) else None
        operation_id = str(requested_id or request.request_id)
        count = self.execution_counter.record(operation_id)
        if self.slow_ms:
            self.clock.sleep_ms(self.slow_ms)
        if self.fault == "drop_after" or self.condition is VmCondition.DEAD:
            drop_connection(request)
        answer = {"operation_id": operation_id, "executions": count, "endpoint": self.vm.id}
        return json_response(answer)

    def _get_executions(self, request):
        with self.execution_counter.lock:
            return json_response({"executions": dict(self.execution_counter.counts)})
