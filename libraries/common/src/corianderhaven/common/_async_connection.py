"""HTTP/1.1 connection base class for the asyncio client and server.

Connections use asyncio tasks rather than threads because a task that waits for data from a
backend can be cancelled when its caller disconnects or when all streams of a replica stall.
A thread that is blocked on a read notices neither.
"""

import asyncio
import socket

import h11

BODY_BLOCK_BYTES = 1 << 18  # unit of the limit in `read_body`, by default 64 blocks (16 MiB)
# The kernel drops a connection whose peer has vanished: sent data stays unacknowledged this long.
# It also drops one whose peer has taken nothing for so long, although it is there.
TCP_USER_TIMEOUT_MS = 2_000
MAX_UNREAD_BYTES = 1 << 17  # a peer that sends more than its reader takes has to wait
READ_BYTES = 1 << 16  # read at a time; asyncio's 256 KiB would be buffered for each connection
# A pass of the parser takes tens of microseconds. A buffer full of one-byte chunks, parsed without
# a pause, kept all other connections waiting for over a second.
EVENTS_PER_TURN = 32
# Of final responses; HTTP has none beyond them (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)
# Headers that concern one connection only, and the framing that each connection sets itself.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


class ConnectionLostError(Exception):
    """A connection that failed or could not be opened.

    Parameters
    ----------
    message : str
        What failed.
    sent : bool
        Whether any byte of a request may have left this process.
    refused : bool
        Whether nothing listens at the address.
    status : int or None
        HTTP status to send to a caller whose data is not a valid request.

    Attributes
    ----------
    answered : bool
        Whether part of an answer had come to a call.
    """

    def __init__(self, message, sent=True, status=None, refused=False):
        super().__init__(message)
        self.sent = sent
        self.status = status
        self.refused = refused
        self.answered = False


def split_address(address):
    """Split ``IP:port`` into host and port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def set_socket_options(transport, user_timeout_ms):
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(user_timeout_ms))


class Connection(asyncio.Protocol):
    """Protocol base class: an h11 parser, a waiter for one reader and write flow control."""

    def __init__(self, role, header_bytes):
        self.parser = h11.Connection(role, max_incomplete_event_size=header_bytes)
        self.user_timeout_ms = TCP_USER_TIMEOUT_MS
        self.transport = None
        self.read_waiter = None
        self.drain_waiter = None
        self.lost = False
        self.unread_bytes = 0
        self.reading_paused = False
        self.events_in_turn = 0

    def connection_made(self, transport):
        """Store the transport and set the socket options."""
        self.transport = transport
        transport.max_size = READ_BYTES
        set_socket_options(transport, self.user_timeout_ms)

    def data_received(self, data):
        """Feed the parser and wake the reader; abort on data after the end of input."""
        try:
            self.parser.receive_data(data)
        except RuntimeError:  # data after the peer has closed its side
            self.transport.abort()
        self.unread_bytes += len(data)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.limit_unread()
        self.wake_reader()

    @property
    def is_open(self):
        """Whether neither side has closed the connection, or its own side of it."""
        return not self.lost and not self.transport.is_closing()

    def limit_unread(self):
        """Stop reading from the peer until the reader has taken what was received."""
        if not self.reading_paused and not self.transport.is_closing():
            self.reading_paused = True
            self.transport.pause_reading()

    @property
    def buffered_bytes(self):
        """Number of received bytes that the parser has not taken yet.

        Its public `trailing_data` copies them all, which for thousands of pipelined requests in a
        buffer of megabytes takes longer than their handling.
        """
        return len(self.parser._receive_buffer)

    def drop_received(self):
        """Free what the parser has not taken.

        A connection that is lost may be kept by reference cycles until the next collection.
        """
        self.parser._receive_buffer = type(self.parser._receive_buffer)()

    def begin_cycle(self):
        """Make the parser ready for the next request; only bytes of this one count as unread."""
        self.parser.start_next_cycle()
        self.unread_bytes = self.buffered_bytes

    def _note_all_read(self):
        """Note that the parser holds no complete event, and read from the peer again."""
        self.unread_bytes = 0
        self.read_on()

    def read_on(self):
        """Read from the peer again after `limit_unread`."""
        if self.reading_paused and not self.transport.is_closing():
            self.reading_paused = False
            self.transport.resume_reading()

    def eof_received(self):
        """Signal the end of input to the parser and wake the reader."""
        try:
            self.parser.receive_data(b"")
        except RuntimeError:
            pass  # the parser has already seen the end of input
        self.wake_reader()

    def connection_lost(self, error):
        """Mark the connection as lost and wake the reader and the writer.

        This is no end of input: it also follows a close by this side, which would otherwise look
        like the orderly end of an answer without length or chunks.
        """
        self.lost = True
        self.wake_reader()
        self.resume_writing()

    def pause_writing(self):
        """Make `write` wait until the transport's buffer has drained."""
        self.drain_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Release a `write` that waits for the buffer to drain."""
        drain_waiter, self.drain_waiter = self.drain_waiter, None
        if drain_waiter is not None and not drain_waiter.done():
            drain_waiter.set_result(None)

    def wake_reader(self):
        """Wake a reader that waits for data in `next_event`."""
        if self.read_waiter is not None and not self.read_waiter.done():
            self.read_waiter.set_result(None)

    async def next_event(self):
        """Wait for the parser's next event; other connections get their turn in between.

        Raises
        ------
        ConnectionLostError
            When the data is not valid HTTP, follows the end of the message, or ends early.
        """
        self.events_in_turn += 1
        if self.events_in_turn > EVENTS_PER_TURN:
            self.events_in_turn = 0
            await asyncio.sleep(0)
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise ConnectionLostError(f"not HTTP: {error}", status=status) from None
            if event is h11.PAUSED:
                raise ConnectionLostError("bytes past the end of the message")
            if event is not h11.NEED_DATA:
                return event
            self._note_all_read()
            if not self.is_open:
                raise ConnectionLostError("connection broke")
            self.read_waiter = asyncio.get_running_loop().create_future()
            self.events_in_turn = 0
            await self.read_waiter

    def begin_write(self, data):
        """Hand `data` to the transport, which keeps what the peer doesn't take yet."""
        if not self.is_open:
            raise ConnectionLostError("connection broke")
        self.transport.write(data)

    async def write(self, data):
        """Write `data`, waiting while the transport's send buffer is full."""
        self.begin_write(data)
        if self.drain_waiter is not None:
            await self.drain_waiter

    def close(self):
        """Abort the connection at once, discarding buffered data."""
        if self.transport is not None:
            self.transport.abort()
