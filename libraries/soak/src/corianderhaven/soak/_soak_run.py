"""Runs the soak test of one seed and reports the violated invariants."""

import asyncio
import contextlib
import ipaddress
import random
from collections import Counter
from dataclasses import asdict, astuple, dataclass, field

from corianderhaven.common import MS_PER_S
from corianderhaven.standins import HostingSite, small_models

from ._callers import Caller, response_times_s
from ._daemons import STALL_MS, SoakDaemon, now_ms
from ._fault_injector import FaultInjector, publish_version
from ._faults import (
    MIXED_PAUSE_GAP_S,
    plan_build_changes,
    plan_faults,
    plan_model_drops,
    plan_worker_pauses,
)
from ._invariants import InvariantChecker, Violation
from ._leaving_callers import LeavingCaller
from ._link_proxy import LinkProxy

ZONES = ("a", "b", "c")
ENGINES_PER_ZONE = 5  # two large replicas and a spare: losing a member leaves one replica
CALLERS_PER_DAEMON = 4  # about 15 requests/s, with a mean pause of 0.15 s per caller
PAUSE_CALLERS_PER_DAEMON = 10  # while only workers pause, so that many streams meet a pause
TOKEN_MS = 25.0  # streams last long enough for faults to hit them halfway
STARTUP_TIMEOUT_S = 20.0  # 100 processes started at once take about 10 s
RECOVERY_TIMEOUT_S = 12.0  # from the last fault until every daemon serves every kind again
PAUSES_FRACTION = 0.5  # of the time of the other faults, for pauses without these
EARLY_USAGE_FRACTION = 0.25  # of the run; queues, rate estimates and pools have filled by then
POLL_INTERVAL_S = 0.1
KINDS = ("draft", "issue", "status")
PARTITION_TRIES = 6  # of each kind
MIN_SERVED_SHARE = 2 / 3  # of the requests to a daemon without a path to the endpoints
FIRST_DAEMON_IP = ipaddress.IPv4Address("127.0.1.1")
MAX_TRACE_LINES = 60


def daemon_ip(number):
    """Return the loopback address of a daemon."""
    return str(FIRST_DAEMON_IP + number)


@dataclass
class SoakReport:
    """Result of one run.

    Parameters
    ----------
    faults : dict of str to int
        Number of faults by kind that came due, skipped ones included.
    outcomes : dict of str to int
        Number of requests by kind and status.
    streams_without_loss : int
        Streams that were checked to end whole because nothing was lost meanwhile.
    max_lag_s : float
        By how much this process, with its store, workers and callers, was late at most. Daemons
        that see all of these stand still do so for want of processor time.
    recovered_s : float or None
        Time from the last fault until every daemon served every kind of request again; None
        if that exceeded `RECOVERY_TIMEOUT_S`.
    usage : dict of str to list
        Memory in MB, file descriptors and threads of each daemon that was not restarted meanwhile,
        after a quarter of the run and at the end.
    breaches : list of dict
        The violated invariants.
    trace : list of str
        Log lines about the request of the first violation.
    """

    seed: int
    seconds: float
    faults: dict
    outcomes: dict
    drains: int
    answer_p95_s: float
    streams_without_loss: int
    max_lag_s: float
    recovered_s: float | None
    usage: dict = field(default_factory=dict)
    breaches: list = field(default_factory=list)
    trace: list = field(default_factory=list)

    def as_dict(self):
        """Return the report as a dict of plain values."""
        return asdict(self)


