"""Exceptions with stable error codes, and request outcomes reported to callers."""

import enum
from dataclasses import dataclass


class Outcome(enum.StrEnum):
    """Known effect of a request."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class ErrorCode(enum.Enum):
    """Stable error codes and their HTTP status codes."""

    MALFORMED_JSON = ("malformed_json", 400)
    INVALID_REQUEST = ("invalid_request", 400)
    INVALID_DOCUMENT = ("invalid_document", 422)
    UNAUTHORIZED = ("unauthorized", 401)
    FORBIDDEN = ("forbidden", 403)
    NOT_FOUND = ("not_found", 404)
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405)
    UNKNOWN_MODEL = ("unknown_model", 404)
    UNKNOWN_OPERATION = ("unknown_operation", 404)
    REVISION_CONFLICT = ("revision_conflict", 409)
    IN_PROGRESS = ("in_progress", 409)
    OPERATION_UNKNOWN = ("operation_unknown", 409)
    STREAM_LOST = ("stream_lost", 410)
    BODY_TOO_LARGE = ("body_too_large", 413)
    IDEMPOTENCY_KEY_REUSED = ("idempotency_key_reused", 422)
    RESUME_TOKEN_INVALID = ("resume_token_invalid", 403)
    ACCOUNT_LIMIT = ("account_limit", 429)
    QUEUE_FULL = ("queue_full", 503)
    QUEUE_TIMEOUT = ("queue_timeout", 503)
    NO_REPLICA = ("no_replica", 503)
    NO_ENDPOINT = ("no_endpoint", 503)
    NOT_READY = ("not_ready", 503)
    NO_MEMORY = ("no_memory", 503)
    DRAINING = ("draining", 503)
    CLAIMS_UNAVAILABLE = ("claims_unavailable", 503)
    PLATFORM_UNAVAILABLE = ("platform_unavailable", 503)
    PLATFORM_LIMITED = ("platform_limited", 503)
    ENDPOINT_REFUSED = ("endpoint_refused", 503)
    ENDPOINT_LOST = ("endpoint_lost", 502)
    INCOMPLETE_STREAM = ("incomplete_stream", 502)
    DEADLINE_EXCEEDED = ("deadline_exceeded", 504)
    ORDER_REFUSED = ("order_refused", 409)
    INTERNAL = ("internal", 500)

    @property
    def text(self):
        """Return the code as sent in responses."""
        return self.value[0]

    @property
    def status(self):
        """Return the HTTP status of the code."""
        return self.value[1]


@dataclass(frozen=True)
class FieldError:
    """Validation error at one path of a document or request body.

    Attributes
    ----------
    path : str
        JSON path of the error, for example ``$.deployments[0].model``.
    message : str
        Description of the error.
    """

    path: str
    message: str


class CorianderhavenError(Exception):
    """Base class of errors that are sent to a caller, an operator or a peer.

    Parameters
    ----------
    code : ErrorCode
        Stable error code.
    message : str
        Human-readable description.
    outcome : Outcome
        Known effect of the request.
    retry_after_ms : int or None
        Suggested delay before a retry; says nothing about whether a retry is safe.
    errors : tuple of FieldError
        Validation errors of rejected documents and bodies.
    details : dict or None
        Additional data for the caller, such as the changes behind a revision conflict.
    """

    def __init__(
        self, code, message, outcome=Outcome.NOT_RUN, retry_after_ms=None, errors=(), details=None
    ):
        super().__init__(message)
        self.code = code
        self.message = message
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
        self.errors = tuple(errors)
        self.details = details

    def to_body(self):
        """Return the body of the error response, ready for JSON encoding."""
        error = {
            "code": self.code.text,
            "message": self.message,
            "outcome": self.outcome.value,
            "retry_after_ms": self.retry_after_ms,
        }
        if self.errors:
            error["errors"] = [{"path": e.path, "message": e.message} for e in self.errors]
        if self.details is not None:
            error["details"] = self.details
        return {"error": error}


class SettingsError(Exception):
    """A setting is missing or invalid; the program exits with code 2."""
