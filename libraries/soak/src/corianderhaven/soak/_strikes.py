"""Carries the faults of a plan out."""

import asyncio
import itertools

from corianderhaven.standins import ENGINE_SERVICE, PLAIN_SERVICE, WorkerFaults, default_routes

SLOW_STORE_MS = 120.0  # thirty times the store's usual answer
LINK_DELAY_MS = 40.0  # below the time in which a connection must be made
REPLACED_S = 0.5  # until an empty VM comes for a lost one
MIXING = 97  # lets a worker's place in the list say nothing of how it misbehaves
PLAIN_PART = 0.4  # of the misbehaving workers; else the many engines would leave few plain ones
LEAVE_S = 1.0  # a leaving worker serves on for this long
MISBEHAVIOURS = [
    {"shed": True},
    {"lose_answer": True},
    {"cut_after": 3},
    {"garble": True},
    {"other_id": True},
    {"extra": True},
    {"unframed": True},
    {"fail": True},
    {"slow_ms": 150.0},
]


class Strikes:
    """Faults by kind: a method for each, which ends when the fault is over.

    Parameters
    ----------
    site : HostingSite
    daemons : list of SoakDaemon
    worker_links : dict of str to Link
    promises : Promises
    drained : callable
        Told of each drain: the daemon, its exit code, and whether nothing else disturbed it.
    """

    def __init__(self, site, daemons, worker_links, promises, drained):
        self.site = site
        self.daemons = daemons
        self.worker_links = worker_links
        self.promises = promises
        self.drained = drained
        self.numbers = itertools.count(100)
        self.busy = set()
        self.running = 0
        self.begun = 0

    async def strike(self, fault):
        """Carry one fault out; one that finds its target busy is left out."""
        self.running += 1
        self.begun += 1
        try:
            await getattr(self, fault.kind)(fault)
        finally:
            self.running -= 1

    def _pick(self, things, fault):
        return things[int(fault.pick * len(things))] if things else None

    async def _with_daemon(self, fault, action):
        daemon = self._pick(self.daemons, fault)
        if daemon.name in self.busy:
            return
        self.busy.add(daemon.name)
        try:
            await action(daemon)
        finally:
            self.busy.discard(daemon.name)

    async def daemon_kill(self, fault):
        async def kill(daemon):
            await daemon.kill()
            self.promises.forget_daemon(daemon.name)

        await self._with_daemon(fault, kill)

    async def daemon_pause(self, fault):
        await self._with_daemon(fault, lambda daemon: daemon.pause(fault.for_s))

    async def daemon_drain(self, fault):
        async def drain(daemon):
            begun, alone = self.begun, self.running == 1
            code = await daemon.drain()
            self.promises.forget_daemon(daemon.name)
            self.drained(daemon, code, alone and self.begun == begun)

        await self._with_daemon(fault, drain)

    async def all_daemons_kill(self, fault):
        free = [d for d in self.daemons if d.name not in self.busy]
        self.busy |= {d.name for d in free}
        try:
            await asyncio.gather(*(d.kill() for d in free))
        finally:
            for daemon in free:
                self.promises.forget_daemon(daemon.name)
                self.busy.discard(daemon.name)

    async def _store(self, name, value, for_s):
        before = getattr(self.site.store.faults, name)
        setattr(self.site.store.faults, name, value)
        await asyncio.sleep(for_s)
        setattr(self.site.store.faults, name, type(before)())

    async def store_away(self, fault):
        await self._store("away", True, fault.for_s)

    async def store_slow(self, fault):
        await self._store("answer_ms", SLOW_STORE_MS, fault.for_s)

    async def store_lost_answers(self, fault):
        await self._store("lose_answers", True, fault.for_s / 2)

    async def store_forgets(self, fault):
        self.site.store.compact()

    async def store_link_reset(self, fault):
        self._pick(self.daemons, fault).store_link.reset()

    async def store_link_silent(self, fault):
        self._pick(self.daemons, fault).store_link.silence()

    async def store_link_cut(self, fault):
        link = self._pick(self.daemons, fault).store_link
        link.refusing = True
        link.reset()
        await asyncio.sleep(fault.for_s)
        link.heal()

    async def store_link_one_way(self, fault):
        link = self._pick(self.daemons, fault).store_link
        link.cut_back = True
        await asyncio.sleep(fault.for_s)
        link.heal()

    async def worker_gone(self, fault):
        """Lose an engine for good; an empty one comes a little later."""
        engines = [w for w in self.site.workers.values() if w.service == ENGINE_SERVICE]
        victim = self._pick([w for w in engines if w.listed and not w.leaving], fault)
        if victim is None:
            return
        self.site.kill(victim.id)
        self.worker_links[victim.id].silence()
        await asyncio.sleep(REPLACED_S)
        await self.site.add_engine(victim.zone, f"{victim.zone}-{next(self.numbers)}")

    async def worker_leaves(self, fault):
        engines = [w for w in self.site.workers.values() if w.service == ENGINE_SERVICE]
        leaver = self._pick([w for w in engines if w.listed and not w.leaving], fault)
        if leaver is None:
            return
        leaver.leaving = True
        await self.site.add_engine(leaver.zone, f"{leaver.zone}-{next(self.numbers)}")
        await asyncio.sleep(LEAVE_S)
        if leaver.listed:
            self.site.kill(leaver.id)

    def _live_link(self, fault):
        live = sorted(w.id for w in self.site.workers.values() if w.listed)
        return self.worker_links[self._pick(live, fault)]

    async def worker_link_reset(self, fault):
        self._live_link(fault).reset()

    async def worker_link_silent(self, fault):
        self._live_link(fault).silence()

    async def worker_link_delay(self, fault):
        link = self._live_link(fault)
        link.delay_ms = LINK_DELAY_MS
        await asyncio.sleep(fault.for_s)
        link.heal()

    async def worker_misbehaves(self, fault):
        live = [w for w in self.site.workers.values() if w.listed]
        if fault.pick < PLAIN_PART:
            live = [w for w in live if w.service == PLAIN_SERVICE]
        worker = self._pick(live, fault)
        fields = MISBEHAVIOURS[int(fault.pick * MIXING % 1.0 * len(MISBEHAVIOURS))]
        worker.faults = WorkerFaults(**fields)
        await asyncio.sleep(fault.for_s)
        worker.faults = WorkerFaults()

    async def caller_links_reset(self, fault):
        self._pick(self.daemons, fault).caller_link.reset()

    async def config_change(self, fault):
        publish_version(self.site)


def publish_version(site):
    """Write a configuration whose version shows in a route of its own."""
    version = site.config_version + 3  # what the site's next version will be
    status = next(r for r in default_routes() if r["name"] == "status")
    shown = {**status, "name": f"version-{version}", "path_prefix": f"/version-{version}/"}
    site.routes = [*default_routes(), shown]
    site.publish_config()
