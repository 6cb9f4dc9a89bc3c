"""Asyncio HTTP/1.1 client."""

import asyncio
import socket
from dataclasses import dataclass, field

import h11

from ._async_connection import (
    BODY_BLOCK_BYTES,
    FINAL_STATUSES,
    READ_BYTES,
    Connection,
    ConnectionLostError,
    split_address,
)
from ._clock import MS_PER_S
from ._connection_budgets import connection_budgets

MAX_INFORMATIONAL_RESPONSES = 8  # before the final one; 100 and 103 are in use
FRAMING_HEADERS = {b"content-length", b"transfer-encoding"}
STATUSES_WITHOUT_BODY = (204, 304)


@dataclass
class ResponseHead:
    """Status code and headers of a response; header names are lower-case bytes.

    Parameters
    ----------
    ends_with_connection : bool
        Whether the response has a body without a length or chunks, which an orderly close ends.
    """

    status: int
    headers: list
    reusable: bool = False
    ends_with_connection: bool = False

    def header(self, name):
        """Return the value of header `name` (lower-case str), or None if it is absent."""
        encoded_name = name.encode()
        return next(
            (value.decode("latin-1") for key, value in self.headers if key == encoded_name), None
        )


class ClientConnection(Connection):
    """Connection to a backend that carries one request at a time.

    Attributes
    ----------
    answered : bool
        Whether any byte has come since the latest request was sent.
    connect_ms : float
        Time that it took to connect, at least one round trip.
    """

    def __init__(self, header_bytes=65_536):
        super().__init__(h11.CLIENT, header_bytes)
        self.idle = False
        self.answered = False
        self.connect_ms = 0.0
        self.unexpected_data = False
        self.two_framings = False
        self.discarded = False
        self.body_expected = True

    def data_received(self, data):
        """Feed the parser; data without an outstanding request makes the connection unusable."""
        if self.idle:
            self.unexpected_data = True
            self.transport.abort()
            return
        self.answered = True
        super().data_received(data)

    @classmethod
    async def open(cls, address, timeout_ms, source_ip=None):
        """Connect within `timeout_ms`, or raise `ConnectionLostError` with ``sent=False``."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            host, port = split_address(address)
            sock = await _connect(host, port, timeout_ms, source_ip)
            _, connection = await loop.create_connection(cls, sock=sock)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            reason = str(error) or "timed out"
            refused = isinstance(error, ConnectionRefusedError)
            raise ConnectionLostError(
                f"cannot connect to {address}: {reason}", False, refused=refused
            ) from None
        connection.connect_ms = (loop.time() - started_s) * MS_PER_S
        return connection

    async def send(self, method, target, headers, body=b""):
        """Send a request with its complete body.

        Doesn't wait until the peer has taken it all, as the peer may answer before it does.
        """
        self.idle = self.answered = False
        self.body_expected = method not in ("HEAD", b"HEAD")
        chunks = [self.parser.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            chunks += self.parser.send_with_data_passthrough(h11.Data(data=body))
        chunks.append(self.parser.send(h11.EndOfMessage()))
        if len(body) <= READ_BYTES:
            self.begin_write(b"".join(chunks))
            return
        for chunk in chunks:  # without a further copy of a large body
            if chunk:
                self.begin_write(chunk)

    async def read_head(self):
        """Return the `ResponseHead`, skipping informational (1xx) responses."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return self._describe_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError(f"no answer: {type(event).__name__}")
        raise ConnectionLostError("informational responses without end")

    async def read_acceptance(self):
        """Wait until the peer has accepted the request; return the `ResponseHead` if it answers.

        A peer accepts a request by an informational response before it works on it.
        """
        event = await self.next_event()
        if isinstance(event, h11.Response):
            return self._describe_head(event)
        if not isinstance(event, h11.InformationalResponse):
            raise ConnectionLostError(f"no answer: {type(event).__name__}")
        return None

    def _describe_head(self, event):
        if event.status_code not in FINAL_STATUSES:
            raise ConnectionLostError(f"no answer: status {event.status_code}")
        framings = FRAMING_HEADERS & {name for name, _ in event.headers}
        self.two_framings = framings == FRAMING_HEADERS
        has_body = self.body_expected and event.status_code not in STATUSES_WITHOUT_BODY
        return ResponseHead(
            event.status_code,
            list(event.headers),
            ends_with_connection=has_body and not framings,
        )

    async def read_chunk(self):
        """Return the next chunk of the response body, or None at its end."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError("closed within the body")

    async def read_body(self, limit_bytes=BODY_BLOCK_BYTES * 64):
        """Read the response body to its end, up to `limit_bytes`.

        Raises
        ------
        ConnectionLostError
            Also when it is the largest of those whose sum is above the process's budget.
        """
        body = bytearray()
        budget = connection_budgets.answers
        try:
            while (chunk := await self.read_chunk()) is not None:
                if len(body) + len(chunk) > limit_bytes:
                    connection_budgets.note_refusal("answer size")
                    raise ConnectionLostError(f"body above {limit_bytes} bytes")
                body += chunk
                if len(body) > READ_BYTES:
                    budget.record(self, len(body))
                self._check_kept()
            self._check_kept()  # what was dropped last may have been its end
            return bytes(body)
        finally:
            body.clear()  # the traceback of an error may keep it until the next collection
            budget.record(self, 0)

    def _check_kept(self):
        """Raise `ConnectionLostError` if the answer was given up meanwhile."""
        if self.discarded:
            raise ConnectionLostError("no memory for the body")

    def discard(self, budget):
        """Give up an answer that is being read, as the answers together take too much memory."""
        connection_budgets.note_refusal("answer memory")
        self.discarded = True
        self.close()
        self.drop_received()

    def prepare_for_reuse(self):
        """Reset the parser for the next request; return whether the connection is reusable.

        Bytes that follow the response may be a second copy of it, which the next request would
        take for its own. Where a response had both a length and chunks, its sender may have
        another end in mind than this side. One that answered before it had read the whole
        request may take the rest of it for a request.
        """
        trailing_bytes, _ = self.parser.trailing_data
        if trailing_bytes or self.two_framings or self.transport.get_write_buffer_size():
            return False
        try:
            self.begin_cycle()
        except h11.LocalProtocolError:
            return False
        self.idle = True
        return self.usable

    @property
    def usable(self):
        """Whether an idle connection can carry a request."""
        return self.is_open and not self.unexpected_data


async def _connect(host, port, timeout_ms, source_ip):
    """Return a connected socket."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if source_ip:
            sock.bind((source_ip, 0))
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await asyncio.get_running_loop().sock_connect(sock, (host, port))
        except TimeoutError:
            # The peer has answered if only this busy process hasn't noticed it.
            if not _is_connected(sock):
                raise
        return sock
    except BaseException:
        sock.close()
        raise


