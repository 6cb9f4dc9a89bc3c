"""Writing of responses by the asyncio HTTP/1.1 server."""

import asyncio
import socket
import struct

import h11

from ._async_connection import (
    FINAL_STATUSES,
    MAX_UNREAD_BYTES,
    READ_BYTES,
    Connection,
    ConnectionLostError,
)
from ._caller_request import CallerDisconnectedError
from ._clock import MS_PER_S
from ._connection_budgets import connection_budgets

PROCESSING = 102
# Values of SO_LINGER: whether a close is a reset, and the seconds for which it waits.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ORDERLY_CLOSE = struct.pack("ii", 0, 0)
STREAM_BUFFER_BYTES = MAX_UNREAD_BYTES + READ_BYTES  # of an endpoint's stream that has to wait


class ResponseWriter(Connection):
    """Connection from a caller, as far as responses are written to it.

    Parameters
    ----------
    server : AsyncHttpServer
        Server that provides the limits.

    Attributes
    ----------
    head_sent : bool
        Whether the head of the response to the present request was sent.
    """

    def __init__(self, server):
        super().__init__(h11.SERVER, server.limits.header_bytes + 1024)
        self.server = server
        self.user_timeout_ms = server.user_timeout_ms()
        self.head_sent = False

    async def write(self, data, unsent_bytes=0):
        """Write to the caller, raising `CallerDisconnectedError` when the connection is lost.

        Parameters
        ----------
        unsent_bytes : int
            Size of what the answer holds besides, while the caller doesn't read.
        """
        try:
            self.begin_write(data)
            if self.drain_waiter is not None:
                await self._wait_until_read(self.drain_waiter, unsent_bytes)
        except ConnectionLostError as error:
            raise CallerDisconnectedError(str(error)) from None

    async def _wait_until_read(self, drained, unsent_bytes=0):
        """Wait until the caller has read on; cut one that takes nothing for the idle timeout."""
        timeout_s = self.server.limits.idle_timeout_ms / MS_PER_S
        budget = connection_budgets.answers
        try:
            while not drained.done():
                left_bytes = self.transport.get_write_buffer_size()
                budget.record(self, left_bytes + unsent_bytes + STREAM_BUFFER_BYTES)
                await asyncio.wait([drained], timeout=timeout_s)
                if not drained.done() and self.transport.get_write_buffer_size() >= left_bytes:
                    connection_budgets.note_refusal("unread answer")
                    self.transport.abort()
                    raise ConnectionLostError("answer not read")
        finally:
            budget.record(self, 0)

    def _with_connection_header(self, headers):
        """Add ``Connection: close`` while closing, so that the next request goes elsewhere."""
        closing = self.server.closing or self.server.sends_callers_away()
        return [*headers, (b"connection", b"close")] if closing else headers

    async def send_acceptance(self):
        """Tell the caller by an informational response that its request is being handled."""
        await self.write(
            self.parser.send(h11.InformationalResponse(status_code=PROCESSING, headers=[]))
        )

    async def send_response(self, status, headers, body):
        """Send a complete response; raises ValueError if `status` is none."""
        _check_status(status)
        headers = self._with_connection_header([*headers, (b"content-length", b"%d" % len(body))])
        data = self.parser.send(h11.Response(status_code=status, headers=headers))
        self.head_sent = True
        if len(body) > READ_BYTES:
            await self._send_large(data, body)
            return
        if body:
            data += self.parser.send(h11.Data(data=body))
        data += self.parser.send(h11.EndOfMessage())
        await self.write(data)

    async def _send_large(self, head, body):
        """Send a large body in parts, so that no copy of it waits in the transport's buffer."""
        parts = self.parser.send_with_data_passthrough(h11.Data(data=body))
        parts.append(self.parser.send(h11.EndOfMessage()))
        await self.write(head)
        for part in parts:
            view = memoryview(part)
            for first in range(0, len(view), READ_BYTES):
                rest_bytes = len(view) - first
                await self.write(view[first : first + READ_BYTES], rest_bytes)

    async def send_head(self, status, headers):
        """Send the status and headers of a streamed response, like `send_response`."""
        _check_status(status)
        self.head_sent = True
        if self._ends_with_connection:
            self._set_linger(RESET_ON_CLOSE)
        response = h11.Response(status_code=status, headers=self._with_connection_header(headers))
        await self.write(self.parser.send(response))

    async def send_chunk(self, data):
        """Send a chunk of a streamed response."""
        await self.write(self.parser.send(h11.Data(data=data)))

    async def send_end(self):
        """Send the end of a streamed response."""
        await self.write(self.parser.send(h11.EndOfMessage()))
        if self._ends_with_connection:
            self._set_linger(ORDERLY_CLOSE)

    @property
    def _ends_with_connection(self):
        """Whether a streamed response has no chunks, so that an orderly close is its end."""
        return self.parser.their_http_version < b"1.1"

    def _set_linger(self, value):
        sock = self.transport.get_extra_info("socket")
        if sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def abort_response(self):
        """Close the connection so that an unfinished response can't look complete."""
        self.transport.close()


def _check_status(status):
    """Raise ValueError for a status that no final response has."""
    if status not in FINAL_STATUSES:
        raise ValueError(f"no status of a response: {status}")
