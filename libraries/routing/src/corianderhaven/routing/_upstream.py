"""One attempt at a draft: a connection of its own to a replica, or to a daemon of another zone."""

import http.client
import socket
from dataclasses import dataclass

from corianderhaven.common import (
    MS_PER_S,
    NETWORK_ERRORS,
    TIMEOUT_ERRORS,
    TransportError,
    open_connection,
    set_kernel_timeout,
)

CONNECT_TIMEOUT_MS = 500.0
MAX_ERROR_BODY_BYTES = 4096
END_MARKER = b"[DONE]"
READ_BYTES = 65_536


@dataclass(slots=True)
class DraftEvent:
    """One event of a draft.

    Attributes
    ----------
    offset : int or None
        Tokens of the answer up to and with this event; None for events without tokens.
    data : bytes
        JSON chunk in the published format.
    """

    offset: int | None
    data: bytes


def _loss_reason(error):
    return "timeout" if isinstance(error, TIMEOUT_ERRORS) else "reset"


class AttemptLostError(Exception):
    """An attempt broke before its end marker.

    Parameters
    ----------
    reason : str
        ``connect``, ``refused``, ``timeout``, ``reset``, ``no_end_marker`` or ``gone``.
    status : int or None
        Status of a refusal.
    retry_after : str or None
        The endpoint's ``Retry-After``.
    """

    def __init__(self, reason, status=None, retry_after=None, body=b""):
        super().__init__(reason)
        self.reason = reason
        self.status = status
        self.retry_after = retry_after
        self.body = body


class DraftAttempt:
    """Sends one request and reads its events; its late events have no way to a caller.

    Parameters
    ----------
    address : str
        ``IP:port``.
    method, path : str
    body : bytes or None
    headers : dict
    first_deadline_ms, gap_deadline_ms : float
        Greatest wait for the first event and between events.
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
        """Connect, send and wait for the answer's head."""
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
            # The relay loop reads the standard library's response, whose layers are few.
            self.response = http.client.HTTPConnection.getresponse(self.connection)
        except NETWORK_ERRORS as error:
            raise AttemptLostError(_loss_reason(error)) from error
        self._check_status()
        return self

    def close(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()

    def abort(self):
        """Break the attempt from another thread."""
        self.aborted = True
        sock = getattr(self.connection, "sock", None)
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def batches(self):
        """Yield lists of `DraftEvent` as they arrive; events without tokens wait for the end.

        Raises
        ------
        AttemptLostError
            When the stream ends without its end marker.
        """
        tail = []
        try:
            for events in self._parse_events():
                tokens = [event for event in events if event.offset is not None]
                tail += [event for event in events if event.offset is None]
                if tokens:
                    yield tokens
                if self.complete:
                    yield tail
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
        """Split the body into events."""
        pending = b""
        first = True
        read = self.response.read1
        while part := read(READ_BYTES):
            if first:
                first = False
                self._apply_gap_timeout()
            *blocks, pending = (pending + part).split(b"\n\n")
            events = [event for block in blocks if (event := self._parse_event(block)) is not None]
            if events or self.complete:
                yield events
            if self.complete:
                return

    def _apply_gap_timeout(self):
        """From the first event on, bound the time between events."""
        sock = self.connection.sock
        if sock is not None:
            sock.settimeout(None)
            set_kernel_timeout(sock, socket.SO_RCVTIMEO, self.gap_deadline_ms / MS_PER_S)

    def _parse_event(self, block):
        """Return the `DraftEvent` of one block of lines, or None for a marker or comment."""
        head, found, data = block.rpartition(b"data: ")
        if not found:
            return None
        if data == END_MARKER:
            self.complete = True
            return None
        if not head.startswith(b"id: "):
            return DraftEvent(None, data)
        stream_id, _, number = head[4:-1].rpartition(b"/")
        if stream_id != self.raw_stream_id:
            self.raw_stream_id = stream_id
            self.stream_id = stream_id.decode()
        return DraftEvent(int(number), data)
