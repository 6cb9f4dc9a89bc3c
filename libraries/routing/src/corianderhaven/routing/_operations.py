"""Routing of service operations; those that aren't idempotent run at most once."""

import hashlib
import http.client
import random
import threading
from collections import Counter
from dataclasses import dataclass

import msgspec

from corianderhaven.common import (
    NETWORK_ERRORS,
    CorianderhavenError,
    ErrorCode,
    Outcome,
    TransportError,
    open_connection,
    read_body,
    receive_response,
)
from corianderhaven.membership import peer_signature
from corianderhaven.platform import VmKind

from . import _metrics as metrics
from ._claims import ClaimState, claim_key
from ._outcomes import AttemptEvidence, AttemptStage, Verdict, classify_attempt, may_retry
from ._retry import Backoff, RetryBudget, parse_retry_after_ms

CONNECT_TIMEOUT_MS = 500.0
MAX_ATTEMPTS = 4
SERVICE_RETRY_RATIO = 0.2
SAMPLE_SIZE = 2
IN_PROGRESS_RETRY_AFTER_MS = 500


@dataclass
class OperationRequest:
    """A request to run an operation.

    Attributes
    ----------
    idempotency_key : str or None
        Key sent by the caller; scoped by client account and operation.
    hops : int
        1 if a daemon of another zone has forwarded the request, else 0.
    """

    request_id: str
    account: object
    service: object
    operation: object
    body: bytes
    idempotency_key: str | None = None
    hops: int = 0


@dataclass(frozen=True)
class OperationResponse:
    """Response of the endpoint, or the recorded response of an earlier request."""

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


@dataclass(frozen=True)
class AttemptResult:
    """Result of one attempt at an operation."""

    verdict: Verdict
    response: OperationResponse | None = None
    retry_after_ms: float | None = None


@dataclass(frozen=True)
class ServiceTarget:
    """An endpoint, or a daemon of another zone if `zone` is set."""

    address: str
    vm: str
    zone: str = ""


