"""Keeps prompts that end endpoints from reaching more of them.

Watches the opening phase of each attempt, finds out whether an endpoint ended under it, and asks
the `CrashLedger` whether requests with the parts of its prompt may be sent.
"""

import asyncio

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError
from corianderhaven.scheduling import Refusal

from . import _metrics
from ._crash_evidence import REQUEST_PREFIX, RequestDigest, Verdict
from ._crash_ledger import CrashLedger
from ._path_prober import CONNECT_TIMEOUT_MS

# An endpoint that a prompt ends writes a few events at most.
OPENING_EVENTS = 10
# An endpoint that ended refuses connections at once, and until it has started again. One that is
# cut off or stands still answers nothing, and its end shows in its entry, if at all.
# The entry of one that started again at once under another id stands for some heartbeats.
PROBE_DELAYS_MS = (150.0, 500.0, 1_500.0, 4_000.0)
REPLICA_RISK_PAUSE_MS = 5_000.0  # in which another replica of the model may be formed
CHECK_INTERVAL_MS = 1_000.0
DIGEST_PIECE_BYTES = 65_536  # well under a ms
DIGEST_CACHE_MS = 50.0  # half of the shortest exchange interval


async def digest_request(request, account):
    """Return the part that stands for a `CallerRequest` as a whole.

    Yields between pieces of a large body, so that other requests don't wait for it.
    """
    digest = RequestDigest(request.method, request.target, account.name if account else "")
    for first in range(0, len(request.body), DIGEST_PIECE_BYTES):
        if first:
            await asyncio.sleep(0)
        digest.update(request.body[first : first + DIGEST_PIECE_BYTES])
    return digest.part()


async def _assume_sound(endpoint, failed_since_ms):
    return True


def reason_for(part):
    """Return why requests with a part that ended endpoints are refused."""
    subject = "the request" if part.startswith(REQUEST_PREFIX) else "a part of the prompt"
    return f"{subject} ended endpoints"


class OpeningPhase:
    """An attempt from its send until its answer is past its first events.

    Parameters
    ----------
    guard : CrashGuard
    request_id : str
    endpoint : Endpoint
    parts : tuple of str
    """

    def __init__(self, guard, request_id, endpoint, parts):
        self.guard = guard
        self.request_id = request_id
        self.endpoint = endpoint
        self.parts = parts
        self.counted = guard.ledger.begin(parts)
        self.began_ms = None
        self.over = False

    def record_events(self, count):
        """Record that the endpoint has sent `count` events; returns whether that is sound."""
        if self.began_ms is None:
            self.began_ms = self.guard.clock.now_ms()
        if count >= OPENING_EVENTS and not self.over:
            self.record_sound()
        return count >= OPENING_EVENTS

    def record_answer(self):
        """Record a whole answer to a request without events: its endpoint lived on."""
        self.began_ms = self.guard.clock.now_ms()
        self.record_sound()

    def record_sound(self):
        """Record that the endpoint lived on after it had begun to write."""
        if not self.over and self.began_ms is not None:
            self.guard.ledger.record_success(self.parts, self.began_ms)
        self.finish()

    def finish(self):
        """End the phase; a phase that has ended changes nothing any more."""
        if not self.over:
            self.over = True
            self.guard.ledger.finish(self.counted)


