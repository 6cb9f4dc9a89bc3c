"""Injects the scheduled faults into the daemons, the store and the workers."""

import asyncio
import itertools
import random

from corianderhaven.common import MS_PER_S
from corianderhaven.standins import ENGINE_SERVICE, PLAIN_SERVICE, WorkerFaults, default_routes

from ._daemons import now_ms
from ._faults import CONFIG_CHANGE_KIND, MODEL_DROP_KIND, PAUSE_KIND

SLOW_STORE_MS = 120.0  # 30 times the usual response time of the store
NAMED_LIMITS = ("3.0", "0.5")  # requests per second, as on the wire
CRASHING_KINDS = ("status", "issue", "draft")
LINK_DELAY_MS = 40.0  # below the connect timeout
KILLED_SHARE = 0.25  # of the daemons that another build replaces; the others drain
REPLACEMENT_DELAY_S = 0.5  # until an empty VM replaces a lost one
# The target and the variant of a fault are derived from one selector; the factor keeps the target's
# position from determining the variant.
SELECTOR_MULTIPLIER = 97
CONTACT_S = 3.0  # by then a daemon serves its callers around a partition
STALL_OPEN_SHARE = 0.6  # of the partitions, in which open connections go silent too
# Minimum share of the misbehaving workers that are plain ones; these would otherwise rarely be
# selected among the many engines.
MIN_PLAIN_WORKER_SHARE = 0.4
RESTORE_S = 0.3  # for which a store that is restored is away
PAUSED_SHARE = 0.6  # of the workers, when neither one, nor a zone, nor all of them pause
# Through these alone, no daemon, connection or worker is lost; a pause may break replicas.
HARMLESS_KINDS = (PAUSE_KIND, CONFIG_CHANGE_KIND, MODEL_DROP_KIND)
LEAVING_S = 1.0  # a leaving worker keeps serving for this long
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
    {"shed": True, "shed_for_s": 1.0},
    {"trickle_after": 3},
    {"endless": "head"},
    {"endless": "body"},
    {"endless": "event"},
]