class OperationRouter:
    """Runs operations on service endpoints, with retries where they are safe.

    Parameters
    ----------
    clock : Clock
    facts : FactTable
    directory : VmDirectory
    adoption : ZoneAdoption
    remote_zones : RemoteZones
    claims : ClaimRegistry
    decisions : DecisionLog
    secret : str
        Secret for signing peer messages.
    """

    def __init__(self, clock, facts, directory, adoption, remote_zones, claims, decisions, secret):
        self.clock = clock
        self.facts = facts
        self.directory = directory
        self.adoption = adoption
        self.remote_zones = remote_zones
        self.claims = claims
        self.decisions = decisions
        self.secret = secret
        self.budgets = {}
        self.backoff = Backoff()
        self.in_flight = Counter()
        self.random = random.Random()
        self.lock = threading.Lock()

    def run(self, request):
        """Run an operation and return its `OperationResponse`.

        Raises
        ------
        CorianderhavenError
            If there is no response; the outcome is ``not_run`` only if that is certain.
        """
        may_claim = request.hops == 0 and not request.operation.idempotent
        keyed = request.idempotency_key is not None and may_claim
        try:
            response = self._run_keyed(request) if keyed else self._run_unkeyed(request)
        except CorianderhavenError as error:
            self._count_outcome(request, error.outcome)
            raise
        self._count_outcome(request, Outcome.COMPLETE)
        return response

    def outcome(self, account, service, operation, idempotency_key):
        """Return the latest known `Claim` of an idempotency key, or None.

        Raises
        ------
        KeyValueError
            If the store can't be read.
        """
        key = claim_key(account.name, service.name, operation.name, idempotency_key)
        claim = self.claims.read(key)
        return None if claim is None else self.claims.resolve(claim)

    def endpoints(self, service):
        """Return the endpoints of the served zones that may take new work."""
        return [
            t
            for t in self._listed_targets(service)
            if self._is_serving(self.facts.fresh_report(t.vm))
        ]

    def last_known_endpoints(self, service):
        """Return the endpoints that were serving according to their last report.

        Fallback for idempotent operations when no endpoint is known to be alive: the reports
        may be missing because of a fault of this daemon, not of the endpoints.
        """
        last = ((t, self.facts.get(t.vm)) for t in self._listed_targets(service))
        return [t for t, fact in last if fact is not None and self._is_serving(fact.report)]

    def _listed_targets(self, service):
        selector = service.vms
        return [
            ServiceTarget(vm.address, vm.id)
            for vm in self.directory.endpoints(self.adoption.served_zones())
            if vm.kind is VmKind.SERVICE
            and vm.label == selector.label
            and (not selector.zones or vm.zone in selector.zones)
            and not self.directory.is_leaving(vm.id)
        ]

    def _is_serving(self, report):
        return report is not None and report.status == "serving" and not report.leaving

    def _run_keyed(self, request):
        key = claim_key(
            request.account.name,
            request.service.name,
            request.operation.name,
            request.idempotency_key,
        )
        digest = hashlib.sha256(request.body).hexdigest()
        result = self.claims.claim(key, digest, request.operation.retention_ms)
        if result.existing is not None:
            return self._answer_repeat(request, result.existing, digest)
        held = result.held
        self.decisions.record(
            "key_claimed", request_id=request.request_id, key=key, claim_id=held.claim.claim_id
        )
        try:
            response = self._run_attempts(request)
        except CorianderhavenError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.claims.release(held)
            else:
                self.claims.mark_unknown(held)
            raise
        except BaseException:
            self.claims.mark_unknown(held)
            raise
        self.claims.complete(held, response.status, response.content_type, response.body)
        return response

    def _answer_repeat(self, request, existing, digest):
        """Return or raise the result of a request whose key is already claimed; never runs it."""
        if existing.payload_digest != digest:
            raise CorianderhavenError(
                ErrorCode.IDEMPOTENCY_KEY_REUSED,
                "this Idempotency-Key was used with another body; this body was not run",
            )
        current = self.claims.resolve(existing)
        self.decisions.record(
            "key_repeated",
            request_id=request.request_id,
            claim_id=existing.claim_id,
            state=current.state.value,
        )
        if current.state is ClaimState.DONE:
            return OperationResponse(current.status, current.content_type, current.body, True)
        if current.state is ClaimState.CLAIMED:
            raise CorianderhavenError(
                ErrorCode.IN_PROGRESS,
                "the first request with this Idempotency-Key is running",
                Outcome.UNKNOWN,
                retry_after_ms=IN_PROGRESS_RETRY_AFTER_MS,
            )
        if current.state is ClaimState.RELEASED:
            raise CorianderhavenError(
                ErrorCode.NO_ENDPOINT,
                "the first request with this Idempotency-Key has just been given up",
                Outcome.NOT_RUN,
                retry_after_ms=IN_PROGRESS_RETRY_AFTER_MS,
            )
        raise CorianderhavenError(
            ErrorCode.OPERATION_UNKNOWN,
            "the first request with this Idempotency-Key may or may not have run",
            Outcome.UNKNOWN,
        )

    def _run_unkeyed(self, request):
        return self._run_attempts(request)

    def _run_attempts(self, request):
        """Try endpoints until one responds, as long as retries are safe."""
        budget = self._retry_budget(request.service)
        budget.deposit()
        tried = set()
        verdicts = []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            target = self._choose_target(request, tried)
            if target is None:
                break
            tried.add(target.address)
            result = self._run_attempt(request, target, attempt)
            verdicts.append(result.verdict)
            if result.verdict is Verdict.ANSWERED:
                return result.response
            if not may_retry(result.verdict, request.operation.idempotent):
                break
            if not budget.withdraw():
                break
            if result.retry_after_ms and attempt < MAX_ATTEMPTS:
                self.clock.sleep_ms(self.backoff.pause_ms(attempt))
        raise self._final_error(request, verdicts)

    def _final_error(self, request, verdicts):
        unknown = Verdict.UNKNOWN in verdicts
        name = f"{request.service.name}/{request.operation.name}"
        if unknown:
            return CorianderhavenError(
                ErrorCode.ENDPOINT_LOST,
                f"{name} was sent and its answer was lost; it may or may not have run",
                Outcome.UNKNOWN,
            )
        code = ErrorCode.ENDPOINT_REFUSED if verdicts else ErrorCode.NO_ENDPOINT
        message = f"no endpoint took {name}"
        return CorianderhavenError(code, message, Outcome.NOT_RUN, retry_after_ms=1000)

    def _choose_target(self, request, tried):
        """Return the less loaded of two random endpoints, else a daemon of another zone, or None.

        The load is the number of this daemon's requests in flight.
        """
        free = [t for t in self.endpoints(request.service) if t.address not in tried]
        if not free and request.operation.idempotent:
            free = [t for t in self.last_known_endpoints(request.service) if t.address not in tried]
        if free:
            sample = self.random.sample(free, min(SAMPLE_SIZE, len(free)))
            return min(sample, key=lambda target: self.in_flight[target.address])
        if request.hops:
            return None
        for zone in self.remote_zones.for_service(request.service.name):
            addresses = [address for address in zone.addresses if address not in tried]
            if addresses:
                return ServiceTarget(self.random.choice(addresses), "", zone.zone)
        return None

    def _run_attempt(self, request, target, attempt):
        """Send the request once, on a new connection."""
        self.decisions.record(
            "endpoint_chosen",
            request_id=request.request_id,
            service=request.service.name,
            operation=request.operation.name,
            vm=target.vm or target.address,
            zone=target.zone,
            attempt=attempt,
        )
        with self.lock:
            self.in_flight[target.address] += 1
        try:
            result = self._send(request, target)
        finally:
            with self.lock:
                self.in_flight[target.address] -= 1
        self.decisions.record(
            "attempt_judged",
            request_id=request.request_id,
            vm=target.vm or target.address,
            verdict=result.verdict.value,
            status=result.response.status if result.response else None,
        )
        return result

    def _send(self, request, target):
        path, headers = self._build_path_and_headers(request, target)
        deadline_ms = request.operation.deadline_ms
        try:
            connection = open_connection(target.address, CONNECT_TIMEOUT_MS, deadline_ms)
        except TransportError:
            return AttemptResult(classify_attempt(AttemptEvidence(AttemptStage.NOT_CONNECTED), ()))
        try:
            connection.request(
                "POST", path, body=request.body, headers=headers, preload_content=False
            )
            response = receive_response(connection)
            body = self._read_body(response, self.clock.now_ms() + deadline_ms)
        except NETWORK_ERRORS:
            return AttemptResult(classify_attempt(AttemptEvidence(AttemptStage.SENT), ()))
        finally:
            connection.close()
        return self._classify_response(request, target, response, body)

    def _read_body(self, response, deadline):
        """Return the whole body; raise TimeoutError at the deadline, even if data still arrives."""

        def check_deadline():
            if self.clock.now_ms() > deadline:
                raise TimeoutError("operation deadline passed")

        return read_body(response, check_deadline)

    def _classify_response(self, request, target, response, body):
        if target.zone and response.status >= http.client.BAD_REQUEST:
            return self._classify_peer_error(response, body)
        evidence = AttemptEvidence(AttemptStage.ANSWERED, response.status)
        verdict = classify_attempt(evidence, request.operation.refuses_before_run)
        content_type = response.headers.get("Content-Type", "application/json")
        operation_response = OperationResponse(response.status, content_type, body)
        retry_after = parse_retry_after_ms(response.headers.get("Retry-After"))
        return AttemptResult(verdict, operation_response, retry_after)

    def _classify_peer_error(self, response, body):
        """Adopt the outcome reported by a daemon of another zone."""
        try:
            outcome = msgspec.json.decode(body)["error"]["outcome"]
        except (msgspec.DecodeError, KeyError, TypeError):
            outcome = None
        if outcome == Outcome.NOT_RUN.value:
            return AttemptResult(Verdict.NOT_RUN, None, None)
        if outcome is not None:
            return AttemptResult(Verdict.UNKNOWN, None, None)
        content_type = response.headers.get("Content-Type", "application/json")
        return AttemptResult(
            Verdict.ANSWERED, OperationResponse(response.status, content_type, body)
        )

    def _build_path_and_headers(self, request, target):
        headers = {"X-Request-Id": request.request_id, "Content-Type": "application/json"}
        if request.idempotency_key is not None:
            headers["Idempotency-Key"] = request.idempotency_key
        if not target.zone:
            return f"/operations/{request.operation.name}", headers
        path = f"/peer/v1/services/{request.service.name}/{request.operation.name}"
        headers["X-Corianderhaven-Hops"] = "1"
        headers["X-Corianderhaven-Account"] = request.account.name
        headers["X-Corianderhaven-Signature"] = peer_signature(
            self.secret, "POST", path, request.body
        )
        return path, headers

    def _retry_budget(self, service):
        with self.lock:
            if service.name not in self.budgets:
                self.budgets[service.name] = RetryBudget(SERVICE_RETRY_RATIO)
            return self.budgets[service.name]

    def _count_outcome(self, request, outcome):
        metrics.OPERATIONS.labels(request.service.name, request.operation.name, outcome.value).inc()
