"""Directory of the endpoints listed in the store."""

import asyncio
import itertools
from dataclasses import dataclass, replace

from corianderhaven.common import DecisionLog

from ._types import Endpoint, Membership, ReplicaState

# The platform guarantees that a live endpoint that reaches the store writes its entry again
# within this time after an outage during which the entry expired.
REREGISTRATION_MS = 2_000.0
# Late entries of an earlier incarnation arrive within a few heartbeats.
STALE_INCARNATION_MS = 3_000.0
MAX_DEPARTED = 2_000  # about 200 KB; more than leave within the age of a store's copy
MAX_RECENT = 64  # bounds the size of digests
# Transitions that a member makes by itself and never reverses within a generation: a report
# of the first state is older than a report of the second.
ONE_WAY_TRANSITIONS = {
    (ReplicaState.JOINING, ReplicaState.READY),
    (ReplicaState.OPEN, ReplicaState.BROKEN),
}


@dataclass(frozen=True)
class Departed:
    """Last known state of an endpoint that is gone or said that it leaves.

    Parameters
    ----------
    leaving : bool
        Whether the endpoint said so itself; its incarnation then never accepts work again.
    """

    started_ms: int
    entry_number: int
    leaving: bool
    since_ms: float


@dataclass
class EndpointRecord:
    """Endpoint with the time and store revision of its last update.

    Parameters
    ----------
    expires_ms : float or None
        Time at which the record is dropped because its entry is missing after a store outage;
        None if the entry is not missing.
    unassigned_since_ms : float
        Time since which this daemon has known the incarnation to be in no replica.
    highest_generation : int
        Highest generation that the incarnation is known to have had.
    """

    endpoint: Endpoint
    updated_ms: float
    revision: int
    expires_ms: float | None = None
    unassigned_since_ms: float = 0.0
    highest_generation: int = 0


