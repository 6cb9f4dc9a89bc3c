"""Writes docs/platform-measurements.md from the bench's journal.

Figures come from the journal entries alone; which tests stand for a kind of trouble is kept in
`TESTS` below, and a kind without one shows as a gap.
"""

import json
import sys
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).parent.parent
JOURNAL = ROOT / "journal"
TARGET = ROOT / "docs" / "platform-measurements.md"
MODEL_CHECK = "`test_keeper_model.py` (seeded)"
REQUESTS = "`test_hosted_requests.py`"
TESTS = {
    "hup": "changed settings, " + REQUESTS,
    "clock_step": "time of day that jumps, " + REQUESTS,
    "node_slow": "slow daemon, `test_silence.py`",
    "platform_lost": "store that loses every answer, " + REQUESTS + "; `corianderhaven-soak`",
    "srv_flap": "flapping endpoint, " + REQUESTS + "; rebirths in " + MODEL_CHECK,
    "srv_lying_health": "none is asked: facts come from answers; failing endpoint, `test_parts.py`",
    "shift": "load of other zones, `test_zone_hubs.py`; choice by zone, `test_parts.py`",
    "add_nodes": "two daemons in " + REQUESTS,
    "after_ack_kill": "successor tests in " + MODEL_CHECK,
    "answer_lost": "lost answer of a non-idempotent request, " + REQUESTS,
    "applied_late": "late orders in " + MODEL_CHECK,
    "burst": "`test_admission.py`",
    "config_change": "removed key and route, " + REQUESTS,
    "config_storm": "`test_store_watcher.py`",
    "core_cut": "keeper cut from the store, " + MODEL_CHECK,
    "garble": "garbled, foreign, extra and unframed answers, " + REQUESTS,
    "give_up": "caller that leaves, " + REQUESTS,
    "hot_key": "`test_admission.py`",
    "node_cut": "keeper cut from engines, " + MODEL_CHECK,
    "node_freeze": "own standstill, `test_silence.py`",
    "node_kill": "successor after a kill, " + MODEL_CHECK,
    "platform_compact": "lost history, `test_store_watcher.py`",
    "platform_down": "outages, `test_store_watcher.py`, " + MODEL_CHECK,
    "release": "leaving worker, " + REQUESTS,
    "revoke": "removed key, " + REQUESTS,
    "roll_term": "drain, " + REQUESTS,
    "scale_in": "leaving member, `test_formation.py`",
    "scale_out": "empty VMs, `test_formation.py`",
    "srv_crash": "lost members, " + MODEL_CHECK,
    "srv_cut": "member cut from the store alone, " + MODEL_CHECK,
    "srv_grey": "repeat elsewhere, " + REQUESTS,
    "big_config": "5,000 routes, `test_parts.py`",
    "herd_kill": "all keepers killed, " + MODEL_CHECK,
    "lossy": "connection not made, " + REQUESTS,
    "platform_slow": "lease with a slow store, " + MODEL_CHECK,
    "replace_core": "replaced daemon, `test_peers.py`",
    "reset_conns": "stream cut in the middle of an event, " + REQUESTS,
    "retry_abuse": "overload, `test_admission.py`",
    "srv_slow": "slow endpoint, " + REQUESTS,
    "zone_cut": "head out of reach, " + MODEL_CHECK + ", `test_peers.py`",
}


def read_entries():
    """Return all journal entries, oldest first."""
    entries = [json.loads(path.read_text()) for path in sorted(JOURNAL.glob("*.json"))]
    return [e for e in entries if e.get("days")]


def score_table(entries, site):
    """Return one row for each score of a site: worth by day."""
    scores = [
        e
        for e in entries
        if e["cmd"] == "score" and e["site"] == site and "--quick" not in e["argv"]
    ]
    if not scores:
        return []
    names = [d["name"] for d in scores[0]["days"] if not d["name"].startswith("fresh")]
    rows = ["| began | score | " + " | ".join(names) + " | rules broken | given up |"]
    rows.append("|" + "---|" * (len(names) + 4))
    for entry in scores:
        worth = {d["name"]: d["G"] for d in entry["days"]}
        broken = sum(bool(d["rules"]) for d in entry["days"])
        faults = sum(bool(d.get("fault")) for d in entry["days"])
        cells = [f"{worth.get(name, float('nan')):.3f}" for name in names]
        score = entry["score"]
        score = score.get(site) if isinstance(score, dict) else score
        shown = f"{score:.3f}" if isinstance(score, float) else str(score)
        row = [entry["at"][0][11:16], shown, *cells, f"{broken} days", f"{faults} days"]
        rows.append("| " + " | ".join(row) + " |")
    return rows


def hunt_rows(entries):
    """Return one row for each hunt."""
    rows = ["| site | began | days | days with a broken rule | which |", "|---|---|---|---|---|"]
    for entry in entries:
        if entry["cmd"] != "hunt":
            continue
        red = [d for d in entry["days"] if d["rules"]]
        which = "; ".join(f"{d['name']} {d['rules']}" for d in red)
        cells = [
            entry["site"],
            entry["at"][0][11:16],
            str(len(entry["days"])),
            str(len(red)),
            which,
        ]
        rows.append("| " + " | ".join(cells) + " |")
    return rows


def kind_rows(entries):
    """Return one row for each kind of trouble that any day held."""
    held, red = defaultdict(int), defaultdict(int)
    for day in (d for e in entries for d in e["days"]):
        for kind in set(day["troubles"]):
            held[kind] += 1
            red[kind] += bool(day["rules"])
    rows = ["| kind | days that held it | of them with a broken rule | test |", "|---|---|---|---|"]
    for kind in sorted(held):
        test = TESTS.get(kind, "**gap**")
        rows.append(f"| `{kind}` | {held[kind]} | {red[kind]} | {test} |")
    return rows


def make_page():
    """Return the page."""
    entries = read_entries()
    lines = ["# Measurements on the users' platform", ""]
    lines += [
        "Made by `docs/make_platform_measurements.py` from `journal/`. Times of day are those of",
        "2026-12-04; a day's worth is one play, and a change under 0.03 is noise. Rows show the",
        "whole way, failed states included. A day that takes too much processor time is given up.",
        "",
    ]
    for site in sorted({e["site"] for e in entries if e["cmd"] == "score"}):
        if table := score_table(entries, site):
            lines += [f"## Scores, {site}", "", *table, ""]
    lines += ["## Hunts", "", *hunt_rows(entries), ""]
    lines += ["## Kinds of trouble, over all plays", "", *kind_rows(entries), ""]
    return "\n".join(lines)


def main():
    """Write the page."""
    TARGET.write_text(make_page(), encoding="utf-8")
    print(f"wrote {TARGET.relative_to(ROOT)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
