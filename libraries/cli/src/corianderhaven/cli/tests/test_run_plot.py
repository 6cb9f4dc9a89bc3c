"""Tests of the timeline of a run and its plot."""

import json

import pytest

from corianderhaven.cli import main
from corianderhaven.cli._run_timeline import make_timeline, percentile


def log_line(at_s, event, **fields):
    return json.dumps({"time": 100.0 + at_s, "level": "INFO", "event": event, **fields})


def endpoint_told(at_s, endpoint, replica, state="open", rank=0):
    return log_line(
        at_s, "endpoint_told", endpoint=endpoint, replica=replica, state=state, rank=rank
    )


def request_ended(at_s, outcome="complete", **fields):
    values = {"request": "r", "route": "draft", "total_ms": 900.0, "first_ms": 200.0}
    values.update(goal_ms=400.0, gap_goal_ms=300.0, pause_ms=50.0, outcome=outcome)
    return log_line(at_s, "request_ended", **{**values, **fields})


@pytest.fixture
def logs(tmp_path):
    one, two = tmp_path / "edge-a.log", tmp_path / "edge-b.log"
    one.write_text(
        "\n".join(
            [
                log_line(0.0, "daemon_started", daemon="edge-a"),
                endpoint_told(0.5, "e1", "large.3.1"),
                endpoint_told(0.6, "e2", "large.3.1", "ready", 1),
                request_ended(1.2),
                request_ended(1.4, first_ms=600.0),
                log_line(2.0, "store_lost", reason="down"),
                endpoint_told(2.5, "e1", "large.3.1", "broken"),
                request_ended(3.5, "refused: no replica serves the model", first_ms=None),
                log_line(4.0, "store_regained", outage_ms=2000),
                "no JSON at all",
                '{"event": "request_ended", "time": 1',
            ]
        )
    )
    two.write_text(
        "\n".join(
            [
                "  0.7 edge-b " + endpoint_told(0.7, "e1", "large.3.1"),
                "  3.0 edge-b " + log_line(3.0, "store_lost", reason="down"),
                "  5.0 edge-b " + log_line(5.0, "endpoint_silent", endpoint="e1"),
            ]
        )
    )
    return [str(one), str(two)]


def test_timeline_of_two_daemons(logs):
    timeline = make_timeline(logs)
    assert timeline.replicas == {"large": [(0.5, 1), (2.5, 0)]}
    assert {b: dict(c) for b, c in timeline.causes.items()} == {
        1: {"on_time": 1, "late_first_event": 1},
        3: {"refused_no_replica": 1},
    }
    assert timeline.first_ms == {1: [200.0, 600.0]}
    assert sorted(timeline.outages) == [("edge-a.log", 2.0, 4.0), ("edge-b", 3.0, 5.0)]
    assert timeline.event_times == {"daemon_started": [0.0], "endpoint_silent": [5.0]}
    assert timeline.unreadable == 1


def test_plot_is_written(logs, tmp_path, capsys):
    out = tmp_path / "run.png"
    assert main(["picture", *logs, f"--out={out}"]) == 0
    assert out.read_bytes().startswith(b"\x89PNG")
    assert "3 requests, 1 unreadable" in capsys.readouterr().out


def test_plot_of_an_empty_log_is_written(tmp_path):
    empty, out = tmp_path / "empty.log", tmp_path / "run.png"
    empty.write_text("")
    assert main(["picture", str(empty), f"--out={out}"]) == 0
    assert out.stat().st_size > 0


@pytest.mark.parametrize("arguments", [["picture"], ["picture", "nowhere.log"]])
def test_missing_logs_are_reported(arguments, capsys):
    assert main(arguments) == 2
    assert "no such file" in capsys.readouterr().err


def test_percentile():
    assert percentile([5.0, 1.0, 3.0], 0.5) == 3.0
    assert percentile([7.0], 0.95) == 7.0
