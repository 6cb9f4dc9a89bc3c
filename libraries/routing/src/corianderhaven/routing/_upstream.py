"""A single draft attempt, on its own connection to a replica or a daemon of another zone."""

import http.client
import socket
from dataclasses import dataclass

from corianderhaven.common import (
    MS_PER_S,
    NETWORK_ERRORS,
    TIMEOUT_ERRORS,
    TransportError,
    open_connection,
    receive_response,
    set_kernel_timeout,
)

CONNECT_TIMEOUT_MS = 500.0
MAX_ERROR_BODY_BYTES = 4096
END_MARKER = b"[DONE]"
BLOCK_END = b"\n\n"
READ_BYTES = 65_536
MAX_BYTES_WITHOUT_TOKENS = 1 << 20


@dataclass(slots=True)
class DraftEvent:
    """One server-sent event of a draft.

    Attributes
    ----------
    offset : int or None
        Number of tokens up to and including this event; None for events without tokens.
    data : bytes
        JSON chunk in the format of the public API.
    """

    offset: int | None
    data: bytes


def _loss_reason(error):
    return "timeout" if isinstance(error, TIMEOUT_ERRORS) else "reset"


class AttemptLostError(Exception):
    """Raised when an attempt ends before its end marker.

    Parameters
    ----------
    reason : str
        ``connect``, ``refused``, ``timeout``, ``reset``, ``no_end_marker`` or ``gone``.
    status : int or None
        HTTP status, if the endpoint refused the request.
    retry_after : str or None
        Value of the endpoint's ``Retry-After`` header.
    body : bytes
        Start of the error body.
    """

    def __init__(self, reason, status=None, retry_after=None, body=b""):
        super().__init__(reason)
        self.reason = reason
        self.status = status
        self.retry_after = retry_after
        self.body = body


class DraftAttempt:
    """Sends one request and reads its events.

    Each attempt has its own connection, so that late events of an abandoned attempt can't
    reach the caller.

    Parameters
    ----------
    address : str
        ``IP:port``.
    method, path : str
    body : bytes or None
    headers : dict
    first_deadline_ms, gap_deadline_ms : float
        Maximum wait for the first event, and between events.
    """

    def __init__(self, address, method, path, body, headers, first_deadline_ms, gap_deadline_ms):
        self.address = address
        self.method = method
        self.path = path
        self.body = body
        self.headers = headers
        self.first_deadline_ms = first_deadline_ms
        self.gap_deadline_ms = gap_deadline_ms
        self.connection = None
        self.response = None
        self.stream_id = None
        self.raw_stream_id = None
        self.complete = False
        self.aborted = False

    def start(self):
        """Connect, send the request and wait for the response headers."""
        try:
            self.connection = open_connection(
                self.address, CONNECT_TIMEOUT_MS, self.first_deadline_ms
            )
        except TransportError as error:
            raise AttemptLostError("connect") from error
        if self.aborted:
            raise AttemptLostError("reset")
        try:
            self.connection.request(
                self.method,
                self.path,
                body=self.body,
                headers=self.headers,
                preload_content=False,
                decode_content=False,
            )
            self.response = receive_response(self.connection)
        except NETWORK_ERRORS as error:
            raise AttemptLostError(_loss_reason(error)) from error
        self._check_status()
        return self

    def close(self):
        """Close the connection, and the response, which may hold its socket."""
        if self.connection is not None:
            self.connection.close()
        if self.response is not None:
            self.response.close()

    def abort(self):
        """Abort the attempt; may be called from another thread."""
        self.aborted = True
        sock = getattr(self.connection, "sock", None)
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def batches(self):
        """Yield lists of `DraftEvent` as they arrive; events without tokens are yielded last.

        Raises
        ------
        AttemptLostError
            If the stream ends without its end marker.
        """
        trailing_events = []
        try:
            for events in self._parse_events():
                tokens = [event for event in events if event.offset is not None]
                trailing_events += [event for event in events if event.offset is None]
                if tokens:
                    yield tokens
                if self.complete:
                    yield trailing_events
                    return
        except NETWORK_ERRORS as error:
            raise AttemptLostError(_loss_reason(error)) from error
        raise AttemptLostError("no_end_marker")

    def _check_status(self):
        status = self.response.status
        if status == http.client.OK:
            return
        body = self.response.read(MAX_ERROR_BODY_BYTES)
        reason = "gone" if status == http.client.GONE else "refused"
        raise AttemptLostError(reason, status, self.response.headers.get("Retry-After"), body)

    def _parse_events(self):
        """Yield lists of the events in the body."""
        pending = bytearray()
        first = True
        bytes_without_tokens = 0
        read = self.response.read1
        while part := read(READ_BYTES):
            if first:
                first = False
                self._apply_gap_timeout()
            searched = max(0, len(pending) - 1)
            pending += part
            blocks = []
            if pending.find(BLOCK_END, searched) >= 0:
                *blocks, rest = bytes(pending).split(BLOCK_END)
                pending = bytearray(rest)
            events = [event for block in blocks if (event := self._parse_event(block)) is not None]
            bytes_without_tokens += len(part)
            if any(event.offset is not None for event in events):
                bytes_without_tokens = 0
            if bytes_without_tokens > MAX_BYTES_WITHOUT_TOKENS:
                raise http.client.HTTPException("no tokens")
            if events or self.complete:
                yield events
            if self.complete:
                return

    def _apply_gap_timeout(self):
        """Set the read timeout that applies between events, once the first one has arrived."""
        sock = self.connection.sock
        if sock is not None:
            sock.settimeout(None)
            set_kernel_timeout(sock, socket.SO_RCVTIMEO, self.gap_deadline_ms / MS_PER_S)

    def _parse_event(self, block):
        """Return the `DraftEvent` of a block of lines, or None for the end marker or a comment."""
        fields, found, data = block.rpartition(b"data: ")
        if not found:
            return None
        if data == END_MARKER:
            self.complete = True
            return None
        if not fields.startswith(b"id: "):
            return DraftEvent(None, data)
        stream_id, _, number = fields[4:-1].rpartition(b"/")
        if stream_id != self.raw_stream_id:
            self.raw_stream_id = stream_id
            self.stream_id = stream_id.decode()
        return DraftEvent(int(number), data)