class FaultInjector:
    """Injects faults, with one method for each kind, named after it.

    The method returns when the fault is over.

    Parameters
    ----------
    site : HostingSite
    daemons : list of SoakDaemon
    worker_links : dict of str to LinkProxy
    invariants : InvariantChecker
    on_drained : callable
        Called after each drain with the daemon, its exit code, and whether no other fault was
        active or began meanwhile.
    on_partitioned : coroutine function
        Called with a daemon that has been partitioned from all endpoints for `CONTACT_S`, while
        no other fault was active or began. The partition lasts until it returns.
    """

    def __init__(self, site, daemons, worker_links, invariants, on_drained, on_partitioned):
        self.site = site
        self.daemons = daemons
        self.worker_links = worker_links
        self.invariants = invariants
        self.on_drained = on_drained
        self.on_partitioned = on_partitioned
        self.worker_numbers = itertools.count(100)
        self.part_numbers = itertools.count(0xC0000000)
        self.busy_daemons = set()
        self.active_count = 0
        self.started_count = 0

    async def inject(self, fault):
        """Inject one fault; a daemon fault is skipped if the daemon already has one."""
        self.active_count += 1
        self.started_count += 1
        harmful = self._may_lose_something(fault)
        if harmful:
            self.invariants.begin_loss()
        try:
            await getattr(self, fault.kind)(fault)
        finally:
            self.active_count -= 1
            if harmful:
                self.invariants.end_loss(now_ms())

    def _may_lose_something(self, fault):
        """Return whether a daemon, connection, worker or replica may be lost through a fault."""
        if fault.kind != PAUSE_KIND:
            return fault.kind not in HARMLESS_KINDS
        lasts_long = fault.duration_s * MS_PER_S >= self.site.engines.stall_ms
        return lasts_long and self._stalls_a_head(set(self._select_paused(fault)))

    def _stalls_a_head(self, paused):
        """Return whether a head that goes on itself lacks a member while workers are paused."""
        engines = self.site.engines
        return any(
            paused.intersection(engine.group.members[1:])
            for engine in engines.engines.values()
            if engine.id not in paused and engine.group is not None and engines.is_working(engine)
        )

    def _select(self, candidates, fault):
        return candidates[int(fault.selector * len(candidates))] if candidates else None

    async def _run_on_daemon(self, fault, action):
        daemon = self._select(self.daemons, fault)
        if daemon.name in self.busy_daemons:
            return
        self.busy_daemons.add(daemon.name)
        try:
            await action(daemon)
        finally:
            self.busy_daemons.discard(daemon.name)

    async def daemon_kill(self, fault):
        async def kill(daemon):
            await daemon.kill()
            self.invariants.reset_version(daemon.name)

        await self._run_on_daemon(fault, kill)

    async def daemon_pause(self, fault):
        await self._run_on_daemon(fault, lambda daemon: daemon.pause(fault.duration_s))

    async def daemon_drain(self, fault):
        await self._run_on_daemon(fault, self._drain)

    async def _drain(self, daemon):
        started_count, alone = self.started_count, self.active_count == 1
        code = await daemon.drain()
        self.invariants.reset_version(daemon.name)
        self.on_drained(daemon, code, alone and self.started_count == started_count)

    async def daemon_changes_build(self, fault):
        """Replace a daemon by one of the other build, at the same addresses."""

        async def change(daemon):
            daemon.change_build()
            if fault.selector * SELECTOR_MULTIPLIER % 1.0 < KILLED_SHARE:
                await daemon.kill()
                self.invariants.reset_version(daemon.name)
            else:
                await self._drain(daemon)

        await self._run_on_daemon(fault, change)

    async def all_daemons_kill(self, fault):
        free = [d for d in self.daemons if d.name not in self.busy_daemons]
        self.busy_daemons |= {d.name for d in free}
        try:
            await asyncio.gather(*(d.kill() for d in free))
        finally:
            for daemon in free:
                self.invariants.reset_version(daemon.name)
                self.busy_daemons.discard(daemon.name)

    async def daemon_loses_endpoints(self, fault):
        """Partition a daemon from all endpoints; its open connections go silent, or live on."""

        async def partition(daemon):
            started_count, alone = self.started_count, self.active_count == 1
            stall_open = fault.selector * SELECTOR_MULTIPLIER % 1.0 < STALL_OPEN_SHARE
            links = list(self.worker_links.values())
            for link in links:
                link.block(daemon.ip, stall_open)
            await asyncio.sleep(fault.duration_s)
            if fault.duration_s > CONTACT_S and alone and self.started_count == started_count:
                await self.on_partitioned(daemon)
            for link in links:
                link.unblock(daemon.ip)

        await self._run_on_daemon(fault, partition)

    async def _set_store_fault(self, name, value, duration_s):
        original = getattr(self.site.store.faults, name)
        setattr(self.site.store.faults, name, value)
        await asyncio.sleep(duration_s)
        setattr(self.site.store.faults, name, type(original)())

    async def store_away(self, fault):
        await self._set_store_fault("away", True, fault.duration_s)

    async def store_slow(self, fault):
        await self._set_store_fault("answer_ms", SLOW_STORE_MS, fault.duration_s)

    async def store_lost_answers(self, fault):
        await self._set_store_fault("lose_answers", True, fault.duration_s / 2)

    async def store_forgets(self, fault):
        self.site.store.compact()

    async def store_restored(self, fault):
        """Let the store come back from a copy, after a moment in which it is away.

        The operator and the workers write again what the copy lacks.
        """
        store = self.site.store
        copy = store.copy()
        await asyncio.sleep(fault.duration_s)
        store.faults.away = True
        await asyncio.sleep(RESTORE_S)
        store.restore(copy)
        store.faults.away = False
        await asyncio.sleep(RESTORE_S)
        publish_version(self.site)

    async def store_link_reset(self, fault):
        self._select(self.daemons, fault).store_link.reset()

    async def store_link_silent(self, fault):
        self._select(self.daemons, fault).store_link.stall()

    async def store_link_cut(self, fault):
        link = self._select(self.daemons, fault).store_link
        link.refuse_connections = True
        link.reset()
        await asyncio.sleep(fault.duration_s)
        link.restore()

    async def store_link_one_way(self, fault):
        link = self._select(self.daemons, fault).store_link
        link.drop_from_target = True
        await asyncio.sleep(fault.duration_s)
        link.restore()

    async def worker_gone(self, fault):
        """Kill an engine permanently and add an empty one after a delay."""
        engines = [w for w in self.site.workers.values() if w.service == ENGINE_SERVICE]
        engine = self._select([w for w in engines if w.listed and not w.leaving], fault)
        if engine is None:
            return
        self.site.kill(engine.id)
        self.worker_links[engine.id].stall()
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        await self.site.add_engine(engine.zone, f"{engine.zone}-{next(self.worker_numbers)}")

    async def worker_leaves(self, fault):
        engines = [w for w in self.site.workers.values() if w.service == ENGINE_SERVICE]
        engine = self._select([w for w in engines if w.listed and not w.leaving], fault)
        if engine is None:
            return
        engine.leaving = True
        await self.site.add_engine(engine.zone, f"{engine.zone}-{next(self.worker_numbers)}")
        await asyncio.sleep(LEAVING_S)
        if engine.listed:
            self.site.kill(engine.id)

    async def worker_says_leaving(self, fault):
        """Let an engine say in its answers that it leaves, while its entry doesn't say so."""
        engines = [w for w in self.site.workers.values() if w.service == ENGINE_SERVICE]
        engine = self._select([w for w in engines if w.listed and not w.leaving], fault)
        if engine is None:
            return
        engine.faults = WorkerFaults(server_leaving=True)
        await self.site.add_engine(engine.zone, f"{engine.zone}-{next(self.worker_numbers)}")
        await asyncio.sleep(LEAVING_S)
        if engine.listed:
            self.site.kill(engine.id)

    def _select_worker_link(self, fault):
        live = sorted(w.id for w in self.site.workers.values() if w.listed)
        return self.worker_links[self._select(live, fault)]

    async def worker_link_reset(self, fault):
        self._select_worker_link(fault).reset()

    async def worker_link_silent(self, fault):
        self._select_worker_link(fault).stall()

    async def worker_link_delay(self, fault):
        link = self._select_worker_link(fault)
        link.delay_ms = LINK_DELAY_MS
        await asyncio.sleep(fault.duration_s)
        link.restore()

    async def worker_misbehaves(self, fault):
        live = [w for w in self.site.workers.values() if w.listed]
        if fault.selector < MIN_PLAIN_WORKER_SHARE:
            live = [w for w in live if w.service == PLAIN_SERVICE]
        worker = self._select(live, fault)
        if worker is None:
            return
        fields = MISBEHAVIOURS[int(fault.selector * SELECTOR_MULTIPLIER % 1.0 * len(MISBEHAVIOURS))]
        worker.faults = WorkerFaults(**fields)
        await asyncio.sleep(fault.duration_s)
        worker.faults = WorkerFaults()

    async def workers_pause(self, fault):
        """Let one worker, those of a zone, many or all stand still, and go on where they were."""
        paused = self._select_paused(fault)
        self.site.pause(paused)
        try:
            await asyncio.sleep(fault.duration_s)
        finally:
            self.site.resume(paused)

    def _select_paused(self, fault):
        """Return the IDs of the workers that pause; each quarter of the selectors has its share."""
        live = sorted(w.id for w in self.site.workers.values() if w.listed)
        quarter, rest = divmod(fault.selector * 4, 1.0)
        if quarter == 0:
            return [live[int(rest * len(live))]] if live else []
        if quarter == 1:
            zone = self.site.zones[int(rest * len(self.site.zones))]
            return [worker_id for worker_id in live if self.site.workers[worker_id].zone == zone]
        if quarter == 2:
            return random.Random(rest).sample(live, round(PAUSED_SHARE * len(live)))
        return live

    async def prompt_part_crashes_engines(self, fault):
        """Let some drafts hold a new part that ends each engine that writes on it."""
        part = f"{next(self.part_numbers):x}"
        self.site.crashing_parts.add(part)
        await asyncio.sleep(fault.duration_s)
        self.site.crashing_parts.discard(part)

    async def request_crashes_workers(self, fault):
        """Let one request come again and again that ends each worker that runs it."""
        kind = CRASHING_KINDS[int(fault.selector * len(CRASHING_KINDS)) % len(CRASHING_KINDS)]
        target = f"/{kind}/crashing-{next(self.part_numbers):x}"
        self.site.crashing_targets.add(target)
        await asyncio.sleep(fault.duration_s)
        self.site.crashing_targets.discard(target)

    async def worker_names_limit(self, fault):
        """Let a worker name a limit, a lower one after a while, and none in the end."""
        live = [w for w in self.site.workers.values() if w.listed]
        worker = self._select(live, fault)
        if worker is None:
            return
        for limit in NAMED_LIMITS:
            worker.faults = WorkerFaults(limits=(limit,))
            await asyncio.sleep(fault.duration_s / len(NAMED_LIMITS))
        worker.faults = WorkerFaults()

    async def caller_links_reset(self, fault):
        self._select(self.daemons, fault).caller_link.reset()

    async def config_change(self, fault):
        publish_version(self.site)

    async def model_dropped(self, fault):
        """Let the configuration name a model no longer, and again after a while."""
        models = self.site.models
        dropped = self._select(models, fault)
        self.site.models = [model for model in models if model is not dropped]
        publish_version(self.site)
        try:
            await asyncio.sleep(fault.duration_s)
        finally:
            self.site.models = models
            publish_version(self.site)


def publish_version(site):
    """Publish a configuration with an additional route that is named after its version."""
    version = site.config_version + 3  # the version that `publish_config` assigns next
    status = next(r for r in default_routes() if r["name"] == "status")
    version_route = {**status, "name": f"version-{version}", "path_prefix": f"/version-{version}/"}
    site.routes = [*default_routes(), version_route]
    site.publish_config()
