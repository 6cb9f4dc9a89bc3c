"""Routing of drafts: admission, target selection, retries and resumption at token offsets."""

import secrets
import threading
from dataclasses import dataclass, field

import msgspec

from corianderhaven.common import (
    CorianderhavenError,
    ErrorCode,
    JsonClient,
    Outcome,
    TransportError,
)
from corianderhaven.membership import peer_signature

from . import _metrics as metrics
from ._chunks import chunk_text
from ._outcomes import AttemptEvidence, AttemptStage, Verdict, classify_attempt
from ._prefix_affinity import prompt_blocks
from ._resume_token import STREAM_ID_SEPARATOR, ResumePoint
from ._retry import Backoff, RetryBudget, parse_retry_after_ms
from ._targets import Target
from ._upstream import AttemptLostError, DraftAttempt

MAX_ATTEMPTS = 8
REPLICA_POLL_MS = 50.0
EXCLUSION_PERIOD_MS = 1_500.0
RESUME_FIRST_EVENT_TIMEOUT_MS = 1_000.0
CANCEL_TIMEOUT_MS = 300.0
DETACHED_STREAM_RETENTION_MS = 10_000
REFUSED_BEFORE_RUN = (409, 429, 503)
BATCHES_PER_GAP_SAMPLE = 4
DEFAULT_RETRY_AFTER_MS = 1_000
HOPS_HEADER = "X-Corianderhaven-Hops"
ACCOUNT_HEADER = "X-Corianderhaven-Account"
WAITED_HEADER = "X-Corianderhaven-Waited-Ms"
SIGNATURE_HEADER = "X-Corianderhaven-Signature"


@dataclass
class DraftRequest:
    """A request for a draft.

    Attributes
    ----------
    path : str
        ``/v1/chat/completions`` or ``/v1/completions``.
    body : dict
        Request body as sent by the caller.
    delivered : int
        Number of tokens that were delivered before this request.
    prefix_text : str
        Text of these tokens; not available if `resume` is given.
    resume : ResumePoint or None
        Position from which a reconnected caller resumes.
    hops : int
        1 if a daemon of another zone has forwarded the request, else 0.
    waited_ms : float
        Time that the request has already waited at that daemon for its first token.
    """

    request_id: str
    account: object
    deployments: list
    path: str
    body: dict
    prompt: str
    max_tokens: int
    delivered: int = 0
    prefix_text: str = ""
    resume: ResumePoint | None = None
    hops: int = 0
    waited_ms: float = 0.0


@dataclass
class RelayState:
    """Progress of a relay."""

    delivered: int
    chunks: list = field(default_factory=list)
    attempts: int = 0
    excluded: set = field(default_factory=set)
    may_have_run: bool = False


class DraftRouter:
    """Creates relays and holds the components that they share.

    Parameters
    ----------
    clock : Clock
    targets : TargetFinder
    load_tracker : LoadTracker
    admission : AdmissionController
    decisions : DecisionLog
    secret : str
        Secret for signing peer messages.
    resume_enabled : bool
        If False, broken streams aren't resumed.
    """

    def __init__(
        self, clock, targets, load_tracker, admission, decisions, secret, resume_enabled=True
    ):
        self.clock = clock
        self.targets = targets
        self.load_tracker = load_tracker
        self.admission = admission
        self.decisions = decisions
        self.secret = secret
        self.resume_enabled = resume_enabled
        self.backoff = Backoff()
        self.budgets = {}

    def relay(self, request):
        """Return the `DraftRelay` of a `DraftRequest`."""
        return DraftRelay(self, request)

    def budget(self, deployment):
        """Return the retry budget of a deployment."""
        budget = self.budgets.get(deployment.name)
        if budget is None or budget.ratio != deployment.limits.retry_budget:
            budget = self.budgets[deployment.name] = RetryBudget(deployment.limits.retry_budget)
        return budget


