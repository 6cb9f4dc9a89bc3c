"""Registers this daemon in the store and exchanges digests with peers."""

import asyncio

import msgspec

from corianderhaven.common import MS_PER_S, AsyncHttpClient, ConnectionLostError

from ._digests import DIGEST_PATH
from ._interfaces import LeaseEndedError, StoreUnavailableError

SHORTEST_EXCHANGE_MS = 100.0  # a tenth of a usual answer: load is known before it has changed
LONGEST_EXCHANGE_MS = 200.0  # a third of the age at which what was heard stops counting
# An exchange takes a hub about 1 ms of a core: at 66 exchanges a second, a fifteenth of it.
EXCHANGE_MS_PER_PEER = 15.0
EXCHANGE_TIMEOUT_MS = 400.0  # less than the age at which what was heard stops counting
FOLLOW_MS = 100.0  # a new peer is found as fast as an exchange tells of it
RECORD_LEASE_MS = 8_000.0
RECORD_KEEP_MS = 2_500.0  # three tries in the time of a lease


class DaemonRecord(msgspec.Struct):
    """What the store tells of a daemon."""

    address: str
    zone: str


class PeerExchange:
    """Registers this daemon, and runs one task for each peer to exchange digests with.

    Parameters
    ----------
    table : PeerTable
    store : MetadataStore
    watcher : StoreWatcher
    key_prefix : str
        Below which daemons are registered by name.
    address : str
        ``IP:port`` at which peers reach this daemon.
    decisions : DecisionLog
    source_ip : str or None
    """

    def __init__(self, table, store, watcher, key_prefix, address, decisions, source_ip):
        self.table = table
        self.store = store
        self.watcher = watcher
        self.key_prefix = key_prefix
        self.address = address
        self.decisions = decisions
        self.source_ip = source_ip
        self.exchanges = {}
        self.tasks = []

    def start(self):
        """Begin to register and to exchange."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._register()), loop.create_task(self._follow_peers())]

    def close(self):
        """Stop exchanging; the registration lapses."""
        for task in (*self.tasks, *self.exchanges.values()):
            task.cancel()

    async def _register(self):
        key = self.key_prefix + self.table.own_name
        lease = None
        while True:
            try:
                if lease is None:
                    lease = await self.store.grant_lease(RECORD_LEASE_MS)
                    await self._write_record(key, lease)
                else:
                    await self.store.renew_lease(lease)
            except LeaseEndedError:
                lease = None
                continue
            except StoreUnavailableError as error:
                self.decisions.record("registration_failed", reason=str(error))
            await asyncio.sleep(RECORD_KEEP_MS / MS_PER_S)

    async def _write_record(self, key, lease):
        """Write the record over that of an earlier life."""
        item = await self.store.read(key)
        revision = item.revision if item is not None else 0
        record = msgspec.json.encode(DaemonRecord(self.address, self.table.zone))
        if await self.store.put_if(key, record, revision, lease) is None:
            self.decisions.record("registration_raced", key=key, revision=revision)

    def _listed(self):
        """Return the daemons that the store lists, as (name, address, zone)."""
        listed = []
        for key, item in self.watcher.own_items.items():
            if not key.startswith(self.key_prefix):
                continue
            try:
                record = msgspec.json.decode(item.value, type=DaemonRecord)
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                self.decisions.record("daemon_record_unreadable", key=key, reason=str(error))
                continue
            listed.append((key[len(self.key_prefix) :], record.address, record.zone))
        return listed

    async def _follow_peers(self):
        while True:
            if self.watcher.store_reachable:
                self.table.set_listed_daemons(self._listed())
            targets = {(p.name, p.address): p for p in self.table.targets()}
            for target in [t for t in self.exchanges if t not in targets]:
                self.exchanges.pop(target).cancel()
            for target, peer in targets.items():
                if target not in self.exchanges:
                    self.decisions.record("peer_found", peer=peer.name, address=peer.address)
                    self.exchanges[target] = asyncio.get_running_loop().create_task(
                        self._exchange(peer)
                    )
            await asyncio.sleep(FOLLOW_MS / MS_PER_S)

    def _pause_ms(self):
        wanted_ms = EXCHANGE_MS_PER_PEER * self.table.zone_size()
        return min(max(SHORTEST_EXCHANGE_MS, wanted_ms), LONGEST_EXCHANGE_MS)

    async def _exchange(self, peer):
        client = AsyncHttpClient(peer.address, self.source_ip)
        reached = None
        try:
            while True:
                now_reached = await self._exchange_once(client, peer)
                if now_reached is not reached:
                    event = "peer_reached" if now_reached else "peer_lost"
                    self.decisions.record(event, peer=peer.name)
                    reached = now_reached
                await asyncio.sleep(self._pause_ms() / MS_PER_S)
        finally:
            client.close()

    async def _exchange_once(self, client, peer):
        """Tell a peer of this daemon and hear its answer; returns whether it answered."""
        body = self.table.message_to(peer)
        try:
            answer = await client.call("POST", DIGEST_PATH, body, EXCHANGE_TIMEOUT_MS)
            self.table.receive(answer.body)
        except ConnectionLostError:
            self.table.note_unreached(peer)
            return False
        except ValueError as error:
            self.decisions.record("digest_unreadable", peer=peer.name, reason=str(error))
            return False
        return True
