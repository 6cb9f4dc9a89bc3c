"""The endpoints that the store lists, with the age of what is known."""

import asyncio
from dataclasses import dataclass, replace

from corianderhaven.common import DecisionLog

from ._types import Endpoint, Membership, ReplicaState

# An entry that lapsed while the store was away is written again within this time of its
# return by an endpoint that lives and reaches the store (the platform's own bound).
REENTRY_MS = 2_000.0
STALE_LIFE_MS = 3_000.0  # an older life's late entry comes within a few heartbeats
# Steps that a member takes by itself; the first can't be told after the second.
FOLLOWING = {
    (ReplicaState.JOINING, ReplicaState.READY),
    (ReplicaState.OPEN, ReplicaState.BROKEN),
}


@dataclass
class EndpointRecord:
    """An endpoint with the time and revision at which it was last told.

    Parameters
    ----------
    lapses_ms : float or None
        When a record that is missing after an outage of the store stops counting.
    """

    endpoint: Endpoint
    told_ms: float
    revision: int
    lapses_ms: float | None = None


class EndpointDirectory:
    """Endpoints by id, as the store tells of them.

    Silence of the store takes no endpoint out; a record that says it is leaving always does.

    Parameters
    ----------
    clock : Clock
    decisions : DecisionLog
    """

    def __init__(self, clock, decisions: DecisionLog):
        self.clock = clock
        self.decisions = decisions
        self.records = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.synced = False
        self.returned_ms = None

    def endpoints(self, service=None):
        """Return the endpoints that have not lapsed, of one service or of all."""
        now = self.clock.now_ms()
        return [
            record.endpoint
            for record in self.records.values()
            if (service is None or record.endpoint.service == service)
            and (record.lapses_ms is None or now < record.lapses_ms)
        ]

    def get(self, endpoint_id):
        """Return the `Endpoint` of an id, or None."""
        record = self.records.get(endpoint_id)
        if record is None:
            return None
        if record.lapses_ms is not None and self.clock.now_ms() >= record.lapses_ms:
            return None
        return record.endpoint

    def store_returned(self):
        """Note that the store answers again after an outage."""
        self.returned_ms = self.clock.now_ms()

    def replace_all(self, entries):
        """Take over a whole listing of (key, endpoint or None, revision)."""
        present = set()
        for key, endpoint, revision in entries:
            present.add(key)
            self.update(key, endpoint, revision)
        for key in [key for key in self.records if key not in present]:
            self.remove(key)
        self.synced = True
        self._mark_changed()

    def update(self, key, endpoint, revision):
        """Take over one entry; `endpoint` None is an entry that can't be read."""
        if endpoint is None:
            if self.records.pop(key, None) is not None:
                self.decisions.record("endpoint_unreadable", endpoint=key, revision=revision)
                self._mark_changed()
            return
        known = self.records.get(key)
        if known is not None and revision <= known.revision:
            if revision == known.revision:
                # Read again: it is still there, and says nothing that wasn't known.
                known.lapses_ms = None
            return
        self._replace(key, endpoint, revision)

    def _replace(self, key, endpoint, revision):
        known = self.records.get(key)
        if known is not None and self._older(known, endpoint):
            return
        self.records[key] = EndpointRecord(endpoint, self.clock.now_ms(), revision)
        if known is None or known.endpoint != endpoint:
            self._log_change(known, endpoint, revision)
            self._mark_changed()

    def update_from_report(self, endpoint_id, report):
        """Take over what an engine said of itself when asked."""
        record = self.records.get(endpoint_id)
        if record is None:
            return
        endpoint = replace(
            record.endpoint,
            started_ms=report.started_ms,
            staged=report.staged,
            membership=report.membership,
        )
        self._replace(endpoint_id, endpoint, record.revision)

    def update_from_keeper(self, endpoint_id, replica, generation, started_ms):
        """Take over the keeper's word that an endpoint heads an open replica in this life."""
        record = self.records.get(endpoint_id)
        if record is None or record.endpoint.started_ms != started_ms:
            return
        known = record.endpoint.membership
        if known is not None and known.generation >= generation:
            return
        opened = Membership(replica, generation, 0, ReplicaState.OPEN)
        endpoint = replace(record.endpoint, membership=opened)
        self._replace(endpoint_id, endpoint, record.revision)

    def _older(self, known, endpoint):
        """Return whether an entry was written before what is known of the endpoint."""
        old = known.endpoint
        if endpoint.started_ms != old.started_ms:
            fresh = self.clock.now_ms() - known.told_ms < STALE_LIFE_MS
            return fresh and endpoint.started_ms < old.started_ms
        if 0 < endpoint.entry_number < old.entry_number:
            return True
        one, other = endpoint.membership, old.membership
        if one is None or other is None or one.generation != other.generation:
            return False
        return (one.state, other.state) in FOLLOWING

    def remove(self, key):
        """Drop an entry, after `REENTRY_MS` when it may have lapsed in an outage."""
        record = self.records.get(key)
        if record is None:
            return
        now = self.clock.now_ms()
        outage_recent = self.returned_ms is not None and now < self.returned_ms + REENTRY_MS
        if outage_recent and not record.endpoint.leaving:
            if record.lapses_ms is None:
                record.lapses_ms = self.returned_ms + REENTRY_MS
            return
        del self.records[key]
        self.decisions.record(
            "endpoint_gone", endpoint=key, last_told_ms=round(now - record.told_ms)
        )
        self._mark_changed()

    def drop_lapsed(self):
        """Remove the records whose time to reappear is over."""
        now = self.clock.now_ms()
        lapsed = [
            key
            for key, record in self.records.items()
            if record.lapses_ms is not None and now >= record.lapses_ms
        ]
        for key in lapsed:
            del self.records[key]
            self.decisions.record("endpoint_lapsed", endpoint=key)
        if lapsed:
            self._mark_changed()

    def _log_change(self, known, endpoint, revision):
        old = known.endpoint if known else None
        if old is not None and _belief(old) == _belief(endpoint):
            return
        member = endpoint.membership
        self.decisions.record(
            "endpoint_told",
            endpoint=endpoint.id,
            revision=revision,
            leaving=endpoint.leaving,
            domain=endpoint.domain,
            staged=endpoint.staged,
            replica=member.replica if member else None,
            state=str(member.state) if member else None,
            rank=member.rank if member else None,
        )

    def _mark_changed(self):
        self.version += 1
        self.changed.set()


def _belief(endpoint):
    """Return the part of an entry whose change is worth a log line."""
    return (
        endpoint.leaving,
        endpoint.membership,
        endpoint.staged,
        endpoint.started_ms,
        endpoint.address,
    )
