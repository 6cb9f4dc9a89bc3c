"""The callers' listener."""

import base64

from corianderhaven.common import (
    CorianderhavenError,
    ErrorCode,
    Outcome,
    Response,
    Router,
    json_response,
)
from corianderhaven.platform import KeyValueError
from corianderhaven.routing import OperationRequest

from ._draft_front import DraftFront

MAX_KEY_LENGTH = 255
DRAFT_PATHS = ("/v1/chat/completions", "/v1/completions")


class CallersFront:
    """Routes for callers.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.drafts = DraftFront(daemon)
        self.router = Router()
        self.router.add("GET", "/healthz", self._health)
        self.router.add("GET", "/readyz", self._ready)
        self.router.add("GET", "/v1/models", self._models)
        for path in DRAFT_PATHS:
            self.router.add("POST", path, self._counted(self._draft))
        operation = "/v1/services/{service}/{operation}"
        self.router.add("POST", operation, self._counted(self._operate))
        self.router.add("GET", operation, self._counted(self._outcome))

    def _counted(self, handler):
        """Count a request as in flight until its last byte is written."""

        def handle(request):
            in_flight = self.daemon.in_flight
            if not in_flight.enter():
                raise CorianderhavenError(
                    ErrorCode.DRAINING, "this daemon is shutting down", retry_after_ms=200
                )
            try:
                response = handler(request)
            except BaseException:
                in_flight.leave()
                raise
            if isinstance(response.body, bytes):
                in_flight.leave()
            else:
                response.body = _CountedBody(response.body, in_flight)
            return response

        return handle

    def _authenticate(self, request):
        if self.daemon.holder.record is None:
            raise CorianderhavenError(
                ErrorCode.NOT_READY, "no configuration is in force", retry_after_ms=1000
            )
        account = self.daemon.holder.caller_keys.authenticate(request.header("authorization"))
        if account is None:
            raise CorianderhavenError(ErrorCode.UNAUTHORIZED, "missing or wrong bearer key")
        return account

    def _health(self, request):
        return json_response({"status": "alive"})

    def _ready(self, request):
        reason = self.daemon.unready_reason()
        if reason:
            return json_response({"status": "not_ready", "reason": reason}, 503)
        return json_response({"status": "ready"})

    def _models(self, request):
        account = self._authenticate(request)
        names = {
            name
            for deployment in self.daemon.permitted_deployments(account)
            for name in [
                deployment.model,
                *(f"{deployment.model}:{adapter}" for adapter in deployment.adapters),
            ]
        }
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "corianderhaven"}
            for name in sorted(names)
        ]
        return json_response({"object": "list", "data": data})

    def _draft(self, request):
        return self.drafts.serve(request, self._authenticate(request), request.path)

    def _operate(self, request):
        account = self._authenticate(request)
        service, operation = self._find_operation(request, account)
        request.json()
        key = self._idempotency_key(request)
        operation_request = OperationRequest(
            request.request_id, account, service, operation, request.body, key
        )
        answer = self.daemon.operations.run(operation_request)
        return answer_response(answer)

    def _outcome(self, request):
        """Answer what became of an idempotency key."""
        account = self._authenticate(request)
        service, operation = self._find_operation(request, account)
        key = self._idempotency_key(request)
        if key is None:
            raise CorianderhavenError(
                ErrorCode.INVALID_REQUEST, "the Idempotency-Key header is missing"
            )
        try:
            claim = self.daemon.operations.outcome(account, service, operation, key)
        except KeyValueError as error:
            raise CorianderhavenError(
                error.code, error.message, Outcome.UNKNOWN, retry_after_ms=1000
            ) from error
        if claim is None:
            raise CorianderhavenError(
                ErrorCode.NOT_FOUND,
                "no run is recorded under this key; a request still on its way may run it",
                Outcome.UNKNOWN,
            )
        return json_response(_describe(claim))

    def _find_operation(self, request, account):
        names = request.parameters
        service = next(
            (s for s in self.daemon.holder.document.services if s.name == names["service"]), None
        )
        operation = service and next(
            (o for o in service.operations if o.name == names["operation"]), None
        )
        permitted = service and (not service.accounts or account.name in service.accounts)
        if not operation or not permitted:
            raise CorianderhavenError(
                ErrorCode.UNKNOWN_OPERATION,
                f"no such operation for this account: {names['service']}/{names['operation']}",
            )
        return service, operation

    def _idempotency_key(self, request):
        key = request.header("idempotency-key")
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            raise CorianderhavenError(
                ErrorCode.INVALID_REQUEST,
                f"the Idempotency-Key header must have 1 to {MAX_KEY_LENGTH} characters",
            )
        return key


def answer_response(answer):
    """Return the `Response` of an `OperationResponse`."""
    headers = {"Content-Type": answer.content_type}
    if answer.replayed:
        headers["Idempotent-Replayed"] = "true"
    return Response(answer.status, answer.body, headers)


def _describe(claim):
    states = {"done": "complete", "claimed": "in_progress", "released": "not_run"}
    described = {"state": states.get(claim.state.value, "unknown"), "claimed_ms": claim.claimed_ms}
    if claim.state.value == "done":
        described["answer"] = {
            "status": claim.status,
            "content_type": claim.content_type,
            "body_base64": base64.b64encode(claim.body).decode(),
        }
    return described


class _CountedBody:
    """A streamed body that is counted as in flight until it is closed."""

    def __init__(self, chunks, in_flight):
        self.chunks = chunks
        self.in_flight = in_flight
        self.open = True

    def __iter__(self):
        return iter(self.chunks)

    def close(self):
        """Close the stream and count it out, once."""
        if self.open:
            self.open = False
            try:
                self.chunks.close()
            finally:
                self.in_flight.leave()
