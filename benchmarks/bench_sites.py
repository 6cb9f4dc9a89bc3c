"""Sites for the benchmarks, at the users' current sizes."""

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


def engine_vms(per_zone, zones=ZONES, domains=1):
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


def service_vms(zones=ZONES):
    """Return one plain service endpoint in each zone."""
    return [
        VmLayout(id=f"t-{zone}", address="", zone=zone, kind="service", label="tablet")
        for zone in zones
    ]


def make_document(**deployment):
    """Return the Ndiaye sample document with some deployment fields replaced."""
    document = json.loads((EXAMPLES / "ndiaye.json").read_text())
    document["deployments"][0].update(deployment)
    for account in document["accounts"]:
        account["priority"] = 5
        account["max_in_flight"] = 1000
    return document


def start_site(site, document, replicas):
    """Start a site, apply a document and wait for `replicas` whole replicas."""
    site.start()
    try:
        site.apply(document)
        site.wait_ready()
        site.wait_for(
            lambda: count_whole_replicas(site) >= replicas, f"{replicas} whole replicas", 60
        )
    except BaseException:
        site.close()
        raise
    time.sleep(1.0)
    return site


def count_whole_replicas(site):
    """Return the number of distinct whole replicas seen by the daemons."""
    seen = set()
    for daemon in site.daemons:
        answer = site.operator_get(daemon, "/operators/replicas", OPERATOR_KEY)
        seen |= {r["replica"] for r in answer["replicas"] if r["whole"]}
    return len(seen)


def cpu_ms(daemon):
    """Return the CPU time of a daemon process in ms."""
    fields = Path(f"/proc/{daemon.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 10


def resident_kb(daemon):
    """Return the resident memory of a daemon process in KB."""
    for line in Path(f"/proc/{daemon.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def save_result(name, result):
    """Write a result to the results folder and print it."""
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
    "make_document",
    "engine_vms",
    "resident_kb",
    "save_result",
    "service_vms",
    "start_site",
    "count_whole_replicas",
]
