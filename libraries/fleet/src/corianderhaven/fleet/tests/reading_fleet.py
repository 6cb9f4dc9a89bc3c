"""Daemons of several zones that read an in-memory store and tell each other, in virtual time."""

import asyncio
import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import msgspec

from corianderhaven.common import AsyncHttpClient, ConnectionLostError
from corianderhaven.fleet import (
    DIGEST_PATH,
    ActiveConfig,
    Digest,
    EndpointDirectory,
    FeedReader,
    FeedWriter,
    FleetConfig,
    HistoryGoneError,
    KeeperLease,
    LeaseEndedError,
    MetadataStore,
    NodeSettings,
    PeerExchange,
    PeerState,
    PeerTable,
    PlatformFormat,
    Role,
    ServiceSpec,
    StoreCalls,
    StoreEra,
    StoreItem,
    StoreReaders,
    StoreUnavailableError,
    StoreWatcher,
    encode_state,
)
from corianderhaven.fleet import _peer_exchange as peer_exchange
from corianderhaven.fleet.tests.memory_fleet import SERVICE, endpoint, engine_spec
from corianderhaven.standins import HostedStore

ENTRY_INTERVAL_S = 1.2
PAGE_ITEMS = 50
CALL_TIMEOUT_S = 0.9
LINK_S = 0.002
CONFIG = "op/config"
ENTRIES = "servers/"


class Format(PlatformFormat):
    """Entries that hold their number and whether the endpoint leaves, as JSON."""

    endpoint_prefix = ENTRIES
    config_key = CONFIG

    def decode_endpoint(self, endpoint_id, value):
        count, leaving = msgspec.json.decode(value)
        entry = endpoint(int(endpoint_id[1:]), entry_number=count, started_ms=1)
        return replace(entry, leaving=leaving)

    def decode_config(self, value):
        return FleetConfig(int(value), (), {SERVICE: ServiceSpec(SERVICE, engine_spec())}, ())


class NodeStore(MetadataStore):
    """Store as one daemon reaches it; each page of a listing is a call."""

    def __init__(self, fleet, node, era):
        super().__init__(era)
        self.fleet, self.node, self.hosted = fleet, node, fleet.store
        self.calls = StoreCalls()

    async def _call(self, execute, timeout_s=CALL_TIMEOUT_S):
        self.calls.record()
        await self.node.running.wait()
        sent_in = self.era.number
        if self.node.name in self.fleet.refused:
            raise StoreUnavailableError("status 503")
        if self.node.name in self.fleet.cut_from_store:
            await asyncio.sleep(timeout_s)
            raise StoreUnavailableError("timed out", outcome_unknown=True)
        await asyncio.sleep(self.fleet.answer_s / 2)
        result, answered_in = execute(), self.hosted.era
        if asyncio.iscoroutine(result):
            result = await result
        await asyncio.sleep(self.fleet.answer_s / 2)
        await self.node.running.wait()
        self.check_era(sent_in, answered_in)
        return result

    def _item(self, key):
        item = self.hosted.items.get(key)
        return StoreItem(key, item.value, item.revision, item.lease) if item else None

    async def read(self, key):
        return await self._call(lambda: self._item(key))

    async def list(self, prefix):
        items, first, after = [], None, ""
        while True:
            keys = sorted(k for k in self.hosted.items if k.startswith(prefix) and k > after)

            def execute(page=tuple(keys[:PAGE_ITEMS])):
                return [i for i in map(self._item, page) if i], self.hosted.revision

            page, revision = await self._call(execute)
            items += page
            first = revision if first is None else first
            if len(keys) <= PAGE_ITEMS:
                return items, first
            after = keys[PAGE_ITEMS - 1]

    async def watch(self, prefix, after, wait_ms):
        events = await self._call(
            lambda: self.hosted.wait_for_events(prefix, after, wait_ms), wait_ms / 1000 + 0.6
        )
        if events is None:
            raise HistoryGoneError(prefix)
        deleted = {e["key"] for e in events if e.get("deleted")}
        items = [self._item(e["key"]) for e in events]
        gone = [StoreItem(k, None, after) for k in deleted if k not in self.hosted.items]
        return [i for i in items if i] + gone, max([e["revision"] for e in events] + [after])

    async def put_if(self, key, value, revision, lease=0):
        def execute():
            self.hosted.expire_leases()
            if lease and lease not in self.hosted.leases:
                raise LeaseEndedError(str(lease))
            item = self.hosted.items.get(key)
            known = item.revision if item else 0
            return self.hosted.put(key, value, lease) if known == revision else None

        return await self._call(execute)

    async def grant_lease(self, ttl_ms):
        return await self._call(lambda: self.hosted.grant_lease(ttl_ms))

    async def renew_lease(self, lease):
        if not await self._call(lambda: self.hosted.renew_lease(lease), 0.45):
            raise LeaseEndedError(str(lease))

    async def revoke_lease(self, lease):
        await self._call(lambda: self.hosted.end_lease(lease))


class MemoryClient:
    """Stands in for the HTTP client of `PeerExchange`: calls the peer in this process."""

    fleet = None

    def __init__(self, address, source):
        self.address, self.source = address, source

    async def call(self, method, target, body, timeout_ms):
        own, other = self.fleet.nodes[self.source], self.fleet.nodes.get(self.address)
        self.fleet.messages[target] += 1
        await own.running.wait()
        await asyncio.sleep(LINK_S)
        if other is None or other.stopped:
            raise ConnectionLostError("refused", sent=False)
        zones = frozenset((own.zone, other.zone))
        if not other.running.is_set() or zones in self.fleet.cut_zones:
            await asyncio.sleep(timeout_ms / 1000)
            raise ConnectionLostError("timed out", sent=True)
        answer = other.answer(target, body)
        await asyncio.sleep(LINK_S)
        return SimpleNamespace(body=answer)

    def close(self):
        pass


