"""A complete site on one machine: stand-ins and daemons as separate processes."""

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from corianderhaven.common import JsonClient, TransportError

from ._layout import EngineLayout, Layout, PlatformLayout, VmLayout

SECRET = "an-example-secret-for-local-sites"
BOOTSTRAP_KEY = "bootstrap.local"
START_TIMEOUT_S = 20.0
POLL_S = 0.05
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000
PLATFORM_GROUP = "platform"


# Nothing listens on this loopback address. Binding a port on it reserves the port among all
# processes that call `free_address`, even while the program that will use the port is down.
RESERVATION_IP = "127.255.255.254"

_port_rng = random.Random()
_reservations = []


def free_address(ip="127.0.0.1"):
    """Return ``IP:port`` with a free port that stays reserved until this process ends."""
    while True:
        port = _port_rng.randrange(LOWEST_PORT, HIGHEST_PORT)
        reservation = socket.socket()
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                reservation.bind((RESERVATION_IP, port))
                probe.bind((ip, port))
            except OSError:
                reservation.close()
                continue
        _reservations.append(reservation)
        return f"{ip}:{port}"


@dataclass
class DaemonProcess:
    """One daemon process of a local site and its addresses."""

    name: str
    zone: str
    callers: str
    peers: str
    source_ip: str = ""
    process: subprocess.Popen | None = None
    log_path: str = ""