class CrashGuard:
    """Decides whether requests with parts that ended endpoints may be sent.

    Parameters
    ----------
    directory : EndpointDirectory
    peers : PeerTable
    clock : Clock
    decisions : DecisionLog
    source_ip : str or None

    Attributes
    ----------
    on_verdict : callable
        Called with a part's id and whether it is proven now, when that changes.
    is_path_sound : coroutine function
        Takes an `Endpoint` and the time from which on it failed. Returns whether other endpoints
        can be reached, so that the failure is its own.
    """

    def __init__(self, directory, peers, clock, decisions, source_ip=None):
        self.directory = directory
        self.peers = peers
        self.clock = clock
        self.decisions = decisions
        self.source_ip = source_ip
        self.ledger = CrashLedger(clock)
        self.ledger.on_proven = lambda part: self._note_verdict(part, True)
        self.ledger.on_cleared = lambda part: self._note_verdict(part, False)
        self.on_verdict = lambda part, proven: None
        self.is_path_sound = _assume_sound
        self.checks = {}
        self.first_probes = set()
        self.latest_digest = (-1e12, {})

    def close(self):
        """Abandon the checks under way."""
        for task in (*self.checks.values(), *self.first_probes):
            task.cancel()

    def check(self, metadata, has_other_replica=lambda: True):
        """Return a `Refusal` if a request may not be sent to an endpoint now, or None.

        Parameters
        ----------
        metadata : RequestMetadata
        has_other_replica : callable
            Returns whether its model stays served if the request ends its endpoint.
        """
        admission = self.ledger.admit(metadata.blamed_parts, self.is_trial_owner)
        if admission.part is None:
            return None
        evidence = self.ledger.assess((admission.part,))
        if admission.allowed and (has_other_replica() or self._may_risk_replica(evidence)):
            return None
        retry_after_ms = max(admission.retry_after_ms, CHECK_INTERVAL_MS)
        self.decisions.record(
            "part_rejected",
            request=metadata.request_id,
            part=admission.part,
            verdict=evidence.verdict.name.lower(),
            ends=evidence.ends,
            evidence_age_ms=round(evidence.age_ms),
            retry_after_ms=round(retry_after_ms),
        )
        _metrics.PART_REJECTIONS.labels(evidence.verdict.name.lower()).inc()
        return Refusal(reason_for(admission.part), retry_after_ms)

    def _may_risk_replica(self, evidence):
        """Return whether a suspected part may be tried on a model's only replica.

        Without any trial a sound part would stay rejected, with trials at will the model unserved.
        """
        return evidence.age_ms > REPLICA_RISK_PAUSE_MS and self.is_trial_owner(evidence.part)

    def may_resume(self, parts):
        """Return whether a request whose answer broke off may go to another endpoint."""
        return self.ledger.assess(parts).verdict is Verdict.CLEAR

    def begin(self, metadata, endpoint):
        """Return the `OpeningPhase` of an attempt that is sent now.

        The trial of a proven part counts as an end until it turns out sound: its result may
        never be known, and no other daemon is to try the part at the same time.
        """
        if self.ledger.is_proven(metadata.blamed_parts):
            now = self.clock.now_ms()
            self.ledger.record_end(
                f"trial:{self.peers.own_name}@{round(now)}", metadata.blamed_parts, now
            )
        return OpeningPhase(self, metadata.request_id, endpoint, metadata.blamed_parts)

    async def record_break(self, opening):
        """Find out whether the endpoint ended in the opening phase of an answer that broke off.

        Returns after the first probe; if that doesn't tell, the check goes on.
        """
        if opening.over or not opening.parts:
            opening.finish()
            return
        opening.finish()
        # Its caller may leave meanwhile, which must not end the check.
        first = asyncio.get_running_loop().create_task(
            self._check_end(opening, self.clock.now_ms())
        )
        self.first_probes.add(first)
        first.add_done_callback(self.first_probes.discard)
        await asyncio.shield(first)

    async def _check_end(self, opening, ended_ms):
        endpoint = opening.endpoint
        key = (endpoint.id, endpoint.started_ms)
        has_ended = await self._probe(endpoint)
        if has_ended is None and key not in self.checks:
            loop = asyncio.get_running_loop()
            self.checks[key] = loop.create_task(self._check_later(endpoint))
            self.checks[key].add_done_callback(lambda task: self.checks.pop(key, None))
        if has_ended is None:
            self.checks[key].add_done_callback(
                lambda task: self._note_result(opening, ended_ms, task)
            )
        elif has_ended:
            self._record_end(opening, ended_ms)

    def _was_leaving(self, endpoint, known):
        """Return whether an endpoint said that it leaves, so that its end was planned."""
        former = self.directory.departed.get(endpoint.id)
        states = [state for state in (endpoint, known, former) if state is not None]
        return any(s.leaving and s.started_ms == endpoint.started_ms for s in states)

    def digest(self):
        """Return the evidence for peers, worked out once for several of them."""
        made_ms, digest = self.latest_digest
        now = self.clock.now_ms()
        if now - made_ms >= DIGEST_CACHE_MS:
            digest = self.ledger.digest()
            self.latest_digest = (now, digest)
        return digest

    def is_trial_owner(self, part):
        """Return whether this daemon is the one that may try a part now."""
        own_name = self.peers.own_name
        return self.ledger.trial_owner(part, [own_name, *self.peers.peers]) == own_name

    def merge(self, records):
        """Add a peer's evidence."""
        if records:
            self.ledger.merge(records)

    def _note_result(self, opening, ended_ms, task):
        if task.cancelled():
            return
        if task.exception() is not None:
            reason = repr(task.exception())
            self.decisions.record("end_check_failed", endpoint=opening.endpoint.id, reason=reason)
        elif task.result():
            self._record_end(opening, ended_ms)

    def _record_end(self, opening, ended_ms):
        endpoint = opening.endpoint
        self.ledger.record_end(f"{endpoint.id}@{endpoint.started_ms}", opening.parts, ended_ms)
        evidence = self.ledger.assess(opening.parts)
        self.decisions.record(
            "endpoint_ended_under_request",
            request=opening.request_id,
            endpoint=endpoint.id,
            part=evidence.part,
            verdict=evidence.verdict.name.lower(),
            ends=evidence.ends,
        )
        _metrics.ENDS_UNDER_REQUESTS.inc()

    def _note_verdict(self, part, proven):
        event = "part_proven" if proven else "part_cleared"
        evidence = self.ledger.assess((part,))
        self.decisions.record(
            event, part=part, ends=evidence.ends, evidence_age_ms=round(evidence.age_ms)
        )
        self.on_verdict(part, proven)

    async def _check_later(self, endpoint):
        """Return whether an endpoint turns out to have ended."""
        for delay_ms in PROBE_DELAYS_MS:
            await asyncio.sleep(delay_ms / MS_PER_S)
            has_ended = await self._probe(endpoint)
            if has_ended is not None:
                return has_ended
        self.decisions.record("end_not_known", endpoint=endpoint.id)
        return False

    async def _probe(self, endpoint):
        """Return whether an endpoint has ended, or None if that can't be told."""
        known = self.directory.get(endpoint.id)
        if self._was_leaving(endpoint, known):
            return False
        if known is None or known.started_ms != endpoint.started_ms:
            return True
        probed_ms = self.clock.now_ms()
        try:
            connection = await ClientConnection.open(
                endpoint.address, CONNECT_TIMEOUT_MS, self.source_ip
            )
        except ConnectionLostError as error:
            # A lost path may refuse connections too, although the endpoint lives on.
            ended = error.refused and await self.is_path_sound(endpoint, probed_ms)
            return True if ended else None
        connection.close()
        # It may be the next incarnation that listens already; then its entry follows.
        return None
