"""Contents of the store, passed on by the daemons that follow it to the others of their zone.

Answers the load of a large fleet: each endpoint writes its entry every second or so, and if every
daemon read every entry, reading would cost it more than its requests. The followers of a zone are
its hubs; the others get only what changed, with the exchange of digests.
"""

import itertools
from collections import deque

import msgspec

from corianderhaven.common import new_id

from ._interfaces import StoreItem
from ._types import Endpoint, Membership, ReplicaState

LOG_LENGTH = 4_000  # changes of many seconds; a reader that missed more gets everything
MAX_FEED_AGE_MS = 1_500.0  # of the follower's last answer from the store
SWITCH_MS = 700.0  # three exchanges; then the reader asks its other follower
# Age of a follower's last answer from the store after which one with a more recent answer is
# preferred; longer than the longest intervals of reading and of exchanges together.
PREFER_OTHER_AGE_MS = 1_300.0
MAX_NUMBER = 2**63 - 1
AGE_SLACK_MS = 500.0  # of the ages of two followers' contents, to call one of them older


class FeedRequest(msgspec.Struct, array_like=True):
    """Position up to which a reader has the feed of one follower.

    Parameters
    ----------
    contents : bool
        Whether changes are wanted, or only the age of the follower's knowledge.
    store_position : (int, int)
        Position in the store's history that the reader knows; older contents are not wanted.
    """

    source: str = ""
    position: int = -1
    contents: bool = True
    store_position: tuple[int, int] = (0, 0)


class EndpointRow(msgspec.Struct, array_like=True):
    """Endpoint with the position of its entry in the store's history."""

    era: int
    revision: int
    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    entry_number: int
    started_ms: int
    domain: str
    models: tuple[str, ...]
    staged: tuple[str, ...]
    membership: tuple[str, int, int, str] | None
    warmup_remaining_ms: float


class Feed(msgspec.Struct):
    """Changes since the position of a request, or everything.

    Parameters
    ----------
    source : str
        Incarnation of the follower; positions in the feed of another one mean nothing.
    age_ms : float
        Time since the follower's last answer from the store; negative if it reaches none.
    full : bool
        Whether everything is included, so that what is not is gone.
    removed : list of str
        Endpoints that are gone.
    items : dict of str to (int, bytes)
        Items that the daemons keep in the store, by key, with their revisions; empty if removed.
    store_position : (int, int)
        Era and revision up to which the follower has read the store; zeros if it doesn't say.
    contents : bool
        Whether the changes are included; if not, only the age counts.
    """

    source: str
    position: int
    age_ms: float
    full: bool = False
    endpoints: list[EndpointRow] = []
    removed: list[str] = []
    items: dict[str, tuple[int, bytes]] = {}
    store_position: tuple[int, int] = (0, 0)
    contents: bool = True


class FeedWriter:
    """Change log of a follower's directory and of the daemons' own items.

    Parameters
    ----------
    directory : EndpointDirectory
    watcher : StoreWatcher
    clock : Clock
    """

    def __init__(self, directory, watcher, clock):
        self.directory = directory
        self.watcher = watcher
        self.clock = clock
        self.source = new_id("feed")
        self.position = 0
        self.changes = deque(maxlen=LOG_LENGTH)
        directory.on_change = self.record_endpoint
        watcher.on_own_change = self.record_item

    def record_endpoint(self, endpoint_id):
        """Record a change of an endpoint."""
        self._record((endpoint_id, True))

    def record_item(self, key):
        """Record a change of an item that the daemons keep."""
        self._record((key, False))

    def _record(self, change):
        self.position += 1
        self.changes.append((self.position, change))

    def answer(self, request):
        """Return the `Feed` for a request; None while this daemon doesn't follow the store."""
        if not self.watcher.following or not self.directory.synced:
            return None
        known = self.watcher.store_position
        feed = Feed(
            self.source,
            self.position,
            round(self.watcher.success_age_ms()),
            store_position=known,
            contents=request.contents and known >= request.store_position,
        )
        if not feed.contents:
            return feed
        oldest = self.changes[0][0] if self.changes else self.position + 1
        if request.source != self.source or not oldest - 1 <= request.position <= self.position:
            feed.full = True
            feed.endpoints = [self._row(record) for record in self.directory.records.values()]
            feed.items = {k: (i.revision, i.value) for k, i in self.watcher.own_items.items()}
            return feed
        recent = itertools.takewhile(lambda c: c[0] > request.position, reversed(self.changes))
        for name, is_endpoint in {change for _, change in recent}:
            self._add_change(feed, name, is_endpoint)
        return feed

    def _add_change(self, feed, name, is_endpoint):
        if not is_endpoint:
            item = self.watcher.own_items.get(name)
            feed.items[name] = (item.revision, item.value) if item is not None else (0, b"")
        elif name in self.directory.records:
            feed.endpoints.append(self._row(self.directory.records[name]))
        else:
            feed.removed.append(name)

    def _row(self, record):
        age_ms = self.clock.now_ms() - record.updated_ms
        return _row(record, max(0.0, record.endpoint.warmup_remaining_ms - age_ms))


