"""Configuration propagation: compare-and-swap proposals, watches, pushes and anti-entropy."""

import threading

import msgspec

from corianderhaven.common import (
    MS_PER_S,
    CorianderhavenError,
    ErrorCode,
    Outcome,
    TransportError,
)
from corianderhaven.config import ConfigRecord, diff_documents
from corianderhaven.platform import KeyValueError

CONFIG_KEY = "/corianderhaven/config"
WATCHERS_PER_ZONE = 2
MAX_WATCH_IDLE_MS = 20_000.0
MIN_WATCH_IDLE_MS = 2_000.0
RETRY_PAUSE_MS = 500.0
PROPOSAL_ATTEMPTS = 8
PROPOSAL_RETRY_PAUSE_MS = 300.0
MAX_RECENT_CHANGES = 32
SOURCE_PEER = "peer"
SOURCE_PLATFORM = "platform"
SOURCE_OPERATOR = "operator"


def decode_record(item):
    """Decode a stored item to a `ConfigRecord`; None stays None."""
    return None if item is None else ConfigRecord.decode(item.value)


class ConfigProposer:
    """Writes each configuration change at most once.

    Parameters
    ----------
    store : BaseKeyValueStore
    holder : ConfigHolder
    decisions : DecisionLog
    clock : Clock
    """

    def __init__(self, store, holder, decisions, clock):
        self.store = store
        self.holder = holder
        self.decisions = decisions
        self.clock = clock

    def propose(self, document, base_revision, change_id, operator):
        """Make `document` the active configuration.

        Parameters
        ----------
        document : Document
            Already validated.
        base_revision : int
            Revision that the operator's change is based on.
        change_id : str
            Unique id of the change; repeating a proposal with the same id is idempotent.
        operator : str

        Returns
        -------
        ConfigRecord

        Raises
        ------
        CorianderhavenError
            ``revision_conflict`` with the differing values, or ``platform_unavailable``; the
            operator resolves an unknown outcome by sending the same change id again.
        """
        error = None
        ambiguous = False
        for attempt in range(PROPOSAL_ATTEMPTS):
            if attempt:
                self.clock.sleep_ms(PROPOSAL_RETRY_PAUSE_MS)
            try:
                record = self._attempt(document, base_revision, change_id, operator)
            except KeyValueError as caught:
                error = caught
                ambiguous = ambiguous or caught.ambiguous
                continue
            self.holder.adopt(record, SOURCE_OPERATOR)
            return record
        outcome = Outcome.UNKNOWN if ambiguous else Outcome.NOT_RUN
        raise CorianderhavenError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"{error.message}; send change id {change_id} again",
            outcome,
            retry_after_ms=2000,
            details={"change_id": change_id},
        )

    def _attempt(self, document, base_revision, change_id, operator):
        item = self.store.get(CONFIG_KEY)
        stored = decode_record(item)
        item, stored = self._overwrite_restored_store(item, stored)
        if stored is not None and stored.change_id == change_id:
            return stored
        if stored is not None and change_id in stored.recent_changes:
            raise CorianderhavenError(
                ErrorCode.REVISION_CONFLICT,
                f"change {change_id} was in force and has been followed by another",
                Outcome.COMPLETE,
                details={"revision": stored.revision},
            )
        revision = stored.revision if stored else 0
        if revision != base_revision:
            raise self._conflict(stored, document, base_revision)
        record = ConfigRecord(
            revision=revision + 1,
            change_id=change_id,
            operator=operator,
            document=document,
            recent_changes=[*(stored.recent_changes if stored else []), change_id][
                -MAX_RECENT_CHANGES:
            ],
        )
        mod_revision = item.mod_revision if item else 0
        result = self.store.compare_and_swap(CONFIG_KEY, mod_revision, record.encode())
        if result.succeeded:
            return record
        current = decode_record(result.item)
        if current is not None and current.change_id == change_id:
            return current
        raise self._conflict(current, document, base_revision)

    def _overwrite_restored_store(self, item, stored):
        """Write the active configuration to a store that was restored to an older revision."""
        active = self.holder.record
        if active is None or (stored is not None and stored.revision >= active.revision):
            return item, stored
        mod_revision = item.mod_revision if item else 0
        result = self.store.compare_and_swap(CONFIG_KEY, mod_revision, active.encode())
        self.decisions.record(
            "config_raised",
            stored=stored.revision if stored else 0,
            revision=active.revision,
            succeeded=result.succeeded,
        )
        return result.item, decode_record(result.item)

    def reconcile(self):
        """Adopt the stored configuration or overwrite an older one; return the stored item."""
        item = self.store.get(CONFIG_KEY)
        item, stored = self._overwrite_restored_store(item, decode_record(item))
        if stored is not None:
            self.holder.adopt(stored, SOURCE_PLATFORM)
        return item

    def _conflict(self, current, document, base_revision):
        changes = diff_documents(current.document if current else None, document)
        return CorianderhavenError(
            ErrorCode.REVISION_CONFLICT,
            f"based on revision {base_revision}, in force is {current.revision if current else 0}",
            details={
                "revision": current.revision if current else 0,
                "change_id": current.change_id if current else None,
                "operator": current.operator if current else None,
                "differences": [
                    {"path": c.path, "in_force": c.before, "proposed": c.after} for c in changes
                ],
            },
        )


