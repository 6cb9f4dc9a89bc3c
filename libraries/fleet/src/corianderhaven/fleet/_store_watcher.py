"""Watches the store for endpoints, the configuration and the daemons' own keys."""

import asyncio
import random

from corianderhaven.common import MS_PER_S

from ._evacuations import Evacuations
from ._interfaces import (
    AnswerCutShortError,
    HistoryGoneError,
    StoreRestoredError,
    StoreUnavailableError,
)
from ._store_calls import Purpose, PurposeStore

WATCH_WAIT_MS = 500  # endpoints write more often; if nothing changes, all keys are listed
MIN_POLL_INTERVAL_MS = 250.0  # bounds the delay of entries, which engines write every 1.2 s
POLL_INTERVAL_MS_PER_DAEMON = 60.0  # about 16 calls per second from all daemons of a site
MAX_POLL_INTERVAL_MS = 1_000.0  # a configuration must be active within 2 s of its write
RETRY_INTERVAL_MS = 150.0  # about seven calls per second and daemon while the store is down
READER_RETRY_INTERVAL_MS = 1_000.0  # of daemons whose followers don't reach the store either
DISCOVERY_INTERVAL_MS = 250.0
FOUND_INTERVAL_MS = 80.0  # about one exchange, by which a follower has told the rest
STAND_BY_CHECK_MS = 50.0
OUTAGE_MS = 400.0  # leases of three heartbeats survive shorter outages
MAX_REASON_LENGTH = 200  # an error may quote what it can't read