class DraftRelay:
    """Relays one draft over one or more attempts; each token is delivered once.

    Parameters
    ----------
    router : DraftRouter
    request : DraftRequest
    """

    def __init__(self, router, request):
        self.router = router
        self.request = request
        self.state = RelayState(request.delivered)
        self.attempt = None
        self.stream_id = None
        self.open_stream_id = None
        self.caller_disconnected = False
        self.clock = router.clock
        self.accepted_ms = router.clock.now_ms()
        self.blocks = prompt_blocks(request.prompt)
        self.deployment = request.deployments[0]

    def handle_disconnect(self):
        """Abort the current attempt after the caller has disconnected; thread-safe."""
        self.caller_disconnected = True
        attempt = self.attempt
        if attempt is not None:
            attempt.abort()

    def batches(self):
        """Yield lists of `DraftEvent`, each token once and in order, until the end marker.

        Raises
        ------
        CorianderhavenError
            If the draft can't be completed; its outcome says whether it may have run.
        """
        self.deployment = self._choose_deployment()
        ticket = self._admit()
        self.router.budget(self.deployment).deposit()
        outcome = Outcome.FAILED
        try:
            yield from self._run()
            outcome = Outcome.COMPLETE
        except CorianderhavenError as error:
            outcome = error.outcome
            raise
        except GeneratorExit:
            outcome = "caller_left"
            raise
        finally:
            self.router.admission.release(self.deployment, ticket)
            self._record_end(outcome)

    def _choose_deployment(self):
        """Return the first deployment, by priority, with a free slot, else the first one."""
        router, hops = self.router, self.request.hops
        free = (d for d in self.request.deployments if router.targets.has_free_slot(d, hops))
        return next(free, self.request.deployments[0])

    def _admit(self):
        return self.router.admission.admit(
            self.deployment,
            self.request.account,
            self.request.max_tokens,
            lambda: self.router.targets.slots(self.deployment, self.request.hops),
            lambda: self.caller_disconnected,
            self.request.waited_ms,
        )

    def _run(self):
        resume_at = self.request.resume
        while True:
            target = self._find_stream_target(resume_at) if resume_at else self._next_target()
            try:
                yield from self._attempt(target, resume_at)
                return
            except AttemptLostError as lost:
                resume_at = self._handle_lost_attempt(target, lost, resume_at)

    def _attempt(self, target, resume_at):
        """Run one attempt and yield the events that haven't been delivered yet."""
        self.state.attempts += 1
        key = target.key
        limits = self.deployment.limits
        self.router.load_tracker.begin(key)
        attempt = self._build_attempt(target, resume_at, limits)
        self.attempt = attempt
        if self.caller_disconnected:
            attempt.aborted = True
        try:
            attempt.start()
            yield from self._relay_events(attempt, target)
        except GeneratorExit:
            self._cancel(target, DETACHED_STREAM_RETENTION_MS)
            raise
        finally:
            self.attempt = None
            self.router.load_tracker.end(key)
            attempt.close()

    def _relay_events(self, attempt, target):
        state, key = self.state, target.key
        clock, load_tracker = self.clock, self.router.load_tracker
        gap_started, gap_tokens = None, 0
        for number, batch in enumerate(attempt.batches()):
            events = [e for e in batch if e.offset is None or e.offset > state.delivered]
            now = clock.now_ms()
            if number == 0 and not state.chunks:
                self._observe_first_token(now)
            if gap_started is None:
                gap_started = now
            else:
                gap_tokens += len(batch)
                if gap_tokens and number % BATCHES_PER_GAP_SAMPLE == 0:
                    load_tracker.record_token_gap(key, (now - gap_started) / gap_tokens)
                    gap_started, gap_tokens = now, 0
            if now > self.accepted_ms + self.deployment.limits.total_deadline_ms:
                self._cancel(target, 0)
                raise self._make_error(ErrorCode.DEADLINE_EXCEEDED, "total deadline passed")
            if not events:
                continue
            self.stream_id = attempt.stream_id or self.stream_id
            if events[-1].offset is not None:
                state.delivered = events[-1].offset
                state.chunks.extend(event.data for event in events)
            yield events

    def _observe_first_token(self, now):
        latency_s = (now - self.accepted_ms) / 1000
        metrics.FIRST_TOKEN.labels(self.deployment.name).observe(latency_s)

    def _build_attempt(self, target, resume_at, limits):
        request = self.request
        headers = {"X-Request-Id": request.request_id, "Content-Type": "application/json"}
        if resume_at is not None:
            self.open_stream_id = resume_at.stream_id
            path = f"/v1/streams/{resume_at.stream_id}"
            query = f"?offset={resume_at.offset}"
            method, body = "GET", None
        else:
            path, query, method = request.path, "", "POST"
            body = self._encode_body()
        if target.replica is None and target.zone:
            path = "/peer" + path
            headers[HOPS_HEADER] = "1"
            headers[ACCOUNT_HEADER] = request.account.name
            headers[WAITED_HEADER] = str(self._waited_ms())
            headers[SIGNATURE_HEADER] = peer_signature(
                self.router.secret, method, path, body or b""
            )
        elif target.replica is not None and resume_at is None:
            self.open_stream_id = self._new_stream_id(target.replica)
            headers["X-Stream-Id"] = self.open_stream_id
        first_ms = RESUME_FIRST_EVENT_TIMEOUT_MS if resume_at else limits.first_token_deadline_ms
        first_ms = max(1.0, min(first_ms, self._remaining_ms()))
        return DraftAttempt(
            target.address, method, path + query, body, headers, first_ms, limits.gap_deadline_ms
        )

    def _waited_ms(self):
        """Return the time that the caller has waited for its first token, 0 once delivered."""
        started = self.state.delivered > 0
        return 0 if started else int(self.clock.now_ms() - self.accepted_ms)

    def _encode_body(self):
        request = self.request
        body = {
            **request.body,
            "stream": True,
            "priority": min(request.account.priority, self.deployment.priority),
        }
        if self.state.delivered:
            body["continue_from"] = {"text": self._delivered_text(), "tokens": self.state.delivered}
        return msgspec.json.encode(body)

    def _delivered_text(self):
        """Return the text delivered so far; chunks are decoded only here."""
        return self.request.prefix_text + "".join(map(chunk_text, self.state.chunks))

    def _new_stream_id(self, replica):
        parts = (replica.zone, replica.replica_id, str(replica.generation), secrets.token_hex(6))
        return STREAM_ID_SEPARATOR.join(parts)

    def _next_target(self):
        """Return the target of the next attempt, waiting until there is one."""
        started = self.clock.now_ms()
        while True:
            target, choice = self._choose_target()
            if target is not None:
                self._log_choice(target, choice)
                if target.replica is not None:
                    self.router.targets.chooser.record_sent(target.replica, self.blocks)
                return target
            if self.clock.now_ms() - started >= EXCLUSION_PERIOD_MS:
                self.state.excluded.clear()
            self._check_replica_wait()
            self.clock.sleep_ms(REPLICA_POLL_MS)

    def _choose_target(self):
        excluded = self.state.excluded
        target, choice = self.router.targets.local_target(self.deployment, self.blocks, excluded)
        if target is None and self.request.hops == 0:
            target = self.router.targets.remote_target(self.deployment, excluded)
        return target, choice

    def _check_replica_wait(self):
        """Raise an error if the wait for a replica exceeds its limit or the caller has left."""
        started = self.state.delivered > self.request.delivered or self.request.resume is not None
        limits = self.deployment.limits
        waited_ms = self.clock.now_ms() - self.accepted_ms
        max_wait_ms = limits.total_deadline_ms if started else limits.queue_deadline_ms
        if waited_ms < max_wait_ms and not self.caller_disconnected:
            return
        raise self._make_error(ErrorCode.NO_REPLICA, "no whole replica")

    def _find_stream_target(self, resume_at):
        """Return the target that retains the stream of a resume point."""
        address = self.router.targets.view.leader_address(
            resume_at.replica_id, resume_at.generation
        )
        if address is not None:
            replica = self.router.targets.view.find(resume_at.replica_id, resume_at.generation)
            return Target(address, self.deployment, replica)
        addresses = self.router.targets.remote_zones.addresses(resume_at.zone)
        if addresses and self.request.hops == 0:
            return Target(addresses[0], self.deployment, zone=resume_at.zone)
        raise self._stream_lost_error()

    def _handle_lost_attempt(self, target, lost, resume_at):
        """Handle a broken attempt.

        Returns
        -------
        ResumePoint or None
            Where to resume the stream, or None if the next attempt needs a new target.
        """
        state = self.state
        state.may_have_run = state.may_have_run or lost.reason not in ("connect", "refused")
        metrics.ATTEMPTS_LOST.labels(self.deployment.name, lost.reason).inc()
        self.router.decisions.record(
            "attempt_lost",
            request_id=self.request.request_id,
            target=target.key,
            reason=lost.reason,
            status=lost.status,
            delivered=state.delivered,
        )
        self._check_continuable(target)
        if lost.status is not None and lost.status < 500 and lost.reason == "refused":
            self._check_refusal(lost)
        if self.request.resume is not None:
            return self._retry_retained_stream(lost)
        started = state.delivered > self.request.delivered
        can_resume = self.stream_id is not None and started and resume_at is None
        if can_resume and lost.reason in ("timeout", "reset", "no_end_marker"):
            return ResumePoint(self.stream_id, state.delivered)
        self._abandon_target(target, lost, started)
        return None

    def _retry_retained_stream(self, lost):
        """Return the resume point of a stream whose earlier text this daemon doesn't have.

        Such a stream can't be continued on another replica.
        """
        if lost.reason == "gone":
            raise self._stream_lost_error()
        self.clock.sleep_ms(self.router.backoff.pause_ms(self.state.attempts))
        stream_id = self.stream_id or self.request.resume.stream_id
        return ResumePoint(stream_id, self.state.delivered)

    def _abandon_target(self, target, lost, started):
        """Exclude a target and cancel what may still run there.

        Before the first token this also takes a retry from the budget and waits for the
        backoff, unless the connection failed.
        """
        self.state.excluded.add(target.key)
        if lost.reason not in ("connect", "refused", "gone"):
            self._cancel(target, 0)
        if not started and lost.reason != "connect":
            if not self.router.budget(self.deployment).withdraw():
                raise self._make_error(ErrorCode.ENDPOINT_LOST, "retry budget spent")
            retry_after = parse_retry_after_ms(lost.retry_after)
            pause = self.router.backoff.pause_ms(self.state.attempts, retry_after)
            if pause > self._remaining_queue_ms():
                message = "refused until past the deadline"
                raise self._make_error(ErrorCode.ENDPOINT_REFUSED, message, retry_after)
            self.clock.sleep_ms(pause)

    def _check_continuable(self, target):
        if self.caller_disconnected:
            self._cancel(target, 0)
            raise self._make_error(ErrorCode.ENDPOINT_LOST, "the caller has left")
        if self._remaining_ms() <= 0:
            raise self._make_error(ErrorCode.DEADLINE_EXCEEDED, "total deadline passed")
        started = self.state.delivered > self.request.delivered
        if started and not self.router.resume_enabled:
            raise self._make_error(ErrorCode.INCOMPLETE_STREAM, "resumption is switched off")
        if self.state.attempts >= MAX_ATTEMPTS:
            message = f"{self.state.attempts} attempts broke"
            raise self._make_error(ErrorCode.ENDPOINT_LOST, message)

    def _check_refusal(self, lost):
        """Raise an error if the endpoint rejected the request itself as invalid."""
        evidence = AttemptEvidence(AttemptStage.ANSWERED, lost.status)
        if (
            classify_attempt(evidence, REFUSED_BEFORE_RUN) is Verdict.ANSWERED
            and lost.status != 404
        ):
            raise CorianderhavenError(
                ErrorCode.INVALID_REQUEST,
                "the engine refused the request: " + lost.body.decode("utf-8", "replace")[:500],
                Outcome.NOT_RUN,
            )

    def _remaining_queue_ms(self):
        """Return how long a draft that has not started may still wait, in ms."""
        spent = self.clock.now_ms() - self.accepted_ms + self.request.waited_ms
        limits = self.deployment.limits
        return min(limits.queue_deadline_ms, limits.total_deadline_ms) - spent

    def _make_error(self, code, message, retry_after_ms=None):
        """Return the error for the caller.

        Drafts are idempotent, so the error depends mainly on whether tokens were delivered.
        """
        started = self.state.delivered > self.request.delivered
        if started:
            return CorianderhavenError(ErrorCode.INCOMPLETE_STREAM, message, Outcome.FAILED)
        outcome = Outcome.UNKNOWN if self.state.may_have_run else Outcome.NOT_RUN
        retry_after = int(retry_after_ms or DEFAULT_RETRY_AFTER_MS)
        return CorianderhavenError(code, message, outcome, retry_after_ms=retry_after)

    def _stream_lost_error(self):
        message = "the stream is no longer kept; ask anew without Last-Event-ID"
        return CorianderhavenError(ErrorCode.STREAM_LOST, message, Outcome.FAILED)

    def _remaining_ms(self):
        spent = self.clock.now_ms() - self.accepted_ms
        return self.deployment.limits.total_deadline_ms - spent

    def _cancel(self, target, after_ms):
        """Ask the engine, in the background, to cancel a stream that nothing reads any more.

        The engine retains the stream for `after_ms`, so that a caller can resume it; 0
        cancels it at once.
        """
        stream_id = self.open_stream_id
        if stream_id is None or target.replica is None:
            return
        threading.Thread(
            target=_send_cancel, args=(target.address, stream_id, after_ms), daemon=True
        ).start()

    def _log_choice(self, target, choice):
        self.router.decisions.record(
            "replica_chosen",
            request_id=self.request.request_id,
            account=self.request.account.name,
            deployment=self.deployment.name,
            target=target.key,
            zone=target.zone or (target.replica.zone if target.replica else ""),
            attempt=self.state.attempts + 1,
            reason=choice.reason if choice else "other_zone",
            scores=choice.scores if choice else {},
            excluded=sorted(self.state.excluded),
        )

    def _record_end(self, outcome):
        name = self.deployment.name
        metrics.DRAFTS.labels(name, str(outcome)).inc()
        metrics.TOKENS.labels(name).inc(self.state.delivered - self.request.delivered)
        self.router.decisions.record(
            "draft_ended",
            request_id=self.request.request_id,
            outcome=str(outcome),
            attempts=self.state.attempts,
            tokens=self.state.delivered,
            took_ms=round(self.clock.now_ms() - self.accepted_ms, 1),
        )


def _send_cancel(address, stream_id, after_ms):
    client = JsonClient(address, CANCEL_TIMEOUT_MS)
    try:
        client.call("POST", f"/v1/streams/{stream_id}/cancel", {"after_ms": after_ms})
    except TransportError:
        pass
    finally:
        client.close()