class FeedReader:
    """Takes the feed of the follower of the zone with the most recent contents.

    The others are asked only for their age. Contents older than those known already are ignored:
    they would bring back endpoints that are gone.

    Parameters
    ----------
    directory : EndpointDirectory
    watcher : StoreWatcher
    own_name : str
    clock : Clock
    decisions : DecisionLog

    Attributes
    ----------
    stand_down_age_ms : callable
        Returns how recently a daemon before this one must have read the store for this one to
        cease reading it.
    steady_ms : callable
        Returns for how long that daemon must have read it in time before.
    """

    def __init__(self, directory, watcher, own_name, clock, decisions):
        self.own_name = own_name
        self.directory = directory
        self.watcher = watcher
        self.clock = clock
        self.decisions = decisions
        self.follower = None
        self.source = ""
        self.position = -1
        self.received_ms = clock.now_ms()
        self.fresh_ms = clock.now_ms()
        self.read_ms = {}
        self.late_ms = {}  # times at which followers had last not read the store in time
        self.stand_down_age_ms = lambda: MAX_FEED_AGE_MS
        self.steady_ms = lambda: 0.0

    def request(self, peer_name):
        """Return the `FeedRequest` for a follower, or None if another one is asked.

        A daemon that follows the store itself asks those before it by name whether they do, so
        that of several that have begun to follow the first one goes on.
        """
        if self.watcher.following:
            self.follower = None
            return FeedRequest(contents=False) if peer_name < self.own_name else None
        if self._should_switch(peer_name):
            self._switch(peer_name)
        known = self.watcher.store_position
        if peer_name != self.follower:
            return FeedRequest(contents=False, store_position=known)
        return FeedRequest(self.source, self.position, store_position=known)

    def _should_switch(self, peer_name):
        """Return whether to take the feed of a follower in place of the present one's."""
        if peer_name == self.follower:
            return self.clock.now_ms() - self.received_ms > SWITCH_MS
        if self.follower is None:
            return not any(self._is_fresher(other, peer_name) for other in self.read_ms)
        silent = self.clock.now_ms() - self.received_ms > SWITCH_MS
        return silent or self._is_fresher(peer_name, self.follower)

    def _is_fresher(self, peer_name, other_name):
        """Return whether a follower still reads the store and another one has ceased to."""
        limit_ms = self.clock.now_ms() - PREFER_OTHER_AGE_MS
        other_ms = self.read_ms.get(other_name)
        return self.read_ms.get(peer_name, -1e12) > limit_ms and (
            other_ms is not None and other_ms <= limit_ms
        )

    def _switch(self, peer_name):
        if peer_name != self.follower:
            self.decisions.record(
                "feed_follower",
                peer=peer_name,
                previous=self.follower,
                silent_ms=round(self.clock.now_ms() - self.received_ms),
                stale_ms=round(self.stale_for_ms()),
            )
        self.follower, self.received_ms = peer_name, self.clock.now_ms()
        self.source, self.position = "", -1

    def stale_for_ms(self):
        """Return the age of the contents of the store that this daemon has from a follower."""
        return self.clock.now_ms() - self.fresh_ms

    def follower_has_failed(self):
        """Return whether the follower has said that it doesn't reach the store."""
        return self.read_ms.get(self.follower, 0.0) < 0.0

    def apply(self, feed, peer_name):
        """Apply a feed; one that doesn't continue from this reader's position is ignored."""
        now = self.clock.now_ms()
        self.read_ms[peer_name] = now - feed.age_ms if feed.age_ms >= 0.0 else -1e12
        is_fresh = 0.0 <= feed.age_ms <= MAX_FEED_AGE_MS
        if not 0.0 <= feed.age_ms <= self.stand_down_age_ms():
            self.late_ms[peer_name] = now
        if self.watcher.following:
            if self._reads_steadily(peer_name):
                self.fresh_ms = now
            return
        if peer_name != self.follower:
            return
        self.received_ms = now
        if not feed.contents or (not feed.full and feed.source != self.source):
            return
        if self._is_older(feed, now):
            return
        if is_fresh:
            self.fresh_ms = max(self.fresh_ms, now - feed.age_ms)
        self.watcher.store_position = max(feed.store_position, self.watcher.store_position)
        self.source, self.position = feed.source, feed.position
        self._apply_endpoints(feed)
        self._apply_items(feed)

    def _reads_steadily(self, peer_name):
        """Return whether a daemon reads the store in time, and has for `steady_ms`."""
        late_ms = self.late_ms.get(peer_name, -1e12)
        return self.clock.now_ms() - late_ms > self.steady_ms()

    def _is_older(self, feed, now):
        """Return whether a feed's contents are older than those that are known.

        Followers of an earlier version tell no position in the store, only the age.
        """
        if feed.store_position > (0, 0):
            return feed.store_position < self.watcher.store_position
        read_ms = now - feed.age_ms if feed.age_ms >= 0.0 else -1e12
        return self.directory.synced and read_ms < self.fresh_ms - AGE_SLACK_MS

    def _apply_endpoints(self, feed):
        removed = feed.removed
        if feed.full:
            listed = {row.id for row in feed.endpoints}
            removed = [i for i in self.directory.records if i not in listed]
        for row in feed.endpoints:
            try:
                endpoint = _endpoint(row)
            except ValueError as error:
                self.directory.drop(row.id)
                self.decisions.record(
                    "endpoint_unreadable", endpoint=row.id, source="peer", reason=str(error)
                )
                continue
            self.directory.apply_peer_entry(endpoint, (row.era, row.revision))
        for endpoint_id in removed:
            self.directory.drop(endpoint_id)
        self.directory.synced = True

    def _apply_items(self, feed):
        items = {} if feed.full else dict(self.watcher.own_items)
        for key, (revision, value) in feed.items.items():
            if revision:
                items[key] = StoreItem(key, value, revision)
            else:
                items.pop(key, None)
        if feed.full or feed.items:
            self.watcher.set_own_items(items)


