"""Sites of the benchmarks: the users' sizes of today."""

import json
import sys
import time
from pathlib import Path

from corianderhaven.standins import EngineLayout, LocalSite, VmLayout

EXAMPLES = Path(__file__).parent.parent / "examples"
RESULTS = Path(__file__).parent / "results"
ZONES = ("plateau", "pikine", "rufisque")
DAEMONS_TODAY = {"plateau": 2, "pikine": 1, "rufisque": 1}
OPERATOR_KEY = "operator-1.example"
KEYS = {"day-team-a-1.example": 1.0, "day-team-b-1.example": 1.0, "office-1.example": 1.0}


def engines(per_zone, zones=ZONES, domains=1):
    """Return engine VMs, spread over `domains` fabric domains in each zone."""
    return [
        VmLayout(
            id=f"d-{zone}-{number}",
            address="",
            zone=zone,
            kind="engine",
            label="drafting",
            fabric_domain=f"{zone}-f{number % domains}",
        )
        for zone in zones
        for number in range(per_zone)
    ]


def services(zones=ZONES):
    """Return one plain service endpoint in each zone."""
    return [
        VmLayout(id=f"t-{zone}", address="", zone=zone, kind="service", label="tablet")
        for zone in zones
    ]


def document(**deployment):
    """Return the Ndiaye document with fields of its deployment changed."""
    raw = json.loads((EXAMPLES / "ndiaye.json").read_text())
    raw["deployments"][0].update(deployment)
    for account in raw["accounts"]:
        account["priority"] = 5
        account["max_in_flight"] = 1000
    return raw


def start(site, raw, replicas):
    """Start a site, put a document in force and wait for its whole replicas."""
    site.start()
    try:
        site.apply(raw)
        site.wait_ready()
        site.wait_for(lambda: whole(site) >= replicas, f"{replicas} whole replicas", 60)
    except BaseException:
        site.close()
        raise
    time.sleep(1.0)
    return site


def whole(site):
    """Return the number of whole replicas that any daemon sees."""
    seen = set()
    for daemon in site.daemons:
        answer = site.operator_get(daemon, "/operators/replicas", OPERATOR_KEY)
        seen |= {r["replica"] for r in answer["replicas"] if r["whole"]}
    return len(seen)


def cpu_ms(daemon):
    """Return the processor time of a daemon process in ms."""
    fields = Path(f"/proc/{daemon.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 10


def resident_kb(daemon):
    """Return the resident memory of a daemon process."""
    for line in Path(f"/proc/{daemon.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def save(name, result):
    """Write a result beside the benchmarks and print it."""
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps(result, indent=2, sort_keys=True)
    (RESULTS / f"{name}.json").write_text(text + "\n")
    print(name)
    print(text)
    sys.stdout.flush()


__all__ = [
    "DAEMONS_TODAY",
    "KEYS",
    "OPERATOR_KEY",
    "ZONES",
    "EngineLayout",
    "LocalSite",
    "cpu_ms",
    "document",
    "engines",
    "resident_kb",
    "save",
    "services",
    "start",
    "whole",
]
