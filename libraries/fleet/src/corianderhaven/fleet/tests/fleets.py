"""Fleets in memory: real keepers before engines that check the two rules."""

import asyncio
import random
from dataclasses import replace

from corianderhaven.common import DecisionLog
from corianderhaven.fleet import (
    ActiveConfig,
    Endpoint,
    EndpointDirectory,
    EngineOrders,
    EngineReport,
    EngineSpec,
    FleetConfig,
    KeeperLease,
    LeaseEndedError,
    Membership,
    MetadataStore,
    ModelSpec,
    NodeSettings,
    OrderResult,
    ReplicaKeeper,
    ReplicaState,
    ServiceSpec,
    StoreItem,
    StoreUnavailableError,
)
from corianderhaven.standins import HostedEngine, HostedEngines, HostedModel, HostedStore

SERVICE = "pool"
ENTRY_LAPSE_MS = 3_600.0
KEEPER_KEY = "own/keeper"


def endpoint(number, domain="d0", zone="a", **fields):
    return Endpoint(
        id=f"e{number}",
        service=SERVICE,
        address=f"127.0.0.1:{number}",
        zone=zone,
        slots=9,
        leaving=False,
        domain=domain,
        **fields,
    )


def member(endpoint_, replica, rank, state=ReplicaState.OPEN, generation=1):
    return replace(endpoint_, membership=Membership(replica, generation, rank, state))


def engine_spec(**fields):
    models = (
        ModelSpec("large", 4, 1.0, 0.5, 16.0, 1.6),
        ModelSpec("small", 2, 0.6, 0.5, 12.0, 1.1),
    )
    values = {"slots": 9, "models": models, "loads_per_s": 5.0, "max_concurrent_loads": 7, **fields}
    return EngineSpec(**values)


class MemoryOrders(EngineOrders):
    """Orders that may stay unanswered, be carried out late, or not arrive at all."""

    def __init__(self, fleet, keeper_name):
        self.fleet = fleet
        self.keeper_name = keeper_name

    def _reachable(self, endpoint_id):
        engine = self.fleet.hosted.engines.get(endpoint_id)
        cut = self.keeper_name in self.fleet.cut_keepers
        return engine is not None and engine.alive and not cut and not engine.unreachable

    async def report(self, endpoint, timeout_ms):
        if not self._reachable(endpoint.id):
            await asyncio.sleep(timeout_ms / 1000)
            return None
        await asyncio.sleep(0.003)
        return self.fleet.report(endpoint.id)

    async def _order(self, endpoint, **body):
        await asyncio.sleep(0.002)
        fleet = self.fleet
        if not self._reachable(endpoint.id):
            await asyncio.sleep(0.35)
            return OrderResult.UNKNOWN
        engine = fleet.hosted.engines[endpoint.id]
        if fleet.random.random() < fleet.lost_orders:
            delay_s = fleet.random.uniform(2.0, 12.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, fleet.carry_out, engine, body)
            await asyncio.sleep(0.35)
            return OrderResult.UNKNOWN
        status = fleet.hosted.order(engine, body)
        fleet.tell(engine)
        return {
            200: OrderResult.DONE,
            202: OrderResult.BEGUN,
            409: OrderResult.UNFIT,
            412: OrderResult.OUTDATED,
        }[status]

    async def join(self, endpoint, replica, generation, model, members):
        return await self._order(
            endpoint,
            operation="join",
            group=replica,
            epoch=generation,
            model=model,
            members=members,
        )

    async def open(self, head, replica, generation):
        return await self._order(head, operation="open", group=replica, epoch=generation)

    async def close(self, head, replica, generation, abort):
        return await self._order(head, operation="close", group=replica, epoch=generation)

    async def leave(self, endpoint, replica, generation):
        return await self._order(endpoint, operation="leave", group=replica, epoch=generation)

    async def stage(self, endpoint, model):
        return await self._order(endpoint, operation="phase", model=model)


class MemoryStore(MetadataStore):
    """The store's interface over a `HostedStore`, for one daemon."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.hosted = fleet.store

    async def _arrive(self):
        await asyncio.sleep(self.fleet.store_answer_s)
        if self.fleet.store_away or self.name in self.fleet.cut_from_store:
            await asyncio.sleep(0.5)
            raise StoreUnavailableError("away")

    async def read(self, key):
        await self._arrive()
        item = self.hosted.items.get(key)
        return StoreItem(key, item.value, item.revision, item.lease) if item else None

    async def list(self, prefix):
        raise NotImplementedError

    async def watch(self, prefix, after, wait_ms):
        raise NotImplementedError

    async def put_if(self, key, value, revision, lease=0):
        await self._arrive()
        self.hosted.expire_leases()
        item = self.hosted.items.get(key)
        if (item.revision if item else 0) != revision:
            return None
        return self.hosted.put(key, value, lease)

    async def grant_lease(self, ttl_ms):
        await self._arrive()
        return self.hosted.grant_lease(ttl_ms)

    async def renew_lease(self, lease):
        await self._arrive()
        if not self.hosted.renew_lease(lease):
            raise LeaseEndedError(str(lease))

    async def revoke_lease(self, lease):
        await self._arrive()
        self.hosted.end_lease(lease)


class MemoryWatcher:
    """What a keeper's lease sees of the store, without a watch."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.own_changed = asyncio.Event()
        self.reachable_since_ms = 0.0

    @property
    def store_reachable(self):
        return not self.fleet.store_away and self.name not in self.fleet.cut_from_store

    @property
    def own_items(self):
        self.fleet.store.expire_leases()
        return {k: v for k, v in self.fleet.store.items.items() if k == KEEPER_KEY}


