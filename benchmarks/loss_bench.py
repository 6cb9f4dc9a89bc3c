"""Times from the loss of a member to no new draft there, and to whole again."""

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
    document,
    engines,
    save,
    services,
    start,
)

from corianderhaven.cli import LoadTest, Workload, generate_trace

ZONE = ("plateau",)
LOSSES = 6
PERIOD_S = 7.0
FAULTS = {"kill": "a member is killed", "silent": "a member goes silent"}


def members_by_replica(site):
    """Return the members of whole replicas as the daemons see them."""
    found = {}
    for daemon in site.daemons:
        answer = site.operator_get(daemon, "/operators/replicas", OPERATOR_KEY)["replicas"]
        found.update(
            {r["replica"]: (r["generation"], list(r["members"])) for r in answer if r["whole"]}
        )
    return found


def lose_members(site, fault):
    """Lose a member several times; returns (replica key, wall time, ms to whole) of each."""
    losses = []
    for number in range(LOSSES):
        replicas = members_by_replica(site)
        name = sorted(replicas)[number % len(replicas)]
        generation, members = replicas[name]
        started = time.time()
        site.set_fault(members[1], fault)
        site.wait_for(
            lambda name=name, old=generation: members_by_replica(site).get(name, (old,))[0] != old,
            f"{name} whole again",
            30,
        )
        losses.append((f"{name}~{generation}", started, (time.time() - started) * 1000))
        site.set_fault(members[1], "restore")
        time.sleep(max(0.0, started + PERIOD_S - time.time()))
    return losses


def last_choice_ms(site, key, since):
    """Return the ms from a loss to the last draft sent to that formation of the replica."""
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
    """Run drafts while members are lost; returns the times and the drafts' outcomes."""
    site = LocalSite(
        {"plateau": 2},
        [*engines(9, ZONE), *services(ZONE)],
        EngineLayout(token_ms=20.0, load_ms=1000.0),
        daemon_flags=["--seed=1"],
        split=True,
    )
    start(site, document(), 2)
    try:
        mix = Workload(
            seed=7,
            rate_per_s=15.0,
            duration_s=LOSSES * PERIOD_S + 2,
            keys=KEYS,
            daemons=2,
            tokens=40,
        )
        experiment = LoadTest([d.callers for d in site.daemons], [], generate_trace(mix))
        reports = []
        thread = threading.Thread(target=lambda: reports.append(experiment.run()))
        thread.start()
        time.sleep(2.0)
        losses = lose_members(site, fault)
        thread.join()
        no_new = [last_choice_ms(site, key, since) for key, since, _ in losses]
        counters = site.counters()
    finally:
        site.close()
    whole = [took for _, _, took in losses]
    return {
        "losses": len(losses),
        "no_new_draft_ms_median": round(statistics.median(no_new)),
        "no_new_draft_ms_worst": round(max(no_new)),
        "whole_again_ms_median": round(statistics.median(whole)),
        "whole_again_ms_worst": round(max(whole)),
        "drafts": reports[0].accounts["all"].drafts,
        "complete": reports[0].accounts["all"].outcomes.get("complete", 0),
        "drafts_on_incomplete": sum(c["drafts_on_incomplete"] for c in counters.values()),
    }


if __name__ == "__main__":
    save("loss_times", {text: run(fault) for fault, text in FAULTS.items()})
