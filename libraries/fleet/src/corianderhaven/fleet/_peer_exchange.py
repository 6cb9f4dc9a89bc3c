"""Registration of this daemon in the store and exchange of digests with peers."""

import asyncio
import contextlib

import msgspec

from corianderhaven.common import MS_PER_S, AsyncHttpClient, ConnectionLostError

from ._digests import DIGEST_PATH
from ._interfaces import LeaseEndedError, StoreUnavailableError
from ._peer_state import STATE_PATH, decode_state
from ._store_calls import Purpose, PurposeStore

MIN_EXCHANGE_INTERVAL_MS = 100.0  # a tenth of a typical response time, so load data is current
MAX_EXCHANGE_INTERVAL_MS = 200.0  # a third of the time for which digests are valid
# An exchange costs a hub about 1 ms of CPU time: 66 per second use a fifteenth of a core.
EXCHANGE_INTERVAL_MS_PER_DAEMON = 15.0
STATE_TIMEOUT_MS = 1_500.0  # a peer that has gone silent holds up the next one no longer
EXCHANGE_TIMEOUT_MS = 400.0  # less than the time for which digests are valid
PEER_UPDATE_INTERVAL_MS = 100.0  # a new peer waits no longer than the shortest exchange interval
RECORD_LEASE_MS = 8_000.0
RECORD_RENEWAL_MS = 2_500.0  # three attempts within a lease


class DaemonRecord(msgspec.Struct):
    """Record of a daemon in the store."""

    address: str
    zone: str


