"""What happened when, from the daemons' decision logs alone."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ._loss_report import ENDED, EndedRequest, cause_of

BUCKET_S = 1.0  # several requests fall into it on the smallest sites
MARKED = ("daemon_started", "keeper_elected", "endpoint_silent")


@dataclass
class Timeline:
    """One run, with times in seconds since its first line.

    Parameters
    ----------
    replicas : dict of str to list of (float, int)
        Open replicas of each model after each change.
    causes : dict of int to Counter
        Requests by cause in each `BUCKET_S`, in which they ended.
    first_ms, pause_ms : dict of int to list of float
        Times of the streams that ended in each `BUCKET_S`.
    outages : list of (str, float, float)
        Daemon, begin and end of each time without the store.
    marks : dict of str to list of float
        Times of the events in `MARKED`.
    unreadable : int
        Lines that could not be read.
    """

    replicas: dict = field(default_factory=lambda: defaultdict(list))
    causes: dict = field(default_factory=lambda: defaultdict(Counter))
    first_ms: dict = field(default_factory=lambda: defaultdict(list))
    pause_ms: dict = field(default_factory=lambda: defaultdict(list))
    outages: list = field(default_factory=list)
    marks: dict = field(default_factory=lambda: defaultdict(list))
    unreadable: int = 0
    end_s: float = 0.0


def read_lines(paths):
    """Return (time, daemon, fields) of all lines in order of time, and the unreadable ones.

    The daemon is the last word before the JSON, or else the file's name.
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
                    lines.append((float(fields["time"]), _daemon(prefix, path), fields))
                except (msgspec.DecodeError, KeyError, TypeError, ValueError):
                    unreadable += 1
    return sorted(lines, key=lambda line: line[0]), unreadable


def make_timeline(paths):
    """Return the `Timeline` of a run's log files."""
    lines, unreadable = read_lines(paths)
    timeline = Timeline(unreadable=unreadable)
    if not lines:
        return timeline
    begun, heads, away = lines[0][0], {}, {}
    for at, daemon, fields in lines:
        at_s, event = at - begun, fields["event"]
        if event == "endpoint_told":
            _follow_head(timeline, heads, at_s, fields)
        elif event == "endpoint_gone":
            _follow_head(timeline, heads, at_s, {**fields, "replica": None})
        elif event == ENDED:
            _add_request(timeline, at_s, fields)
        elif event == "store_lost":
            away.setdefault(daemon, at_s)
        elif event == "store_regained" and daemon in away:
            timeline.outages.append((daemon, away.pop(daemon), at_s))
        elif event in MARKED:
            timeline.marks[event].append(at_s)
            if event == "daemon_started" and daemon in away:
                timeline.outages.append((daemon, away.pop(daemon), at_s))
    timeline.end_s = lines[-1][0] - begun
    timeline.outages += [(daemon, since, timeline.end_s) for daemon, since in away.items()]
    return timeline


def percentile(values, part):
    """Return the value below which `part` of the sorted `values` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _daemon(prefix, path):
    words = prefix.split()
    return words[-1] if words else Path(path).name


def _follow_head(timeline, heads, at_s, fields):
    """Note how many replicas of a model are open after what an endpoint told."""
    endpoint, replica = fields.get("endpoint"), fields.get("replica")
    leads = replica and fields.get("rank") == 0 and fields.get("state") == "open"
    model = replica.rsplit(".", 2)[0] if leads else None
    before = heads.get(endpoint)
    if model == before:
        return
    heads[endpoint] = model
    for changed in {model, before} - {None}:
        count = sum(held == changed for held in heads.values())
        timeline.replicas[changed].append((at_s, count))


def _add_request(timeline, at_s, fields):
    try:
        ended = msgspec.convert(fields, EndedRequest)
    except msgspec.ValidationError:
        timeline.unreadable += 1
        return
    bucket = int(at_s / BUCKET_S)
    timeline.causes[bucket][cause_of(ended)] += 1
    if ended.gap_goal_ms and ended.first_ms is not None:
        timeline.first_ms[bucket].append(ended.first_ms)
        timeline.pause_ms[bucket].append(ended.pause_ms)
