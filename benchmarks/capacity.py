"""Fit the control-plane costs and rewrite docs/CAPACITY.md; ``--keep`` uses saved results."""

import argparse
import json
import socket
import subprocess
import sys
import threading
from pathlib import Path

import numpy

from corianderhaven.common import HttpServer, Router, json_response
from corianderhaven.membership import PeerTransport

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "benchmarks" / "results"
# Size and load expected in two years, and the budgets of one daemon.
DAEMONS, WORKERS, ZONES, MEMBERS = 360, 600, 11, 8
TOKENS_PER_S, REQUESTS_PER_S, CHANGES_PER_DAY = 2_200_000, 5_100, 570
FAILURES_PER_DAY, REPLACEMENTS_PER_DAY = 19, 350
BUDGET_CORES, BUDGET_MB, BUDGET_BYTES_PER_S = 0.042, 32.0, 3_000
LIBRARIES = "cheroot.wsgi, urllib3, loguru, prometheus_client, msgspec, defopt, jinja2"
PROBERS, PROBE_PERIOD_S, ZONES_MEASURED = 2, 1.0, 3


def run_benchmarks():
    """Run the benchmarks that the page is computed from."""
    for script, names in (
        ("control_bench.py", []),
        ("requests_bench.py", ["throughput", "operations"]),
    ):
        command = [sys.executable, str(ROOT / "benchmarks" / script), *names]
        subprocess.run(command, check=True, cwd=ROOT / "benchmarks")


def load_result(name):
    """Return a saved benchmark result."""
    return json.loads((RESULTS / f"{name}.json").read_text())


def library_baseline_mb():
    """Return the resident memory in MB of an interpreter with only third-party libraries."""
    code = (
        f"import {LIBRARIES}\n"
        "print(next(l for l in open('/proc/self/status') if l.startswith('VmRSS')).split()[1])"
    )
    answer = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True)
    return int(answer.stdout) / 1024


def header_bytes():
    """Return the header bytes of one exchange between daemons, request plus response."""
    request_bytes = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        thread = threading.Thread(target=_record_request, args=(listener, request_bytes))
        thread.start()
        PeerTransport("a-secret-of-the-site").call(address, "POST", "/peer/heartbeat", {})
        thread.join()
    return request_bytes[0] + _answer_header_bytes()


def _record_request(listener, sizes):
    connection, _ = listener.accept()
    with connection:
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65_536)
        sizes.append(received.index(b"\r\n\r\n") + 4)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")


def _answer_header_bytes():
    router = Router()
    router.add("GET", "/", lambda request: json_response({}))
    server = HttpServer("127.0.0.1:0", router, 2).start()
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65_536)
    server.close()
    return received.index(b"\r\n\r\n") + 4


def control_rows():
    """Return (daemons per zone, engine and service endpoints per zone, figures) per measurement."""
    rows = []
    for name, figures in load_result("control_scale").items():
        daemons, endpoints = (int(part.split()[0]) for part in name.split(", "))
        rows.append((daemons / ZONES_MEASURED, endpoints + 1, figures))
    return rows


def least_squares(columns, values):
    """Return the least-squares coefficients of the input columns, clipped at zero."""
    matrix = numpy.array(columns, dtype=float).T
    solution, *_ = numpy.linalg.lstsq(matrix, numpy.array(values, dtype=float), rcond=None)
    return [max(0.0, float(value)) for value in solution]


def fit_coefficients():
    """Return cost coefficients fitted to the control measurements."""
    measured = control_rows()
    ones = [1.0] * len(measured)
    daemons = [d for d, _, _ in measured]
    figures = [row for _, _, row in measured]
    probes = [row["probes_per_s"] for row in figures]
    messages = [row["peer_messages_per_s"] for row in figures]
    in_force = [max(row["in_force_ms"]) for row in figures]
    cpu = least_squares([ones, probes, messages], [row["cpu_share_of_core"] for row in figures])
    peer = least_squares([ones, daemons], [row["peer_bytes_per_s"] for row in figures])
    memory = least_squares([ones, daemons], [row["resident_mb"] for row in figures])
    spread = least_squares([ones, [d * ZONES_MEASURED for d in daemons]], in_force)
    probe_bytes = sum(row["probe_bytes_per_s"] for row in figures) / max(1.0, sum(probes))
    return {
        "cpu": cpu,
        "peer": peer,
        "memory": memory,
        "spread": spread,
        "probe_bytes": probe_bytes,
        "messages": sum(messages[-3:]) / 3,
        "store_reads_zone": max(row["store_calls_per_s"]["read"] for row in figures)
        / ZONES_MEASURED,
        "store_writes_zone": max(row["store_calls_per_s"]["write"] for row in figures)
        / ZONES_MEASURED,
    }


