"""HTTP exchanges that say how far a request got."""

import http.client
import threading
from dataclasses import dataclass

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError
from urllib3.exceptions import TimeoutError as HttpTimeoutError

from ._clock import MS_PER_S
from .exceptions import CorianderhavenError, ErrorCode, FieldError, Outcome

NETWORK_ERRORS = (OSError, HTTPError, http.client.HTTPException)
TIMEOUT_ERRORS = (TimeoutError, HttpTimeoutError)


class _Source:
    """Local address of outgoing connections; None lets the system choose."""

    address = None


def set_source_ip(ip):
    """Make all outgoing connections of this process leave from `ip`."""
    _Source.address = (ip, 0)


class TransportError(Exception):
    """An exchange that broke.

    Parameters
    ----------
    message : str
        What broke.
    sent : bool
        Whether any byte of the request may have left this process.
    timed_out : bool
        Whether a deadline passed, rather than the connection failing.
    """

    def __init__(self, message, sent, timed_out=False):
        super().__init__(message)
        self.sent = sent
        self.timed_out = timed_out


@dataclass
class ClientResponse:
    """A whole HTTP answer."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        """Return the decoded JSON body."""
        return msgspec.json.decode(self.body)


def open_connection(address, connect_timeout_ms, read_timeout_ms=None):
    """Open a new TCP connection.

    Parameters
    ----------
    address : str
        ``IP:port``.
    connect_timeout_ms : float
        Bound on connecting.
    read_timeout_ms : float or None
        Bound on each later socket operation; by default the same.

    Returns
    -------
    urllib3.connection.HTTPConnection
        Connected.

    Raises
    ------
    TransportError
        Nothing was sent.
    """
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(
        host, int(port), timeout=connect_timeout_ms / MS_PER_S, source_address=_Source.address
    )
    try:
        connection.connect()
    except NETWORK_ERRORS as error:
        connection.close()
        # A refused connection is derived from a timeout in urllib3.
        refused = isinstance(error, NewConnectionError)
        timed_out = isinstance(error, TIMEOUT_ERRORS) and not refused
        raise TransportError(f"cannot connect to {address}: {error}", False, timed_out)
    timeout_ms = connect_timeout_ms if read_timeout_ms is None else read_timeout_ms
    # Each request sets the socket's timeout anew from this attribute.
    connection.timeout = timeout_ms / MS_PER_S
    connection.sock.settimeout(connection.timeout)
    return connection


def exchange_on(connection, method, path, body, headers):
    """Send one request on `connection` and read its whole answer."""
    try:
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return ClientResponse(response.status, dict(response.headers), response.data)
    except NETWORK_ERRORS as error:
        connection.close()
        raise TransportError(str(error), sent=True, timed_out=isinstance(error, TIMEOUT_ERRORS))


class JsonClient:
    """JSON exchanges with one address over kept connections.

    A kept connection that fails is replaced by a new one once, so calls must be
    safe to repeat. The calls of the control plane are.

    Parameters
    ----------
    address : str
        ``IP:port``.
    timeout_ms : float
        Bound on connecting and on each wait for the answer.
    headers : dict or None
        Sent with each request.
    """

    def __init__(self, address, timeout_ms, headers=None):
        self.address = address
        self.timeout_ms = timeout_ms
        self.headers = headers
        self.idle = []
        self.lock = threading.Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    def call(self, method, path, body=None, headers=None):
        """Send `body` as JSON and return the `ClientResponse`.

        Raises
        ------
        TransportError
            When a new connection fails too.
        """
        payload = None if body is None else msgspec.json.encode(body)
        sent_headers = {"Content-Type": "application/json", **(self.headers or {})}
        sent_headers.update(headers or {})
        with self.lock:
            connection = self.idle.pop() if self.idle else None
        if connection is not None:
            try:
                return self._exchange(connection, method, path, payload, sent_headers)
            except TransportError:
                connection.close()
        connection = open_connection(self.address, self.timeout_ms)
        return self._exchange(connection, method, path, payload, sent_headers)

    def json(self, method, path, body=None, headers=None):
        """Return the decoded answer, or raise `CorianderhavenError` for an error status."""
        exchange = self.call(method, path, body, headers)
        if exchange.status >= http.client.BAD_REQUEST:
            raise _remote_error(exchange)
        return exchange.json()

    def close(self):
        """Close the kept connections."""
        with self.lock:
            connections, self.idle = self.idle, []
        for connection in connections:
            connection.close()

    def _exchange(self, connection, method, path, payload, headers):
        exchange = exchange_on(connection, method, path, payload, headers)
        with self.lock:
            self.bytes_sent += len(payload or b"")
            self.bytes_received += len(exchange.body)
            if exchange.headers.get("Connection", "").lower() != "close":
                self.idle.append(connection)
                return exchange
        connection.close()
        return exchange


def _remote_error(exchange):
    codes = {code.text: code for code in ErrorCode}
    try:
        error = exchange.json()["error"]
        code = codes.get(error["code"], ErrorCode.INTERNAL)
        return CorianderhavenError(
            code,
            error["message"],
            Outcome(error.get("outcome", Outcome.FAILED)),
            error.get("retry_after_ms"),
            [FieldError(e["path"], e["message"]) for e in error.get("errors", ())],
            details=error.get("details"),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        message = f"status {exchange.status}"
        return CorianderhavenError(ErrorCode.INTERNAL, message, Outcome.UNKNOWN)
