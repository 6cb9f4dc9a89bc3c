"""Builds the timeline of a run from the daemons' decision logs."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ._loss_report import REQUEST_ENDED, EndedRequest, classify_request

BUCKET_S = 1.0  # wide enough for several requests per bucket on the smallest sites
PLOTTED_EVENTS = ("daemon_started", "keeper_elected", "endpoint_silent")


@dataclass
class Timeline:
    """Timeline of one run, with times in seconds since its first log line.

    Parameters
    ----------
    replicas : dict of str to list of (float, int)
        Number of open replicas of each model after each change.
    causes : dict of int to Counter
        Requests by cause, keyed by the `BUCKET_S` bucket in which they ended.
    first_ms, pause_ms : dict of int to list of float
        Time to the first event and longest pause of each stream, keyed by the `BUCKET_S`
        bucket in which it ended.
    outages : list of (str, float, float)
        Daemon, begin and end of each interval in which the daemon could not reach the store.
    event_times : dict of str to list of float
        Times of the events in `PLOTTED_EVENTS`.
    unreadable : int
        Number of event lines that could not be parsed; lines without an event are ignored.
    end_s : float
        Time of the last log line.
    """

    replicas: dict = field(default_factory=lambda: defaultdict(list))
    causes: dict = field(default_factory=lambda: defaultdict(Counter))
    first_ms: dict = field(default_factory=lambda: defaultdict(list))
    pause_ms: dict = field(default_factory=lambda: defaultdict(list))
    outages: list = field(default_factory=list)
    event_times: dict = field(default_factory=lambda: defaultdict(list))
    unreadable: int = 0
    end_s: float = 0.0


def read_lines(paths):
    """Return (time, daemon, fields) of all events sorted by time, and the unreadable count.

    The daemon is the last word before the JSON, or the file name if nothing precedes it.
    """
    lines, unreadable = [], 0
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            for line in file:
                prefix, brace, rest = line.partition("{")
                if not brace or '"event"' not in rest:
                    continue
                try:
                    fields = msgspec.json.decode(brace + rest.strip())
                    lines.append((float(fields["time"]), _daemon_name(prefix, path), fields))
                except (msgspec.DecodeError, KeyError, TypeError, ValueError):
                    unreadable += 1
    return sorted(lines, key=lambda line: line[0]), unreadable


def make_timeline(paths):
    """Return the `Timeline` of a run's log files."""
    lines, unreadable = read_lines(paths)
    timeline = Timeline(unreadable=unreadable)
    if not lines:
        return timeline
    start, models_by_head, store_lost_s = lines[0][0], {}, {}
    for time, daemon, fields in lines:
        at_s, event = time - start, fields["event"]
        if event == "endpoint_told":
            _update_open_replicas(timeline, models_by_head, at_s, fields)
        elif event == "endpoint_gone":
            _update_open_replicas(timeline, models_by_head, at_s, {**fields, "replica": None})
        elif event == REQUEST_ENDED:
            _add_request(timeline, at_s, fields)
        elif event == "store_lost":
            store_lost_s.setdefault(daemon, at_s)
        elif event == "store_regained" and daemon in store_lost_s:
            timeline.outages.append((daemon, store_lost_s.pop(daemon), at_s))
        elif event in PLOTTED_EVENTS:
            timeline.event_times[event].append(at_s)
            if event == "daemon_started" and daemon in store_lost_s:
                timeline.outages.append((daemon, store_lost_s.pop(daemon), at_s))
    timeline.end_s = lines[-1][0] - start
    timeline.outages += [(daemon, since, timeline.end_s) for daemon, since in store_lost_s.items()]
    return timeline


def percentile(values, fraction):
    """Return the element at position `fraction` of the sorted `values`, for example 0.95."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _daemon_name(prefix, path):
    words = prefix.split()
    return words[-1] if words else Path(path).name


def _update_open_replicas(timeline, models_by_head, at_s, fields):
    """Append the number of open replicas of each model that an endpoint event changes.

    An open replica is counted at its head, the member of rank 0: `models_by_head` maps each
    endpoint that is the head of an open replica to the replica's model.
    """
    endpoint, replica = fields.get("endpoint"), fields.get("replica")
    is_open_head = replica and fields.get("rank") == 0 and fields.get("state") == "open"
    model = replica.rsplit(".", 2)[0] if is_open_head else None
    previous = models_by_head.get(endpoint)
    if model == previous:
        return
    models_by_head[endpoint] = model
    for changed in {model, previous} - {None}:
        count = sum(open_model == changed for open_model in models_by_head.values())
        timeline.replicas[changed].append((at_s, count))


def _add_request(timeline, at_s, fields):
    try:
        request = msgspec.convert(fields, EndedRequest)
    except msgspec.ValidationError:
        timeline.unreadable += 1
        return
    bucket = int(at_s / BUCKET_S)
    timeline.causes[bucket][classify_request(request)] += 1
    if request.gap_goal_ms and request.first_ms is not None:
        timeline.first_ms[bucket].append(request.first_ms)
        timeline.pause_ms[bucket].append(request.pause_ms)