@dataclass
class LocalSite:
    """Starts, controls and stops a site.

    Parameters
    ----------
    zones : dict of str to int
        Number of daemons per availability zone.
    endpoints : list of VmLayout
        Endpoints; an empty address is replaced by a free one.
    engine : EngineLayout
    platform_limits : dict
        Fields of `PlatformLayout` that differ from the defaults.
    daemon_flags : list of str
        Additional command-line flags for every daemon.
    callers_ports : list of int
        Fixed ports for the daemons' caller listeners; by default free ones.
    split : bool
        Whether each fabric domain's endpoints run in a separate process; endpoints without a
        fabric domain are grouped by zone.
    """

    zones: dict
    endpoints: list
    engine: EngineLayout = field(default_factory=EngineLayout)
    platform_limits: dict = field(default_factory=dict)
    daemon_flags: list = field(default_factory=list)
    callers_ports: list = field(default_factory=list)
    seed: int = 1
    split: bool = False

    def start(self):
        """Start the stand-ins, then the daemons."""
        self.folder = tempfile.mkdtemp(prefix="corianderhaven-")
        self.control_addresses = {}
        self.standins = []
        self.platform = free_address()
        self.daemons = self._plan_daemons()
        for endpoint in self.endpoints:
            endpoint.address = endpoint.address or free_address()
        self._start_standins()
        for daemon in self.daemons:
            self.start_daemon(daemon)
        for daemon in self.daemons:
            self.wait_http(daemon.peers, "/healthz")
        return self

    def close(self):
        """Kill every process that this site started."""
        processes = [d.process for d in self.daemons] + self.standins
        for process in processes:
            if process is not None and process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in filter(None, processes):
            process.wait()

    def start_daemon(self, daemon):
        """Start one daemon process."""
        daemon.log_path = str(Path(self.folder) / f"{daemon.name}.log")
        command = [sys.executable, "-m", "corianderhaven.daemon"]
        flags = {
            "name": daemon.name,
            "zone": daemon.zone,
            "callers": daemon.callers,
            "peers": daemon.peers,
            "platform": self.platform,
            "secret": SECRET,
            "bootstrap-key": BOOTSTRAP_KEY,
            "source-ip": daemon.source_ip,
        }
        command += [f"--{name}={value}" for name, value in flags.items() if value]
        with Path(daemon.log_path).open("ab") as log:
            daemon.process = subprocess.Popen([*command, *self.daemon_flags], stderr=log)

    def apply(self, document, key=BOOTSTRAP_KEY, base_revision=0):
        """Apply a document through the first daemon and return its revision."""
        client = JsonClient(self.daemons[0].peers, 20_000.0, {"Authorization": f"Bearer {key}"})
        body = {"base_revision": base_revision, "document": document}
        for _ in range(100):
            exchange = client.call("POST", "/operators/config", body)
            if exchange.status != 503:
                break
            time.sleep(POLL_S)
        if exchange.status != 200:
            raise RuntimeError(exchange.body.decode())
        return exchange.json()["revision"]

    def operator_get(self, daemon, path, key=BOOTSTRAP_KEY):
        """Send a GET request to an operators' path and return the decoded answer."""
        headers = {"Authorization": f"Bearer {key}"}
        return JsonClient(daemon.peers, 5_000.0, headers).json("GET", path)

    def set_fault(self, target, fault, value=None):
        """Set a fault in every stand-ins process that runs the target."""
        body = {"target": target, "fault": fault, "value": value}
        kind, _, name = target.rpartition(":")
        attribute = {"domain": "fabric_domain", "zone": "zone"}.get(kind, "id")
        groups = {_standins_group(e) for e in self.endpoints if getattr(e, attribute) == name}
        for group in groups or {PLATFORM_GROUP}:
            address = self.control_addresses.get(group, self.control_addresses[PLATFORM_GROUP])
            JsonClient(address, 5_000.0).json("POST", "/faults", body)

    def counters(self):
        """Return the counters of each stand-ins process by group."""
        return {
            group: JsonClient(address, 5_000.0).json("GET", "/counters")
            for group, address in self.control_addresses.items()
        }

    def reset_ground_truth(self):
        """Reset the totals of group downtime and stranded accelerators."""
        for address in self.control_addresses.values():
            JsonClient(address, 5_000.0).json("POST", "/truth/reset", {})

    def executions(self):
        """Return execution counts by service and operation ID."""
        found = {}
        for address in self.control_addresses.values():
            answer = JsonClient(address, 5_000.0).json("GET", "/executions")
            for service, counts in answer["executions"].items():
                found.setdefault(service, Counter()).update(counts)
        return found

    def wait_http(self, address, path, timeout_s=START_TIMEOUT_S):
        """Wait until a GET request returns status 200."""
        self.wait_for(lambda: _get_status(address, path) == 200, f"{address}{path}", timeout_s)

    def wait_ready(self):
        """Wait until every daemon is ready."""
        for daemon in self.daemons:
            self.wait_http(daemon.callers, "/readyz")

    def wait_for(self, condition, what, timeout_s=START_TIMEOUT_S):
        """Wait until `condition` is true; raise TimeoutError if it stays false."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(what)
            time.sleep(POLL_S)

    def whole_replicas(self):
        """Return the number of whole replicas that the daemons see across all zones."""
        seen = set()
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                answer = self.operator_get(daemon, "/operators/replicas")
                seen |= {r["replica"] for r in answer["replicas"] if r["whole"]}
        return len(seen)

    def _plan_daemons(self):
        ports = iter(self.callers_ports)
        daemons = []
        for zone, count in self.zones.items():
            for number in range(1, count + 1):
                port = next(ports, None)
                callers = f"127.0.0.1:{port}" if port else free_address()
                source_ip = f"127.0.1.{len(daemons) + 1}"
                name = f"entry-{zone}-{number}"
                daemons.append(DaemonProcess(name, zone, callers, free_address(), source_ip))
        return daemons

    def _start_standins(self):
        entries = [
            VmLayout(id=d.name, address=d.peers, zone=d.zone, kind="entry", label="entry")
            for d in self.daemons
        ]
        groups = {PLATFORM_GROUP: [*entries, *self.endpoints]}
        if self.split:
            for endpoint in self.endpoints:
                groups.setdefault(_standins_group(endpoint), []).append(endpoint)
        for group, vms in groups.items():
            self._start_group(group, vms)
        for address in self.control_addresses.values():
            self.wait_http(address, "/counters")

    def _start_group(self, group, vms):
        """Start one stand-ins process; only the platform's lists VMs of other processes."""
        is_platform = group == PLATFORM_GROUP
        platform = PlatformLayout(address=self.platform, **self.platform_limits)
        layout = Layout(
            control_address=free_address(),
            platform=platform if is_platform else None,
            engine=self.engine,
            vms=vms,
            only_listed=is_platform and self.split,
            seed=self.seed,
        )
        self.control_addresses[group] = layout.control_address
        path = Path(self.folder) / f"layout-{group}.json"
        path.write_bytes(msgspec.json.encode(layout))
        command = [sys.executable, "-m", "corianderhaven.standins", f"--layout={path}"]
        with (Path(self.folder) / f"standins-{group}.log").open("ab") as log:
            self.standins.append(subprocess.Popen(command, stderr=log, env=os.environ))


def _standins_group(endpoint):
    """Return the name of the stand-ins process that runs an endpoint."""
    return endpoint.fabric_domain or endpoint.zone


def _get_status(address, path):
    try:
        return JsonClient(address, 1_000.0).call("GET", path).status
    except TransportError:
        return None
