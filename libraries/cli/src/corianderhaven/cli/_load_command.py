"""``corianderhaven load``: the experiment tool."""

import threading
import time
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
        Callers' listeners of the daemons.
    controls : list of str
        The stand-ins' control listeners, for faults and counts of executions.
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
        """Send every request at its time, whether or not earlier ones are answered.

        Returns
        -------
        LoadReport
        """
        lines = [*self.trace.drafts, *self.trace.operations, *self.trace.faults]
        lines.sort(key=lambda line: line.at_ms)
        started = time.monotonic()
        for line in lines:
            due = started + line.at_ms / 1000
            time.sleep(max(0.0, due - time.monotonic()))
            thread = threading.Thread(target=self._send, args=(line, due), daemon=True)
            thread.start()
            self.threads.append(thread)
        for thread in self.threads:
            thread.join(JOIN_TIMEOUT_S)
        duration = time.monotonic() - started
        return make_report(
            self.drafts, self.operations, self._executions(), duration, self.trace.expectation
        )

    def _send(self, line, due):
        if isinstance(line, PlannedFault):
            self._set_fault(line)
        elif isinstance(line, PlannedDraft):
            self.drafts.append(DraftCaller(self.callers, line, due).run())
        else:
            self.operations.append(run_operation(self.callers, line))

    def _set_fault(self, line):
        """Set a fault at the stand-ins that have its target."""
        body = {"target": line.target, "fault": line.fault, "value": line.value}
        found = False
        for address in self.controls:
            try:
                _control(address, "POST", "/faults", body)
                found = True
            except CorianderhavenError as error:
                if error.code is not ErrorCode.NOT_FOUND:
                    raise
        if not found:
            raise SettingsError(f"no stand-in has the fault target {line.target!r}")

    def _executions(self):
        executions = {}
        for address in self.controls:
            by_service = _control(address, "GET", "/executions")["executions"]
            for counts in by_service.values():
                executions.update(counts)
        return executions


def _control(address, method, path, body=None):
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
    """Run an experiment; exits non-zero when a stated outcome is missed.

    :param callers: IP:port of the daemons' callers' listeners
    :param control: IP:port of the stand-ins' control listener, for faults and counts
    :param trace: JSON lines file to replay instead of generating
    :param keys: callers' keys, each with its share of arrivals, as KEY=SHARE
    :param seed: of the generated arrivals
    :param rate: arrivals per second
    :param duration: of the arrivals, in seconds
    :param tokens: mean tokens of a draft
    :param operation_share: share of operations among requests
    :param repeat_share: share of operations that are sent again through another daemon
    :param prefixes: number of shared prompt prefixes
    :param model: model asked for
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
        mix = Workload(
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
        planned = generate_trace(mix, Expectation())
    if write:
        write_trace(write, planned)
    experiment = LoadTest(list(callers), list(control), planned)
    result = experiment.run()
    if report:
        Path(report).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2))
    if figure:
        plot(figure, experiment.drafts)
    _print(result, json)
    return EXIT_FAILURE if result.misses else EXIT_OK


def _print(result, json):
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
