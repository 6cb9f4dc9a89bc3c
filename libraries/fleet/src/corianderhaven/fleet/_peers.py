"""What daemons tell each other: requests in flight, signs of life, suspicions.

Each sends a small digest to each peer a few times a second. A digest that is lost is
replaced by the next; one that is old says nothing.
"""

import asyncio
from dataclasses import dataclass

import msgspec

from corianderhaven.common import MS_PER_S, AsyncHttpClient, ConnectionLostError

from ._interfaces import LeaseEndedError, StoreUnavailableError

DIGEST_MS = 100.0  # a tenth of a usual answer: load is known before much of it has changed
DIGEST_MS_PER_PEER = 12.0  # bounds the time spent on digests as daemons get more
FRESH_MS = 600.0  # several digests; an older one tells of requests that have ended
SEND_TIMEOUT_MS = 400.0
FORGET_MS = 10_000.0  # a peer unheard for so long is not sent to, unless the store names it
RECORD_LEASE_MS = 8_000.0
RECORD_KEEP_MS = 2_500.0
DIGEST_PATH = "/peer/digest"


class HeadDigest(msgspec.Struct, array_like=True):
    """One daemon's requests at a head, and the age of its last sign of life there.

    Parameters
    ----------
    sign_age_ms : float
        Negative when there was none.
    """

    own: int
    sign_age_ms: float = -1.0


class Digest(msgspec.Struct):
    """What one daemon tells its peers.

    Parameters
    ----------
    opened : dict of str to (str, int)
        Heads, with replica and generation, that the keeper opened while the store was out of
        reach, so that no entry tells of them.
    """

    daemon: str
    address: str
    heads: dict[str, HeadDigest] = {}
    suspects: list[str] = []
    store_reachable: bool = True
    opened: dict[str, tuple[str, int]] = {}


@dataclass
class Peer:
    """What is known of another daemon."""

    name: str
    address: str
    heard_ms: float
    digest: Digest | None = None
    listed: bool = False


class PeerTable:
    """The other daemons and their latest digests.

    Parameters
    ----------
    own_name : str
    clock : Clock
    """

    def __init__(self, own_name, clock):
        self.own_name = own_name
        self.clock = clock
        self.peers = {}
        self.on_suspects = lambda head_ids, daemon: None
        self.on_opened = lambda opened: None

    def list_from(self, records):
        """Take over the daemons that the store lists, as (name, address)."""
        listed = {name: address for name, address in records if name != self.own_name}
        now = self.clock.now_ms()
        for name, address in listed.items():
            peer = self.peers.get(name)
            if peer is None or peer.address != address:
                self.peers[name] = Peer(name, address, now, listed=True)
        for peer in self.peers.values():
            peer.listed = peer.name in listed

    def receive(self, body):
        """Take over a digest; raises ValueError when it can't be read."""
        try:
            digest = msgspec.json.decode(body, type=Digest)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(str(error)) from None
        if digest.daemon == self.own_name:
            return
        now = self.clock.now_ms()
        peer = self.peers.get(digest.daemon)
        if peer is None or peer.address != digest.address:
            peer = self.peers[digest.daemon] = Peer(digest.daemon, digest.address, now)
        peer.heard_ms = now
        peer.digest = digest
        if digest.suspects:
            self.on_suspects(digest.suspects, digest.daemon)
        if digest.opened:
            self.on_opened(digest.opened)

    def targets(self):
        """Return the peers to send digests to, and forget those that are gone."""
        now = self.clock.now_ms()
        for name, peer in list(self.peers.items()):
            if not peer.listed and now - peer.heard_ms > FORGET_MS:
                del self.peers[name]
        return list(self.peers.values())

    def fresh(self):
        """Return the peers whose latest digest still tells something."""
        now = self.clock.now_ms()
        return [
            p for p in self.peers.values() if p.digest is not None and now - p.heard_ms < FRESH_MS
        ]

    def nobody_reaches_store(self):
        """Return whether all known peers have just said that the store is out of reach."""
        fresh = self.fresh()
        if not self.peers or len(fresh) < len(self.peers):
            return False
        return not any(p.digest.store_reachable for p in fresh)

    def others_at(self, head_id):
        """Return how many requests of fresh peers are at a head."""
        return sum(
            told.own for p in self.fresh() if (told := p.digest.heads.get(head_id)) is not None
        )

    def last_sign_ms(self, head_id):
        """Return when a peer last saw a sign of life of a head, or None."""
        signs = [
            p.heard_ms - told.sign_age_ms
            for p in self.fresh()
            if (told := p.digest.heads.get(head_id)) is not None and told.sign_age_ms >= 0.0
        ]
        return max(signs, default=None)


class PeerExchange:
    """Registers this daemon in the store and sends digests, one task for each peer.

    Parameters
    ----------
    table : PeerTable
    store : MetadataStore
    watcher : StoreWatcher
    key_prefix : str
        Below which daemons are registered by name.
    address : str
        ``IP:port`` at which peers reach this daemon.
    make_digest : callable
        Returns the `Digest` to send.
    decisions : DecisionLog
    source_ip : str or None
    """

    def __init__(
        self, table, store, watcher, key_prefix, address, make_digest, decisions, source_ip
    ):
        self.table = table
        self.store = store
        self.watcher = watcher
        self.key_prefix = key_prefix
        self.address = address
        self.make_digest = make_digest
        self.decisions = decisions
        self.source_ip = source_ip
        self.senders = {}
        self.tasks = []

    def start(self):
        """Begin to register and to send."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._register()), loop.create_task(self._follow_peers())]

    def close(self):
        """Stop sending; the registration lapses."""
        for task in (*self.tasks, *self.senders.values()):
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
                    await self.store.keep_lease(lease)
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
        if await self.store.put_if(key, self.address.encode(), revision, lease) is None:
            self.decisions.record("registration_raced", key=key, revision=revision)

    async def _follow_peers(self):
        while True:
            records = [
                (key[len(self.key_prefix) :], item.value.decode("latin-1"))
                for key, item in self.watcher.own_items.items()
                if key.startswith(self.key_prefix)
            ]
            if self.watcher.store_reachable:
                self.table.list_from(records)
            targets = {(p.name, p.address): p for p in self.table.targets()}
            for target in [t for t in self.senders if t not in targets]:
                self.senders.pop(target).cancel()
            for target, peer in targets.items():
                if target not in self.senders:
                    self.decisions.record("peer_found", peer=peer.name, address=peer.address)
                    self.senders[target] = asyncio.get_running_loop().create_task(
                        self._send_digests(peer)
                    )
            await asyncio.sleep(self._pause_ms() / MS_PER_S)

    def _pause_ms(self):
        return max(DIGEST_MS, DIGEST_MS_PER_PEER * len(self.senders))

    async def _send_digests(self, peer):
        client = AsyncHttpClient(peer.address, self.source_ip)
        reached = None
        try:
            while True:
                body = msgspec.json.encode(self.make_digest())
                try:
                    await client.call("POST", DIGEST_PATH, body, SEND_TIMEOUT_MS)
                    now_reached = True
                except ConnectionLostError:
                    now_reached = False
                if now_reached is not reached:
                    event = "peer_reached" if now_reached else "peer_lost"
                    self.decisions.record(event, peer=peer.name)
                    reached = now_reached
                await asyncio.sleep(self._pause_ms() / MS_PER_S)
        finally:
            client.close()
