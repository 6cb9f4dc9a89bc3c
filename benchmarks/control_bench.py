"""Figures of the control plane: slopes by daemons and endpoints, and changes in force."""

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
    document,
    engines,
    resident_kb,
    save,
    services,
    start,
)

WINDOW_S = 12.0
WARM_UP_S = 14.0
ENGINE = EngineLayout(token_ms=50.0, load_ms=50.0, threads=6)
FLAGS = ["--caller-threads=8", "--seed=1"]


def make_site(daemons, per_zone):
    """Return a started site with daemons and endpoints spread over three zones."""
    site = LocalSite(
        dict.fromkeys(ZONES, daemons // 3)
        if daemons > 4
        else {"plateau": 2, "pikine": 1, "rufisque": 1},
        [*engines(per_zone), *services()],
        ENGINE,
        daemon_flags=FLAGS,
        split=True,
    )
    return start(site, document(), per_zone // 4 * 3)


def sample(site):
    """Return one daemon's counters and processor time each."""
    return [
        {
            **site.operator_get(d, "/operators/status", OPERATOR_KEY)["control"],
            "cpu_ms": cpu_ms(d),
        }
        for d in site.daemons
    ]


def control_rates(site):
    """Return the mean control work per daemon and second while no caller asks for anything."""
    before, kv_before = sample(site), site.counters()["platform"]["kv"]
    started = time.monotonic()
    time.sleep(WINDOW_S)
    after, kv_after = sample(site), site.counters()["platform"]["kv"]
    took = time.monotonic() - started
    count = len(site.daemons)

    def rate(*names):
        total = sum(a[n] - b[n] for a, b in zip(after, before, strict=True) for n in names)
        return total / count / took

    kv_calls = {k: round((kv_after[k] - kv_before[k]) / took, 2) for k in ("read", "write")}
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


def time_in_force(site, base_revision):
    """Apply a change and return the ms until the last daemon has adopted it, by their logs."""
    raw = document()
    raw["accounts"][0]["max_in_flight"] = 500 + base_revision
    started = time.time()
    revision = site.apply(raw, OPERATOR_KEY, base_revision)
    site.wait_for(lambda: adopted(site, revision) is not None, "in force everywhere", 30)
    return round((adopted(site, revision) - started) * 1000, 1)


def adopted(site, revision):
    """Return the latest wall-clock time of adoption, or None while a daemon lacks it."""
    latest = 0.0
    for daemon in site.daemons:
        found = None
        for line in Path(daemon.log_path).read_text().splitlines():
            if "config_adopted" in line and json.loads(line)["revision"] == revision:
                found = json.loads(line)["time"]
        if found is None:
            return None
        latest = max(latest, _seconds(found))
    return latest


def _seconds(text):
    return datetime.fromisoformat(text).timestamp()


def scale():
    """Measure control work and changes in force at 4, 12, 24 and 48 daemons."""
    result = {}
    for daemons, per_zone in ((4, 20), (12, 20), (24, 20), (48, 20), (12, 8), (12, 40)):
        site = make_site(daemons, per_zone)
        try:
            time.sleep(WARM_UP_S)
            figures = control_rates(site)
            figures["in_force_ms"] = [time_in_force(site, n) for n in (1, 2, 3)]
            figures["in_force_zone_without_platform_ms"] = _cut_zone(site)
            figures["in_force_after_paused_zone_ms"] = _paused_zone(site)
        finally:
            site.close()
        result[f"{daemons} daemons, {per_zone} endpoints a zone"] = figures
        save("control_scale", result)


def _cut_zone(site):
    """Cut one zone's daemons off the platform and measure a change."""
    cut = [d.source_ip for d in site.daemons if d.zone == "rufisque"]
    site.set_fault("platform", "cut", cut)
    time.sleep(1.0)
    try:
        return time_in_force(site, 4)
    finally:
        site.set_fault("platform", "cut", [])


def _paused_zone(site):
    """Pause one zone's daemons during a change; returns the ms from waking to in force."""
    paused = [d for d in site.daemons if d.zone == "rufisque"]
    for daemon in paused:
        daemon.process.send_signal(signal.SIGSTOP)
    raw = document()
    raw["accounts"][0]["max_in_flight"] = 900
    revision = site.apply(raw, OPERATOR_KEY, 5)
    time.sleep(8.0)
    woken = time.time()
    for daemon in paused:
        daemon.process.send_signal(signal.SIGCONT)
    site.wait_for(lambda: adopted(site, revision) is not None, "in force everywhere", 30)
    return round((adopted(site, revision) - woken) * 1000, 1)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", default=["scale"])
    for chosen in parser.parse_args().names:
        {"scale": scale}[chosen]()
