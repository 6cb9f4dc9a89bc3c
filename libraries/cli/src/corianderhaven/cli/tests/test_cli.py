"""Tests of the command-line tool against a real daemon."""

import json
from pathlib import Path

import pytest

from corianderhaven.cli import main

EXAMPLES = Path(__file__).parents[6] / "examples"
OPERATOR_KEY = "operator-1.example"


@pytest.fixture
def arguments(shared_site):
    addresses = [daemon.peer_info.address for daemon in shared_site.daemons]
    return ["--operators", *addresses, "--key", OPERATOR_KEY, "--json"]


def run(capsys, *words):
    code = main(list(words))
    return code, capsys.readouterr().out


def test_validate(capsys, tmp_path):
    assert main(["config", "validate", str(EXAMPLES / "divitek.json")]) == 0
    invalid = tmp_path / "broken.json"
    invalid.write_text('{"format": 1, "site": "x", "zones": ["a"], "surprise": 1}')
    assert main(["config", "validate", str(invalid)]) == 5
    assert "$.surprise" in capsys.readouterr().err
    assert main(["config", "validate", str(tmp_path / "absent.json")]) == 2


def test_flags_override_environment(capsys, monkeypatch, shared_site):
    monkeypatch.setenv("CORIANDERHAVEN_OPERATORS", shared_site.daemons[0].peer_info.address)
    monkeypatch.setenv("CORIANDERHAVEN_KEY", "operator-1.wrong")
    assert main(["status"]) == 1
    code, out = run(capsys, "status", "--key", OPERATOR_KEY)
    assert (code, "plateau" in out) == (0, True)


def test_missing_settings_print_a_one_line_error(capsys):
    assert main(["status"]) == 2
    error = capsys.readouterr().err
    assert error.startswith("error: operators")
    assert error.count("\n") == 1


def test_show_diff_apply_and_conflict(capsys, tmp_path, shared_site, arguments):
    code, out = run(capsys, "config", "show", *arguments)
    record = json.loads(out)
    document = record["document"]
    document["accounts"][0]["max_in_flight"] = 77
    path = tmp_path / "document.json"
    path.write_text(json.dumps(document))
    code, out = run(capsys, "config", "diff", str(path), *arguments)
    assert [change["path"] for change in json.loads(out)] == [
        "$.accounts[day-team-a].max_in_flight"
    ]
    code, out = run(capsys, "config", "apply", str(path), "--wait", *arguments)
    response = json.loads(out)
    assert (code, response["revision"], response["behind"]) == (0, record["revision"] + 1, [])
    assert all(d.holder.revision == response["revision"] for d in shared_site.daemons)
    old_revision = str(record["revision"])
    assert main(["config", "apply", str(path), "--base-revision", old_revision, *arguments]) == 3
    repeat = ["--change-id", response["change_id"], "--base-revision", old_revision]
    code, out = run(capsys, "config", "apply", str(path), *repeat, *arguments)
    assert (code, json.loads(out)["revision"]) == (0, response["revision"])


def test_status_replicas_vms_and_why(capsys, arguments):
    code, out = run(capsys, "replicas", *arguments)
    replicas = json.loads(out)["replicas"]
    assert [r["whole"] for r in replicas] == [True, True]
    code, out = run(capsys, "vms", *arguments)
    assert {vm["status"] for vm in json.loads(out)["vms"]} == {"serving"}
    code, out = run(capsys, "why", replicas[0]["replica"], *arguments)
    assert "replica_formed" in {decision["event"] for decision in json.loads(out)}
    code, out = run(capsys, "status", *arguments)
    assert json.loads(out)["ready"]