class StoreWatcher:
    """Watches all keys in one task and applies the changes.

    Parameters
    ----------
    store : MetadataStore
    platform_format : PlatformFormat
    directory : EndpointDirectory
    active_config : ActiveConfig
    clock : Clock
    decisions : DecisionLog
    evacuations : Evacuations or None
        Told of the zones that the operator evacuates.

    Attributes
    ----------
    daemon_count : callable
        Returns the number of daemons that share the store.
    min_interval_ms : callable
        Returns the shortest interval between two calls of a daemon that isn't the keeper.
    found_interval_ms : callable
        Returns the interval between two listings of the daemons after some were found.
    use_min_interval : callable
        Returns whether to poll at the shortest interval, as the keeper does.
    should_follow : callable
        Returns whether this daemon reads all entries from the store itself.
    needs_peers : callable
        Returns whether this daemon, while it doesn't follow, lists the daemons in the store.
    may_retry_soon : callable
        Returns whether few daemons follow, so that all may retry often during an outage.
    on_own_change : callable
        Called with the key of one of the daemons' items that changed.
    following : bool
        Whether the directory is kept up from the store itself.
    call_ms : float
        Time that the latest watch call took.
    following_since_ms : float
        Time at which this daemon last began to read the store itself.
    own_items : dict of str to StoreItem
        Items under `own_prefix`, where the daemons keep their own records.
    own_changes : int
        Increases with each change of `own_items`.
    store_position : (int, int)
        Era and revision of the store up to which the directory is known, by reading or by a feed.
    max_poll_interval_ms : float
        Longest interval between two calls.
    """

    def __init__(
        self,
        store,
        platform_format,
        directory,
        active_config,
        clock,
        decisions,
        evacuations=None,
    ):
        self.store = PurposeStore(store, Purpose.LISTING)
        self.discovery_store = PurposeStore(store, Purpose.DISCOVERY)
        self.platform_format = platform_format
        self.directory = directory
        self.active_config = active_config
        self.clock = clock
        self.decisions = decisions
        self.evacuations = evacuations or Evacuations(clock, decisions)
        self.max_poll_interval_ms = MAX_POLL_INTERVAL_MS
        self.daemon_count = lambda: 1
        self.use_min_interval = lambda: False
        self.min_interval_ms = lambda: 0.0
        self.found_interval_ms = lambda: FOUND_INTERVAL_MS
        self.should_follow = lambda: True
        self.needs_peers = lambda: False
        self.may_retry_soon = lambda: True
        self.on_own_change = lambda key: None
        self.following = False
        self.following_since_ms = 0.0
        self.own_items = {}
        self.own_changes = 0
        self.own_prefix = ""
        # Why entries name no endpoint, by id; logged once, however often they are read or written.
        self.unreadable = {}
        self.own_changed = asyncio.Event()
        self.failing_since_ms = None
        self.last_success_ms = None
        self.call_ms = 0.0
        self.reachable_since_ms = 0.0
        self.watch_revision = None
        self.store_position = (0, 0)
        self.task = None
        store.era.listeners.append(self._forget_position)

    def start(self):
        """Start watching."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self):
        """Stop watching."""
        if self.task is not None:
            self.task.cancel()

    @property
    def store_reachable(self):
        """Whether the latest call succeeded."""
        return self.failing_since_ms is None and self.last_success_ms is not None

    def success_age_ms(self):
        """Return the time since the store last answered; negative if it fails to."""
        return self.clock.now_ms() - self.last_success_ms if self.store_reachable else -1.0

    def outage_ms(self):
        """Return the duration of the current store outage; 0.0 if the store is reachable."""
        if self.failing_since_ms is None:
            return 0.0
        return self.clock.now_ms() - self.failing_since_ms

    def poll_interval_ms(self):
        """Return the interval between two calls, in which changes are batched.

        The interval grows with the number of daemons, as their total call rate is limited. It
        stays short for the keeper, which acts on changes of members.
        """
        if self.use_min_interval():
            return MIN_POLL_INTERVAL_MS
        proportional_ms = POLL_INTERVAL_MS_PER_DAEMON * self.daemon_count()
        return min(
            max(MIN_POLL_INTERVAL_MS, proportional_ms, self.min_interval_ms()),
            self.max_poll_interval_ms,
        )

    async def _run(self):
        while True:
            try:
                if not self.should_follow():
                    await self._stand_by()
                    continue
                await self._poll_once()
                if not self.following:
                    self.following = True
                    self.following_since_ms = self.clock.now_ms()
                    self.decisions.record("store_following_begun")
                await asyncio.sleep(self.poll_interval_ms() / MS_PER_S)
            except HistoryGoneError:
                self.decisions.record("store_history_gone", after=self.watch_revision)
                self.watch_revision = None
            except StoreRestoredError as error:
                self.decisions.record("store_restored", reason=str(error))
                self._forget_position()
            except StoreUnavailableError as error:
                self._record_failure(error)
                await asyncio.sleep(self._retry_interval_ms() / MS_PER_S)

    def _retry_interval_ms(self):
        if self.may_retry_soon():
            return RETRY_INTERVAL_MS
        return READER_RETRY_INTERVAL_MS * random.uniform(0.75, 1.25)

    async def _stand_by(self):
        """Leave the store to the followers; list only the daemons, while none is known."""
        if self.following:
            self.decisions.record("store_following_ended")
            self.following = False
            self.watch_revision = self.last_success_ms = None
            self.evacuations.forget_reading()
        if not self.needs_peers():
            self.failing_since_ms = None  # unknown from now on, as nothing is read
        if self.needs_peers():
            own, _ = await self.discovery_store.list(self.own_prefix)
            self.set_own_items({item.key: item for item in own})
            found = bool(self.own_items)
            interval_ms = DISCOVERY_INTERVAL_MS if not found else self.found_interval_ms()
            until_ms = self.clock.now_ms() + interval_ms
            if interval_ms > DISCOVERY_INTERVAL_MS:
                while self.clock.now_ms() < until_ms and not self.should_follow():
                    await asyncio.sleep(STAND_BY_CHECK_MS / MS_PER_S)
            else:
                await asyncio.sleep(interval_ms / MS_PER_S)
        else:
            await asyncio.sleep(STAND_BY_CHECK_MS / MS_PER_S)

    def set_own_items(self, items):
        """Replace the daemons' items and report those that changed."""
        keys = items.keys() | self.own_items.keys()
        changed = [key for key in keys if items.get(key) != self.own_items.get(key)]
        self.own_items = items
        for key in changed:
            self.on_own_change(key)
        if changed:
            self.own_changes += 1
            self.own_changed.set()

    def _forget_position(self):
        """List the store anew: what it returned before may be gone, and written again later."""
        self.watch_revision = None
        self.directory.note_store_recovery()

    async def _poll_once(self):
        if self.watch_revision is None:
            await self._list_all()
            return
        sent_ms = self.clock.now_ms()
        try:
            items, revision = await self.store.watch("", self.watch_revision, WATCH_WAIT_MS)
        except AnswerCutShortError as error:
            await self._list_instead(error)
            return
        self.call_ms = self.clock.now_ms() - sent_ms
        self._record_success()
        self.watch_revision = revision
        for item in items:
            self._apply_or_log(item)
        self._note_position(revision)
        self.evacuations.note_read((self.store.era.number, revision))
        self.directory.remove_expired()
        if not items and self.directory.records:
            self.watch_revision = None  # no endpoint has written: the watch may be stuck

    async def _list_instead(self, error):
        """List the store, as its changes since the latest revision known don't fit in an answer."""
        self.decisions.record(
            "store_changes_cut_short", after=self.watch_revision, reason=str(error)
        )
        self.watch_revision = None
        await self._list_all()

    async def _list_all(self):
        # The watch continues from before the first read, so it repeats changes between the reads.
        own, revision = await self.store.list(self.own_prefix)
        operator_items, operator_revision = await self._read_operator_items()
        endpoints, _ = await self.store.list(self.platform_format.endpoint_prefix)
        self._record_success()
        self._apply_operator_items(operator_items, operator_revision)
        self.set_own_items({item.key: item for item in own})
        listed = {self._endpoint_id(item): item for item in endpoints}
        self.unreadable = {i: why for i, why in self.unreadable.items() if i in listed}
        self.directory.replace_all(
            (endpoint_id, self._decode_endpoint(endpoint_id, item), self._position(item))
            for endpoint_id, item in listed.items()
        )
        self.watch_revision = revision
        self._note_position(revision)

    async def _read_operator_items(self):
        """Return the operator's items, and the revision as of which they are complete or None."""
        if self.platform_format.operator_prefix:
            return await self.store.list(self.platform_format.operator_prefix)
        config = await self.store.read(self.platform_format.config_key)
        return [config] if config is not None else [], None

    def _apply_operator_items(self, items, revision):
        revisions = {}
        for item in items:
            zone = self.platform_format.evacuated_zone(item.key)
            if zone is not None:
                revisions[zone] = item.revision
            elif item.key == self.platform_format.config_key:
                self._apply_or_log(item)
        if revision is not None:
            self.evacuations.apply_listing(revisions, (self.store.era.number, revision))

    def _note_position(self, revision):
        self.store_position = max(self.store_position, (self.store.era.number, revision))

    def _position(self, item):
        """Return the position of an item in the store's history, across restores."""
        return (self.store.era.number, item.revision)

    def _endpoint_id(self, item):
        return item.key[len(self.platform_format.endpoint_prefix) :]

    def _decode_endpoint(self, endpoint_id, item):
        """Return the endpoint in an entry, or None if the entry names none that can be used."""
        try:
            endpoint = self.platform_format.decode_endpoint(endpoint_id, item.value)
            self.unreadable.pop(endpoint_id, None)
            return endpoint
        except Exception as error:
            reason = (str(error) or repr(error))[:MAX_REASON_LENGTH]
        if self.unreadable.get(endpoint_id) != reason:
            self.unreadable[endpoint_id] = reason
            self.decisions.record(
                "endpoint_unreadable",
                endpoint=endpoint_id,
                revision=item.revision,
                reason=reason,
                known=self.directory.get(endpoint_id) is not None,
            )
        return None

    def _apply_or_log(self, item):
        """Apply one item; one that can't be applied must not keep the others from it."""
        try:
            self._apply(item)
        except Exception as error:
            self.decisions.record(
                "item_rejected", key=item.key, revision=item.revision, reason=repr(error)
            )

    def _apply(self, item):
        zone = self.platform_format.evacuated_zone(item.key)
        if zone is not None:
            # Any value means an evacuation: ignoring an unreadable one would break the promise.
            self.evacuations.observe(zone, item.value is not None, self._position(item))
        elif item.key == self.platform_format.config_key:
            if item.value is not None:
                self.active_config.update(item.value, item.revision)
        elif item.key.startswith(self.platform_format.endpoint_prefix):
            endpoint_id = self._endpoint_id(item)
            if item.value is None:
                self.unreadable.pop(endpoint_id, None)
                self.directory.remove(endpoint_id)
            else:
                endpoint = self._decode_endpoint(endpoint_id, item)
                self.directory.update(endpoint_id, endpoint, self._position(item))
        elif item.key.startswith(self.own_prefix):
            if item.value is None:
                self.own_items.pop(item.key, None)
            else:
                self.own_items[item.key] = item
            self.own_changes += 1
            self.on_own_change(item.key)
            self.own_changed.set()

    def _record_failure(self, error):
        if self.failing_since_ms is None:
            self.failing_since_ms = self.clock.now_ms()
            self.decisions.record("store_lost", reason=str(error))

    def _record_success(self):
        now = self.clock.now_ms()
        if self.failing_since_ms is not None:
            outage_ms = now - self.failing_since_ms
            self.failing_since_ms = None
            self.reachable_since_ms = now
            self.decisions.record("store_regained", outage_ms=round(outage_ms))
            if outage_ms >= OUTAGE_MS:
                self.directory.note_store_recovery()
                self.watch_revision = None
        self.last_success_ms = now
