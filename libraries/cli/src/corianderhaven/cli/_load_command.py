"""The ``corianderhaven load`` command: load tests."""

import threading
import time
from collections import Counter
from pathlib import Path

import msgspec

from corianderhaven.common import (
    CorianderhavenError,
    ErrorCode,
    JsonClient,
    SettingsError,
    check_address,
)

from ._load_caller import DraftCaller, run_operation
from ._load_report import make_report, plot, table_rows
from ._load_trace import (
    Expectation,
    PlannedDraft,
    PlannedFault,
    Workload,
    generate_trace,
    read_trace,
    write_trace,
)
from ._output import EXIT_FAILURE, EXIT_OK, print_json, print_table

CONTROL_TIMEOUT_MS = 10_000.0
JOIN_TIMEOUT_S = 150.0


class LoadTest:
    """Runs a trace against daemons and stand-ins.

    Parameters
    ----------
    callers : list of str
        IP:port of the daemons' caller listeners.
    controls : list of str
        IP:port of the stand-ins' control listeners, for faults and execution counts.
    trace : Trace
    """

    def __init__(self, callers, controls, trace):
        self.callers = callers
        self.controls = controls
        self.trace = trace
        self.drafts = []
        self.operations = []
        self.threads = []

    def run(self):
        """Send every request at its planned time, whether or not earlier ones have completed.

        Returns
        -------
        LoadReport
        """
        planned = [*self.trace.drafts, *self.trace.operations, *self.trace.faults]
        planned.sort(key=lambda item: item.at_ms)
        started_s = time.monotonic()
        for item in planned:
            due_s = started_s + item.at_ms / 1000
            time.sleep(max(0.0, due_s - time.monotonic()))
            thread = threading.Thread(target=self._send, args=(item, due_s), daemon=True)
            thread.start()
            self.threads.append(thread)
        for thread in self.threads:
            thread.join(JOIN_TIMEOUT_S)
        duration_s = time.monotonic() - started_s
        return make_report(
            self.drafts,
            self.operations,
            self._fetch_executions(),
            duration_s,
            self.trace.expectation,
        )

    def _send(self, item, due_s):
        if isinstance(item, PlannedFault):
            self._set_fault(item)
        elif isinstance(item, PlannedDraft):
            self.drafts.append(DraftCaller(self.callers, item, due_s).run())
        else:
            self.operations.append(run_operation(self.callers, item))

    def _set_fault(self, planned):
        """Set a fault at the stand-ins that have its target; raises `SettingsError` if none has."""
        body = {"target": planned.target, "fault": planned.fault, "value": planned.value}
        found = False
        for address in self.controls:
            try:
                _call_control(address, "POST", "/faults", body)
                found = True
            except CorianderhavenError as error:
                if error.code is not ErrorCode.NOT_FOUND:
                    raise
        if not found:
            raise SettingsError(f"no stand-in has the fault target {planned.target!r}")

    def _fetch_executions(self):
        executions = Counter()
        for address in self.controls:
            by_service = _call_control(address, "GET", "/executions")["executions"]
            for counts in by_service.values():
                executions.update(counts)  # adds the counts of processes that ran the same one
        return executions


def _call_control(address, method, path, body=None):
    client = JsonClient(address, CONTROL_TIMEOUT_MS)
    try:
        return client.json(method, path, body)
    finally:
        client.close()


def _parse_keys(keys):
    if not keys:
        raise SettingsError("keys: give --keys or CORIANDERHAVEN_KEYS")
    parsed = {}
    for entry in keys:
        key, _, share = entry.partition("=")
        try:
            parsed[key] = float(share or 1)
        except ValueError:
            raise SettingsError(f"keys must be KEY or KEY=SHARE, not {entry!r}")
    return parsed


def load(
    *,
    callers: list[str] = (),
    control: list[str] = (),
    trace: str = "",
    keys: list[str] = (),
    seed: int = 1,
    rate: float = 10.0,
    duration: float = 10.0,
    tokens: int = 64,
    operation_share: float = 0.0,
    repeat_share: float = 0.0,
    prefixes: int = 0,
    model: str = "report-drafter",
    write: str = "",
    report: str = "",
    figure: str = "",
    json: bool = False,
):
    """Run a load test; exits non-zero if an expected outcome was missed.

    :param callers: IP:port of the daemons' caller listeners
    :param control: IP:port of the stand-ins' control listeners, for faults and execution counts
    :param trace: JSON lines file to replay instead of generating
    :param keys: callers' keys with their shares of the arrivals, each as KEY=SHARE
    :param seed: seed of the generated arrivals
    :param rate: arrivals per second
    :param duration: time during which requests arrive, in seconds
    :param tokens: mean number of tokens per draft
    :param operation_share: share of operations among requests
    :param repeat_share: share of operations that are sent again through another daemon
    :param prefixes: number of shared prompt prefixes
    :param model: requested model
    :param write: write the generated trace to this file
    :param report: write the report as JSON to this file
    :param figure: write a plot to this file, SVG or PNG
    :param json: print the report as JSON
    """
    if not callers:
        raise SettingsError("callers: give --callers or CORIANDERHAVEN_CALLERS")
    for address in [*callers, *control]:
        check_address("callers and control", address)
    if trace:
        planned = read_trace(trace)
    else:
        workload = Workload(
            seed=seed,
            rate_per_s=rate,
            duration_s=duration,
            keys=_parse_keys(keys),
            daemons=len(callers),
            tokens=tokens,
            operation_share=operation_share,
            repeat_share=repeat_share,
            prefixes=prefixes,
            model=model,
        )
        planned = generate_trace(workload, Expectation())
    if write:
        write_trace(write, planned)
    load_test = LoadTest(list(callers), list(control), planned)
    result = load_test.run()
    if report:
        Path(report).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2))
    if figure:
        plot(figure, load_test.drafts)
    _print_report(result, json)
    return EXIT_FAILURE if result.misses else EXIT_OK


def _print_report(result, json):
    if json:
        print_json(result)
        return
    rows = table_rows(result)
    print_table(rows, list(rows[0]))
    operations = result.operations
    print(
        f"operations: {operations.operations} in {operations.requests} requests, "
        f"served once {operations.served_once}, doubled {operations.doubled}, "
        f"lost {operations.lost}, untrue {operations.untrue}, refused {operations.refused}, "
        f"undecided {operations.undecided}"
    )
    print(f"{result.tokens_per_s} tokens/s over {result.duration_s} s")
    for miss in result.misses:
        print(f"MISS {miss}")
