"""Blocking HTTP client whose errors tell whether a request may have been sent."""

import http.client
import threading
from dataclasses import dataclass

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError
from urllib3.exceptions import TimeoutError as HttpTimeoutError

from ._async_connection import FINAL_STATUSES
from ._clock import MS_PER_S
from .exceptions import CorianderhavenError, ErrorCode, FieldError, Outcome

NETWORK_ERRORS = (OSError, HTTPError, http.client.HTTPException)
TIMEOUT_ERRORS = (TimeoutError, HttpTimeoutError)
READ_BYTES = 65_536
MAX_BODY_BYTES = 1 << 24


class _SourceAddress:
    """Local address of outgoing connections; None lets the system choose it."""

    address = None


def set_source_ip(ip):
    """Use `ip` as the local address of all outgoing connections of this process."""
    _SourceAddress.address = (ip, 0)


class TransportError(Exception):
    """A request that failed without a complete response.

    Parameters
    ----------
    message : str
        What failed.
    sent : bool
        Whether any byte of the request may have left this process.
    timed_out : bool
        Whether a timeout expired, as opposed to a connection failure.
    """

    def __init__(self, message, sent, timed_out=False):
        super().__init__(message)
        self.sent = sent
        self.timed_out = timed_out


@dataclass
class ClientResponse:
    """A complete HTTP response."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        """Decode the body as JSON."""
        return msgspec.json.decode(self.body)


def open_connection(address, connect_timeout_ms, read_timeout_ms=None):
    """Open a new TCP connection.

    Parameters
    ----------
    address : str
        ``IP:port``.
    connect_timeout_ms : float
        Timeout of connecting.
    read_timeout_ms : float or None
        Timeout of each later socket operation; by default `connect_timeout_ms`.

    Returns
    -------
    urllib3.connection.HTTPConnection
        A connection that is already open.

    Raises
    ------
    TransportError
        When connecting fails; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(
        host,
        int(port),
        timeout=connect_timeout_ms / MS_PER_S,
        source_address=_SourceAddress.address,
    )
    try:
        connection.connect()
    except NETWORK_ERRORS as error:
        connection.close()
        # urllib3 derives NewConnectionError (connection refused) from its timeout class.
        refused = isinstance(error, NewConnectionError)
        timed_out = isinstance(error, TIMEOUT_ERRORS) and not refused
        raise TransportError(f"cannot connect to {address}: {error}", False, timed_out)
    timeout_ms = connect_timeout_ms if read_timeout_ms is None else read_timeout_ms
    # urllib3 sets the socket timeout from this attribute again on each request.
    connection.timeout = timeout_ms / MS_PER_S
    connection.sock.settimeout(connection.timeout)
    return connection


def receive_response(connection):
    """Return the response whose status and headers come next; its body is still to be read.

    Bypasses urllib3's response, which adds overhead to each read.

    Raises
    ------
    HTTPException
        Also for a status that no final response has; `http.client` takes them.
    """
    response = http.client.HTTPConnection.getresponse(connection)
    if response.status not in FINAL_STATUSES:
        response.close()
        raise http.client.HTTPException(f"no answer: status {response.status}")
    return response


def read_body(response, check=lambda: None):
    """Return the whole body of a response, and call `check` after each part of it.

    Closes the response, which may hold the socket of a connection that is closed.

    Raises
    ------
    HTTPException
        If it is above `MAX_BODY_BYTES`, or ends early.
    """
    body = bytearray()
    with response:
        while part := response.read1(READ_BYTES):
            body += part
            if len(body) > MAX_BODY_BYTES:
                raise http.client.HTTPException(f"body above {MAX_BODY_BYTES} bytes")
            check()
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
    return bytes(body)


def send_request(connection, method, path, body, headers):
    """Send one request on `connection` and read the complete response."""
    try:
        connection.request(method, path, body=body, headers=headers, preload_content=False)
        response = receive_response(connection)
        return ClientResponse(response.status, dict(response.headers), read_body(response))
    except NETWORK_ERRORS as error:
        connection.close()
        raise TransportError(str(error), sent=True, timed_out=isinstance(error, TIMEOUT_ERRORS))


class JsonClient:
    """JSON client for one address with a pool of idle connections.

    A request that fails on a pooled connection is retried once on a new one, so requests
    must be safe to repeat. Those of the control plane are.

    Parameters
    ----------
    address : str
        ``IP:port``.
    timeout_ms : float
        Timeout of connecting and of each wait for response data.
    headers : dict or None
        Headers sent with each request.
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
            When the request also fails on a new connection.
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
        """Return the decoded response, or raise `CorianderhavenError` for an error status."""
        response = self.call(method, path, body, headers)
        if response.status >= http.client.BAD_REQUEST:
            raise _remote_error(response)
        return response.json()

    def close(self):
        """Close the idle connections."""
        with self.lock:
            connections, self.idle = self.idle, []
        for connection in connections:
            connection.close()

    def _exchange(self, connection, method, path, payload, headers):
        response = send_request(connection, method, path, payload, headers)
        with self.lock:
            self.bytes_sent += len(payload or b"")
            self.bytes_received += len(response.body)
            if response.headers.get("Connection", "").lower() != "close":
                self.idle.append(connection)
                return response
        connection.close()
        return response


def _remote_error(response):
    codes = {code.text: code for code in ErrorCode}
    try:
        error = response.json()["error"]
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
        message = f"status {response.status}"
        return CorianderhavenError(ErrorCode.INTERNAL, message, Outcome.UNKNOWN)
