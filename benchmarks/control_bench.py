"""Measure control-plane cost by number of daemons and endpoints, and config adoption time."""

import argparse
import json
import signal
import time
from datetime import datetime
from pathlib import Path

from bench_sites import (
    OPERATOR_KEY,
    ZONES,
    EngineLayout,
    LocalSite,
    cpu_ms,
    engine_vms,
    make_document,
    resident_kb,
    save_result,
    service_vms,
    start_site,
)

WINDOW_S = 12.0
WARM_UP_S = 14.0
ENGINE_LAYOUT = EngineLayout(token_ms=50.0, load_ms=50.0, threads=6)
DAEMON_FLAGS = ["--caller-threads=8", "--seed=1"]


def start_control_site(daemons, per_zone):
    """Start and return a site with daemons and endpoints spread over three zones."""
    site = LocalSite(
        dict.fromkeys(ZONES, daemons // 3)
        if daemons > 4
        else {"plateau": 2, "pikine": 1, "rufisque": 1},
        [*engine_vms(per_zone), *service_vms()],
        ENGINE_LAYOUT,
        daemon_flags=DAEMON_FLAGS,
        split=True,
    )
    return start_site(site, make_document(), per_zone // 4 * 3)


def read_counters(site):
    """Return the control counters and CPU time of each daemon."""
    return [
        {
            **site.operator_get(d, "/operators/status", OPERATOR_KEY)["control"],
            "cpu_ms": cpu_ms(d),
        }
        for d in site.daemons
    ]


def control_rates(site):
    """Return the control-plane load without caller traffic.

    Rates and memory are means per daemon; store calls and watches are those of the whole site.
    """
    before, kv_before = read_counters(site), site.counters()["platform"]["kv"]
    started = time.monotonic()
    time.sleep(WINDOW_S)
    after, kv_after = read_counters(site), site.counters()["platform"]["kv"]
    elapsed = time.monotonic() - started
    count = len(site.daemons)

    def rate(*names):
        total = sum(a[n] - b[n] for a, b in zip(after, before, strict=True) for n in names)
        return total / count / elapsed

    kv_calls = {k: round((kv_after[k] - kv_before[k]) / elapsed, 2) for k in ("read", "write")}
    return {
        "cpu_share_of_core": round(rate("cpu_ms") / 1000, 4),
        "peer_messages_per_s": round(rate("peer_messages"), 2),
        "peer_bytes_per_s": round(rate("peer_bytes_sent", "peer_bytes_received")),
        "probes_per_s": round(rate("probes"), 2),
        "probe_bytes_per_s": round(rate("probe_bytes_received")),
        "resident_mb": round(sum(resident_kb(d) for d in site.daemons) / count / 1024, 1),
        "store_calls_per_s": kv_calls,
        "store_watches": kv_after["watches"],
    }


def time_to_adopt(site, base_revision):
    """Apply a change and return the ms until the last daemon has logged its adoption."""
    document = make_document()
    document["accounts"][0]["max_in_flight"] = 500 + base_revision
    started = time.time()
    revision = site.apply(document, OPERATOR_KEY, base_revision)
    site.wait_for(lambda: adoption_time(site, revision) is not None, "adoption by every daemon", 30)
    return round((adoption_time(site, revision) - started) * 1000, 1)


def adoption_time(site, revision):
    """Return when the last daemon adopted a revision, or None if some daemon has not."""
    latest = 0.0
    for daemon in site.daemons:
        adopted = None
        for line in Path(daemon.log_path).read_text().splitlines():
            if "config_adopted" in line and json.loads(line)["revision"] == revision:
                adopted = json.loads(line)["time"]
        if adopted is None:
            return None
        latest = max(latest, _timestamp(adopted))
    return latest


def _timestamp(text):
    return datetime.fromisoformat(text).timestamp()


def measure_scale():
    """Measure control-plane load and adoption time by number of daemons and endpoints."""
    result = {}
    for daemons, per_zone in ((4, 20), (12, 20), (24, 20), (48, 20), (12, 8), (12, 40)):
        site = start_control_site(daemons, per_zone)
        try:
            time.sleep(WARM_UP_S)
            figures = control_rates(site)
            figures["in_force_ms"] = [time_to_adopt(site, n) for n in (1, 2, 3)]
            figures["in_force_zone_without_platform_ms"] = _time_with_zone_cut_off(site)
            figures["in_force_after_paused_zone_ms"] = _time_with_zone_paused(site)
        finally:
            site.close()
        result[f"{daemons} daemons, {per_zone} endpoints a zone"] = figures
        save_result("control_scale", result)


def _time_with_zone_cut_off(site):
    """Measure adoption time while one zone's daemons are cut off from the platform."""
    cut = [d.source_ip for d in site.daemons if d.zone == "rufisque"]
    site.set_fault("platform", "cut", cut)
    time.sleep(1.0)
    try:
        return time_to_adopt(site, 4)
    finally:
        site.set_fault("platform", "cut", [])


def _time_with_zone_paused(site):
    """Apply a change while one zone's daemons are paused; return the ms from resume to adoption."""
    paused = [d for d in site.daemons if d.zone == "rufisque"]
    for daemon in paused:
        daemon.process.send_signal(signal.SIGSTOP)
    document = make_document()
    document["accounts"][0]["max_in_flight"] = 900
    revision = site.apply(document, OPERATOR_KEY, 5)
    time.sleep(8.0)
    resumed = time.time()
    for daemon in paused:
        daemon.process.send_signal(signal.SIGCONT)
    site.wait_for(lambda: adoption_time(site, revision) is not None, "adoption by every daemon", 30)
    return round((adoption_time(site, revision) - resumed) * 1000, 1)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", default=["scale"])
    for chosen in parser.parse_args().names:
        {"scale": measure_scale}[chosen]()
