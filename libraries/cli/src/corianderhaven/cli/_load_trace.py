"""Traces: planned requests, faults and expected outcomes, as JSON lines."""

import random
from pathlib import Path

import msgspec

from corianderhaven.common import SettingsError

LINE_TYPES = ("draft", "operation", "fault", "expect")
PROMPT_CHARACTERS = 60  # of the random words, without spaces; a word has about 4


class PlannedDraft(msgspec.Struct, tag_field="kind", tag="draft", forbid_unknown_fields=True):
    """One planned draft.

    Attributes
    ----------
    at_ms : float
        Arrival time since the start of the run.
    key : str
        The caller's bearer key.
    daemon : int
        Index of the daemon in the list of caller listeners.
    reconnect : bool
        Whether the caller resumes through the next daemon when its connection breaks.
    """

    at_ms: float
    key: str
    prompt: str
    tokens: int
    daemon: int = 0
    model: str = "report-drafter"
    reconnect: bool = False


class PlannedOperation(
    msgspec.Struct, tag_field="kind", tag="operation", forbid_unknown_fields=True
):
    """One planned operation; lines with the same operation id are repeats."""

    at_ms: float
    key: str
    service: str
    operation: str
    operation_id: str
    idempotency_key: str | None = None
    daemon: int = 0


class PlannedFault(msgspec.Struct, tag_field="kind", tag="fault", forbid_unknown_fields=True):
    """One planned fault, set at the stand-ins."""

    at_ms: float
    target: str
    fault: str
    value: object = None


class Expectation(msgspec.Struct, tag_field="kind", tag="expect", forbid_unknown_fields=True):
    """Expected outcomes of a run; a field that is None is not checked.

    Attributes
    ----------
    drafts_complete : float
        Minimum share of complete drafts among those that were not refused.
    refused : float
        Maximum share of drafts that are refused as ``not_run``.
    doubled, lost, untrue : int
        Maximum numbers of operations that ran more than once, that were reported as complete
        but never ran, and that were reported as ``not_run`` but ran.
    first_token_p95_ms, gap_p95_ms : float
        Maximum percentiles.
    accounts_complete : dict of str to float
        Minimum share of complete drafts by key id, among all drafts including refused ones.
    """

    drafts_complete: float | None = None
    refused: float | None = None
    doubled: int = 0
    lost: int = 0
    untrue: int = 0
    first_token_p95_ms: float | None = None
    gap_p95_ms: float | None = None
    accounts_complete: dict[str, float] = {}


TraceLine = PlannedDraft | PlannedOperation | PlannedFault | Expectation


class Trace(msgspec.Struct):
    """Requests and faults sorted by time, and the expected outcomes."""

    drafts: list[PlannedDraft]
    operations: list[PlannedOperation]
    faults: list[PlannedFault]
    expectation: Expectation


def read_trace(path):
    """Read a trace from a JSON lines file.

    Raises
    ------
    SettingsError
        If a line is invalid; the message gives its number.
    """
    lines = []
    for number, line in enumerate(Path(path).read_bytes().splitlines(), 1):
        if not line.strip():
            continue
        try:
            lines.append(msgspec.json.decode(line, type=TraceLine))
        except msgspec.DecodeError as error:
            raise SettingsError(f"{path}, line {number}: {error}")
    return _sorted_trace(lines)


def write_trace(path, trace):
    """Write a trace to a JSON lines file, so that a generated run can be repeated."""
    lines = [*trace.drafts, *trace.operations, *trace.faults]
    lines.sort(key=lambda line: line.at_ms)
    encoded = [msgspec.json.encode(line) for line in [*lines, trace.expectation]]
    Path(path).write_bytes(b"\n".join(encoded) + b"\n")


def _sorted_trace(lines):
    def of(kind):
        return [line for line in lines if isinstance(line, kind)]

    expectations = of(Expectation)
    return Trace(
        sorted(of(PlannedDraft), key=lambda line: line.at_ms),
        sorted(of(PlannedOperation), key=lambda line: line.at_ms),
        sorted(of(PlannedFault), key=lambda line: line.at_ms),
        expectations[-1] if expectations else Expectation(),
    )


class Workload(msgspec.Struct, kw_only=True):
    """Parameters of a generated trace.

    Attributes
    ----------
    rate_per_s : float
        Open-loop arrival rate: requests arrive whether or not earlier ones have completed.
    keys : dict of str to float
        Callers' bearer keys with their shares of the arrivals.
    operation_share, repeat_share : float
        Share of operations among requests, and of operations sent again through another daemon.
    prefixes : int
        Number of shared prompt prefixes; 0 for none.
    """

    seed: int
    rate_per_s: float
    duration_s: float
    keys: dict[str, float]
    daemons: int
    tokens: int = 64
    operation_share: float = 0.0
    repeat_share: float = 0.0
    prefixes: int = 0
    prefix_characters: int = 2048
    model: str = "report-drafter"
    service: str = "tablet"
    operation: str = "close-cover"


def generate_trace(workload, expectation=None, faults=()):
    """Return the `Trace` of a workload; the same for the same workload."""
    rng = random.Random(workload.seed)
    names, weights = list(workload.keys), list(workload.keys.values())
    drafts, operations = [], []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(workload.rate_per_s) * 1000
        if at_ms > workload.duration_s * 1000:
            break
        key = rng.choices(names, weights)[0]
        daemon = rng.randrange(workload.daemons)
        if rng.random() < workload.operation_share:
            operations += _operation_lines(workload, rng, at_ms, key, daemon, len(operations))
        else:
            drafts.append(_draft_line(workload, rng, at_ms, key, daemon, len(drafts)))
    lines = [*drafts, *operations, *faults, expectation or Expectation()]
    return _sorted_trace(lines)


def _draft_line(workload, rng, at_ms, key, daemon, number):
    prefix = ""
    if workload.prefixes:
        prefix_number = rng.randrange(workload.prefixes)
        prefix = (f"prefix {prefix_number} " * workload.prefix_characters)[
            : workload.prefix_characters
        ]
    words = " ".join(f"w{rng.randrange(1000)}" for _ in range(PROMPT_CHARACTERS // 4))
    tokens = max(1, round(workload.tokens * rng.uniform(0.5, 1.5)))
    prompt = f"{prefix}{number} {words}"
    return PlannedDraft(at_ms, key, prompt, tokens, daemon, workload.model)


def _operation_lines(workload, rng, at_ms, key, daemon, number):
    operation_id = f"op-{workload.seed}-{number}"
    line = PlannedOperation(
        at_ms, key, workload.service, workload.operation, operation_id, operation_id, daemon
    )
    if rng.random() >= workload.repeat_share:
        return [line]
    other_daemon = (daemon + 1 + rng.randrange(max(1, workload.daemons - 1))) % workload.daemons
    delay_ms = rng.choice([0.0, 5.0, 50.0, 500.0, 2000.0])
    repeat = msgspec.structs.replace(line, at_ms=at_ms + delay_ms, daemon=other_daemon)
    return [line, repeat]