def _row(record, warmup_remaining_ms):
    endpoint, member = record.endpoint, record.endpoint.membership
    era, revision = record.revision
    return EndpointRow(
        era,
        revision,
        endpoint.id,
        endpoint.service,
        endpoint.address,
        endpoint.zone,
        endpoint.slots,
        endpoint.leaving,
        endpoint.entry_number,
        endpoint.started_ms,
        endpoint.domain,
        endpoint.models,
        endpoint.staged,
        (member.replica, member.generation, member.rank, str(member.state)) if member else None,
        warmup_remaining_ms,
    )


def _endpoint(row):
    """Return the `Endpoint` of a row; raises ValueError if it can't be true.

    Followers of an earlier version pass on whatever an entry names.
    """
    numbers = [row.slots - 1, row.entry_number, row.started_ms]
    membership = None
    if row.membership is not None:
        replica, generation, rank, state = row.membership
        membership = Membership(replica, generation, rank, ReplicaState(state))
        numbers += [generation, rank]
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        raise ValueError("a number is out of range")
    return Endpoint(
        id=row.id,
        service=row.service,
        address=row.address,
        zone=row.zone,
        slots=row.slots,
        leaving=row.leaving,
        entry_number=row.entry_number,
        started_ms=row.started_ms,
        domain=row.domain,
        models=row.models,
        staged=row.staged,
        membership=membership,
        warmup_remaining_ms=row.warmup_remaining_ms,
    )