def _is_connected(sock):
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


@dataclass
class BufferedResponse:
    """Response whose body has been read completely."""

    status: int
    body: bytes = b""
    headers: list = field(default_factory=list)


class AsyncHttpClient:
    """HTTP client for one address with a pool of idle connections.

    Parameters
    ----------
    address : str
        ``IP:port``.
    source_ip : str or None
        Local IP address of outgoing connections; by default the system chooses.
    """

    MAX_IDLE_CONNECTIONS = 4

    def __init__(self, address, source_ip=None):
        self.address = address
        self.source_ip = source_ip
        self.idle = []

    async def call(self, method, target, body=b"", timeout_ms=1_000.0, headers=()):
        """Send one request without retries and return the `BufferedResponse`.

        Parameters
        ----------
        headers : sequence of (str, str)
            Headers beside those that describe the body.

        Raises
        ------
        ConnectionLostError
            When the connection breaks or `timeout_ms` passes; ``sent`` is False if none was made,
            ``answered`` is True if the answer was cut short.
        """
        until_s = asyncio.get_running_loop().time() + timeout_ms / MS_PER_S
        connection = self._pop_idle_connection()
        if connection is None:
            connection = await ClientConnection.open(self.address, timeout_ms, self.source_ip)
        try:
            async with asyncio.timeout_at(until_s):
                return await self._exchange(connection, method, target, body, headers)
        except TimeoutError:
            error = ConnectionLostError(f"{method} {target} timed out")
            error.answered = connection.answered
            raise error from None
        except ConnectionLostError as error:
            error.answered = connection.answered
            raise

    async def _exchange(self, connection, method, target, body, extra_headers):
        reusable = False
        try:
            headers = [("host", self.address), ("content-length", str(len(body))), *extra_headers]
            if body:
                headers.append(("content-type", "application/json"))
            await connection.send(method, target, headers, body)
            head = await connection.read_head()
            response = BufferedResponse(head.status, await connection.read_body(), head.headers)
            reusable = connection.prepare_for_reuse()
            return response
        finally:
            if reusable and len(self.idle) < self.MAX_IDLE_CONNECTIONS:
                self.idle.append(connection)
            else:
                connection.close()

    def _pop_idle_connection(self):
        while self.idle:
            connection = self.idle.pop()
            if connection.usable:
                return connection
        return None

    def close(self):
        """Close the idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle = []
