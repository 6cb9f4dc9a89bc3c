"""Writes docs/measurements.md from benchmarks/results and the journal's quick scores."""

import json
from pathlib import Path

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "benchmarks" / "results"
JOURNAL = ROOT / "journal"

HEAD = """# Measurements

Made by `docs/make_measurements.py` from `benchmarks/results/` and, for the quick scores, from
`journal/`. One run each on one machine of 6 cores, daemons, stand-ins and callers together on
loopback; baselines are this project's own, chosen by a flag, in the same run on the same seed
(20261203). Commands: `python benchmarks/requests_bench.py NAME`,
`python benchmarks/placement_bench.py`, `python benchmarks/control_bench.py`. The control plane's
figures are in [CAPACITY.md](CAPACITY.md).
"""


def load(name):
    """Return a saved result, or None when it was not measured."""
    path = RESULTS / f"{name}.json"
    return json.loads(path.read_text()) if path.exists() else None


def table(rows):
    """Return a Markdown table of dicts with the same keys."""
    columns = list(rows[0])
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    lines += ["| " + " | ".join(str(row[column]) for column in columns) + " |" for row in rows]
    return "\n".join(lines)


def draft_row(name, figures):
    """Return the row of one run's drafts."""
    return {
        "run": name,
        "drafts": figures["drafts"],
        **{k: figures["outcomes"].get(k, 0) for k in ("complete", "failed", "not_run")},
        "first token p50 ms": figures["first_token_p50_ms"],
        "p95": figures["first_token_p95_ms"],
        "p99": figures["first_token_p99_ms"],
        "gap p50 ms": figures["gap_p50_ms"],
        "gap p95": figures["gap_p95_ms"],
        "gap p99": figures["gap_p99_ms"],
    }


def drafts_section(title, name):
    """Return a section of draft runs."""
    result = load(name)
    if result is None:
        return []
    rows = [draft_row(run, figures) for run, figures in result.items()]
    return [f"## {title}", "", table(rows), ""]


def fairness_section():
    """Return the section of accounts under overload."""
    result = load("requests_fairness") or {}
    rows = [
        draft_row(f"{run}: {account}", figures)
        for run, accounts in result.items()
        for account, figures in accounts.items()
    ]
    title = "## One large account (day-team-a) at 5 times capacity beside two small ones"
    return [title, "", table(rows), ""] if rows else []


def plain_section(title, name, key_name):
    """Return a section of runs whose figures are plain numbers."""
    result = load(name)
    if result is None:
        return []
    rows = [{key_name: run, **figures} for run, figures in result.items()]
    return [f"## {title}", "", table(rows), ""]


def operations_section():
    """Return the section of at-most-once operations."""
    result = load("requests_operations")
    if result is None:
        return []
    kept = {k: v for k, v in result.items() if not isinstance(v, list | dict)}
    kept["store writes"] = result["store_calls"]["write"]
    title = (
        "## Operations: repeats through 4 daemons, lost answers, outage of 3 s, slow store, "
        "killed endpoint, lost endpoint answers"
    )
    return [title, "", table([kept]), ""]


def quick_scores_section():
    """Return the section of quick scores around the wording pass, in order of site and time."""
    entries = [json.loads(path.read_text()) for path in sorted(JOURNAL.glob("*.json"))]
    scores = [e for e in entries if e["cmd"] == "score" and e["why"].startswith("wording pass: ")]
    rows = [
        {
            "site": entry["site"],
            "commit": entry["head"][:7],
            "score": f"{entry['score']:.3f}",
            **{day["name"]: f"{day['G']:.3f}" for day in entry["days"]},
            "days with a broken rule": sum(bool(day["rules"]) for day in entry["days"]),
            "days given up": sum(bool(day.get("fault")) for day in entry["days"]),
        }
        for entry in sorted(scores, key=lambda entry: (entry["site"], entry["at"][0]))
    ]
    if not rows:
        return []
    text = [
        "`fleetbench score SITE --quick` before the pass (dab21c5) and after it; a day's figure is",
        "the worth of one play, and a change under 0.03 on a site is noise.",
    ]
    return ["## Quick scores before and after the wording pass", "", *text, "", table(rows), ""]


def page():
    """Return the text of the page."""
    parts = [
        HEAD,
        *drafts_section(
            "2 of 15 replicas straggle 4 times, load reports 2 s late", "requests_stragglers"
        ),
        *drafts_section("A member dies every 10 s, back after 5 s", "requests_member_deaths"),
        *operations_section(),
        *fairness_section(),
        *plain_section(
            "200 streams through one daemon, and sent straight to the engines",
            "requests_throughput",
            "path",
        ),
        *plain_section(
            "Group downtime and stranded VM·ms over one fault schedule, by repair policy",
            "placement_policies",
            "policy, weights",
        ),
        *plain_section(
            "From the loss of a member to no new draft there, and to whole again (spare at hand)",
            "loss_times",
            "fault",
        ),
        "`weighted_cost` is the document's weight of group downtime times `downtime_ms` plus that",
        "of stranded accelerators times `stranded_vm_ms`. `idle_vm_ms` counts live VMs that could",
        "serve together and don't, whatever replica they belong to.",
        "",
        *quick_scores_section(),
    ]
    return "\n".join(parts).rstrip() + "\n"


if __name__ == "__main__":
    (ROOT / "docs" / "measurements.md").write_text(page())
