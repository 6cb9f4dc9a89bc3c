"""Evidence that a part of a prompt ends the endpoints that answer it. Performs no I/O.

An end of an endpoint is recorded for all parts of the answers that were in their opening phase
there; nothing tells at that time which of them had to do with it. An answer that gets past its
first events on an endpoint that lives on clears its parts. Evidence is shared between daemons, and
merging it gives the same result in any order and however often.
"""

import math
from collections import OrderedDict

from corianderhaven.common import rendezvous_order
from corianderhaven.fleet import PartRecord

from ._crash_evidence import (
    CLEARANCE_MS,
    EVIDENCE_MS,
    MAX_PART_LENGTH,
    MOMENT_MS,
    NEVER_MS,
    REQUEST_PREFIX,
    SUSPECT_ENDS,
    Admission,
    Assessment,
    ListedPart,
    PartEvidence,
    Verdict,
    count_ends,
    evidence_lifetime_ms,
    shorten,
    store_incarnation,
    thresholds_of,
)

SUSPECTED_RETRY_MS = 1_000.0
TURN_MS = 10_000.0  # longer than an attempt's opening phase and differences between daemons' ages
# Evidence loses its time in transit from its age. Were it learned up to the end of its lifetime,
# daemons that have dropped it would get it back from others again and again.
LEARNING_MARGIN_MS = 30_000.0
# For the same reason a sound answer looks newer after each hop. Without a tolerance it would get
# newer with each exchange, until it cleared ends that came after it.
CLEARED_TOLERANCE_MS = 500.0
MAX_PARTS = 256
MAX_REQUESTS = 512  # each request that an ordinary loss breaks off in its beginning takes a place
EXPIRY_INTERVAL_MS = 1_000.0
RECENT_MS = 5_000.0  # covers the spread of an end's record to the daemon that had a sound answer
MAX_RECENT_PARTS = 4_096
MAX_IN_FLIGHT_PARTS = 4_096
MAX_FORGOTTEN_ENDS = 4_096


