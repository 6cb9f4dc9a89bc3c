"""Requests of callers, their limits, and why one is given up before it is read whole."""

from dataclasses import dataclass, field

REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
NOT_HTTP = "not HTTP"
CALLER_LEFT = "caller left"
REQUEST_MEMORY = "request memory"
REJECTION_CAUSES = {
    REQUEST_TIMEOUT: "request timeout",
    HEADERS_TOO_LARGE: "header size",
    BODY_TOO_LARGE: "body size",
}


class CallerDisconnectedError(Exception):
    """The caller disconnected while its request was being handled."""


class RequestGivenUpError(Exception):
    """A request was given up while its body was read; the message is the cause."""


@dataclass
class CallerRequest:
    """A request with its complete body; `target` is the undecoded request target."""

    method: bytes
    target: bytes
    headers: list
    body: bytes = field(default_factory=bytes)  # no default of the class, see `discard_body`
    received_ms: float = 0.0

    def discard_body(self):
        """Free the body, whose use raises AttributeError then: an empty one must not be sent."""
        del self.body

    def header(self, name):
        """Return the value of header `name` (lower-case str), or None if it is absent."""
        encoded_name = name.encode()
        return next(
            (value.decode("latin-1") for key, value in self.headers if key == encoded_name), None
        )


@dataclass
class ServerLimits:
    """Size limits and timeouts of requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0