class SoakRun:
    """Soak test with one seed.

    Parameters
    ----------
    seed : int
    seconds : float
        Time during which faults are injected.
    processes : int
        Number of daemons, spread over three zones.
    folder : str
        Folder for node files and logs.
    faults : bool
        Whether to inject faults.
    other_build : str
        Folder with the installed packages of another build. Half of the daemons start with it,
        and faults replace daemons of one build by those of the other.
    pauses : {"none", "mixed", "only"}
        Whether workers also stand still now and then. With "mixed" they do so among the other
        faults, and without these for a while once the daemons have recovered from them; with
        "only" there are no other faults. Without other faults, models are also dropped from the
        configuration, and named again.
    """

    def __init__(
        self, seed, seconds, processes, folder, faults=True, other_build="", pauses="none"
    ):
        self.seed = seed
        self.seconds = seconds
        self.processes = processes
        self.folder = folder
        self.faults = faults
        self.other_build = other_build
        self.pauses = pauses if faults else "none"
        self.early_usage = {}
        self.max_lag_s = 0.0
        self.attempts = []
        self.drains = []

    async def run(self):
        """Run the test; returns the `SoakReport`."""
        site = HostingSite(
            list(ZONES), ENGINES_PER_ZONE, small_models(), 3, TOKEN_MS, stall_ms=STALL_MS
        )
        self.site, self.worker_links = site, {}
        site.wrap_address = self._proxy_worker
        await site.start()
        self.invariants = InvariantChecker(site)
        publish_version(site)
        store = site.store_server.address
        self.daemons = [
            SoakDaemon(
                f"entry-{n:02}",
                ZONES[n % len(ZONES)],
                store,
                self.folder,
                daemon_ip(n),
                self._builds(n),
            )
            for n in range(self.processes)
        ]
        lag = asyncio.create_task(self._measure_lag())
        try:
            await asyncio.gather(*(d.start() for d in self.daemons))
            await self._wait_until_served(STARTUP_TIMEOUT_S)
            faults, recovered_s = await self._play_all()
        finally:
            lag.cancel()
            for daemon in self.daemons:
                daemon.close()
            site.close()
            for link in self.worker_links.values():
                link.close()
        return self._report(faults, recovered_s)

    async def _measure_lag(self):
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + POLL_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            self.max_lag_s = max(self.max_lag_s, loop.time() - due)

    async def _play_all(self):
        """Play the faults of the seed and the pauses; returns the same as `_play`."""
        if self.pauses == "only":
            return await self._play_pauses(self.seconds)
        faults, recovered_s = await self._play(self._plan(), self.seconds, CALLERS_PER_DAEMON)
        if self.pauses == "mixed" and not self.invariants.violations:
            pauses, _ = await self._play_pauses(PAUSES_FRACTION * self.seconds)
            faults += pauses
        return faults, recovered_s

    async def _play(self, plan, seconds, callers_per_daemon):
        """Inject faults while callers send; returns their number by kind and the recovery time."""
        async with self._callers(callers_per_daemon):
            faults = await self._inject_faults(plan, seconds)
        recovered_s = await self._wait_until_served(RECOVERY_TIMEOUT_S)
        if recovered_s is None:
            self._add_violation("served again", "", f"not within {RECOVERY_TIMEOUT_S} s")
        self.invariants.check_runs()
        return faults, recovered_s

    async def _play_pauses(self, seconds):
        """Let workers pause, and models be dropped, while no other fault acts, as `_play` does."""
        wait_ms = self.invariants.without_loss_since_ms - now_ms()
        await asyncio.sleep(max(0.0, wait_ms / MS_PER_S))
        plan = plan_worker_pauses(self.seed, seconds) + plan_model_drops(self.seed, seconds)
        plan.sort(key=lambda fault: fault.at_s)
        return await self._play(plan, seconds, PAUSE_CALLERS_PER_DAEMON)

    @contextlib.asynccontextmanager
    async def _callers(self, callers_per_daemon):
        """Let callers send to all daemons until the block ends."""
        callers = [
            Caller(d, self.site, self.invariants, self.seed * 1_000 + n, self.attempts)
            for n, d in enumerate(self.daemons * callers_per_daemon)
        ]
        leaving = [
            LeavingCaller(daemon, self.invariants, self.seed * 1_000 - n)
            for n, daemon in enumerate(self.daemons)
        ]
        tasks = [asyncio.create_task(c.run()) for c in (*callers, *leaving)]
        try:
            yield
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            for caller in callers:
                caller.close()

    def _builds(self, number):
        """Return the builds of a daemon; daemons start with them by turns."""
        if not self.other_build:
            return [""]
        builds = ["", self.other_build]
        return builds if (self.seed + number) % 2 else builds[::-1]

    def _plan(self):
        if not self.faults:
            return []
        plan = plan_faults(self.seed, self.seconds)
        if self.other_build:
            plan += plan_build_changes(self.seed, self.seconds)
        if self.pauses == "mixed":
            plan += plan_worker_pauses(self.seed, self.seconds, MIXED_PAUSE_GAP_S)
        return sorted(plan, key=lambda fault: fault.at_s)

    async def _proxy_worker(self, worker_id, address):
        """Put a proxy in front of a worker; returns the address to announce to the daemons."""
        proxy = self.worker_links[worker_id] = await LinkProxy(address).start()
        return proxy.address

    async def _inject_faults(self, plan, seconds):
        injector = FaultInjector(
            self.site,
            self.daemons,
            self.worker_links,
            self.invariants,
            self._record_drain,
            self._check_partitioned,
        )
        loop = asyncio.get_running_loop()
        started, tasks = loop.time(), []
        if not self.early_usage:
            loop.call_later(seconds * EARLY_USAGE_FRACTION, self._record_early_usage)
        for fault in plan:
            await asyncio.sleep(max(0.0, started + fault.at_s - loop.time()))
            tasks.append(asyncio.create_task(injector.inject(fault)))
            if self.invariants.violations:
                break
        else:
            await asyncio.sleep(max(0.0, started + seconds - loop.time()))
        await asyncio.gather(*tasks)
        self.usage = self._usage_since_early()
        for link in self.worker_links.values():
            link.restore()
        return Counter(fault.kind for fault in plan[: len(tasks)])

    def _record_early_usage(self):
        self.early_usage = {daemon.name: daemon.usage() for daemon in self.daemons}

    def _usage_since_early(self):
        """Return the early and the current usage of daemons that were not restarted since."""
        pairs = [(d.name, self.early_usage.get(d.name), d.usage()) for d in self.daemons]
        return {
            name: [astuple(early)[1:], astuple(late)[1:]]
            for name, early, late in pairs
            if early is not None and late is not None and early.start_number == late.start_number
        }

    def _record_drain(self, daemon, code, is_only_fault):
        self.drains.append(code)
        if code is None:
            self._add_violation("drain ends", daemon.name, "still running after the grace period")
        elif code and is_only_fault:
            self._add_violation("drain cuts off nothing", daemon.name, f"exit code {code}")

    async def _check_partitioned(self, daemon):
        """Check that a daemon serves its callers although it reaches no endpoint."""
        for kind in KINDS:
            results = [await self._is_served(daemon, kind) for _ in range(PARTITION_TRIES)]
            served = sum(results)
            if served < MIN_SERVED_SHARE * PARTITION_TRIES:
                detail = f"{served} of {PARTITION_TRIES} requests ({kind}) without a path"
                self._add_violation("served around a lost path", daemon.name, detail)

    def _add_violation(self, invariant, daemon_name, detail):
        self.invariants.violations.append(Violation(invariant, daemon_name, detail))

    async def _wait_until_served(self, timeout_s):
        """Return the seconds until every daemon serves every kind of request; None on timeout."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        pending = [(d, kind) for d in self.daemons for kind in KINDS]
        pending += [(d, "version") for d in self.daemons]
        random.Random(self.seed).shuffle(pending)
        while pending:
            results = await asyncio.gather(*(self._is_served(d, kind) for d, kind in pending))
            pending = [p for p, served in zip(pending, results, strict=True) if not served]
            if loop.time() - started > timeout_s:
                return None
            await asyncio.sleep(POLL_INTERVAL_S)
        return loop.time() - started

    async def _is_served(self, daemon, kind):
        caller = Caller(daemon, self.site, self.invariants, self.seed, self.attempts)
        try:
            attempt = await caller.send(kind, newest=True)
            return attempt.status == 200 and attempt.complete
        finally:
            caller.close()

    def _report(self, faults, recovered_s):
        violations = self.invariants.violations
        trace = []
        if violations and violations[0].attempt:
            for daemon in self.daemons:
                trace += daemon.log_lines(violations[0].attempt)
        times = response_times_s(self.attempts)
        outcomes = Counter(
            f"{a.kind} {a.status if a.status is not None else 'no answer'}"
            + ("" if a.complete or a.status is None else " broken off")
            for a in self.attempts
        )
        return SoakReport(
            self.seed,
            self.seconds,
            dict(faults),
            dict(sorted(outcomes.items())),
            len(self.drains),
            round(times[int(len(times) * 0.95)], 3) if times else 0.0,
            self.invariants.streams_without_loss,
            round(self.max_lag_s, 2),
            round(recovered_s, 2) if recovered_s is not None else None,
            self.usage,
            [asdict(violation) for violation in violations],
            trace[:MAX_TRACE_LINES],
        )
