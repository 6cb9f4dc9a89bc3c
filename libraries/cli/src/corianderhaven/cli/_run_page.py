"""Draws a run as one page, from the daemons' decision logs."""

from pathlib import Path

from corianderhaven.common import SettingsError

from ._loss_report import CAUSES
from ._output import EXIT_OK
from ._run_timeline import BUCKET_S, make_timeline, percentile

PAGE_INCHES = (11.0, 9.0)
DOTS_PER_INCH = 110
MARK_STYLES = {
    "daemon_started": ("tab:blue", "daemon started"),
    "keeper_elected": ("tab:purple", "keeper elected"),
    "endpoint_silent": ("tab:red", "endpoint silent"),
}


def picture(*logs: str, out: str = "run.png"):
    """Draw replicas, losses by cause, times and outages of a run on one page.

    :param logs: log files of all daemons
    :param out: PNG file to write
    """
    missing = [log for log in logs if not Path(log).is_file()]
    if missing or not logs:
        raise SettingsError(f"logs: no such file: {', '.join(missing) or '(none given)'}")
    timeline = make_timeline(logs)
    draw(timeline, out)
    requests = sum(causes.total() for causes in timeline.causes.values())
    print(f"{out}: {requests} requests, {timeline.unreadable} unreadable lines")
    return EXIT_OK


def draw(timeline, out):
    """Write the page of a `Timeline` to the file `out`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(
        4, 1, sharex=True, figsize=PAGE_INCHES, height_ratios=[2, 3, 3, 1]
    )
    _draw_replicas(axes[0], timeline)
    _draw_causes(axes[1], timeline)
    _draw_times(axes[2], timeline)
    _draw_marks(axes[3], timeline)
    for axis in axes:
        for _, begin, end in timeline.outages:
            axis.axvspan(begin, end, color="tab:orange", alpha=0.08, linewidth=0)
    axes[-1].set_xlabel("seconds since the first line (orange: a daemon without the store)")
    axes[-1].set_xlim(0, max(BUCKET_S, timeline.end_s))
    figure.tight_layout()
    figure.savefig(out, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _draw_replicas(axis, timeline):
    for model, changes in sorted(timeline.replicas.items()):
        ends = [*changes, (timeline.end_s, changes[-1][1])]
        axis.step([at for at, _ in ends], [n for _, n in ends], where="post", label=model)
    axis.set_ylabel("open replicas")
    axis.set_ylim(bottom=0)
    _legend(axis)


def _draw_causes(axis, timeline):
    buckets = sorted(timeline.causes)
    base = [0] * len(buckets)
    for cause in CAUSES[1:]:
        counts = [timeline.causes[b][cause] for b in buckets]
        if not any(counts):
            continue
        starts = [b * BUCKET_S for b in buckets]
        axis.bar(starts, counts, BUCKET_S, bottom=base, align="edge", label=cause)
        base = [low + count for low, count in zip(base, counts, strict=True)]
    axis.set_ylabel("requests not on time\nin a second")
    _legend(axis)


def _draw_times(axis, timeline):
    series = [
        (timeline.first_ms, 0.50, "first event, half"),
        (timeline.first_ms, 0.95, "first event, 95 in 100"),
        (timeline.pause_ms, 0.95, "longest pause, 95 in 100"),
    ]
    for values, part, label in series:
        buckets = sorted(values)
        heights = [percentile(values[b], part) for b in buckets]
        axis.plot([(b + 0.5) * BUCKET_S for b in buckets], heights, label=label)
    axis.set_ylabel("ms")
    axis.set_yscale("symlog", linthresh=100)
    _legend(axis)


def _draw_marks(axis, timeline):
    for row, (event, (color, _)) in enumerate(MARK_STYLES.items()):
        times = timeline.marks.get(event, [])
        axis.plot(times, [row] * len(times), "|", color=color, markersize=9)
    axis.set_yticks(range(len(MARK_STYLES)), [label for _, label in MARK_STYLES.values()])
    axis.set_ylim(-0.6, len(MARK_STYLES) - 0.4)


def _legend(axis):
    if axis.get_legend_handles_labels()[1]:
        axis.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), fontsize="x-small")