class EndpointDirectory:
    """Endpoints by id, as listed in the store.

    A store outage removes no endpoint. An endpoint that said that it leaves, in an entry or in an
    answer, stays leaving until it has started again: entries that are older, from a restored
    store for example, don't bring it back.

    Parameters
    ----------
    clock : Clock
    decisions : DecisionLog

    Attributes
    ----------
    version : int
        Rises when anything changes that routing or the keeper uses.
    on_change : callable
        Called with the id of an endpoint that changed, came or went.
    """

    def __init__(self, clock, decisions: DecisionLog):
        self.clock = clock
        self.decisions = decisions
        self.records = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.synced = False
        self.store_recovered_ms = None
        self.departed = {}
        # Endpoints whose present incarnation is known from a report, but from no entry.
        self.reported_restarts = set()
        self.on_change = lambda endpoint_id: None

    def endpoints(self, service=None):
        """Return the endpoints that have not expired, of one service or of all."""
        now = self.clock.now_ms()
        return [
            record.endpoint
            for record in self.records.values()
            if (service is None or record.endpoint.service == service)
            and (record.expires_ms is None or now < record.expires_ms)
        ]

    def get(self, endpoint_id):
        """Return the `Endpoint` with the given id, or None."""
        record = self.records.get(endpoint_id)
        if record is None:
            return None
        if record.expires_ms is not None and self.clock.now_ms() >= record.expires_ms:
            return None
        return record.endpoint

    def note_store_recovery(self):
        """Record that the store responds again after an outage."""
        self.store_recovered_ms = self.clock.now_ms()

    def replace_all(self, entries):
        """Replace the contents with a complete listing of (key, endpoint or None, revision)."""
        present = set()
        for key, endpoint, revision in entries:
            present.add(key)
            self.update(key, endpoint, revision)
        for key in [key for key in self.records if key not in present]:
            self.remove(key)
        self.synced = True

    def apply_peer_entry(self, endpoint, revision):
        """Apply what a daemon that follows the store knows of an endpoint."""
        self._replace_if_newer(endpoint.id, endpoint, revision)
        self._drop_misattributed(endpoint)

    def drop(self, key):
        """Remove an endpoint that a daemon that follows the store has removed."""
        record = self.records.pop(key, None)
        if record is not None:
            self._note_departed(record.endpoint, record.endpoint.leaving)
            self.decisions.record("endpoint_gone", endpoint=key, source="peer")
            self._mark_changed(key)

    def update(self, key, endpoint, revision):
        """Apply one entry; `endpoint` is None if the entry names no usable endpoint."""
        if endpoint is None:
            if self.records.pop(key, None) is not None:
                self.decisions.record("endpoint_unreadable", endpoint=key, revision=revision)
                self._mark_changed(key)
            return
        known = self.records.get(key)
        if known is not None and revision <= known.revision:
            if revision == known.revision:
                # The same entry was listed again: it still exists and holds nothing new.
                known.expires_ms = None
            return
        self._replace_if_newer(key, endpoint, revision)
        self._drop_misattributed(endpoint)

    def _drop_misattributed(self, endpoint):
        """Drop an ended endpoint that a report of this one, at its address, seemed to restart."""
        record = self.records.get(endpoint.id)
        if record is not None and record.endpoint.started_ms == endpoint.started_ms:
            self.reported_restarts.discard(endpoint.id)
        self.reported_restarts &= self.records.keys()
        for other_id in list(self.reported_restarts):
            other = self.records[other_id].endpoint
            if _incarnation_at(other) == _incarnation_at(endpoint):
                self.reported_restarts.discard(other_id)
                del self.records[other_id]
                self.decisions.record("endpoint_gone", endpoint=other_id, address_of=endpoint.id)
                self._mark_changed(other_id)

    def _replace_if_newer(self, key, endpoint, revision):
        known = self.records.get(key)
        if known is not None and self._is_outdated(known, endpoint):
            return
        former = self.departed.get(key)
        if former is not None:
            if known is None and self._is_older_than(former, endpoint):
                return
            if former.leaving and endpoint.started_ms == former.started_ms:
                endpoint = replace(endpoint, leaving=True)
        if endpoint.leaving:
            self._note_departed(endpoint, True)
        now = self.clock.now_ms()
        record = EndpointRecord(endpoint, now, revision, unassigned_since_ms=now)
        if known is not None and known.endpoint.started_ms == endpoint.started_ms:
            record.highest_generation = known.highest_generation
            if known.endpoint.membership is None:
                record.unassigned_since_ms = known.unassigned_since_ms
        if endpoint.membership is not None:
            generation = endpoint.membership.generation
            record.highest_generation = max(record.highest_generation, generation)
        self.records[key] = record
        if known is None or known.endpoint != endpoint:
            self._log_change(known, endpoint, revision)
            self._mark_changed(key)

    def update_from_report(self, endpoint_id, report):
        """Apply the state that an engine returned when queried.

        Returns False if the report is that of another endpoint, which has the address now.
        """
        record = self.records.get(endpoint_id)
        if record is None:
            return True
        restarted = report.started_ms != record.endpoint.started_ms
        if restarted or endpoint_id in self.reported_restarts:
            owner = self._find_at_address(record.endpoint.address, report.started_ms)
            if owner not in (None, endpoint_id):
                self.decisions.record("address_reused", endpoint=endpoint_id, by=owner)
                return False
        endpoint = replace(
            record.endpoint,
            started_ms=report.started_ms,
            staged=report.staged,
            membership=report.membership,
        )
        self._replace_if_newer(endpoint_id, endpoint, record.revision)
        if restarted:
            self.reported_restarts.add(endpoint_id)
        return True

    def _find_at_address(self, address, started_ms):
        """Return the id of the endpoint at an address that started then by its entry, or None."""
        return next(
            (
                endpoint_id
                for endpoint_id, record in self.records.items()
                if _incarnation_at(record.endpoint) == (address, started_ms)
                and endpoint_id not in self.reported_restarts
            ),
            None,
        )

    def update_from_keeper(self, endpoint_id, replica, generation, started_ms):
        """Apply a report of the keeper that it opened a replica with this endpoint as head."""
        record = self.records.get(endpoint_id)
        if record is None or record.endpoint.started_ms != started_ms:
            return
        if record.highest_generation >= generation:
            return
        opened = Membership(replica, generation, 0, ReplicaState.OPEN)
        endpoint = replace(record.endpoint, membership=opened)
        self._replace_if_newer(endpoint_id, endpoint, record.revision)

    def mark_leaving(self, endpoint_id, started_ms, source):
        """Apply the word of an endpoint that it leaves, which precedes its entry."""
        record = self.records.get(endpoint_id)
        if record is None:
            former = self.departed.get(endpoint_id)
            if former is None or former.started_ms < started_ms:
                since_ms = self.clock.now_ms()
                self.departed[endpoint_id] = Departed(started_ms, 0, True, since_ms)
            return
        if record.endpoint.leaving or record.endpoint.started_ms != started_ms:
            return
        record.endpoint = replace(record.endpoint, leaving=True)
        self._note_departed(record.endpoint, True)
        self.decisions.record("endpoint_leaving", endpoint=endpoint_id, source=source)
        self._mark_changed(endpoint_id)

    def recently_leaving(self, within_ms):
        """Return the start times of endpoints that said within `within_ms` that they leave."""
        since_ms = self.clock.now_ms() - within_ms
        return {
            endpoint_id: former.started_ms
            for endpoint_id, former in itertools.islice(reversed(self.departed.items()), MAX_RECENT)
            if former.leaving and former.since_ms >= since_ms
        }

    def add_departed(self, departed):
        """Add what a peer knows of former endpoints, as {id: (start, entry number, leaving)}."""
        now = self.clock.now_ms()
        for endpoint_id, (started_ms, entry_number, leaving) in departed.items():
            record = self.records.get(endpoint_id)
            if record is not None:
                if leaving:
                    self.mark_leaving(endpoint_id, started_ms, "peer")
            elif endpoint_id not in self.departed:
                self.departed[endpoint_id] = Departed(started_ms, entry_number, leaving, now)

    def _note_departed(self, endpoint, leaving):
        """Remember an endpoint that is gone or leaves, newest last.

        The start of one that only seemed to restart may be another's: its own next start may be
        earlier, and would be taken for an older one for good.
        """
        if endpoint.id in self.reported_restarts:
            return
        former = self.departed.pop(endpoint.id, None)
        same = former is not None and former.started_ms == endpoint.started_ms
        since_ms = former.since_ms if same else self.clock.now_ms()
        leaving = leaving or (same and former.leaving)
        self.departed[endpoint.id] = Departed(
            endpoint.started_ms, endpoint.entry_number, leaving, since_ms
        )
        while len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def _is_older_than(self, former, endpoint):
        """Return whether an entry is not newer than the last one of a former endpoint."""
        if endpoint.started_ms != former.started_ms:
            return endpoint.started_ms < former.started_ms
        return 0 < endpoint.entry_number <= former.entry_number

    def _is_outdated(self, known, endpoint):
        """Return whether `endpoint` is older than the known state of the endpoint."""
        old = known.endpoint
        if endpoint.started_ms != old.started_ms:
            recent = self.clock.now_ms() - known.updated_ms < STALE_INCARNATION_MS
            return recent and endpoint.started_ms < old.started_ms
        if 0 < endpoint.entry_number < old.entry_number:
            return True
        reported, current = endpoint.membership, old.membership
        if reported is None or current is None or reported.generation != current.generation:
            return False
        return (reported.state, current.state) in ONE_WAY_TRANSITIONS

    def remove(self, key):
        """Remove an entry, or let it expire if a recent store outage may have deleted it."""
        record = self.records.get(key)
        if record is None:
            return
        now = self.clock.now_ms()
        recent_outage = (
            self.store_recovered_ms is not None
            and now < self.store_recovered_ms + REREGISTRATION_MS
        )
        if recent_outage and not record.endpoint.leaving:
            if record.expires_ms is None:
                record.expires_ms = self.store_recovered_ms + REREGISTRATION_MS
            return
        del self.records[key]
        self._note_departed(record.endpoint, record.endpoint.leaving)
        self.decisions.record(
            "endpoint_gone", endpoint=key, last_told_ms=round(now - record.updated_ms)
        )
        self._mark_changed(key)

    def remove_expired(self):
        """Remove the records that were not written again in time after a store outage."""
        now = self.clock.now_ms()
        expired = [
            key
            for key, record in self.records.items()
            if record.expires_ms is not None and now >= record.expires_ms
        ]
        for key in expired:
            endpoint = self.records.pop(key).endpoint
            self._note_departed(endpoint, endpoint.leaving)
            self.decisions.record("endpoint_lapsed", endpoint=key)
            self._mark_changed(key)

    def _log_change(self, known, endpoint, revision):
        old = known.endpoint if known else None
        if old is not None and _logged_fields(old) == _logged_fields(endpoint):
            return
        member = endpoint.membership
        self.decisions.record(
            "endpoint_told",
            endpoint=endpoint.id,
            revision=revision,
            started_ms=endpoint.started_ms,
            address=endpoint.address,
            leaving=endpoint.leaving,
            domain=endpoint.domain,
            staged=endpoint.staged,
            replica=member.replica if member else None,
            state=str(member.state) if member else None,
            rank=member.rank if member else None,
        )

    def _mark_changed(self, key):
        self.version += 1
        self.on_change(key)
        self.changed.set()


def _incarnation_at(endpoint):
    """Return what identifies an incarnation without the endpoint's id."""
    return (endpoint.address, endpoint.started_ms)


def _logged_fields(endpoint):
    """Return the fields whose changes are logged."""
    return (
        endpoint.leaving,
        endpoint.membership,
        endpoint.staged,
        endpoint.started_ms,
        endpoint.address,
    )
