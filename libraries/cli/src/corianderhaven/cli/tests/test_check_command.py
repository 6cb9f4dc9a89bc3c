"""Tests of `corianderhaven config check`: each kind of finding, differences, exit codes."""

import copy
import json
from pathlib import Path

import pytest

from corianderhaven.cli import main

EXAMPLE = json.loads((Path(__file__).parents[6] / "examples" / "divitek.json").read_text())
NODE_FILE = """
node_name = "edge-1"
zone = "a"
ip = "127.0.0.1"
port_range = [7000, 7010]
[listen]
front = "127.0.0.1:7001"
ready = "127.0.0.1:7002"
[platform]
address = "127.0.0.1:7003"
[limits]
memory_mb = 112
max_fds = 1000
[bounds]
grace_s = 0.2
drain_ms = 3000
retry_ratio = 0.0
"""


def platform_config():
    return {
        "version": 3,
        "routes": [
            {
                "name": "drafts",
                "host": "a.example",
                "path_prefix": "/d/",
                "route_kind": "streaming",
                "timeout_ms": 8000,
                "goal_ms": 500,
                "gap_goal_ms": 200,
                "service": "llm",
                "resumable": True,
                "max_attempts": 2,
            },
            {
                "name": "status",
                "host": "a.example",
                "path_prefix": "/s/",
                "route_kind": "non_idempotent",
                "timeout_ms": 2000,
                "goal_ms": 150,
                "service": "ledger",
            },
        ],
        "services": [
            {
                "name": "llm",
                "engine": {
                    "slots": 17,
                    "models": [
                        {"name": "m0", "size": 8, "share": 0.5},
                        {"name": "m1", "size": 4, "share": 0.5},
                    ],
                },
            },
            {"name": "ledger"},
        ],
        "tenants": [{"name": "acme", "api_keys": ["key-of-acme"]}],
    }


@pytest.fixture
def run(capsys, tmp_path):
    def check(config, *words):
        path = tmp_path / "config.json"
        path.write_text(config if isinstance(config, str) else json.dumps(config))
        code = main(["config", "check", str(path), "--json", *words])
        return code, json.loads(capsys.readouterr().out)

    return check


def codes(result):
    return {
        (finding["severity"], finding["path"], finding["code"]) for finding in result["findings"]
    }


def test_sound_configurations_have_no_findings(run):
    """Guards against findings that operators learn to ignore."""
    assert run(platform_config()) == (0, {"findings": [], "differences": []})


def test_unreadable_configuration_is_an_error(run):
    """Guards against a check that passes what daemons reject."""
    config = platform_config()
    config["routes"][0]["route_kind"] = "sometimes"
    code, result = run(config)
    assert (code, codes(result)) == (5, {("error", "$", "unreadable")})
    code, result = run("{")
    assert code == 5 and result["findings"][0]["severity"] == "error"


# Each case changes a sound configuration and names the one finding that it brings about.
ROUTE, OTHER = "$.routes[drafts]", "$.routes[status]"
CASES = {
    "shadowed_route": (
        lambda c: c["routes"][1].update(path_prefix="/d/"),
        ("error", f"{OTHER}.path_prefix"),
    ),
    "duplicate_name": (lambda c: c["routes"][1].update(name="drafts"), ("error", ROUTE)),
    "prefix_form": (
        lambda c: c["routes"][1].update(path_prefix="/s"),
        ("error", f"{OTHER}.path_prefix"),
    ),
    "unknown_service": (
        lambda c: c["routes"][1].update(
            weighted_services=[
                {"service": "ledger", "weight": 1},
                {"service": "gone", "weight": 1},
            ]
        ),
        ("error", f"{OTHER}.services"),
    ),
    "unused_service": (
        lambda c: c["services"].append({"name": "idle"}),
        ("warning", "$.services[idle]"),
    ),
    "account_without_keys": (
        lambda c: c["tenants"].append({"name": "none", "api_keys": []}),
        ("warning", "$.accounts[none].keys"),
    ),
    "shared_key": (
        lambda c: c["tenants"].append({"name": "zeta", "api_keys": ["key-of-acme"]}),
        ("error", "$.accounts[acme].keys"),
    ),
    "no_keys": (lambda c: c.update(tenants=[]), ("error", ROUTE)),
    "unused_accounts": (
        lambda c: [route.update(anonymous=True) for route in c["routes"]],
        ("warning", "$.accounts"),
    ),
    "timeout_below_goal": (
        lambda c: c["routes"][0].update(timeout_ms=400),
        ("error", f"{ROUTE}.timeout_ms"),
    ),
    "no_time": (
        lambda c: c["routes"][1].update(timeout_ms=0),
        ("error", f"{OTHER}.timeout_ms"),
    ),
    "gap_above_timeout": (
        lambda c: c["routes"][0].update(gap_goal_ms=9000),
        ("warning", f"{ROUTE}.gap_goal_ms"),
    ),
    "resumable_without_stream": (
        lambda c: c["routes"][1].update(resumable=True),
        ("warning", f"{OTHER}.resumable"),
    ),
    "no_endpoint": (
        lambda c: c["routes"][1].update(max_attempts=0),
        ("error", f"{OTHER}.max_endpoints"),
    ),
    "attempts_without_retry": (
        lambda c: c["routes"][1].update(max_attempts=3),
        ("warning", f"{OTHER}.max_endpoints"),
    ),
    "idle_below_header_timeout": (
        lambda c: c.update(limits={"header_timeout_ms": 3000, "idle_timeout_ms": 1000}),
        ("warning", "$.limits.idle_timeout_ms"),
    ),
    "shares_do_not_sum": (
        lambda c: c["services"][0]["engine"]["models"][0].update(share=0.9),
        ("warning", "$.services[llm].engine.models"),
    ),
}


