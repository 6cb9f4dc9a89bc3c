"""Follows the store: endpoints, configuration and the keeper's record."""

import asyncio

from corianderhaven.common import MS_PER_S

from ._interfaces import HistoryGoneError, StoreUnavailableError

FOLLOW_WAIT_MS = 500  # endpoints report more often; a longer silence is checked by a listing
SHORTEST_PACE_MS = 250.0  # an entry is that late at most; engines write theirs each 1.2 s
PACE_MS_PER_DAEMON = 60.0  # keeps all daemons of a site at some 16 calls a second
LONGEST_PACE_MS = 1_000.0  # a configuration must be in force 2 s after it was written
RETRY_PAUSE_MS = 150.0  # a store that is down costs some seven calls a second and daemon
OUTAGE_MS = 400.0  # a shorter failure can't make a lease of three heartbeats lapse


class StoreWatcher:
    """One task that follows all keys and hands changes on.

    Parameters
    ----------
    store : MetadataStore
    platform_format : PlatformFormat
    directory : EndpointDirectory
    holder : ActiveConfig
    clock : Clock
    decisions : DecisionLog
    """

    def __init__(self, store, platform_format, directory, holder, clock, decisions):
        self.store = store
        self.format = platform_format
        self.directory = directory
        self.holder = holder
        self.clock = clock
        self.decisions = decisions
        self.daemon_count = lambda: 1
        self.use_min_interval = lambda: False
        self.own_items = {}
        self.own_prefix = ""
        self.own_changed = asyncio.Event()
        self.failing_since_ms = None
        self.reached_ms = None
        self.reachable_since_ms = 0.0
        self.after = None
        self.task = None

    def start(self):
        """Begin to follow."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self):
        """Stop following."""
        if self.task is not None:
            self.task.cancel()

    @property
    def store_reachable(self):
        """Whether the latest call was answered."""
        return self.failing_since_ms is None and self.reached_ms is not None

    def outage_ms(self):
        """Return for how long the store has been out of reach; 0.0 when it answers."""
        if self.failing_since_ms is None:
            return 0.0
        return self.clock.now_ms() - self.failing_since_ms

    def pace_ms(self):
        """Return the pause between two calls, in which changes gather.

        All daemons together may make only so many calls, so it grows with their number. The
        keeper's stays short, as it is the one that acts on members' changes.
        """
        if self.use_min_interval():
            return SHORTEST_PACE_MS
        return min(max(SHORTEST_PACE_MS, PACE_MS_PER_DAEMON * self.daemon_count()), LONGEST_PACE_MS)

    async def _run(self):
        while True:
            try:
                await self._follow_once()
                await asyncio.sleep(self.pace_ms() / MS_PER_S)
            except HistoryGoneError:
                self.decisions.record("store_history_gone", after=self.after)
                self.after = None
            except StoreUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_PAUSE_MS / MS_PER_S)

    async def _follow_once(self):
        if self.after is None:
            await self._list_all()
            return
        items, at = await self.store.watch("", self.after, FOLLOW_WAIT_MS)
        self._note_success()
        self.after = at
        for item in items:
            self._apply(item)
        self.directory.drop_lapsed()
        if not items and self.directory.records:
            self.after = None  # nobody reports: the watch itself may be deaf

    async def _list_all(self):
        # Followed from before the first read: what changes between the reads is told again.
        own, at = await self.store.list(self.own_prefix)
        config = await self.store.read(self.format.config_key)
        endpoints, _ = await self.store.list(self.format.endpoint_prefix)
        self._note_success()
        if config is not None:
            self._apply(config)
        self.own_items = {item.key: item for item in own}
        self.own_changed.set()
        self.directory.replace_all(
            (
                self._endpoint_id(item),
                self.format.decode_endpoint(self._endpoint_id(item), item.value),
                item.revision,
            )
            for item in endpoints
        )
        self.after = at

    def _endpoint_id(self, item):
        return item.key[len(self.format.endpoint_prefix) :]

    def _apply(self, item):
        if item.key == self.format.config_key:
            if item.value is not None:
                self.holder.offer(item.value, item.revision)
        elif item.key.startswith(self.format.endpoint_prefix):
            endpoint_id = self._endpoint_id(item)
            if item.value is None:
                self.directory.remove(endpoint_id)
            else:
                endpoint = self.format.decode_endpoint(endpoint_id, item.value)
                self.directory.update(endpoint_id, endpoint, item.revision)
        elif item.key.startswith(self.own_prefix):
            if item.value is None:
                self.own_items.pop(item.key, None)
            else:
                self.own_items[item.key] = item
            self.own_changed.set()

    def _note_failure(self, error):
        if self.failing_since_ms is None:
            self.failing_since_ms = self.clock.now_ms()
            self.decisions.record("store_lost", reason=str(error))

    def _note_success(self):
        now = self.clock.now_ms()
        if self.failing_since_ms is not None:
            outage_ms = now - self.failing_since_ms
            self.failing_since_ms = None
            self.reachable_since_ms = now
            self.decisions.record("store_regained", outage_ms=round(outage_ms))
            if outage_ms >= OUTAGE_MS:
                self.directory.store_returned()
                self.after = None
        self.reached_ms = now
