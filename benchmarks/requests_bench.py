"""Request benchmarks, each compared with a baseline in the same run and on the same seed."""

import argparse
import statistics
import threading
import time

from bench_sites import (
    DAEMONS_TODAY,
    KEYS,
    EngineLayout,
    LocalSite,
    cpu_ms,
    engine_vms,
    make_document,
    save_result,
    service_vms,
    start_site,
)

from corianderhaven.cli import (
    Expectation,
    LoadTest,
    PlannedDraft,
    PlannedFault,
    Workload,
    generate_trace,
)
from corianderhaven.cli._load_caller import DraftCaller

SEED = 20261203
REPLICAS = 15


def summary(report, key="all"):
    """Return the figures of one account from a load report."""
    account = report.accounts[key]
    return {
        "drafts": account.drafts,
        "outcomes": account.outcomes,
        "first_token_p50_ms": account.first_token_ms.p50,
        "first_token_p95_ms": account.first_token_ms.p95,
        "first_token_p99_ms": account.first_token_ms.p99,
        "gap_p50_ms": account.gap_ms.p50,
        "gap_p95_ms": account.gap_ms.p95,
        "gap_p99_ms": account.gap_ms.p99,
        "tokens_per_s": report.tokens_per_s,
    }


def run_trace(flags, trace, engine, document, prepare=lambda site: None, zones=None, per_zone=20):
    """Run a trace on a new site and return the load report and the counters."""
    site = LocalSite(
        dict(zones or DAEMONS_TODAY),
        [*engine_vms(per_zone), *service_vms()],
        engine,
        daemon_flags=["--seed=1", "--log-level=INFO", *flags],
        split=True,
    )
    start_site(site, document, per_zone * 3 // document["deployments"][0]["members_per_replica"])
    try:
        prepare(site)
        callers = [d.callers for d in site.daemons]
        report = LoadTest(callers, list(site.control_addresses.values()), trace).run()
        return report, site.counters()
    finally:
        site.close()


def stragglers():
    """Compare choosers when 2 of 15 replicas straggle and load reports are 2 s late."""
    engine = EngineLayout(token_ms=20.0, load_ms=300.0, load_report_lag_ms=2000.0, max_batch=16)
    workload = Workload(
        seed=SEED,
        rate_per_s=22.0,
        duration_s=25.0,
        keys=KEYS,
        daemons=4,
        tokens=90,
        prefixes=12,
    )

    def slow_two(site):
        site.set_fault("d-plateau-1", "straggle", 4.0)
        site.set_fault("d-pikine-1", "straggle", 4.0)
        time.sleep(2.5)

    result = {}
    for chooser in ("random", "no-affinity", "least-wait"):
        trace = generate_trace(workload)
        report, _ = run_trace([f"--chooser={chooser}"], trace, engine, make_document(), slow_two)
        result[chooser] = summary(report)
    save_result("requests_stragglers", result)


def member_deaths():
    """Compare drafts with and without resume; a member dies every 10 s and returns 5 s later."""
    engine = EngineLayout(token_ms=25.0, load_ms=800.0)
    workload = Workload(
        seed=SEED, rate_per_s=12.0, duration_s=40.0, keys=KEYS, daemons=4, tokens=120
    )
    victims = ["d-plateau-0", "d-pikine-5", "d-rufisque-10", "d-plateau-7"]
    faults = [
        fault
        for number, vm in enumerate(victims)
        for fault in (
            PlannedFault(3_000.0 + 10_000.0 * number, vm, "kill"),
            PlannedFault(8_000.0 + 10_000.0 * number, vm, "restore"),
        )
    ]
    result = {}
    for name, flags in (("no_resume", ["--no-resume"]), ("resume", [])):
        trace = generate_trace(workload, Expectation(), faults)
        report, counters = run_trace(flags, trace, engine, make_document())
        result[name] = summary(report)
        result[name]["drafts_on_incomplete"] = sum(
            c["drafts_on_incomplete"] for c in counters.values()
        )
        result[name]["share_complete"] = round(
            report.accounts["all"].outcomes.get("complete", 0) / report.accounts["all"].drafts, 5
        )
    save_result("requests_member_deaths", result)


def operations():
    """Send 2,000 operations with repeats through all daemons, amid outages and lost answers."""
    engine = EngineLayout(token_ms=25.0, load_ms=100.0)
    workload = Workload(
        seed=SEED,
        rate_per_s=60.0,
        duration_s=36.0,
        keys=KEYS,
        daemons=4,
        operation_share=1.0,
        repeat_share=0.5,
    )
    faults = [
        PlannedFault(3_000.0, "platform", "lose_answers", 0.3),
        PlannedFault(10_000.0, "platform", "down", True),
        PlannedFault(13_000.0, "platform", "down", False),
        PlannedFault(18_000.0, "platform", "lose_answers", 0.0),
        PlannedFault(20_000.0, "t-plateau", "kill"),
        PlannedFault(23_000.0, "t-plateau", "restore"),
        PlannedFault(24_000.0, "platform", "delay_ms", 300.0),
        PlannedFault(28_000.0, "platform", "delay_ms", 0.0),
        PlannedFault(29_000.0, "t-pikine", "operation", "drop_after"),
        PlannedFault(31_000.0, "t-pikine", "operation", "none"),
    ]
    trace = generate_trace(workload, Expectation(), faults)
    report, counters = run_trace([], trace, engine, make_document(), per_zone=4)
    operations_report = report.operations
    result = {
        name: getattr(operations_report, name)
        for name in (
            "requests",
            "operations",
            "served_once",
            "doubled",
            "lost",
            "untrue",
            "refused",
            "undecided",
        )
    }
    result["store_calls"] = counters["platform"]["kv"]
    result["misses"] = report.misses
    save_result("requests_operations", result)


def fairness():
    """Compare fairness on and off: one account at five times the capacity beside two small ones."""
    engine = EngineLayout(token_ms=20.0, load_ms=100.0, max_batch=8)
    document = make_document()
    document["deployments"][0]["limits"] = {
        "in_flight_per_replica": 8,
        "queue_length": 48,
        "queue_deadline_ms": 3000,
    }
    capacity_per_s = 3 * 8 / (50 * 0.020)
    keys = {
        "day-team-a-1.example": 5 * capacity_per_s,
        "day-team-b-1.example": 0.1 * capacity_per_s,
        "office-1.example": 0.1 * capacity_per_s,
    }
    workload = Workload(
        seed=SEED,
        rate_per_s=sum(keys.values()),
        duration_s=12.0,
        keys=keys,
        daemons=4,
        tokens=50,
    )
    result = {}
    for name, flags in (("no_fairness", ["--no-fairness"]), ("fairness", [])):
        report, _ = run_trace(flags, generate_trace(workload), engine, document, per_zone=4)
        result[name] = {
            account: summary(report, account)
            for account in ("day-team-a-1", "day-team-b-1", "office-1")
        }
    save_result("requests_fairness", result)


def throughput():
    """Compare 200 streams through one daemon with the same streams sent directly to engines."""
    engine = EngineLayout(token_ms=37.0, load_ms=100.0, max_batch=80, threads=100)
    document = make_document(limits={"in_flight_per_replica": 80, "queue_length": 256})
    zone = ("plateau",)
    site = LocalSite(
        {"plateau": 1},
        [*engine_vms(12, zone, domains=3), *service_vms(zone)],
        engine,
        daemon_flags=["--seed=1", "--caller-threads=300"],
        split=True,
    )
    start_site(site, document, 3)
    try:
        through_daemon = _run_streams(site, [site.daemons[0].callers], site.daemons[0])
        heads = _head_addresses(site)
        direct = _run_streams(site, heads, None)
    finally:
        site.close()
    through_daemon["gap_p95_added_ms"] = round(
        through_daemon["gap_p95_ms"] - direct["gap_p95_ms"], 2
    )
    through_daemon["gap_p50_added_ms"] = round(
        through_daemon["gap_p50_ms"] - direct["gap_p50_ms"], 2
    )
    save_result("requests_throughput", {"through_daemon": through_daemon, "direct": direct})


def _head_addresses(site):
    """Return the addresses of the replicas' heads."""
    addresses = {e.id: e.address for e in site.endpoints}
    heads = []
    for daemon in site.daemons:
        answer = site.operator_get(daemon, "/operators/replicas", "operator-1.example")
        heads += [addresses[next(iter(r["members"]))] for r in answer["replicas"]]
    return sorted(set(heads))


def _run_streams(site, addresses, daemon, streams=200, tokens=300):
    """Run concurrent streams and return token rates and gaps."""
    results = []
    now = time.monotonic()
    callers = [
        DraftCaller(
            addresses,
            PlannedDraft(0.0, "day-team-a-1.example", f"stream {n}", tokens, n),
            now,
        )
        for n in range(streams)
    ]
    threads = [
        threading.Thread(target=lambda c=caller: results.append(c.run()), daemon=True)
        for caller in callers
    ]
    cpu_before = cpu_ms(daemon) if daemon else 0
    started = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(120)
    elapsed = time.monotonic() - started
    gaps = sorted(gap for r in results for gap in r.gaps_ms)
    outcomes = statistics.multimode(r.outcome for r in results)
    return {
        "streams": streams,
        "complete": sum(r.outcome == "complete" for r in results),
        "most_common_outcome": outcomes[0],
        "tokens_per_s": round(sum(r.tokens for r in results) / elapsed, 1),
        "gap_p50_ms": round(gaps[len(gaps) // 2], 2),
        "gap_p95_ms": round(gaps[int(len(gaps) * 0.95)], 2),
        "daemon_cores": round((cpu_ms(daemon) - cpu_before) / 1000 / elapsed, 3) if daemon else 0,
    }


EXPERIMENTS = {
    "stragglers": stragglers,
    "member-deaths": member_deaths,
    "operations": operations,
    "fairness": fairness,
    "throughput": throughput,
}

if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", choices=[*EXPERIMENTS, []], default=[])
    for name in parser.parse_args().names or EXPERIMENTS:
        EXPERIMENTS[name]()