class QuietLog:
    """Decision log that counts events by name."""

    def __init__(self):
        self.counts = Counter()

    def record(self, event, **fields):
        self.counts[event] += 1


class Node:
    """One daemon without a gateway, wired as `FleetDaemon` wires it."""

    def __init__(self, fleet, name, zone, **settings):
        self.fleet, self.name, self.zone, clock = fleet, name, zone, fleet.clock
        self.running, self.stopped = asyncio.Event(), False
        self.running.set()
        self.decisions = log = QuietLog()
        self.settings = NodeSettings(name, zone, name, "", "", name, "", **settings)
        era = StoreEra(clock, log)
        self.store = NodeStore(fleet, self, era)
        self.directory = EndpointDirectory(clock, log)
        self.config = ActiveConfig(Format().decode_config, log)
        self.watcher = StoreWatcher(self.store, Format(), self.directory, self.config, clock, log)
        self.watcher.own_prefix = "own/"
        self.lease = KeeperLease(self.store, self.watcher, "own/keeper", b"", clock, log)
        self.lease.first_start = self.settings.first_start
        self.peers = PeerTable(name, clock, zone)
        self.peers.make_digest = self.make_digest
        feed_writer = FeedWriter(self.directory, self.watcher, clock)
        self.feed_reader = FeedReader(self.directory, self.watcher, name, clock, log)
        self.peers.make_feed_request = self.feed_reader.request
        self.peers.answer_feed = feed_writer.answer
        self.peers.on_feed = self.feed_reader.apply
        self.peers.on_peer_state = self.observe_peer
        self.lease.outage_confirmed = self.peers.store_outage_confirmed
        self.exchange = PeerExchange(
            self.peers, self.store, self.watcher, "own/daemons/", name, log, name
        )
        self.exchange.config_version = lambda: self.config.version
        self.exchange.apply_state = lambda state, peer: self.config.update(state.config, None)
        self.readers = StoreReaders(
            self.peers,
            self.watcher,
            self.feed_reader,
            self.lease,
            self.exchange,
            clock,
            self.settings,
        )
        self.readers.wire()
        self.store.calls.role = lambda: (
            Role.KEEPER
            if self.lease.tenure is not None
            else Role.HUB
            if self.peers.is_hub()
            else Role.READER
        )
        for part in (self.watcher, self.lease, self.exchange):
            part.start()

    def make_digest(self):
        digest = Digest(self.name, self.name, zone=self.zone)
        digest.store_reachable = self.watcher.store_reachable
        digest.era, digest.tenure = self.watcher.store.era.number, self.lease.latest_tenure
        digest.config_version = self.config.version
        digest.holds_lease = self.lease.renewed_in_time()
        return digest

    def observe_peer(self, digest):
        self.watcher.store.era.observe(digest.era, digest.daemon)
        self.lease.observe_tenure(digest.tenure, digest.daemon)

    def answer(self, target, body):
        if target != DIGEST_PATH:
            return encode_state(PeerState(self.config.value, self.config.version))
        peer = self.exchange.receive(body)
        return self.peers.response_to(peer) if peer is not None else b""

    def stop(self):
        self.stopped = True
        for part in (self.exchange, self.lease, self.watcher):
            part.close()


class ReadingFleet:
    """Daemons, endpoints that write their entries, and the faults between them."""

    def __init__(self, clock, sizes, endpoints=40, seed=0, **settings):
        random.seed(seed)
        self.clock, self.store, self.answer_s = clock, HostedStore(clock), 0.004
        self.refused, self.cut_from_store, self.cut_zones = set(), set(), set()
        self.entries = {f"e{n}": [0, False] for n in range(endpoints)}
        self.messages = Counter()  # between daemons, by target
        self.version = 0
        self.publish_config()
        self.nodes = {}
        MemoryClient.fleet = self
        peer_exchange.AsyncHttpClient = MemoryClient
        for zone, size in sizes.items():
            for number in range(size):
                name = f"{zone}-{number:03}"
                self.nodes[name] = Node(self, name, zone, **settings)
        self.tasks = [asyncio.get_running_loop().create_task(self._write_entries())]

    def publish_config(self):
        self.version += 1
        self.store.put(CONFIG, b"%d" % self.version)

    def write(self, endpoint_id):
        entry = self.entries[endpoint_id]
        entry[0] += 1
        self.store.put(ENTRIES + endpoint_id, msgspec.json.encode(entry))

    async def _write_entries(self):
        while True:
            for endpoint_id in list(self.entries):
                self.write(endpoint_id)
                await asyncio.sleep(ENTRY_INTERVAL_S / len(self.entries))

    def close(self):
        for node in self.nodes.values():
            if not node.stopped:
                node.stop()
        for task in self.tasks:
            task.cancel()
        peer_exchange.AsyncHttpClient = AsyncHttpClient

    def live(self):
        return [n for n in self.nodes.values() if not n.stopped and n.running.is_set()]

    def keeper(self):
        return next((n for n in self.live() if n.lease.tenure is not None), None)

    def following(self):
        return sorted(n.name for n in self.live() if n.watcher.following)

    def calls(self):
        """Return the calls of all daemons by (purpose, role)."""
        return sum((n.store.calls.counts for n in self.nodes.values()), Counter())