class ConfigWatcher:
    """Watches the stored configuration while ranked for it, and pushes changes to peers.

    Parameters
    ----------
    store : BaseKeyValueStore
    proposer : ConfigProposer
    holder : ConfigHolder
    peers : PeerTable
    transport : PeerTransport
    """

    def __init__(self, store, proposer, holder, peers, transport):
        self.store = store
        self.proposer = proposer
        self.holder = holder
        self.peers = peers
        self.transport = transport
        self.stopping = threading.Event()
        self.thread = None

    def start(self):
        """Start the watching thread."""
        self.holder.listeners.append(self._on_adopted)
        self.thread = threading.Thread(target=self._run, name="config-watch", daemon=True)
        self.thread.start()
        return self

    def close(self):
        """Request a stop; a running watch ends when its connection does."""
        self.stopping.set()

    def _run(self):
        while not self.stopping.is_set():
            try:
                if not self.peers.is_ranked("config", WATCHERS_PER_ZONE):
                    if not self.holder.revision:
                        self.proposer.reconcile()
                    self.stopping.wait(1.0)
                    continue
                self.proposer.reconcile()
                idle_ms = min(MAX_WATCH_IDLE_MS, self._uptime_ms() + MIN_WATCH_IDLE_MS)
                for item in self.store.watch(CONFIG_KEY, idle_ms):
                    if self.stopping.is_set():
                        return
                    if item is not None:
                        self.holder.adopt(decode_record(item), SOURCE_PLATFORM)
                    if item is None or decode_record(item).revision < self.holder.revision:
                        self.proposer.reconcile()
            except (KeyValueError, msgspec.DecodeError):
                self.stopping.wait(RETRY_PAUSE_MS / MS_PER_S)

    def _uptime_ms(self):
        """Return the time since the peer table was created.

        The first watches are short because the ranks of a new daemon change soon.
        """
        return self.peers.clock.now_ms() - self.peers.started_ms

    def _on_adopted(self, record, source):
        """Push a configuration that was not received from a peer."""
        if source != SOURCE_PEER:
            threading.Thread(
                target=self._push, args=(record,), name="config-push", daemon=True
            ).start()

    def _push(self, record):
        for target in self.peers.live():
            try:
                self.transport.call(target.info.address, "POST", "/peer/config", record)
            except TransportError:
                continue

    def pull(self, address):
        """Fetch and adopt the configuration of a peer that has a higher revision."""
        try:
            exchange = self.transport.call(address, "GET", "/peer/config")
            record = ConfigRecord.decode(exchange.body)
        except (TransportError, msgspec.DecodeError):
            return
        self.holder.adopt(record, SOURCE_PEER)