class CrashLedger:
    """Records ends and sound answers by part, and decides on requests with suspected parts.

    Parts are opaque ids without the last part of a prompt. A part seen in few requests, all of
    which happened to be on endpoints that ended, can become suspected: it is then tried one
    request at a time, and its first sound answer clears it.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    on_proven, on_cleared : callable
        Called with a part's id, of at most `MAX_PART_LENGTH` characters, when its verdict becomes
        or stops being `PROVEN`. A call may come from any method, after the change is complete.
    """

    def __init__(self, clock):
        self.clock = clock
        self.records = {}
        self.recent = OrderedDict()
        # Times of ends that found no place. Learned again from a peer they would look later each
        # time, and never get old.
        self.forgotten = OrderedDict()
        self.in_flight = {}
        self.expired_ms = NEVER_MS
        self.on_proven = lambda part: None
        self.on_cleared = lambda part: None

    def record_end(self, incarnation, parts, ended_ms):
        """Record that an endpoint ended while an answer on `parts` was in its opening phase.

        Parameters
        ----------
        incarnation : str
            Name of this run of the endpoint, the same at all daemons.
        parts : iterable of str
        ended_ms : float
            Local time of the end.
        """
        ids = {shorten(part) for part in parts}
        proven = {part for part in ids if self._verdict(part) is Verdict.PROVEN}
        # An end that a proven part explains tells nothing of the other parts.
        # Known parts come first: new ones of a long prompt must not push them out.
        for part in sorted(proven or ids, key=lambda part: (part not in self.records, part)):
            cleared_ms = self.recent.get(part, NEVER_MS)
            if part in self.records or ended_ms > cleared_ms + CLEARANCE_MS:
                self._add(part, {incarnation: ended_ms}, cleared_ms)
        self._update_verdicts()

    def record_success(self, parts, began_ms):
        """Record an answer that began at `began_ms` on an endpoint that lived on."""
        changed = False
        for part in map(shorten, parts):
            self.recent[part] = max(began_ms, self.recent.get(part, NEVER_MS))
            self.recent.move_to_end(part)
            changed |= self._clear_until(part, began_ms)
        self._drop_old_successes()
        if changed:
            self._update_verdicts()

    def assess(self, parts):
        """Return the `Assessment` of the worst of `parts`."""
        found = [(p, r) for p, r in self._known(parts) if r.verdict is not Verdict.CLEAR]
        if not found:
            return Assessment()
        part, record = max(found, key=lambda f: (f[1].verdict, f[1].total, f[1].last_end_ms))
        age_ms = self.clock.now_ms() - record.last_end_ms
        return Assessment(record.verdict, part, record.total, age_ms)

    def admit(self, parts, is_trial_owner, in_flight_of_part=None):
        """Return the `Admission` of an attempt with `parts`.

        Parameters
        ----------
        parts : iterable of str
        is_trial_owner : callable
            Returns whether this daemon is the `trial_owner` of a part. Called only for parts
            that one daemon at a time may try.
        in_flight_of_part : callable, optional
            Returns the number of this daemon's attempts with a part that are in their opening
            phase; by default what `begin` and `finish` counted.
        """
        count = in_flight_of_part or (lambda part: self.in_flight.get(part, 0))
        admission = Admission()
        ids = {shorten(part) for part in parts}
        for part, record in self._known(ids):
            if record.verdict is Verdict.CLEAR:
                continue
            is_decisive = record.verdict is Verdict.PROVEN and self.proven_with(part) <= ids
            wait_ms = self._wait_ms(part, record, is_trial_owner, count(part), is_decisive)
            if admission.part is None or wait_ms > admission.retry_after_ms:
                admission = Admission(wait_ms == 0.0, False, wait_ms, part)
        return admission

    def proven_with(self, part):
        """Return the other parts that were in all the same answers as a proven part.

        Any of them may be the one that ends endpoints, so only requests with all are rejected. One
        with some of them is tried, which tells them apart.
        """
        record = self._current(self._known_id(part))
        if record is None or record.verdict is not Verdict.PROVEN:
            return set()
        return {
            other
            for other, evidence in self.records.items()
            if evidence is not record
            and evidence.verdict is Verdict.PROVEN
            and evidence.counted.keys() >= record.counted.keys()
        }

    def is_proven(self, parts):
        """Return whether requests with `parts` are rejected because of a proof."""
        ids = {shorten(part) for part in parts}
        return any(
            record.verdict is Verdict.PROVEN and self.proven_with(part) <= ids
            for part, record in self._known(ids)
        )

    def begin(self, parts):
        """Count an attempt as in its opening phase; returns what to pass to `finish`.

        Attempts with clear parts count too, since a part may become suspected meanwhile.
        """
        counted = tuple(
            part
            for part in {shorten(part) for part in parts}
            if part in self.in_flight
            or part in self.records
            or len(self.in_flight) < MAX_IN_FLIGHT_PARTS
        )
        for part in counted:
            self.in_flight[part] = self.in_flight.get(part, 0) + 1
        return counted

    def finish(self, counted):
        """Stop counting an attempt: it got past its opening phase, or ended."""
        for part in counted:
            self.in_flight[part] -= 1
            if not self.in_flight[part]:
                del self.in_flight[part]

    def trial_owner(self, part, daemon_names):
        """Return the daemon that may try a part now.

        It changes every `TURN_MS`, since a daemon may get no request with the part.
        """
        record = self._current(self._known_id(part))
        turn = 0
        if record is not None and record.counted:
            turn = int((self.clock.now_ms() - record.last_end_ms) // TURN_MS)
        return rendezvous_order(daemon_names, f"{self._known_id(part)}\0{turn}")[0]

    def digest(self):
        """Return the evidence to share, by part: what restricts requests, or has just changed.

        Ends before the last sound answer are included: to a daemon that noticed such an end
        later, it would otherwise still count.
        """
        now = self.clock.now_ms()
        if now - self.expired_ms >= EXPIRY_INTERVAL_MS:
            self.expire()
        # Ages are rounded down. Rounded up, an end would get older with each exchange.
        return {
            part: PartRecord(
                {i: math.floor(now - t) for i, t in record.ends.items()},
                math.floor(now - record.cleared_ms) if record.cleared_ms > NEVER_MS else -1,
            )
            for part, record in self.records.items()
            if record.is_shared(now)
        }

    def merge(self, records):
        """Add a peer's evidence, whose ages are relative to now.

        Parameters
        ----------
        records : dict of str to PartRecord
        """
        changed = False
        for part, received in records.items():
            if len(part) <= MAX_PART_LENGTH:
                changed |= self._merge_part(part, received)
        if changed:
            self._update_verdicts()

    def proven_parts(self):
        """Return the parts that are proven."""
        return [part for part, r in self.records.items() if r.verdict is Verdict.PROVEN]

    def clear(self, part):
        """Clear a part, given in full or as listed, as a sound answer that begins now would.

        The ends in its evidence then say nothing of the other parts of these requests either.
        """
        part = self._known_id(part)
        record = self._current(part)
        ends = record.counted.keys() if record is not None else set()
        others = [p for p, r in self.records.items() if not ends.isdisjoint(r.counted)]
        # The part is kept without a record too: peers may have one.
        for cleared in {part, *others}:
            self._add(cleared, {}, self.clock.now_ms())
        self._update_verdicts()

    def mark_proven(self, part, group=()):
        """Take a proof from the store: the last end counts as now.

        `group` holds the parts that are proven together, as `proven_with` tells.

        Nothing changes if the part is proven already, or was cleared since this daemon started.
        """
        part = self._known_id(part)
        record = self._current(part)
        if record is not None and (
            record.verdict is Verdict.PROVEN or record.cleared_ms > NEVER_MS
        ):
            return
        incarnation = store_incarnation({part, *group})
        self._add(part, {incarnation: self.clock.now_ms()}, NEVER_MS)
        self._update_verdicts()

    def listing(self):
        """Return a `ListedPart` for each part with evidence, worst first."""
        self.expire()
        now = self.clock.now_ms()
        listed = [
            ListedPart(
                part,
                record.verdict,
                {i: now - t for i, t in record.counted.items()},
                now - record.cleared_ms if record.cleared_ms > NEVER_MS else -1.0,
            )
            for part, record in self.records.items()
        ]
        return sorted(listed, key=lambda p: (-p.verdict, -len(p.ends), p.part))

    def expire(self):
        """Drop evidence that is too old to count."""
        self.expired_ms = self.clock.now_ms()
        for part in list(self.records):
            self._current(part)
        self._drop_old_successes()

    def _wait_ms(self, part, record, is_trial_owner, in_flight, is_decisive):
        """Return the time until an attempt may be admitted; 0 if it may be now."""
        since_end_ms = self.clock.now_ms() - record.last_end_ms
        if is_decisive and since_end_ms < record.pause_ms():
            return max(SUSPECTED_RETRY_MS, record.pause_ms() - since_end_ms)
        if in_flight:
            return SUSPECTED_RETRY_MS
        if record.verdict is Verdict.SUSPECTED and not record.is_concentrated():
            return 0.0
        # An end at the same moment as the last might not add to the proof.
        may_try = since_end_ms > MOMENT_MS and is_trial_owner(part)
        return 0.0 if may_try else SUSPECTED_RETRY_MS

    def _known(self, parts):
        for part in map(shorten, parts):
            record = self._current(part)
            if record is not None:
                yield part, record

    def _known_id(self, part):
        """Return the id of a part that is given in full or as listed."""
        return part if len(part) <= MAX_PART_LENGTH else shorten(part)

    def _verdict(self, part):
        record = self._current(part)
        return Verdict.CLEAR if record is None else record.verdict

    def _current(self, part):
        """Return the part's record, or None if there is none or it is too old."""
        record = self.records.get(part)
        if record is None:
            return None
        now = self.clock.now_ms()
        if record.verdict is Verdict.SUSPECTED and now > record.suspected_until_ms():
            record.verdict = Verdict.CLEAR
        if record.counted and now > record.evidence_until_ms():
            record.ends = {}
            record.update()
            self._update_verdicts()
        if now > record.expires_ms():
            self.records.pop(part, None)
            return None
        return record

    def _clear_until(self, part, cleared_ms):
        """Clear a known part; returns whether this changed anything."""
        record = self.records.get(part)
        if record is None or cleared_ms <= record.cleared_ms:
            return False
        counted = record.counted
        record.cleared_ms = cleared_ms
        record.update()
        if record.counted == counted:
            return False
        record.changed_ms = self.clock.now_ms()
        return True

    def _merge_part(self, part, received):
        now = self.clock.now_ms()
        cleared_ms = self.recent.get(part, NEVER_MS)
        if received.cleared_age_ms >= 0.0:
            cleared_ms = max(cleared_ms, now - received.cleared_age_ms)
        ends = {}
        if self._is_learnable(received.ends, thresholds_of(part)):
            ends = {i: now - max(0.0, age_ms) for i, age_ms in received.ends.items()}
        record = self._current(part)
        if record is None:
            is_new_answer = now - cleared_ms <= EVIDENCE_MS - LEARNING_MARGIN_MS
            return bool(ends or is_new_answer) and self._add(part, ends, cleared_ms)
        if cleared_ms <= record.cleared_ms + CLEARED_TOLERANCE_MS:
            cleared_ms = record.cleared_ms
        return self._add(part, ends, cleared_ms)

    @staticmethod
    def _is_learnable(ages, thresholds):
        """Return whether received ends are young enough for all to keep them for a while."""
        if not ages:
            return False
        total = count_ends({i: -age_ms for i, age_ms in ages.items()}, thresholds)
        lifetime_ms = evidence_lifetime_ms(total, thresholds)
        return min(ages.values()) <= lifetime_ms - LEARNING_MARGIN_MS

    def _add(self, part, ends, cleared_ms):
        """Add ends and a sound answer; returns whether this changed anything."""
        ends = {i: min(t, self.forgotten.get((part, i), math.inf)) for i, t in ends.items()}
        record = self.records.get(part)
        if record is None:
            record = PartEvidence(
                thresholds_of(part), ends, cleared_ms, changed_ms=self.clock.now_ms()
            )
            self._trim(part, record)
            return self._insert(part, record)
        earlier = {i: t for i, t in ends.items() if t < record.ends.get(i, math.inf)}
        if not earlier and cleared_ms <= record.cleared_ms:
            return False
        record.ends |= earlier
        record.cleared_ms = max(record.cleared_ms, cleared_ms)
        record.changed_ms = self.clock.now_ms()
        self._trim(part, record)
        return True

    def _trim(self, part, record):
        self._remember(part, record.trim())
        record.update()

    def _remember(self, part, ends):
        for incarnation, ended_ms in ends.items():
            self.forgotten[part, incarnation] = ended_ms
        while len(self.forgotten) > MAX_FORGOTTEN_ENDS:
            self.forgotten.popitem(last=False)

    def _insert(self, part, record):
        """Insert a record if there is place, or one with less evidence makes place."""
        if not self._has_place_for(part):
            self.expire()
        if not self._has_place_for(part):
            same_kind = self._records_like(part)
            weakest = min(same_kind, key=lambda part: self._rank(self.records[part]))
            other = self.records[weakest]
            if other.verdict is Verdict.PROVEN or self._rank(other) >= self._rank(record):
                self._remember(part, record.ends)
                return False
            self._remember(weakest, other.ends)
            del self.records[weakest]
        self.records[part] = record
        return True

    def _has_place_for(self, part):
        most = MAX_REQUESTS if part.startswith(REQUEST_PREFIX) else MAX_PARTS
        return len(self.records) < most or len(self._records_like(part)) < most

    def _records_like(self, part):
        """Return the parts of prompts in the ledger, or the requests: neither displaces others."""
        is_request = part.startswith(REQUEST_PREFIX)
        return [p for p in self.records if p.startswith(REQUEST_PREFIX) == is_request]

    @staticmethod
    def _rank(record):
        """Return a key that sorts records by how much they deserve their place."""
        latest_ms = max(record.last_end_ms, record.cleared_ms)
        return record.weight >= record.thresholds.proof, record.total, latest_ms

    def _drop_old_successes(self):
        oldest_ms = self.clock.now_ms() - RECENT_MS
        while self.recent:
            part, began_ms = next(iter(self.recent.items()))
            if began_ms >= oldest_ms and len(self.recent) <= MAX_RECENT_PARTS:
                return
            del self.recent[part]

    def _update_verdicts(self):
        """Compute all verdicts: ends of one part may explain those of another."""
        # A part with one end less than a proof takes may explain all but one of another's.
        candidates = [
            r
            for r in self.records.values()
            if r.weight >= r.thresholds.proof - SUSPECT_ENDS + 1 and r.weight >= SUSPECT_ENDS
        ]
        candidates.sort(key=lambda r: -r.weight)
        changed = []
        uncertain = (
            item
            for item in self.records.items()
            if item[1].weight >= SUSPECT_ENDS or item[1].verdict is not Verdict.CLEAR
        )
        strongest_first = sorted(uncertain, key=lambda item: -item[1].weight)
        for part, record in strongest_first:
            verdict = self._new_verdict(record, candidates)
            if Verdict.PROVEN in (verdict, record.verdict) and verdict is not record.verdict:
                changed.append((part, verdict))
            record.verdict = verdict
            record.was_proven |= verdict is Verdict.PROVEN
        for part, verdict in changed:
            (self.on_proven if verdict is Verdict.PROVEN else self.on_cleared)(part)

    def _new_verdict(self, record, candidates):
        if record.weight < SUSPECT_ENDS:
            return Verdict.CLEAR
        explanations = [other for other in candidates if record.is_explained_by(other)]
        # A part that was only in answers with a proven one needs no caution of its own.
        if any(other.verdict is Verdict.PROVEN for other in explanations):
            return Verdict.CLEAR
        if explanations or record.weight < record.thresholds.proof:
            is_old = self.clock.now_ms() > record.suspected_until_ms()
            return Verdict.CLEAR if is_old else Verdict.SUSPECTED
        return Verdict.PROVEN