def extrapolate(coefficients):
    """Return the figures extrapolated to the size expected in two years."""
    daemons, workers = DAEMONS / ZONES, WORKERS / ZONES
    probes = PROBERS * workers / daemons / PROBE_PERIOD_S
    cpu = coefficients["cpu"]
    member_factor = MEMBERS / 4  # the measured replicas have four members
    return {
        "daemons": daemons,
        "workers": workers,
        "probes": probes,
        "probe_bytes": probes * coefficients["probe_bytes"] * member_factor,
        "peer_bytes": coefficients["peer"][0] + coefficients["peer"][1] * min(daemons, 16.0),
        "cpu": cpu[0] + cpu[1] * probes + cpu[2] * coefficients["messages"],
        "memory": coefficients["memory"][0] + coefficients["memory"][1] * daemons,
        "in_force_ms": coefficients["spread"][0] + coefficients["spread"][1] * DAEMONS,
        "tokens": TOKENS_PER_S / DAEMONS,
        "reads": coefficients["store_reads_zone"] * ZONES,
        "writes": coefficients["store_writes_zone"] * ZONES,
    }


def measured_table():
    """Return the control measurements as a Markdown table."""
    lines = [
        "| daemons | endpoints a zone | core | peer B/s | probe B/s | probes/s | MB | "
        "store reads/s | store writes/s | in force ms (3 changes) | zone off the platform | "
        "zone paused, after waking |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for daemons, endpoints, row in sorted(control_rows(), key=lambda entry: entry[:2]):
        calls = row["store_calls_per_s"]
        lines.append(
            f"| {round(daemons * ZONES_MEASURED)} | {endpoints} | {row['cpu_share_of_core']} | "
            f"{row['peer_bytes_per_s']} | {row['probe_bytes_per_s']} | {row['probes_per_s']} | "
            f"{row['resident_mb']} | {calls['read']} | {calls['write']} | "
            f"{', '.join(map(str, row['in_force_ms']))} | "
            f"{row['in_force_zone_without_platform_ms']} | {row['in_force_after_paused_zone_ms']} |"
        )
    return "\n".join(lines)


def verdict(value, budget):
    """Return a phrase that says whether `value` is within `budget`."""
    return "within" if value <= budget else f"**over by {value / budget:.1f} times**"


def render_page():
    """Return the text of the capacity page."""
    coefficients = fit_coefficients()
    target = extrapolate(coefficients)
    through_daemon = load_result("requests_throughput")["through_daemon"]
    operations = load_result("requests_operations")
    core_per_token = through_daemon["daemon_cores"] / through_daemon["tokens_per_s"]
    writes_per_operation = operations["store_calls"]["write"] / operations["operations"]
    overhead = header_bytes()
    headers = overhead * (target["probes"] + coefficients["messages"])
    control_bytes = target["probe_bytes"] + target["peer_bytes"] + headers
    baseline_mb = library_baseline_mb()
    control_mb = max(0.0, target["memory"] - baseline_mb)
    template = (ROOT / "docs" / "CAPACITY.template.md").read_text()
    values = {
        "measured": measured_table(),
        "daemons": f"{target['daemons']:.1f}",
        "workers": f"{target['workers']:.1f}",
        "probes": f"{target['probes']:.1f}",
        "probe_bytes": f"{target['probe_bytes']:.0f}",
        "probe_size": f"{coefficients['probe_bytes']:.0f}",
        "peer_bytes": f"{target['peer_bytes']:.0f}",
        "peer_base": f"{coefficients['peer'][0]:.0f}",
        "peer_slope": f"{coefficients['peer'][1]:.0f}",
        "header_size": f"{overhead}",
        "header_bytes": f"{headers:.0f}",
        "messages": f"{coefficients['messages']:.1f}",
        "control_bytes": f"{control_bytes:.0f}",
        "bytes_verdict": verdict(control_bytes, BUDGET_BYTES_PER_S),
        "cpu": f"{target['cpu'] * 100:.2f}",
        "cpu_base": f"{coefficients['cpu'][0] * 100:.2f}",
        "cpu_probe": f"{coefficients['cpu'][1] * 1000:.2f}",
        "cpu_message": f"{coefficients['cpu'][2] * 1000:.2f}",
        "cpu_verdict": verdict(target["cpu"], BUDGET_CORES),
        "memory": f"{target['memory']:.1f}",
        "baseline_mb": f"{baseline_mb:.1f}",
        "control_mb": f"{control_mb:.1f}",
        "memory_verdict": verdict(control_mb, BUDGET_MB),
        "in_force": f"{target['in_force_ms']:.0f}",
        "tokens": f"{target['tokens']:.0f}",
        "relay_cores": f"{target['tokens'] * core_per_token:.2f}",
        "relay_ms": f"{core_per_token * 1000:.3f}",
        "relay_rate": f"{through_daemon['tokens_per_s']:.0f}",
        "requests": f"{REQUESTS_PER_S / DAEMONS:.1f}",
        "reads": f"{target['reads']:.1f}",
        "writes": f"{target['writes']:.1f}",
        "writes_operation": f"{writes_per_operation:.2f}",
        "changes": f"{CHANGES_PER_DAY}",
        "replicas": f"{WORKERS / MEMBERS / ZONES:.1f}",
        "events": f"{FAILURES_PER_DAY + REPLACEMENTS_PER_DAY}",
        "intent_bytes": f"{WORKERS / ZONES * 70:.0f}",
    }
    for name, value in values.items():
        template = template.replace("{{" + name + "}}", value)
    return template


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--keep", action="store_true", help="use saved results instead of running the benchmarks"
    )
    if not parser.parse_args().keep:
        run_benchmarks()
    (ROOT / "docs" / "CAPACITY.md").write_text(render_page())