class MemoryFleet:
    """Engines and keepers with faults, in virtual time."""

    def __init__(self, clock, seed=0, domains=2, per_domain=8, keepers=2, traffic=True):
        self.clock = clock
        random.seed(seed)  # the jitter of campaigns, too
        self.random = random.Random(seed)
        models = [
            HostedModel("large", 4, 16_000.0, 1_600.0),
            HostedModel("small", 2, 12_000.0, 1_100.0),
        ]
        self.hosted = HostedEngines(clock, models)
        self.store = HostedStore(clock)
        self.store_away = False
        self.store_answer_s = 0.004
        self.cut_from_store = set()
        self.cut_keepers = set()
        self.confirmed_away = False
        self.lost_orders = 0.0
        self.served = 0
        self.keepers = {}
        self.watchers = {}
        self.directories = {}
        self.traffic = traffic
        for number in range(domains * per_domain):
            self.add_engine(number, f"d{number // per_domain}")
        for number in range(keepers):
            self.add_keeper(f"k{number}")
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self._beat())

    def add_engine(self, number, domain, staged=()):
        engine = HostedEngine(f"e{number}", "a", domain, f"127.0.0.1:{number}")
        engine.staged = list(staged)
        engine.unreachable = False
        engine.lapsed = False
        return self.hosted.add(engine)

    def add_keeper(self, name):
        decisions = DecisionLog(self.clock)
        directory = EndpointDirectory(self.clock, decisions)
        directory.synced = True
        holder = ActiveConfig(None, decisions)
        holder.config = FleetConfig(1, (), {SERVICE: ServiceSpec(SERVICE, engine_spec())}, ())
        settings = NodeSettings(name, "a", "", "", "", "", "")
        watcher = MemoryWatcher(self, name)
        lease = KeeperLease(
            MemoryStore(self, name), watcher, KEEPER_KEY, b"", self.clock, decisions
        )
        lease.outage_confirmed = lambda: self.confirmed_away
        orders = MemoryOrders(self, name)
        keeper = ReplicaKeeper(lease, orders, directory, holder, settings, self.clock, decisions)
        keeper.traffic_seen = self.traffic
        self.keepers[name] = keeper
        self.directories[name] = directory
        self.watchers[name] = watcher
        lease.start()
        keeper.start()

    def holder(self):
        return next((k for k in self.keepers.values() if k.lease.tenure is not None), None)

    def carry_out(self, engine, body):
        if engine.alive:
            self.hosted.order(engine, body)
            self.tell(engine)

    def endpoint_of(self, engine):
        state = self.hosted.state(engine)
        membership = None
        if state is not None:
            group = engine.group
            rank = group.members.index(engine.id)
            membership = Membership(group.name, group.epoch, rank, ReplicaState(state))
        engine.entry_count += 1
        return endpoint(
            int(engine.id[1:]),
            engine.domain,
            staged=tuple(self.hosted.staged(engine)),
            started_ms=engine.started_ms,
            entry_number=engine.entry_count,
            membership=membership,
        )

    def report(self, endpoint_id):
        told = self.endpoint_of(self.hosted.engines[endpoint_id])
        return EngineReport(told.started_ms, False, told.staged, told.membership, 0, 0, 1.0)

    def tell(self, engine):
        told = self.endpoint_of(engine)
        for name, directory in self.directories.items():
            if name not in self.cut_from_store and not self.store_away and not engine.lapsed:
                directory.update(engine.id, told, self.store.revision)

    async def _beat(self):
        """Tell changes, lapse silent engines' entries, and let requests begin to run."""
        told, silent_ms, away = {}, {}, set()
        while True:
            await asyncio.sleep(0.05)
            self.store.revision += 1
            away = self._list_for_returned(away)
            everybody = self.store_away or self.cut_from_store >= set(self.directories)
            # A digest is believed for 600 ms.
            asyncio.get_running_loop().call_later(0.6, self._confirm, everybody)
            for engine in list(self.hosted.engines.values()):
                now = self.clock.now_ms()
                if not engine.alive or engine.lapsed:
                    silent_ms.setdefault(engine.id, now)
                    if now - silent_ms[engine.id] > ENTRY_LAPSE_MS and not self.store_away:
                        for name, directory in self.directories.items():
                            if name not in self.cut_from_store:
                                directory.remove(engine.id)
                    continue
                silent_ms.pop(engine.id, None)
                state = (self.hosted.state(engine), engine.group and engine.group.key)
                state += (tuple(self.hosted.staged(engine)),)
                missing = any(engine.id not in d.records for d in self.directories.values())
                if told.get(engine.id) != state or missing:
                    told[engine.id] = state
                    self.tell(engine)
                self.served += self.hosted.accepts_requests(engine)

    def _list_for_returned(self, away):
        """List all entries for the keepers that reach the store again."""
        now_away = set(self.directories) if self.store_away else set(self.cut_from_store)
        for name in away - now_away:
            directory = self.directories[name]
            self.watchers[name].reachable_since_ms = self.clock.now_ms()
            directory.store_returned()
            directory.replace_all(
                (e.id, self.endpoint_of(e), self.store.revision)
                for e in self.hosted.engines.values()
                if e.alive and not e.lapsed
            )
        for directory in self.directories.values():
            directory.drop_lapsed()
        return now_away

    def _confirm(self, everybody):
        self.confirmed_away = everybody

    def open_replicas(self, model=None):
        """Count the heads that would serve now."""
        return sum(
            self.hosted.accepts_requests(engine)
            for engine in self.hosted.engines.values()
            if engine.group is not None and model in (None, engine.group.model)
        )
