"""What both ends of an HTTP/1.1 connection over asyncio share.

A thread that blocks on a back end's bytes can't notice that its caller has gone, nor that
all streams of one replica fell silent; a task can be cancelled for either reason.
"""

import asyncio
import socket

import h11

READ_LIMIT_BYTES = 1 << 18  # a reader this far behind stops the sender
UNACKNOWLEDGED_MS = 2_000  # the kernel drops a connection whose peer vanished


class ConnectionLostError(Exception):
    """A connection that broke.

    Parameters
    ----------
    message : str
        What broke.
    sent : bool
        Whether any byte of a request may have left this process.
    status : int or None
        What to answer a caller whose bytes are no request.
    """

    def __init__(self, message, sent=True, status=None):
        super().__init__(message)
        self.sent = sent
        self.status = status


def split_address(address):
    """Return host and port of ``IP:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def tune(transport):
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class Connection(asyncio.Protocol):
    """What client and server side share: a parser, a wake-up and flow control."""

    def __init__(self, role, header_bytes):
        self.parser = h11.Connection(role, max_incomplete_event_size=header_bytes)
        self.transport = None
        self.waiter = None
        self.resumed = None
        self.lost = False

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        tune(transport)

    def data_received(self, data):
        """Feed the parser and wake the reader."""
        try:
            self.parser.receive_data(data)
        except RuntimeError:  # bytes after the end of the peer's last message
            self.transport.abort()
        self.wake()

    def eof_received(self):
        """Tell the parser that nothing more comes."""
        try:
            self.parser.receive_data(b"")
        except RuntimeError:
            pass  # told before
        self.wake()

    def connection_lost(self, error):
        """Wake whoever reads or writes."""
        self.lost = True
        if error is None:
            self.eof_received()
        self.wake()
        self.resume_writing()

    def pause_writing(self):
        """Stop writers until the peer has read."""
        self.resumed = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Let writers go on."""
        resumed, self.resumed = self.resumed, None
        if resumed is not None and not resumed.done():
            resumed.set_result(None)

    def wake(self):
        """Let the reader look again."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def next_event(self):
        """Return the parser's next event; raises `ConnectionLostError`."""
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
            if self.lost:
                raise ConnectionLostError("connection broke")
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter

    async def write(self, data):
        """Write `data` and wait while the peer is too far behind."""
        if self.lost or self.transport.is_closing():
            raise ConnectionLostError("connection broke")
        self.transport.write(data)
        if self.resumed is not None:
            await self.resumed

    def close(self):
        """Close at once; bytes not yet read are dropped."""
        if self.transport is not None:
            self.transport.abort()
