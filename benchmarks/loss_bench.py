"""Measure the times from a member loss to the last new draft there and to a whole replica."""

import json
import statistics
import threading
import time
from datetime import datetime
from pathlib import Path

from bench_sites import (
    KEYS,
    OPERATOR_KEY,
    EngineLayout,
    LocalSite,
    engine_vms,
    make_document,
    save_result,
    service_vms,
    start_site,
)

from corianderhaven.cli import LoadTest, Workload, generate_trace

ZONE = ("plateau",)
LOSSES = 6
PERIOD_S = 7.0
FAULTS = {"kill": "a member is killed", "silent": "a member goes silent"}


def members_by_replica(site):
    """Return the generation and members of each whole replica that the daemons see."""
    found = {}
    for daemon in site.daemons:
        answer = site.operator_get(daemon, "/operators/replicas", OPERATOR_KEY)["replicas"]
        found.update(
            {r["replica"]: (r["generation"], list(r["members"])) for r in answer if r["whole"]}
        )
    return found


def inject_losses(site, fault):
    """Lose members one by one; return (replica key, wall time, ms to whole) for each loss."""
    losses = []
    for number in range(LOSSES):
        replicas = members_by_replica(site)
        name = sorted(replicas)[number % len(replicas)]
        generation, members = replicas[name]
        started = time.time()
        site.set_fault(members[1], fault)
        site.wait_for(
            lambda name=name, old=generation: members_by_replica(site).get(name, (old,))[0] != old,
            f"{name} to be whole again",
            30,
        )
        losses.append((f"{name}~{generation}", started, (time.time() - started) * 1000))
        site.set_fault(members[1], "restore")
        time.sleep(max(0.0, started + PERIOD_S - time.time()))
    return losses


def time_to_last_choice(site, key, since):
    """Return the ms from a loss to the last draft sent to that generation of the replica."""
    latest = since
    for daemon in site.daemons:
        for line in Path(daemon.log_path).read_text().splitlines():
            if '"replica_chosen"' not in line or key not in line:
                continue
            entry = json.loads(line)
            if entry.get("target") == key:
                latest = max(latest, datetime.fromisoformat(entry["time"]).timestamp())
    return (latest - since) * 1000


def run(fault):
    """Run drafts while members are lost; return recovery times and draft outcomes."""
    site = LocalSite(
        {"plateau": 2},
        [*engine_vms(9, ZONE), *service_vms(ZONE)],
        EngineLayout(token_ms=20.0, load_ms=1000.0),
        daemon_flags=["--seed=1"],
        split=True,
    )
    start_site(site, make_document(), 2)
    try:
        workload = Workload(
            seed=7,
            rate_per_s=15.0,
            duration_s=LOSSES * PERIOD_S + 2,
            keys=KEYS,
            daemons=2,
            tokens=40,
        )
        load_test = LoadTest([d.callers for d in site.daemons], [], generate_trace(workload))
        reports = []
        thread = threading.Thread(target=lambda: reports.append(load_test.run()))
        thread.start()
        time.sleep(2.0)
        losses = inject_losses(site, fault)
        thread.join()
        last_choices = [time_to_last_choice(site, key, since) for key, since, _ in losses]
        counters = site.counters()
    finally:
        site.close()
    whole_again = [whole_ms for _, _, whole_ms in losses]
    return {
        "losses": len(losses),
        "no_new_draft_ms_median": round(statistics.median(last_choices)),
        "no_new_draft_ms_worst": round(max(last_choices)),
        "whole_again_ms_median": round(statistics.median(whole_again)),
        "whole_again_ms_worst": round(max(whole_again)),
        "drafts": reports[0].accounts["all"].drafts,
        "complete": reports[0].accounts["all"].outcomes.get("complete", 0),
        "drafts_on_incomplete": sum(c["drafts_on_incomplete"] for c in counters.values()),
    }


if __name__ == "__main__":
    save_result("loss_times", {text: run(fault) for fault, text in FAULTS.items()})
