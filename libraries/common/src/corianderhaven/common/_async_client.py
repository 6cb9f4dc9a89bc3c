"""Client side of HTTP/1.1 over asyncio."""

import asyncio
from dataclasses import dataclass, field

import h11

from ._async_connection import READ_LIMIT_BYTES, Connection, ConnectionLostError, split_address
from ._clock import MS_PER_S


@dataclass
class ResponseHead:
    """Status and headers of an answer; header names are lower-case bytes."""

    status: int
    headers: list
    reusable: bool = False

    def header(self, name):
        """Return the value of header `name` (lower-case str), or None."""
        wanted = name.encode()
        return next((value.decode("latin-1") for key, value in self.headers if key == wanted), None)


class ClientConnection(Connection):
    """One connection to a back end, for one exchange at a time."""

    def __init__(self, header_bytes=65_536):
        super().__init__(h11.CLIENT, header_bytes)

    @classmethod
    async def open(cls, address, timeout_ms, source_ip=None):
        """Connect within `timeout_ms`; raises `ConnectionLostError` with nothing sent."""
        host, port = split_address(address)
        local = (source_ip, 0) if source_ip else None
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                _, connection = await loop.create_connection(cls, host, port, local_addr=local)
        except (OSError, TimeoutError) as error:
            reason = str(error) or "timed out"
            raise ConnectionLostError(f"cannot connect to {address}: {reason}", False) from None
        return connection

    async def send(self, method, target, headers, body=b""):
        """Send a whole request."""
        parts = [self.parser.send(h11.Request(method=method, target=target, headers=headers))]
        if body:
            parts.append(self.parser.send(h11.Data(data=body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        await self.write(b"".join(parts))

    async def read_head(self):
        """Return the `ResponseHead` of the answer."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError(f"no answer: {type(event).__name__}")

    async def read_chunk(self):
        """Return more of the body, or None after its end."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError("closed within the body")

    async def read_body(self, limit_bytes=READ_LIMIT_BYTES * 64):
        """Return the whole body."""
        parts = []
        size = 0
        while (part := await self.read_chunk()) is not None:
            size += len(part)
            if size > limit_bytes:
                raise ConnectionLostError(f"body above {limit_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def prepare_for_reuse(self):
        """Make ready for the next exchange; returns whether the connection can be kept."""
        try:
            self.parser.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return not self.lost and not self.transport.is_closing()


@dataclass
class JsonAnswer:
    """Status and raw body of a control call."""

    status: int
    body: bytes = b""
    headers: list = field(default_factory=list)


class AsyncHttpClient:
    """Control calls to one address over kept connections.

    Parameters
    ----------
    address : str
        ``IP:port``.
    source_ip : str or None
        Local IP number.
    """

    MOST_IDLE = 4

    def __init__(self, address, source_ip=None):
        self.address = address
        self.source_ip = source_ip
        self.idle = []

    async def call(self, method, target, body=b"", timeout_ms=1_000.0):
        """Return the `JsonAnswer`; raises `ConnectionLostError` after one try."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await self._exchange(method, target, body, timeout_ms)
        except TimeoutError:
            raise ConnectionLostError(f"{method} {target} timed out") from None

    async def _exchange(self, method, target, body, timeout_ms):
        connection = self._take_idle()
        if connection is None:
            connection = await ClientConnection.open(self.address, timeout_ms, self.source_ip)
        kept = False
        try:
            headers = [("host", self.address), ("content-length", str(len(body)))]
            if body:
                headers.append(("content-type", "application/json"))
            await connection.send(method, target, headers, body)
            head = await connection.read_head()
            answer = JsonAnswer(head.status, await connection.read_body(), head.headers)
            kept = connection.prepare_for_reuse()
            return answer
        finally:
            if kept and len(self.idle) < self.MOST_IDLE:
                self.idle.append(connection)
            else:
                connection.close()

    def _take_idle(self):
        while self.idle:
            connection = self.idle.pop()
            if not connection.lost and not connection.transport.is_closing():
                return connection
        return None

    def close(self):
        """Close the kept connections."""
        for connection in self.idle:
            connection.close()
        self.idle = []
