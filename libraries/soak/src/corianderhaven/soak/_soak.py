"""Plays one seed and reports what was kept and what was not."""

import asyncio
import random
from collections import Counter
from dataclasses import asdict, astuple, dataclass, field

from corianderhaven.standins import HostingSite, small_models

from ._callers import Caller, answer_s
from ._daemons import SoakDaemon
from ._faults import plan_faults
from ._link import Link
from ._promises import Breach, Promises
from ._strikes import Strikes, publish_version

ZONES = ("a", "b", "c")
ENGINES_PER_ZONE = 5  # two large replicas and a spare, so that a lost member leaves one
CALLERS_PER_DAEMON = 4  # each waits 0.15 s between requests: some 15 requests a second
TOKEN_MS = 25.0  # a stream lasts long enough to be struck in its middle
READY_S = 20.0  # a hundred processes that start at once take some ten seconds
RECOVER_S = 12.0  # from the last fault until every daemon serves every kind again
EARLY_PART = 0.25  # of the time: by then lines, paces and connections have filled up
FINAL_PAUSE_S = 0.1
TRACE_LINES = 60


@dataclass
class SoakReport:
    """What a run showed.

    Parameters
    ----------
    usage : dict of str to list
        Memory in MB, descriptors and threads of each daemon that was not started anew, after
        a fourth of the time and at the end.
    """

    seed: int
    seconds: float
    faults: dict
    outcomes: dict
    drains: int
    answer_p95_s: float
    recovered_s: float | None
    usage: dict = field(default_factory=dict)
    breaches: list = field(default_factory=list)
    trace: list = field(default_factory=list)

    def as_dict(self):
        """Return the report as plain values."""
        return asdict(self)


class Soak:
    """One seed.

    Parameters
    ----------
    seed : int
    seconds : float
        Time in which faults come.
    processes : int
        Number of daemons, spread over three zones.
    folder : str
        For node files and logs.
    faults : bool
        Whether any fault comes.
    """

    def __init__(self, seed, seconds, processes, folder, faults=True):
        self.seed = seed
        self.seconds = seconds
        self.processes = processes
        self.folder = folder
        self.faults = faults
        self.early_usage = {}
        self.attempts = []
        self.drains = []

    async def run(self):
        """Play the seed; returns the `SoakReport`."""
        site = HostingSite(list(ZONES), ENGINES_PER_ZONE, small_models(), 3, TOKEN_MS)
        self.site, self.worker_links = site, {}
        site.wrap_address = self._link_worker
        await site.start()
        self.promises = Promises(site)
        publish_version(site)
        store = site.store_server.address
        self.daemons = [
            SoakDaemon(f"entry-{n:02}", ZONES[n % len(ZONES)], store, self.folder)
            for n in range(self.processes)
        ]
        callers, tasks = [], []
        try:
            await asyncio.gather(*(d.start() for d in self.daemons))
            await self._until_served(READY_S)
            callers = [
                Caller(d, site, self.promises, self.seed * 1_000 + n, self.attempts)
                for n, d in enumerate(self.daemons * CALLERS_PER_DAEMON)
            ]
            tasks = [asyncio.create_task(c.run()) for c in callers]
            faults = await self._play_faults()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            recovered_s = await self._until_served(RECOVER_S)
            if recovered_s is None:
                self.promises.breaches.append(Breach("served again", "", f"not in {RECOVER_S} s"))
            self.promises.check_runs()
        finally:
            for caller in callers:
                caller.close()
            for daemon in self.daemons:
                daemon.close()
            site.close()
            for link in self.worker_links.values():
                link.close()
        return self._report(faults, recovered_s)

    async def _link_worker(self, worker_id, address):
        """Put a link before a worker; returns the address to tell the daemons."""
        link = self.worker_links[worker_id] = await Link(address).start()
        return link.address

    async def _play_faults(self):
        strikes = Strikes(
            self.site, self.daemons, self.worker_links, self.promises, self._note_drain
        )
        plan = plan_faults(self.seed, self.seconds) if self.faults else []
        loop = asyncio.get_running_loop()
        begun, tasks = loop.time(), []
        loop.call_later(self.seconds * EARLY_PART, self._note_early_usage)
        for fault in plan:
            await asyncio.sleep(max(0.0, begun + fault.at_s - loop.time()))
            tasks.append(asyncio.create_task(strikes.strike(fault)))
            if self.promises.breaches:
                break
        else:
            await asyncio.sleep(max(0.0, begun + self.seconds - loop.time()))
        await asyncio.gather(*tasks)
        self.usage = self._usage_since_early()
        for link in self.worker_links.values():
            link.heal()
        return Counter(fault.kind for fault in plan[: len(tasks)])

    def _note_early_usage(self):
        self.early_usage = {daemon.name: daemon.usage() for daemon in self.daemons}

    def _usage_since_early(self):
        """Return the early and the present usage of daemons that were not started anew."""
        pairs = [(d.name, self.early_usage.get(d.name), d.usage()) for d in self.daemons]
        return {
            name: [astuple(early)[1:], astuple(late)[1:]]
            for name, early, late in pairs
            if early is not None and late is not None and early.start == late.start
        }

    def _note_drain(self, daemon, code, undisturbed):
        self.drains.append(code)
        if code is None:
            self._breach("drain ends", daemon.name, "still running after the grace time")
        elif code and undisturbed:
            self._breach("drain cuts off nothing", daemon.name, f"exit code {code}")

    def _breach(self, promise, who, detail):
        self.promises.breaches.append(Breach(promise, who, detail))

    async def _until_served(self, bound_s):
        """Return after how many seconds every daemon serves every kind, or None."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        waiting = [(d, kind) for d in self.daemons for kind in ("draft", "issue", "status")]
        waiting += [(d, "version") for d in self.daemons]
        random.Random(self.seed).shuffle(waiting)
        while waiting:
            results = await asyncio.gather(*(self._served(d, kind) for d, kind in waiting))
            waiting = [w for w, served in zip(waiting, results, strict=True) if not served]
            if loop.time() - begun > bound_s:
                return None
            await asyncio.sleep(FINAL_PAUSE_S)
        return loop.time() - begun

    async def _served(self, daemon, kind):
        caller = Caller(daemon, self.site, self.promises, self.seed, self.attempts)
        try:
            attempt = await caller.send(kind, newest=True)
            return attempt.status == 200 and attempt.complete
        finally:
            caller.close()

    def _report(self, faults, recovered_s):
        breaches = self.promises.breaches
        trace = []
        if breaches and breaches[0].attempt:
            for daemon in self.daemons:
                trace += daemon.log_lines(breaches[0].attempt)
        times = answer_s(self.attempts)
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
            round(recovered_s, 2) if recovered_s is not None else None,
            self.usage,
            [asdict(breach) for breach in breaches],
            trace[:TRACE_LINES],
        )