@pytest.mark.parametrize("code", CASES)
def test_finding_in_the_platforms_form(run, code):
    """Guards against entries without effect and contradictions that only show in service."""
    change, (severity, path) = CASES[code]
    config = platform_config()
    change(config)
    exit_code, result = run(config)
    assert (severity, path, code) in codes(result)
    assert exit_code == (5 if severity == "error" else 0)
    assert run(config, "--strict")[0] == (5 if severity == "error" else 1)


def test_findings_beside_a_daemons_settings(run, tmp_path):
    """Guards against limits that no daemon of the deployment can keep."""
    settings = tmp_path / "node.toml"
    settings.write_text(NODE_FILE)
    config = platform_config()
    config["limits"] = {"max_body_bytes": 500_000_000}
    code, result = run(config, "--node-settings", str(settings))
    assert code == 5
    assert {finding["code"] for finding in result["findings"]} == {
        "body_above_memory",
        "drain_above_grace",
        "goal_above_grace",
        "no_retry_budget",
    }


DOCUMENT_CASES = {
    "unused_model": lambda d: d["models"].append({"name": "idle", "versions": ["v1"]}),
    "account_without_keys": lambda d: d["accounts"][0].update(keys=[]),
    "above_total_deadline": lambda d: d["deployments"][0]["limits"].update(total_deadline_ms=100),
    "queue_above_first_token": lambda d: d["deployments"][0]["limits"].update(
        queue_deadline_ms=5_000, first_token_deadline_ms=5_000
    ),
    "floor_above_most": lambda d: d["deployments"][0].update(
        max_replicas_per_zone=1, floor={"whole_replicas": 2}
    ),
    "no_repair": lambda d: d["deployments"][0].update(
        repair={"group_downtime": 0.0, "stranded_accelerators": 0.0}
    ),
}


@pytest.mark.parametrize("code", DOCUMENT_CASES)
def test_finding_in_the_products_document(run, code):
    """Guards against the same faults in the product's own form."""
    document = copy.deepcopy(EXAMPLE)
    document["deployments"][0].setdefault("limits", {})
    before = {finding["code"] for finding in run(document)[1]["findings"]}
    DOCUMENT_CASES[code](document)
    assert code in {finding["code"] for finding in run(document)[1]["findings"]} - before


def test_account_that_nothing_serves(run):
    """Guards against an account that is declared and refused everywhere."""
    document = copy.deepcopy(EXAMPLE)
    served = document["accounts"][0]["name"]
    for target in [*document["deployments"], *document.get("services", [])]:
        target["accounts"] = [served]
    unused = {f["path"] for f in run(document)[1]["findings"] if f["code"] == "unused_account"}
    assert unused == {f"$.accounts[{a['name']}]" for a in document["accounts"][1:]}


def test_differences_from_the_version_in_force(run, tmp_path):
    """Guards against a change that is larger than its author thinks, and against keys in output."""
    in_force, config = tmp_path / "in_force.json", platform_config()
    in_force.write_text(json.dumps(config))
    config["routes"][0]["timeout_ms"] = 9000
    config["tenants"][0]["api_keys"] = ["another-key"]
    code, result = run(config, "--against", str(in_force))
    paths = {change["path"] for change in result["differences"]}
    assert (code, paths) == (0, {"$.routes[drafts].timeout_ms", "$.accounts[acme].keys"})
    assert "another-key" not in json.dumps(result) and "key-of-acme" not in json.dumps(result)


def test_differences_from_a_daemon(run, shared_site, tmp_path):
    """Guards against a comparison with something else than what is in force."""
    addresses = [daemon.peer_info.address for daemon in shared_site.daemons]
    code, result = run(EXAMPLE, "--operators", *addresses, "--key", "operator-1.example")
    assert code == 0
    assert all(change["path"].startswith("$") for change in result["differences"])


def test_text_names_place_and_reason(capsys, tmp_path):
    """Guards against output that a person can't act on."""
    config = platform_config()
    config["routes"][0]["timeout_ms"] = 400
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    assert main(["config", "check", str(path)]) == 5
    out = capsys.readouterr().out
    assert "error: $.routes[drafts].timeout_ms: the goal of 500 ms is only reached after" in out
