"""Plots the timeline of a run, from the daemons' decision logs."""

from pathlib import Path

from corianderhaven.common import SettingsError

from ._loss_report import CAUSES
from ._output import EXIT_OK
from ._run_timeline import BUCKET_S, make_timeline, percentile

FIGURE_INCHES = (11.0, 9.0)
DOTS_PER_INCH = 110
EVENT_STYLES = {
    "daemon_started": ("tab:blue", "daemon started"),
    "keeper_elected": ("tab:purple", "keeper elected"),
    "endpoint_silent": ("tab:red", "endpoint silent"),
}


def picture(*logs: str, out: str = "run.png"):
    """Plot open replicas, late and lost requests, latencies and store outages of a run.

    :param logs: log files of all daemons
    :param out: PNG file to write
    """
    missing = [log for log in logs if not Path(log).is_file()]
    if missing or not logs:
        raise SettingsError(f"logs: no such file: {', '.join(missing) or '(none given)'}")
    timeline = make_timeline(logs)
    plot_timeline(timeline, out)
    requests = sum(causes.total() for causes in timeline.causes.values())
    print(f"{out}: {requests} requests, {timeline.unreadable} unreadable lines")
    return EXIT_OK


def plot_timeline(timeline, out):
    """Plot a `Timeline` and write the figure to the file `out`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        4, 1, sharex=True, figsize=FIGURE_INCHES, height_ratios=[2, 3, 3, 1]
    )
    _draw_replicas(axes[0], timeline)
    _draw_causes(axes[1], timeline)
    _draw_latencies(axes[2], timeline)
    _draw_events(axes[3], timeline)
    for axis in axes:
        for _, begin, end in timeline.outages:
            axis.axvspan(begin, end, color="tab:orange", alpha=0.08, linewidth=0)
    axes[-1].set_xlabel(
        "seconds since the first log line (orange: a daemon cannot reach the store)"
    )
    axes[-1].set_xlim(0, max(BUCKET_S, timeline.end_s))
    figure.tight_layout()
    figure.savefig(out, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _draw_replicas(axis, timeline):
    for model, changes in sorted(timeline.replicas.items()):
        points = [*changes, (timeline.end_s, changes[-1][1])]
        axis.step([at for at, _ in points], [n for _, n in points], where="post", label=model)
    axis.set_ylabel("open replicas")
    axis.set_ylim(bottom=0)
    _add_legend(axis)


def _draw_causes(axis, timeline):
    buckets = sorted(timeline.causes)
    bottoms = [0] * len(buckets)
    for cause in CAUSES[1:]:
        counts = [timeline.causes[b][cause] for b in buckets]
        if not any(counts):
            continue
        lefts = [b * BUCKET_S for b in buckets]
        axis.bar(lefts, counts, BUCKET_S, bottom=bottoms, align="edge", label=cause)
        bottoms = [low + count for low, count in zip(bottoms, counts, strict=True)]
    axis.set_ylabel("requests not on time\nper second")
    _add_legend(axis)


def _draw_latencies(axis, timeline):
    series = [
        (timeline.first_ms, 0.50, "first event, p50"),
        (timeline.first_ms, 0.95, "first event, p95"),
        (timeline.pause_ms, 0.95, "longest pause, p95"),
    ]
    for values, fraction, label in series:
        buckets = sorted(values)
        heights = [percentile(values[b], fraction) for b in buckets]
        axis.plot([(b + 0.5) * BUCKET_S for b in buckets], heights, label=label)
    axis.set_ylabel("ms")
    axis.set_yscale("symlog", linthresh=100)
    _add_legend(axis)


def _draw_events(axis, timeline):
    for row, (event, (color, _)) in enumerate(EVENT_STYLES.items()):
        times = timeline.event_times.get(event, [])
        axis.plot(times, [row] * len(times), "|", color=color, markersize=9)
    axis.set_yticks(range(len(EVENT_STYLES)), [label for _, label in EVENT_STYLES.values()])
    axis.set_ylim(-0.6, len(EVENT_STYLES) - 0.4)


def _add_legend(axis):
    if axis.get_legend_handles_labels()[1]:
        axis.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), fontsize="x-small")
