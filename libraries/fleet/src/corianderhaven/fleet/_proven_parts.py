"""Keeps in the store which parts of prompts end endpoints, so that it outlives all daemons."""

import asyncio
import contextlib
import hashlib

import msgspec

from corianderhaven.common import MS_PER_S

from ._interfaces import StoreUnavailableError
from ._store_calls import Purpose, PurposeStore

POLL_INTERVAL_MS = 200.0
# The daemon that may try the part writes at once, the others if it didn't.
FOLLOWER_DELAY_MS = 3_000.0
RETRY_INTERVAL_MS = 1_000.0


class StoredPart(msgspec.Struct):
    """Value of a part's key.

    Parameters
    ----------
    proven : bool
        False once the part was cleared.
    group : list of str
        Parts that were proven together, sorted.
    """

    part: str
    proven: bool
    group: list[str] = []


class ProvenParts:
    """Writes proofs to the store and takes them from there.

    Parameters
    ----------
    store : MetadataStore
    watcher : StoreWatcher
    key_prefix : str
    clock : Clock
    decisions : DecisionLog

    Attributes
    ----------
    mark_proven : callable
        Called with a part's id that the store holds as proven, and its group.
    proven_with : callable
        Returns the other parts that are proven together with a part.
    list_proven : callable
        Returns the parts that this daemon knows to be proven.
    writes_first : callable
        Returns whether this daemon is the one to write about a part.
    """

    def __init__(self, store, watcher, key_prefix, clock, decisions):
        self.store = PurposeStore(store, Purpose.PARTS)
        self.watcher = watcher
        self.key_prefix = key_prefix
        self.clock = clock
        self.decisions = decisions
        self.mark_proven = lambda part, group: None
        self.proven_with = lambda part: ()
        self.list_proven = lambda: ()
        self.writes_first = lambda part: True
        self.pending = {}
        self.applied = {}
        self.woken = asyncio.Event()
        self.task = None

    def start(self):
        """Start to follow the store."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self):
        """Stop; what was not written yet is left to other daemons."""
        if self.task is not None:
            self.task.cancel()

    def note(self, part, proven):
        """Have the store say whether a part is proven."""
        delay_ms = 0.0 if self.writes_first(part) else FOLLOWER_DELAY_MS
        group = sorted({part, *self.proven_with(part)}) if proven else []
        wanted = StoredPart(part, proven, group)
        self.pending[part] = (wanted, self.clock.now_ms() + delay_ms)
        self.woken.set()

    async def _run(self):
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_INTERVAL_MS / MS_PER_S):
                    await self.woken.wait()
            self.woken.clear()
            self._apply_stored()
            self._note_missing()
            for part, (wanted, due_ms) in list(self.pending.items()):
                if self._stored(part) == wanted:
                    self.pending.pop(part)
                elif self.clock.now_ms() >= due_ms:
                    await self._write(part, wanted)

    def _apply_stored(self):
        for key, item in self.watcher.own_items.items():
            if not key.startswith(self.key_prefix) or self.applied.get(key) == item.revision:
                continue
            self.applied[key] = item.revision
            stored = self._decode(key, item)
            if stored is not None and stored.proven and stored.part not in self.pending:
                self.mark_proven(stored.part, stored.group)

    def _note_missing(self):
        """Have what a restored store lacks written again."""
        if not self.watcher.store_reachable:
            return
        for part in self.list_proven():
            if part not in self.pending and self._stored(part) is None:
                self.note(part, True)

    def _decode(self, key, item):
        try:
            return msgspec.json.decode(item.value, type=StoredPart)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self.decisions.record("proven_part_unreadable", key=key, reason=str(error))
            return None

    def _stored(self, part):
        """Return what this daemon knows the store to hold about a part, or None."""
        key = self._key(part)
        item = self.watcher.own_items.get(key)
        return None if item is None else self._decode(key, item)

    async def _write(self, part, wanted):
        key = self._key(part)
        try:
            item = await self.store.read(key)
            stored = None if item is None else self._decode(key, item)
            unneeded = stored == wanted or (stored is None and not wanted.proven)
            revision = 0 if item is None else item.revision
            if not unneeded:
                value = msgspec.json.encode(wanted)
                unneeded = await self.store.put_if(key, value, revision) is not None
        except StoreUnavailableError as error:
            self.decisions.record("proven_part_not_written", part=part, reason=str(error))
            unneeded = False
        if self.pending.get(part, (None,))[0] != wanted:
            return  # it has changed meanwhile
        if unneeded:
            self.pending.pop(part)
        else:
            self.pending[part] = (wanted, self.clock.now_ms() + RETRY_INTERVAL_MS)

    def _key(self, part):
        """Return the part's key, of bounded length whatever the part."""
        name = hashlib.blake2b(part.encode(errors="surrogatepass"), digest_size=16).hexdigest()
        return self.key_prefix + name
