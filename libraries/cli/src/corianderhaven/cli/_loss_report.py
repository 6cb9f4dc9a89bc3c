"""What a day's requests lost, by cause, from the daemons' decision logs alone."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ._output import EXIT_OK, print_json, print_table

ENDED = "request_ended"
CAUSES = (
    "on_time",
    "late_waiting",
    "late_first_event",
    "late_moved",
    "late_pause",
    "refused_no_replica",
    "refused_overload",
    "broken_off",
    "unknown",
    "endpoint_failed",
    "caller_left",
)


class EndedRequest(msgspec.Struct):
    """The closing line of one request; times in ms."""

    request: str
    route: str
    outcome: str
    total_ms: float
    endpoints: list = []
    first_ms: float | None = None
    goal_ms: float | None = None
    waited_ms: float = 0.0
    pause_ms: float = 0.0
    gap_goal_ms: float | None = None


@dataclass(frozen=True)
class LossRow:
    """Requests of one route by cause."""

    route: str
    causes: Counter


def read_events(paths, event):
    """Yield the fields of all `event` lines in log files, whatever stands before the JSON."""
    marker = f'"event":"{event}"'
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                if marker in line:
                    yield line[line.index("{") :].strip()


def cause_of(ended):
    """Return why a request was not answered in full and on time, or ``on_time``."""
    outcome, _, reason = ended.outcome.partition(": ")
    if outcome == "complete":
        return _cause_of_lateness(ended)
    if outcome == "refused":
        return "refused_no_replica" if "no replica" in reason else "refused_overload"
    return outcome if outcome in CAUSES else "unknown"


def _cause_of_lateness(ended):
    moved = len(ended.endpoints) > 1
    if ended.goal_ms and ended.first_ms and ended.first_ms > ended.goal_ms:
        if moved:
            return "late_moved"
        waited_most = ended.waited_ms > ended.goal_ms / 2
        return "late_waiting" if waited_most else "late_first_event"
    if ended.gap_goal_ms and ended.pause_ms > ended.gap_goal_ms:
        return "late_moved" if moved else "late_pause"
    return "on_time"


def count_losses(paths):
    """Return a `LossRow` for each route, those with most requests first."""
    counted = defaultdict(Counter)
    for line in read_events(paths, ENDED):
        try:
            ended = msgspec.json.decode(line, type=EndedRequest)
        except msgspec.DecodeError:
            counted["(unreadable lines)"]["unknown"] += 1
            continue
        counted[ended.route][cause_of(ended)] += 1
    rows = [LossRow(route, causes) for route, causes in counted.items()]
    return sorted(rows, key=lambda row: -row.causes.total())


def losses(*logs: str, as_json: bool = False):
    """Print what requests lost by cause, from daemons' logs.

    :param logs: log files of all daemons
    :param as_json: print JSON
    """
    rows = [{"route": r.route, "all": r.causes.total(), **r.causes} for r in count_losses(logs)]
    if as_json:
        print_json(rows)
    else:
        seen = [cause for cause in CAUSES if any(cause in row for row in rows)]
        print_table(rows, ["route", "all", *seen])
    return EXIT_OK
