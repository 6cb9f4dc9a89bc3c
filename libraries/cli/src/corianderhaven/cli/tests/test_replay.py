"""Tests of load tests: recorded traces are replayed through real daemons and stand-ins."""

import importlib
import json
import sys
from pathlib import Path

import pytest

from corianderhaven.cli import (
    Expectation,
    Workload,
    generate_trace,
    main,
    read_trace,
    write_trace,
)
from corianderhaven.cli._load_caller import DraftResult, OperationResult
from corianderhaven.cli._load_report import make_report, plot
from corianderhaven.common import SettingsError

EXAMPLES = Path(__file__).parents[6] / "examples"
TRACES = sorted((EXAMPLES / "traces").glob("*.jsonl"))


@pytest.fixture
def replay(monkeypatch):
    monkeypatch.syspath_prepend(str(EXAMPLES))
    yield importlib.import_module("replay").replay
    for name in ("replay", "demonstration"):
        sys.modules.pop(name, None)


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_has_its_expected_outcomes(replay, path):
    assert replay(path).misses == []


def test_at_least_four_traces_are_recorded():
    assert len(TRACES) >= 4


def workload(seed=1):
    return Workload(
        seed=seed,
        rate_per_s=50.0,
        duration_s=2.0,
        keys={"a.x": 3.0, "b.x": 1.0},
        daemons=2,
        operation_share=0.3,
        repeat_share=0.5,
    )


def test_same_seed_gives_the_same_trace(tmp_path):
    first, second = generate_trace(workload()), generate_trace(workload())
    assert first == second
    assert first != generate_trace(workload(2))
    write_trace(tmp_path / "t.jsonl", first)
    assert read_trace(tmp_path / "t.jsonl") == first


def test_invalid_trace_is_reported_with_its_line(tmp_path):
    path = tmp_path / "t.jsonl"
    path.write_text('{"kind": "expect"}\n{"kind": "surprise"}\n')
    with pytest.raises(SettingsError, match="line 2"):
        read_trace(path)


def test_report_detects_doubled_lost_untrue_and_wrong():
    operations = [
        OperationResult("a.x", "doubled", "complete"),
        OperationResult("a.x", "lost", "complete"),
        OperationResult("a.x", "untrue", "not_run"),
        OperationResult("a.x", "fine", "complete"),
    ]
    executions = {"doubled": 2, "untrue": 1, "fine": 1}
    drafts = [DraftResult("a.x", "complete"), DraftResult("b.x", "wrong")]
    report = make_report(drafts, operations, executions, 1.0, Expectation(drafts_complete=1.0))
    counts = report.operations
    assert (counts.doubled, counts.lost, counts.untrue, counts.served_once) == (1, 1, 1, 1)
    names = [miss.partition(":")[0] for miss in report.misses]
    assert names == ["drafts_complete", "doubled", "lost", "untrue", "wrong answers"]


@pytest.mark.parametrize("ending", ["svg", "png"])
def test_plot_is_written(tmp_path, ending):
    drafts = [
        DraftResult("a.x", "complete", first_token_ms=20.0 + n, gaps_ms=[5.0, 6.0 + n])
        for n in range(5)
    ]
    path = tmp_path / f"plot.{ending}"
    plot(path, [*drafts, DraftResult("b.x", "lost")])
    assert path.stat().st_size > 1000


def test_load_command_writes_a_report_and_fails_on_a_miss(tmp_path, shared_site, capsys):
    callers = [daemon.callers_server.address for daemon in shared_site.daemons]
    report = tmp_path / "report.json"
    words = ["load", "--callers", *callers, "--control", shared_site.site.control.address]
    words += ["--keys", "day-team-a-1.example=1", "--rate", "20", "--duration", "1"]
    words += ["--operation-share", "0.3", "--repeat-share", "1", "--report", str(report)]
    assert main(words) == 0
    assert "operations:" in capsys.readouterr().out
    assert json.loads(report.read_text())["operations"]["doubled"] == 0
    trace = tmp_path / "trace.jsonl"
    trace.write_text('{"kind": "expect", "drafts_complete": 1.0}\n')
    assert main([*words[:6], "--trace", str(trace)]) == 1
