"""Directory of the endpoints listed in the store."""

import asyncio
import itertools
from dataclasses import dataclass, replace

from corianderhaven.common import DecisionLog

from ._membership_order import (
    REPORT_LAG_MS,
    EntryOrder,
    counts_fewer_orders,
    is_counted_newer,
    is_older_report,
    is_same_replica,
    order_of_entry,
)
from ._types import Endpoint, EngineReport, Membership, ReplicaState

# The platform guarantees that a live endpoint that reaches the store writes its entry again
# within this time after an outage during which the entry expired.
REREGISTRATION_MS = 2_000.0
# Late entries of an earlier incarnation arrive within a few heartbeats.
STALE_INCARNATION_MS = 3_000.0
MAX_DEPARTED = 2_000  # about 200 KB; more than leave within the age of a store's copy
MAX_RECENT = 64  # bounds the size of digests
DOUBT_PROBE_MS = 250.0  # between two reports that are to confirm or refute an entry
DOUBT_MS = 3_000.0  # limit on how long an entry waits for a report that confirms or refutes it
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
class Doubt:
    """Membership in an entry that may be older than the newest report.

    Parameters
    ----------
    since_ms : float
        Arrival of the first such entry; a report that was asked for `REPORT_LAG_MS` later is newer.
    probe_ms : float
        Time at which a report is next asked for.
    """

    membership: Membership | None
    since_ms: float
    probe_ms: float


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
    entered : Membership or None
        What the newest entry says.
    report : EngineReport or None
        Newest report of the incarnation, with what orders have changed since by their answers.
    order_ms : float or None
        Time of the last such answer; a report that is asked for `REPORT_LAG_MS` later is newer.
    entries_behind : bool
        Whether the entries haven't shown yet what the report showed.
    doubt : Doubt or None
    """

    endpoint: Endpoint
    updated_ms: float
    revision: int
    expires_ms: float | None = None
    unassigned_since_ms: float = 0.0
    highest_generation: int = 0
    entered: Membership | None = None
    report: EngineReport | None = None
    order_ms: float | None = None
    entries_behind: bool = False
    doubt: Doubt | None = None


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
    on_entry : callable
        Called with an endpoint as its entry describes it, and what was known of it before, or
        None. Returns whether this has to reach all daemons though routing doesn't use it.
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
        self.on_entry = lambda endpoint, previous: False

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
        """Replace the contents with a complete listing of (key, endpoint or None, revision).

        An unexpected error in one entry must not keep the others from being applied.
        """
        present = set()
        for key, endpoint, revision in entries:
            present.add(key)
            try:
                self.update(key, endpoint, revision)
            except Exception as error:
                self.decisions.record(
                    "item_rejected", key=key, revision=revision, reason=repr(error)
                )
        for key in [key for key in self.records if key not in present]:
            self.remove(key)
        self.synced = True

    def apply_peer_entry(self, endpoint, revision):
        """Apply what a daemon that follows the store knows of an endpoint."""
        self._apply_entry(endpoint.id, endpoint, revision)
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
                self._mark_changed(key)
            return
        known = self.records.get(key)
        if known is not None and revision <= known.revision:
            if revision == known.revision:
                # The same entry was listed again: it still exists and holds nothing new.
                known.expires_ms = None
            return
        self._apply_entry(key, endpoint, revision)
        self._drop_misattributed(endpoint)

    def _apply_entry(self, key, endpoint, revision):
        """Apply an entry; a report that may be newer keeps its membership until that is certain."""
        known, entered = self.records.get(key), endpoint.membership
        previous = known.endpoint if known is not None else None
        if known is not None and known.report is not None:
            number, last_number = endpoint.entry_number, known.endpoint.entry_number
            same = endpoint.started_ms == known.endpoint.started_ms
            if same and number == last_number > 0 and entered == known.entered:
                endpoint = replace(endpoint, membership=known.endpoint.membership)
            elif same and number > 0 and number >= last_number:
                endpoint = self._weigh_entry(known, endpoint)
        self._replace_if_newer(key, endpoint, revision)
        record = self.records.get(key)
        if record is not None and _is_of_entry(record.endpoint, endpoint):
            record.entered = entered
            # What this daemon reads first says nothing about what was missing or has started.
            if self.on_entry(endpoint, previous if self.synced else endpoint):
                self.on_change(key)

    def _weigh_entry(self, known, endpoint):
        """Return the entry `endpoint` with the newer membership of its own and the known one."""
        current, entered = known.endpoint.membership, endpoint.membership
        order = EntryOrder.NEWER
        if known.entries_behind:
            order = order_of_entry(entered, current, known.highest_generation)
        if order is EntryOrder.NEWER:
            known.entries_behind = False
            known.doubt = None
            return endpoint
        if order is EntryOrder.UNKNOWN:
            now = self.clock.now_ms()
            if known.doubt is None:
                known.doubt = Doubt(entered, now, now)
                self._record_doubt(endpoint, "unknown")
                self.changed.set()
            known.doubt.membership = entered
        return replace(endpoint, membership=current)

    def _record_doubt(self, endpoint, order):
        member = endpoint.membership
        self.decisions.record(
            "entry_doubted",
            endpoint=endpoint.id,
            replica=member.replica if member else None,
            state=str(member.state) if member else None,
            order=order,
        )

    def take_due_doubts(self):
        """Return the endpoints that should be asked for a report, as their entries are in doubt.

        An entry that no report has refuted within `DOUBT_MS` holds.
        """
        now = self.clock.now_ms()
        due = []
        for key, record in list(self.records.items()):
            if record.doubt is None:
                continue
            if now - record.doubt.since_ms >= DOUBT_MS:
                self._accept_doubted(key, record)
            elif now >= record.doubt.probe_ms:
                record.doubt.probe_ms = now + DOUBT_PROBE_MS
                due.append(record.endpoint)
        return due

    def forget_reports(self):
        """Go by the entries alone, as this daemon asks for no more reports."""
        for key, record in list(self.records.items()):
            if record.doubt is not None:
                self._accept_doubted(key, record)
            self.records[key].report = None
            self.records[key].entries_behind = False

    def _accept_doubted(self, key, record):
        endpoint = replace(record.endpoint, membership=record.doubt.membership)
        record.doubt, record.report, record.entries_behind = None, None, False
        self._record_doubt(endpoint, "newer")
        self._replace_if_newer(key, endpoint, record.revision)

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

    def _replace_if_newer(self, key, endpoint, revision, counted_newer=False):
        known = self.records.get(key)
        if known is not None and self._is_outdated(known, endpoint, counted_newer):
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
            record.entered, record.entries_behind = known.entered, known.entries_behind
            record.report, record.order_ms = known.report, known.order_ms
            record.doubt = known.doubt
            if known.endpoint.membership is None:
                record.unassigned_since_ms = known.unassigned_since_ms
        if endpoint.membership is not None:
            generation = endpoint.membership.generation
            record.highest_generation = max(record.highest_generation, generation)
        self.records[key] = record
        if known is None or known.endpoint != endpoint:
            self._log_change(known, endpoint, revision)
            self._mark_changed(key)

    def update_from_report(self, endpoint_id, report, asked_ms=None):
        """Apply the state that an engine returned when queried.

        Returns False if the report is that of another endpoint, which has the address now.

        Parameters
        ----------
        asked_ms : float or None
            Time at which the report was asked for; None means just now.
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
        asked_ms = self.clock.now_ms() if asked_ms is None else asked_ms
        if not restarted and is_older_report(report, record, asked_ms):
            return True
        endpoint = replace(
            record.endpoint,
            started_ms=report.started_ms,
            staged=report.staged,
            membership=report.membership,
        )
        self._replace_if_newer(
            endpoint_id, endpoint, record.revision, is_counted_newer(report, record)
        )
        if restarted:
            self.reported_restarts.add(endpoint_id)
        self._note_report(self.records[endpoint_id], report, asked_ms)
        return True

    def _note_report(self, record, report, asked_ms):
        """Keep a report that was applied, and end the doubt in an entry that it answers."""
        membership = record.endpoint.membership
        if record.endpoint.started_ms != report.started_ms or membership != report.membership:
            return
        record.report, record.order_ms = report, None
        record.entries_behind = record.entered != membership
        if record.doubt is not None:
            confirmed = is_same_replica(record.doubt.membership, membership)
            if confirmed or asked_ms - record.doubt.since_ms >= REPORT_LAG_MS:
                self._record_doubt(record.endpoint, "newer" if confirmed else "older")
                record.doubt = None

    def newest_report(self, endpoint_id, report):
        """Return what is known from `report`, just received, and from answers to orders."""
        record = self.records.get(endpoint_id)
        if record is None or record.report is None:
            return report
        older = counts_fewer_orders(report, record, self.clock.now_ms())
        return record.report if older and record.report.started_ms == report.started_ms else report

    def note_order(self, endpoint_id, count_before, began, membership):
        """Apply the answer to an order that was carried out.

        Parameters
        ----------
        count_before : int or None
            Orders that the endpoint had reported when the order was sent.
        began : bool
            Whether the order began something, rather than finding its state already there.
        membership : Membership or None
            What the endpoint is in after the order.
        """
        record = self.records.get(endpoint_id)
        last = record.report if record is not None else None
        if last is None or None in (count_before, last.order_count):
            return
        raised = began or not is_same_replica(last.membership, membership)
        count = count_before + raised
        if last.order_count > count or (raised and last.order_count == count):
            return  # a newer report has come meanwhile
        current = record.endpoint.membership
        if membership is None and current and is_same_replica(current, last.membership):
            left = replace(record.endpoint, membership=None)
            self._replace_if_newer(endpoint_id, left, record.revision)
            record = self.records[endpoint_id]
        record.report = replace(last, order_count=count, membership=membership)
        record.order_ms = self.clock.now_ms()
        record.entries_behind = record.entered != record.endpoint.membership

    def last_report(self, endpoint_id):
        """Return the newest report of an endpoint, with later answers to orders, or None."""
        record = self.records.get(endpoint_id)
        return record.report if record is not None else None

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

    def _is_outdated(self, known, endpoint, counted_newer=False):
        """Return whether `endpoint` is older than the known state of the endpoint."""
        old = known.endpoint
        if endpoint.started_ms != old.started_ms:
            recent = self.clock.now_ms() - known.updated_ms < STALE_INCARNATION_MS
            return recent and endpoint.started_ms < old.started_ms
        if 0 < endpoint.entry_number < old.entry_number:
            return True
        if counted_newer:
            return False
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


def _is_of_entry(endpoint, entry):
    """Return whether an endpoint is known from an entry, apart from its membership."""
    return (endpoint.started_ms, endpoint.entry_number) == (entry.started_ms, entry.entry_number)


def _logged_fields(endpoint):
    """Return the fields whose changes are logged."""
    return (
        endpoint.leaving,
        endpoint.membership,
        endpoint.staged,
        endpoint.started_ms,
        endpoint.address,
    )
