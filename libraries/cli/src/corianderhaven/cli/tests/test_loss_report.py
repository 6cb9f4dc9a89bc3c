"""Tests of the loss report: requests by cause, from log lines."""

import json

import pytest

from corianderhaven.cli import main
from corianderhaven.cli._loss_report import EndedRequest, classify_request


def ended_request(**fields):
    values = {"request": "r", "route": "draft", "outcome": "complete", "total_ms": 900.0}
    values.update(goal_ms=400.0, gap_goal_ms=300.0, first_ms=200.0)
    return EndedRequest(**{**values, **fields})


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({}, "on_time"),
        ({"first_ms": 500.0, "waited_ms": 300.0}, "late_waiting"),
        ({"first_ms": 500.0, "waited_ms": 10.0}, "late_first_event"),
        ({"first_ms": 500.0, "endpoints": [["a", "silent"], ["b", "complete"]]}, "late_moved"),
        ({"pause_ms": 310.0}, "late_pause"),
        ({"outcome": "refused: overloaded"}, "refused_overload"),
        ({"outcome": "refused: no replica serves the model"}, "refused_no_replica"),
        ({"outcome": "broken_off: deadline"}, "broken_off"),
        ({"outcome": "caller_left"}, "caller_left"),
    ],
)
def test_request_is_classified_by_cause(fields, cause):
    assert classify_request(ended_request(**fields)) == cause


def test_losses_command_counts_all_logs(tmp_path, capsys):
    line = {"event": "request_ended", "request": "r", "route": "draft", "total_ms": 10.0}
    one, two = tmp_path / "one.log", tmp_path / "two.log"
    one.write_text(
        "12.1 edge-a " + json.dumps({**line, "outcome": "complete"}, separators=(",", ":"))
    )
    two.write_text(
        json.dumps({**line, "outcome": "refused: overloaded"}, separators=(",", ":"))
        + '\n{"event":"request_ended","broken\n'
    )
    assert main(["losses", str(one), str(two), "--as-json"]) == 0
    rows = {row["route"]: row for row in json.loads(capsys.readouterr().out)}
    assert rows["draft"] == {"route": "draft", "all": 2, "on_time": 1, "refused_overload": 1}
    assert rows["(unreadable lines)"]["unknown"] == 1
