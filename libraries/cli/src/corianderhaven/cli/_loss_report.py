"""Counts lost and late requests by cause, from the daemons' decision logs."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ._output import EXIT_OK, print_json, print_table

REQUEST_ENDED = "request_ended"
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
    """Fields of one ``request_ended`` log line; times in ms."""

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
class RouteLosses:
    """Number of requests of one route by cause."""

    route: str
    causes: Counter


def read_events(paths, event):
    """Yield the JSON text of each log line of type `event`, without any prefix on the line."""
    marker = f'"event":"{event}"'
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                if marker in line:
                    yield line[line.index("{") :].strip()


def classify_request(request):
    """Return why a request was not answered completely and on time, or ``on_time``."""
    outcome, _, reason = request.outcome.partition(": ")
    if outcome == "complete":
        return _classify_latency(request)
    if outcome == "refused":
        return "refused_no_replica" if "no replica" in reason else "refused_overload"
    return outcome if outcome in CAUSES else "unknown"


def _classify_latency(request):
    moved = len(request.endpoints) > 1
    if request.goal_ms and request.first_ms and request.first_ms > request.goal_ms:
        if moved:
            return "late_moved"
        mostly_waited = request.waited_ms > request.goal_ms / 2
        return "late_waiting" if mostly_waited else "late_first_event"
    if request.gap_goal_ms and request.pause_ms > request.gap_goal_ms:
        return "late_moved" if moved else "late_pause"
    return "on_time"


def count_losses(paths):
    """Return a `RouteLosses` for each route, sorted by number of requests, largest first."""
    counts = defaultdict(Counter)
    for line in read_events(paths, REQUEST_ENDED):
        try:
            request = msgspec.json.decode(line, type=EndedRequest)
        except msgspec.DecodeError:
            counts["(unreadable lines)"]["unknown"] += 1
            continue
        counts[request.route][classify_request(request)] += 1
    rows = [RouteLosses(route, causes) for route, causes in counts.items()]
    return sorted(rows, key=lambda row: -row.causes.total())


def losses(*logs: str, as_json: bool = False):
    """Print the number of requests of each route by cause of loss or delay, from daemon logs.

    :param logs: log files of all daemons
    :param as_json: print JSON
    """
    rows = [{"route": r.route, "all": r.causes.total(), **r.causes} for r in count_losses(logs)]
    if as_json:
        print_json(rows)
    else:
        present = [cause for cause in CAUSES if any(cause in row for row in rows)]
        print_table(rows, ["route", "all", *present])
    return EXIT_OK
