"""Measure group downtime and stranded accelerators by repair policy under one fault schedule."""

import time

from bench_sites import (
    EngineLayout,
    LocalSite,
    VmLayout,
    make_document,
    save_result,
    service_vms,
    start_site,
)

ZONE = ("plateau",)
DOMAINS = {"f1": 9, "f2": 9, "f3": 8}
RUN_S = 44.0
WEIGHTS = {
    "ndiaye": {"group_downtime": 4.0, "stranded_accelerators": 0.5},
    "divitek": {"group_downtime": 1.0, "stranded_accelerators": 2.0},
}
RUNS = (
    ("always-wait", "ndiaye"),
    ("always-dissolve", "ndiaye"),
    ("greedy", "ndiaye"),
    ("weighed", "ndiaye"),
    ("weighed", "divitek"),
)
# (seconds, target, fault): short and long pauses, deaths with replacement, two replicas of a
# domain without spares that lose a member each, a flapping VM, and an unreachable domain.
FAULT_SCHEDULE = (
    (1.0, "f1-1", "silent"),
    (4.0, "f1-1", "restore"),
    (6.0, "f2-2", "kill"),
    (8.0, "f3-1", "kill"),
    (8.2, "f3-6", "kill"),
    (12.0, "f1-5", "silent"),
    (16.0, "f1-5", "restore"),
    (18.0, "f2-2", "restore"),
    *((20.0 + n, "f1-0", "kill" if n % 2 == 0 else "restore") for n in range(6)),
    (26.0, "f3-1", "restore"),
    (28.0, "f3-6", "restore"),
    (30.0, "domain:f2", "silent"),
    (36.0, "domain:f2", "restore"),
)


def engine_vms_by_domain():
    """Return the engine VMs of each domain; f1 and f2 have one spare each."""
    return [
        VmLayout(
            id=f"{domain}-{number}",
            address="",
            zone="plateau",
            kind="engine",
            label="drafting",
            fabric_domain=domain,
        )
        for domain, count in DOMAINS.items()
        for number in range(count)
    ]


def run(policy, weights):
    """Run the schedule under one policy and return the ground-truth totals."""
    engine = EngineLayout(token_ms=100.0, load_ms=3000.0, threads=8)
    site = LocalSite(
        {"plateau": 2},
        [*engine_vms_by_domain(), *service_vms(ZONE)],
        engine,
        daemon_flags=[f"--repair-policy={policy}", "--seed=1"],
        split=True,
    )
    start_site(site, make_document(repair=WEIGHTS[weights]), 6)
    try:
        site.reset_ground_truth()
        started = time.monotonic()
        for at, target, fault in FAULT_SCHEDULE:
            time.sleep(max(0.0, started + at - time.monotonic()))
            site.set_fault(target, fault)
        time.sleep(max(0.0, started + RUN_S - time.monotonic()))
        counters = site.counters()
    finally:
        site.close()
    sums = [c["truth"] for c in counters.values()]
    totals = {name: sum(s[name] for s in sums) for name in sums[0]}
    totals["weighted_cost"] = round(
        WEIGHTS[weights]["group_downtime"] * totals["downtime_ms"]
        + WEIGHTS[weights]["stranded_accelerators"] * totals["stranded_vm_ms"]
    )
    return totals


def main():
    """Run all policies and save their totals."""
    result = {}
    for policy, weights in RUNS:
        result[f"{policy}, {weights}"] = run(policy, weights)
        if policy != "weighed":
            other = dict(result[f"{policy}, {weights}"])
            other["weighted_cost"] = round(
                WEIGHTS["divitek"]["group_downtime"] * other["downtime_ms"]
                + WEIGHTS["divitek"]["stranded_accelerators"] * other["stranded_vm_ms"]
            )
            result[f"{policy}, divitek (same run)"] = other
        save_result("placement_policies", result)


if __name__ == "__main__":
    main()