class PeerExchange:
    """Registers this daemon and runs one exchange task per target peer.

    Parameters
    ----------
    table : PeerTable
    store : MetadataStore
    watcher : StoreWatcher
    key_prefix : str
        Prefix of the keys under which daemons are registered by name.
    address : str
        ``IP:port`` at which peers reach this daemon.
    decisions : DecisionLog
    source_ip : str or None

    Attributes
    ----------
    state_received : bool
        Whether the state of a peer was taken over since the start.
    config_version : callable
        Returns the version of the configuration in force here.
    record_lease_ms : callable
        Returns the lifetime of a new lease of this daemon's record.
    renewal_interval_ms : callable
        Returns the time until the record's lease is renewed.
    listing_wait_ms, start_delay_ms, restore_delay_ms : callable
        Return the time to wait at the start until the daemons may have been listed, from then on
        until registering, and before registering again after the store was restored.
    apply_state : callable
        Takes a `PeerState` and the name of the peer that sent it.
    """

    def __init__(self, table, store, watcher, key_prefix, address, decisions, source_ip):
        self.table = table
        self.store = PurposeStore(store, Purpose.REGISTRATION, renew_lease=Purpose.RENEWAL)
        self.watcher = watcher
        self.key_prefix = key_prefix
        self.address = address
        self.decisions = decisions
        self.source_ip = source_ip
        self.exchanges = {}
        # Daemons as of a count of changes: they are asked for ten times a second and rarely change.
        self.listed, self.listed_changes = [], -1
        self.unreadable = {}  # revisions of the records that were logged as unreadable, by key
        self.fetch = None
        self.tasks = []
        self.record_lease = None
        self.lease_ms = 0.0
        self.record_revision = None  # None while the record was not written under the lease
        self.record_lost = asyncio.Event()
        self.state_received = False
        self.record_lease_ms = lambda: RECORD_LEASE_MS
        self.renewal_interval_ms = lambda: RECORD_RENEWAL_MS
        self.listing_wait_ms = lambda: 0.0
        self.start_delay_ms = lambda: 0.0
        self.restore_delay_ms = lambda: 0.0
        self.config_version = lambda: 0
        self.apply_state = lambda state, peer: None
        store.era.listeners.append(self._forget_record)

    def start(self):
        """Start registering and exchanging digests."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._register()),
            loop.create_task(self._update_exchanges()),
        ]

    def close(self):
        """Stop all tasks; the registration expires with its lease."""
        fetches = [self.fetch] if self.fetch is not None else []
        for task in (*self.tasks, *self.exchanges.values(), *fetches):
            task.cancel()

    def _forget_record(self):
        """Register again: the restored store may lack the record, and its lease be another's."""
        self.record_lease = None
        self.record_lost.set()

    async def _register(self):
        await asyncio.sleep(self.listing_wait_ms() / MS_PER_S)
        await asyncio.sleep(self.start_delay_ms() / MS_PER_S)
        while True:
            wait_ms = RECORD_RENEWAL_MS
            try:
                await self._register_once()
                wait_ms = self.renewal_interval_ms()
            except LeaseEndedError:
                self.record_lease = None
                continue
            except StoreUnavailableError as error:
                self.decisions.record("registration_failed", reason=str(error))
            self.record_lost.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / MS_PER_S):
                    await self.record_lost.wait()
                    await asyncio.sleep(self.restore_delay_ms() / MS_PER_S)

    async def _register_once(self):
        """Renew the record's lease, or write the record under a new one."""
        if self.record_lease is not None and self.record_lease_ms() > self.lease_ms:
            # The fleet has grown: the record moves to a longer lease, and the other one expires.
            self.record_lease = None
        if self.record_lease is None:
            lease_ms = self.record_lease_ms()
            lease = await self.store.grant_lease(lease_ms)
            self.record_lease, self.lease_ms, self.record_revision = lease, lease_ms, None
        elif self.record_revision is not None:
            await self.store.renew_lease(self.record_lease)
            return
        key = self.key_prefix + self.table.own_name
        self.record_revision = await self._write_record(key, self.record_lease)

    async def _write_record(self, key, lease):
        """Write the record, replacing that of an earlier incarnation; return its revision.

        It is read only after a conflict, as there usually is none or the watcher knows it.
        """
        record = msgspec.json.encode(DaemonRecord(self.address, self.table.zone))
        known = self.watcher.own_items.get(key)
        revision = known.revision if known is not None else 0
        written = await self.store.put_if(key, record, revision, lease)
        if written is None:
            item = await self.store.read(key)
            revision = item.revision if item is not None else 0
            written = await self.store.put_if(key, record, revision, lease)
        if written is None:
            self.decisions.record("registration_raced", key=key, revision=revision)
        return written

    def lists_peers(self):
        """Return whether the store lists another daemon, or one is known from messages."""
        own_key = self.key_prefix + self.table.own_name
        listed = (k for k in self.watcher.own_items if k.startswith(self.key_prefix))
        return bool(self.table.peers) or any(key != own_key for key in listed)

    def listed_count(self):
        """Return the number of daemons that the store lists."""
        return sum(key.startswith(self.key_prefix) for key in self.watcher.own_items)

    def _listed_daemons(self):
        """Return the daemons listed in the store, as (name, address, zone)."""
        if self.watcher.own_changes == self.listed_changes:
            return self.listed
        self.listed_changes = self.watcher.own_changes
        listed, unreadable = [], {}
        for key, item in self.watcher.own_items.items():
            if not key.startswith(self.key_prefix):
                continue
            try:
                record = msgspec.json.decode(item.value, type=DaemonRecord)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                unreadable[key] = item.revision
                if self.unreadable.get(key) != item.revision:
                    self.decisions.record("daemon_record_unreadable", key=key, reason=str(error))
                continue
            listed.append((key[len(self.key_prefix) :], record.address, record.zone))
        self.unreadable, self.listed = unreadable, listed
        return listed

    async def _update_exchanges(self):
        while True:
            self.table.set_listed_daemons(self._listed_daemons())
            targets = {(p.name, p.address): p for p in self.table.targets()}
            for target in [t for t in self.exchanges if t not in targets]:
                self.exchanges.pop(target).cancel()
            for target, peer in targets.items():
                exchange = self.exchanges.get(target)
                if exchange is not None and exchange.done():
                    reason = repr(exchange.exception())
                    self.decisions.record("peer_exchange_failed", peer=peer.name, reason=reason)
                    del self.exchanges[target]
                if target not in self.exchanges:
                    self.decisions.record("peer_found", peer=peer.name, address=peer.address)
                    self.exchanges[target] = asyncio.get_running_loop().create_task(
                        self._exchange(peer)
                    )
            await asyncio.sleep(PEER_UPDATE_INTERVAL_MS / MS_PER_S)

    def _exchange_interval_ms(self):
        proportional_ms = EXCHANGE_INTERVAL_MS_PER_DAEMON * self.table.zone_size()
        return min(max(MIN_EXCHANGE_INTERVAL_MS, proportional_ms), MAX_EXCHANGE_INTERVAL_MS)

    async def _exchange(self, peer):
        client = AsyncHttpClient(peer.address, self.source_ip)
        last_answered = None
        try:
            while True:
                answered = await self._exchange_once(client, peer)
                if answered is not last_answered:
                    event = "peer_reached" if answered else "peer_lost"
                    self.decisions.record(event, peer=peer.name)
                    last_answered = answered
                await asyncio.sleep(self._exchange_interval_ms() / MS_PER_S)
        finally:
            client.close()

    async def _exchange_once(self, client, peer):
        """Exchange messages with a peer; returns whether it responded with a readable one."""
        body = self.table.message_to(peer)
        try:
            answer = await client.call("POST", DIGEST_PATH, body, EXCHANGE_TIMEOUT_MS)
            self.receive(answer.body)
        except ConnectionLostError:
            self.table.mark_unreachable(peer)
            return False
        except ValueError as error:
            self.decisions.record("digest_unreadable", peer=peer.name, reason=str(error))
            return False
        return True

    def receive(self, body):
        """Apply a message of a peer, whichever side began the exchange.

        The peer's state is fetched if this daemon has just started or runs an older configuration.

        Returns
        -------
        Peer or None
            The sender; None if this daemon sent the message itself.

        Raises
        ------
        ValueError
            If the message can't be decoded.
        """
        peer = self.table.receive(body)
        if peer is not None:
            behind = peer.digest.config_version > self.config_version()
            if behind or not self.state_received:
                self._begin_fetch(peer)
        return peer

    def _begin_fetch(self, peer):
        """Take over the state of a peer, unless that of another one is on its way."""
        if self.fetch is None or self.fetch.done():
            self.fetch = asyncio.get_running_loop().create_task(self._fetch_state(peer))

    async def _fetch_state(self, peer):
        """Take over what a peer knows and the store may have lost.

        Digests are exchanged meanwhile, as the state may take long over a narrow link. Whatever
        comes of it, no other fetch begins before the next exchange: all peers may be ahead.
        """
        await self._fetch_state_once(peer)
        await asyncio.sleep(self._exchange_interval_ms() / MS_PER_S)

    async def _fetch_state_once(self, peer):
        client = AsyncHttpClient(peer.address, self.source_ip)
        try:
            answer = await client.call("GET", STATE_PATH, b"", STATE_TIMEOUT_MS)
            state = decode_state(answer.body)
        except (ConnectionLostError, ValueError) as error:
            self.decisions.record("peer_state_failed", peer=peer.name, reason=str(error))
            return
        finally:
            client.close()
        self.state_received = True
        self.apply_state(state, peer.name)
