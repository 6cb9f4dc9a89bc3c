"""Traces: planned requests, faults and stated outcomes, as JSON lines."""

import random
from pathlib import Path

import msgspec

from corianderhaven.common import SettingsError

LINE_TYPES = ("draft", "operation", "fault", "expect")
MAX_PROMPT_WORDS = 60


class PlannedDraft(msgspec.Struct, tag_field="kind", tag="draft", forbid_unknown_fields=True):
    """One draft to send.

    Attributes
    ----------
    at_ms : float
        Since the start of the run.
    key : str
        The caller's bearer key.
    daemon : int
        Index into the callers' addresses.
    reconnect : bool
        Whether the caller goes on through the next daemon when its connection breaks.
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
    """One operation to send; several lines with one id are repeats."""

    at_ms: float
    key: str
    service: str
    operation: str
    operation_id: str
    idempotency_key: str | None = None
    daemon: int = 0


class PlannedFault(msgspec.Struct, tag_field="kind", tag="fault", forbid_unknown_fields=True):
    """One fault to set at the stand-ins."""

    at_ms: float
    target: str
    fault: str
    value: object = None


class Expectation(msgspec.Struct, tag_field="kind", tag="expect", forbid_unknown_fields=True):
    """Stated outcomes of a run; a field that is None states nothing.

    Attributes
    ----------
    drafts_complete : float
        Least share of drafts that are complete, of those that were not refused.
    refused : float
        Greatest share of requests that may be refused as ``not_run``.
    doubled, lost, untrue : int
        Greatest numbers of operations run twice, told complete without a run, and told
        ``not_run`` although run.
    first_token_p95_ms, gap_p95_ms : float
        Greatest percentiles.
    accounts_complete : dict of str to float
        Least share of complete drafts by key id, refused ones included in the whole.
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
    """A whole trace."""

    drafts: list[PlannedDraft]
    operations: list[PlannedOperation]
    faults: list[PlannedFault]
    expectation: Expectation


def read_trace(path):
    """Read a JSON lines file; raises `SettingsError` with the line number."""
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
    """Write a trace as JSON lines, so that a generated run can be repeated."""
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
    """What a generated trace is made of.

    Attributes
    ----------
    rate_per_s : float
        Open-loop arrivals: requests come whether or not earlier ones are answered.
    keys : dict of str to float
        Callers' bearer keys with their share of the arrivals.
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


def generate_trace(mix, expectation=None, faults=()):
    """Return a `Trace`; the same for the same mix."""
    generator = random.Random(mix.seed)
    names, weights = list(mix.keys), list(mix.keys.values())
    drafts, operations = [], []
    at_ms = 0.0
    while True:
        at_ms += generator.expovariate(mix.rate_per_s) * 1000
        if at_ms > mix.duration_s * 1000:
            break
        key = generator.choices(names, weights)[0]
        daemon = generator.randrange(mix.daemons)
        if generator.random() < mix.operation_share:
            operations += _operation_lines(mix, generator, at_ms, key, daemon, len(operations))
        else:
            drafts.append(_draft_line(mix, generator, at_ms, key, daemon, len(drafts)))
    lines = [*drafts, *operations, *faults, expectation or Expectation()]
    return _sorted_trace(lines)


def _draft_line(mix, generator, at_ms, key, daemon, number):
    prefix = ""
    if mix.prefixes:
        chosen = generator.randrange(mix.prefixes)
        prefix = (f"prefix {chosen} " * mix.prefix_characters)[: mix.prefix_characters]
    words = " ".join(f"w{generator.randrange(1000)}" for _ in range(MAX_PROMPT_WORDS // 4))
    tokens = max(1, round(mix.tokens * generator.uniform(0.5, 1.5)))
    prompt = f"{prefix}{number} {words}"
    return PlannedDraft(at_ms, key, prompt, tokens, daemon, mix.model)


def _operation_lines(mix, generator, at_ms, key, daemon, number):
    operation_id = f"op-{mix.seed}-{number}"
    line = PlannedOperation(
        at_ms, key, mix.service, mix.operation, operation_id, operation_id, daemon
    )
    if generator.random() >= mix.repeat_share:
        return [line]
    other = (daemon + 1 + generator.randrange(max(1, mix.daemons - 1))) % mix.daemons
    delay_ms = generator.choice([0.0, 5.0, 50.0, 500.0, 2000.0])
    repeat = msgspec.structs.replace(line, at_ms=at_ms + delay_ms, daemon=other)
    return [line, repeat]
