"""In-memory fleets: real keepers with simulated engines that check their invariants."""

import asyncio
import random
from collections import deque
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
    RequestKind,
    RouteRule,
    ServiceSpec,
    StoreEra,
    StoreItem,
    StoreUnavailableError,
)
from corianderhaven.standins import HostedEngine, HostedEngines, HostedModel, HostedStore

SERVICE = "pool"
ENTRY_TTL_MS = 3_600.0
COPY_INTERVAL_S = 0.05
DIGEST_DELAY_S = 0.3
OPENED_ANNOUNCE_MS = 3_000.0
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
    """Orders that may get no response, be executed late or not arrive at all."""

    def __init__(self, fleet, keeper_name):
        self.fleet = fleet
        self.keeper_name = keeper_name

    def _reachable(self, endpoint_id):
        engine = self.fleet.hosted.engines.get(endpoint_id)
        cut = self.keeper_name in self.fleet.keepers_without_engines
        answers = engine is not None and engine.alive and not engine.paused
        return answers and not cut and not engine.unreachable

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
        if fleet.random.random() < fleet.order_loss or fleet.loses_first_order(engine, body):
            fleet.delay_order(engine, body)
            await asyncio.sleep(0.35)
            return OrderResult.UNKNOWN
        status = fleet.hosted.order(engine, body)
        fleet.outdated_orders += status == 412
        fleet.publish(engine)
        if body["operation"] == "leave":
            fleet.hasten_late_orders(engine, body["group"], had_left=status == 200)
        if fleet.answer_loss and fleet.random.random() < fleet.answer_loss:
            await asyncio.sleep(0.35)
            return OrderResult.UNKNOWN
        return {
            200: OrderResult.DONE,
            202: OrderResult.BEGUN,
            409: OrderResult.UNFIT,
            412: OrderResult.OUTDATED,
        }[status]

    async def join(self, endpoint, replica, generation, model, members, order_count=None):
        return await self._order(
            endpoint,
            operation="join",
            group=replica,
            epoch=generation,
            model=model,
            members=members,
            **({} if order_count is None else {"expected": order_count}),
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
    """Store interface of one daemon, backed by a `HostedStore`."""

    def __init__(self, fleet, name, era):
        super().__init__(era)
        self.fleet = fleet
        self.name = name
        self.hosted = fleet.store

    async def _simulate_call(self, execute):
        """Execute a call at the store, which may be restored before its answer arrives."""
        sent_in = self.era.number
        await asyncio.sleep(self.fleet.store_answer_s / 2)
        if self.fleet.store_down or self.name in self.fleet.daemons_without_store:
            await asyncio.sleep(0.5)
            raise StoreUnavailableError("the store is down")
        result = execute()
        answered_in = self.hosted.era
        await asyncio.sleep(self.fleet.store_answer_s / 2)
        self.check_era(sent_in, answered_in)
        return result

    async def read(self, key):
        def execute():
            item = self.hosted.items.get(key)
            return StoreItem(key, item.value, item.revision, item.lease) if item else None

        return await self._simulate_call(execute)

    async def list(self, prefix):
        raise NotImplementedError

    async def watch(self, prefix, after, wait_ms):
        raise NotImplementedError

    async def put_if(self, key, value, revision, lease=0):
        def execute():
            self.hosted.expire_leases()
            if lease and lease not in self.hosted.leases:
                raise LeaseEndedError(str(lease))
            item = self.hosted.items.get(key)
            if (item.revision if item else 0) != revision:
                return None
            return self.hosted.put(key, value, lease)

        return await self._simulate_call(execute)

    async def grant_lease(self, ttl_ms):
        return await self._simulate_call(lambda: self.hosted.grant_lease(ttl_ms))

    async def renew_lease(self, lease):
        if not await self._simulate_call(lambda: self.hosted.renew_lease(lease)):
            raise LeaseEndedError(str(lease))

    async def revoke_lease(self, lease):
        await self._simulate_call(lambda: self.hosted.end_lease(lease))


class MemoryWatcher:
    """Replacement of `StoreWatcher` for a `KeeperLease`, without a watch."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.following = True
        self.own_changed = asyncio.Event()
        self.reachable_since_ms = 0.0
        self.following_since_ms = 0.0

    @property
    def store_reachable(self):
        return not self.fleet.store_down and self.name not in self.fleet.daemons_without_store

    @property
    def own_items(self):
        self.fleet.store.expire_leases()
        return {k: v for k, v in self.fleet.store.items.items() if k == KEEPER_KEY}


class MemoryFleet:
    """Engines and keepers with fault injection, in virtual time."""

    def __init__(self, clock, seed=0, domains=2, per_domain=8, keepers=2, traffic=True, **settings):
        self.clock = clock
        random.seed(seed)  # also seeds the jitter of campaigns
        self.random = random.Random(seed)
        models = [
            HostedModel("large", 4, 16_000.0, 1_600.0),
            HostedModel("small", 2, 12_000.0, 1_100.0),
        ]
        self.hosted = HostedEngines(clock, models)
        self.store = HostedStore(clock)
        self.store_down = False
        self.store_answer_s = 0.004
        self.daemons_without_store = set()
        self.keepers_without_engines = set()
        self.outage_confirmed = False
        self.order_loss = 0.0
        self.answer_loss = 0.0
        self.first_order_loss = 0.0
        self.kinds_sent = set()
        self.hastening = False  # late orders of a replica follow a leave of it
        self.late_orders = []
        self.late_s = (2.0, 12.0)
        self.late_orders_unconditional = False
        self.entry_delay_s = 0.0
        self.report_lag_s = 0.0
        self.reports = {}
        self.deliveries = {}
        self.draining = {}
        self.requests_started = 0
        self.keepers = {}
        self.watchers = {}
        self.eras = {}
        self.entries = {}
        self.copies = deque(maxlen=200)
        self.overlaps = []
        self.outdated_orders = 0
        self.directories = {}
        self.traffic = traffic
        self.config = FleetConfig(1, (), {SERVICE: ServiceSpec(SERVICE, engine_spec())}, ())
        self.settings = settings
        for number in range(domains * per_domain):
            self.add_engine(number, f"d{number // per_domain}")
        for number in range(keepers):
            self.add_keeper(f"k{number}")
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self._run_engines())

    def add_engine(self, number, domain, staged=()):
        engine = HostedEngine(f"e{number}", "a", domain, f"127.0.0.1:{number}")
        engine.staged = list(staged)
        engine.unreachable = False
        engine.without_store = False
        return self.hosted.add(engine)

    def add_keeper(self, name):
        decisions = DecisionLog(self.clock)
        directory = EndpointDirectory(self.clock, decisions)
        directory.synced = True
        active_config = ActiveConfig(None, decisions)
        active_config.config = self.config
        settings = NodeSettings(name, "a", "", "", "", "", "", **self.settings)
        watcher = MemoryWatcher(self, name)
        era = self.eras[name] = StoreEra(self.clock, decisions)
        lease = KeeperLease(
            MemoryStore(self, name, era), watcher, KEEPER_KEY, b"", self.clock, decisions
        )
        lease.outage_confirmed = lambda: self.outage_confirmed
        orders = MemoryOrders(self, name)
        keeper = ReplicaKeeper(
            lease, orders, directory, active_config, settings, self.clock, decisions
        )
        keeper.traffic_seen = self.traffic
        self.keepers[name] = keeper
        self.directories[name] = directory
        self.watchers[name] = watcher
        lease.start()
        keeper.start()

    def configure(self, models, timeout_ms=0.0):
        """Put the next version of the configuration in force at all daemons."""
        rule = RouteRule(
            "draft", "h", "/", RequestKind.STREAM, ((SERVICE, 1.0),), timeout_ms, 400.0
        )
        services = {SERVICE: ServiceSpec(SERVICE, engine_spec(models=tuple(models)))}
        self.config = FleetConfig(self.config.version + 1, (rule,), services, ())
        for keeper in self.keepers.values():
            keeper.active_config.config = self.config
            for listener in keeper.active_config.listeners:
                listener(self.config)

    def lease_holder(self):
        return next((k for k in self.keepers.values() if k.lease.tenure is not None), None)

    def lose_restarted(self, engine_id):
        """Have a member restart, which its entry shows, and lose it right after.

        Its head has to leave at once, although no other replica can be formed of what is left.
        """
        self.hosted.restart(engine_id)
        self.publish(self.hosted.engines[engine_id])
        self.hosted.kill(engine_id)

    def loses_first_order(self, engine, body):
        """Return whether the first order of its kind to an engine and replica gets no answer."""
        kind = (engine.id, body["operation"], body.get("group"))
        if not self.first_order_loss or kind in self.kinds_sent:
            return False
        self.kinds_sent.add(kind)
        return self.random.random() < self.first_order_loss

    def delay_order(self, engine, body):
        """Have an engine carry out an order some seconds later."""
        if self.late_orders_unconditional:
            body = {key: value for key, value in body.items() if key != "expected"}
        order = (engine, body)
        self.late_orders.append(order)
        loop = asyncio.get_running_loop()
        loop.call_later(self.random.uniform(*self.late_s), self._execute_delayed, order)

    def hasten_late_orders(self, engine, group, had_left):
        """Have an engine that was made to leave carry out late orders of that replica soon."""
        if not self.hastening or self.random.random() > (0.9 if had_left else 0.3):
            return
        delay_s = 0.0
        for operation, most_s in (("join", 0.15), ("open", 0.8)):
            for order in self.late_orders:
                body = order[1]
                if order[0] is engine and (body["operation"], body.get("group")) == (
                    operation,
                    group,
                ):
                    delay_s += self.random.uniform(0.0, most_s)
                    loop = asyncio.get_running_loop()
                    loop.call_later(delay_s, self._execute_delayed, order)
                    break
            delay_s += 0.25

    def _execute_delayed(self, order):
        if order in self.late_orders:
            self.late_orders.remove(order)
            self.execute_late(*order)

    def execute_late(self, engine, body):
        if engine.alive:
            self.hosted.order(engine, body)
            self.publish(engine)

    def endpoint_of(self, engine):
        engine.entry_count += 1
        return self._state_of(engine)

    def _state_of(self, engine):
        state = self.hosted.state(engine)
        membership = None
        if state is not None:
            group = engine.group
            rank = group.members.index(engine.id)
            membership = Membership(group.name, group.epoch, rank, ReplicaState(state))
        state = endpoint(
            int(engine.id[1:]),
            engine.domain,
            staged=tuple(self.hosted.staged(engine)),
            started_ms=engine.started_ms,
            entry_number=engine.entry_count,
            membership=membership,
        )
        return replace(state, leaving=engine.leaving)

    def report(self, endpoint_id):
        self._record_report(self.hosted.engines[endpoint_id])
        made_ms = self.clock.now_ms() - self.report_lag_s * self.random.random() * 1000
        reports = self.reports[endpoint_id]
        newest = reports[-1][1]
        made_before = [r for t, r in reports if t <= made_ms and r.started_ms == newest.started_ms]
        return made_before[-1] if made_before else newest

    def _record_report(self, engine):
        state = self._state_of(engine)
        report = EngineReport(
            state.started_ms, False, state.staged, state.membership, 0, 0, 1.0, engine.order_count
        )
        reports = self.reports.setdefault(engine.id, deque(maxlen=50))
        reports.append((self.clock.now_ms(), report))

    def publish(self, engine):
        self._record_report(engine)
        entry = self.endpoint_of(engine)
        if not self.store_down and not engine.without_store:
            self.entries[engine.id] = entry
        for name, directory in self.directories.items():
            if (
                name not in self.daemons_without_store
                and not self.store_down
                and not engine.without_store
            ):
                self._deliver(directory, entry)

    def _deliver(self, directory, entry):
        """Apply an entry to a directory, after a delay but in order."""
        if not self.entry_delay_s:
            directory.update(entry.id, entry, self.position())
            return
        loop = asyncio.get_running_loop()
        due = self.deliveries.get((directory, entry.id), 0.0)
        due = max(due, loop.time() + self.random.uniform(0.0, self.entry_delay_s))
        self.deliveries[directory, entry.id] = due + 1e-6
        loop.call_at(due, directory.update, entry.id, entry, self.position())

    def position(self):
        """Return the position of the latest entry in the store's history."""
        return (self.store.era, self.store.revision)

    def restore_store(self, age_s):
        """Restore the store from a copy of about `age_s` ago; daemons notice it a little later."""
        steps = min(len(self.copies), max(1, round(age_s / COPY_INTERVAL_S)))
        copy, entries = self.copies[-steps]
        self.copies.clear()
        self.store.restore(copy)
        self.entries = dict(entries)
        loop = asyncio.get_running_loop()
        for name in self.directories:
            loop.call_later(self.random.uniform(0.0, 1.0), self._list_restored, name)

    def _list_restored(self, name):
        """List the restored store, as a daemon does that sees a new era."""
        if self.store_down or name in self.daemons_without_store or name not in self.directories:
            return
        self.eras[name].observe(self.store.era, "watch")
        directory = self.directories[name]
        directory.note_store_recovery()
        directory.replace_all((i, entry, self.position()) for i, entry in self.entries.items())

    def drain_keeper(self):
        """Have the lease's holder end its tenure and go on for some seconds, as after a SIGTERM."""
        keeper = self.lease_holder()
        name = next(n for n, k in self.keepers.items() if k is keeper)
        keeper.close()
        self.draining[name] = self.keepers.pop(name)
        loop = asyncio.get_running_loop()
        self.resigning = loop.create_task(keeper.lease.resign())
        loop.call_later(self.random.uniform(2.0, 5.0), self._end_daemon, name)

    def _end_daemon(self, name):
        self.draining.pop(name).lease.close()
        del self.directories[name]

    def _opened_heads(self):
        """Return the heads that keepers, present and former, announce as opened."""
        daemons = [*self.keepers.values(), *self.draining.values()]
        return [k.opened_heads(OPENED_ANNOUNCE_MS) for k in daemons]

    def _exchange_digests(self, opened_heads):
        """Tell all daemons the latest era and tenure that any of them knows, and opened heads."""
        for opened in opened_heads:
            for head_id, head in opened.items():
                for directory in self.directories.values():
                    directory.update_from_keeper(
                        head_id, head.replica, head.generation, head.started_ms
                    )
        if not self.keepers:
            return
        era = max(e.number for e in self.eras.values())
        tenure = max(k.lease.latest_tenure for k in self.keepers.values())
        for name, keeper in self.keepers.items():
            self.eras[name].observe(era, "peer")
            keeper.lease.observe_tenure(tenure, "peer")

    def _record_copy(self):
        if not self.store_down:
            self.copies.append((self.store.copy(), dict(self.entries)))
        ordering = [n for n, k in self.keepers.items() if k.lease.may_order()]
        if len(ordering) > 1:
            self.overlaps.append((self.clock.now_ms(), ordering))

    async def _run_engines(self):
        """Publish changes, expire entries of silent engines and start requests, periodically."""
        published, silent_since_ms, cut_off = {}, {}, set()
        while True:
            await asyncio.sleep(0.05)
            self.store.revision += 1
            self._record_copy()
            if self.keepers:
                asyncio.get_running_loop().call_later(
                    DIGEST_DELAY_S, self._exchange_digests, self._opened_heads()
                )
            cut_off = self._list_after_outage(cut_off)
            all_cut_off = self.store_down or self.daemons_without_store >= set(self.directories)
            # Digests are valid for 600 ms.
            asyncio.get_running_loop().call_later(0.6, self._set_outage_confirmed, all_cut_off)
            for engine in list(self.hosted.engines.values()):
                now = self.clock.now_ms()
                if not engine.alive or engine.paused or engine.without_store:
                    silent_since_ms.setdefault(engine.id, now)
                    if now - silent_since_ms[engine.id] > ENTRY_TTL_MS and not self.store_down:
                        self.entries.pop(engine.id, None)
                        for name, directory in self.directories.items():
                            if name not in self.daemons_without_store:
                                directory.remove(engine.id)
                    continue
                silent_since_ms.pop(engine.id, None)
                state = (self.hosted.state(engine), engine.group and engine.group.key)
                state += (tuple(self.hosted.staged(engine)), engine.leaving)
                missing = any(engine.id not in d.records for d in self.directories.values())
                if published.get(engine.id) != state or missing:
                    published[engine.id] = state
                    self.publish(engine)
                self.requests_started += self.hosted.accepts_requests(engine)

    def _list_after_outage(self, cut_off):
        """List all entries for the keepers that reach the store again."""
        now_cut_off = set(self.directories) if self.store_down else set(self.daemons_without_store)
        for name in cut_off - now_cut_off:
            directory = self.directories[name]
            self.watchers[name].reachable_since_ms = self.clock.now_ms()
            directory.note_store_recovery()
            directory.replace_all(
                (e.id, self.endpoint_of(e), self.position())
                for e in self.hosted.engines.values()
                if e.alive and not e.without_store
            )
        for directory in self.directories.values():
            directory.remove_expired()
        return now_cut_off

    def _set_outage_confirmed(self, all_cut_off):
        self.outage_confirmed = all_cut_off

    def open_replicas(self, model=None):
        """Return the number of heads that can serve now."""
        return sum(
            self.hosted.accepts_requests(engine)
            for engine in self.hosted.engines.values()
            if engine.group is not None and model in (None, engine.group.model)
        )
