"""HTTP/1.1 over asyncio for streams that must be cancelled from either end.

A thread that blocks on a back end's bytes can't notice that its caller has gone, nor that
all streams of one replica fell silent; a task can be cancelled for either reason.
"""

import asyncio
import socket
from dataclasses import dataclass, field

import h11

from ._clock import MS_PER_S

READ_LIMIT_BYTES = 1 << 18  # a reader this far behind stops the sender
LISTEN_BACKLOG = 1024  # a burst of new connections between two turns of the loop
HEADERS_TOO_LARGE = 431
BODY_TOO_LARGE = 413
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


class CallerLostError(Exception):
    """A caller that has gone while it was being answered."""


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


@dataclass
class CallerRequest:
    """A request with its whole body; `target` is as the caller sent it."""

    method: bytes
    target: bytes
    headers: list
    body: bytes = b""
    received_ms: float = 0.0

    def header(self, name):
        """Return the value of header `name` (lower-case str), or None."""
        wanted = name.encode()
        return next((value.decode("latin-1") for key, value in self.headers if key == wanted), None)


@dataclass
class ServerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


def split_address(address):
    """Return host and port of ``IP:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _tune(transport):
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class _Connection(asyncio.Protocol):
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
        _tune(transport)

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


class ClientConnection(_Connection):
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

    async def read_part(self):
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
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > limit_bytes:
                raise ConnectionLostError(f"body above {limit_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def renew(self):
        """Make ready for the next exchange; returns whether the connection can be kept."""
        try:
            self.parser.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return not self.lost and not self.transport.is_closing()


class ServerConnection(_Connection):
    """One connection of a caller: one task that reads a request and answers it, in turn.

    Parameters
    ----------
    server : AsyncHttpServer
        Gives limits and the handler.
    """

    def __init__(self, server):
        super().__init__(h11.SERVER, server.limits.header_bytes + 1024)
        self.server = server
        self.task = None
        self.answering = False
        self.head_sent = False

    def connection_made(self, transport):
        """Start the connection's task."""
        super().connection_made(transport)
        self.server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def eof_received(self):
        """Cancel the work of a caller that has gone."""
        super().eof_received()
        if self.answering and self.task is not None:
            self.task.cancel()

    def connection_lost(self, error):
        """Cancel the work of a caller that has gone."""
        super().connection_lost(error)
        self.server.connections.discard(self)
        if self.answering and self.task is not None:
            self.task.cancel()

    async def _run(self):
        try:
            while await self._serve_one():
                pass
        except (ConnectionLostError, CallerLostError, asyncio.CancelledError):
            pass  # the caller has gone; whoever worked for it has logged so
        finally:
            if self.transport is not None and not self.lost:
                self.transport.close()

    async def _serve_one(self):
        limits = self.server.limits
        request = await self._read_request(limits)
        if request is None:
            return False
        self.answering = True
        self.head_sent = False
        try:
            await self.server.handler(request, self)
        finally:
            self.answering = False
        if self.parser.our_state is h11.MUST_CLOSE or self.parser.our_state is h11.ERROR:
            return False
        if self.parser.our_state is not h11.DONE:
            return False  # the answer was broken off, so the connection ends
        self.parser.start_next_cycle()
        return not self.lost

    async def _read_request(self, limits):
        try:
            async with asyncio.timeout(limits.idle_timeout_ms / MS_PER_S):
                event = await self.next_event()
        except TimeoutError:
            return None
        except ConnectionLostError as error:
            await self._reject(error.status)
            return None
        if not isinstance(event, h11.Request):
            return None
        if sum(len(key) + len(value) for key, value in event.headers) > limits.header_bytes:
            await self._reject(HEADERS_TOO_LARGE)
            return None
        request = CallerRequest(event.method, event.target, list(event.headers))
        parts, size = [], 0
        async with asyncio.timeout(limits.idle_timeout_ms / MS_PER_S):
            while not isinstance(event := await self.next_event(), h11.EndOfMessage):
                if isinstance(event, h11.ConnectionClosed):
                    return None
                size += len(event.data)
                if size > limits.body_bytes:
                    await self._reject(BODY_TOO_LARGE)
                    return None
                parts.append(bytes(event.data))
        request.body = b"".join(parts)
        request.received_ms = self.server.clock.now_ms()
        return request

    async def _reject(self, status):
        """Answer what is no proper request, and let the connection end."""
        if status is not None and self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self.answer(status, [(b"connection", b"close")], b"")

    async def write(self, data):
        """Write to the caller; raises `CallerLostError`."""
        try:
            await super().write(data)
        except ConnectionLostError as error:
            raise CallerLostError(str(error)) from None

    def _with_ending(self, headers):
        """Ask the caller to go elsewhere next time while this server is closing."""
        return [*headers, (b"connection", b"close")] if self.server.closing else headers

    async def answer(self, status, headers, body):
        """Send a whole answer."""
        headers = self._with_ending([*headers, (b"content-length", b"%d" % len(body))])
        data = self.parser.send(h11.Response(status_code=status, headers=headers))
        if body:
            data += self.parser.send(h11.Data(data=body))
        data += self.parser.send(h11.EndOfMessage())
        self.head_sent = True
        await self.write(data)

    async def begin(self, status, headers):
        """Send status and headers of a streamed answer."""
        self.head_sent = True
        response = h11.Response(status_code=status, headers=self._with_ending(headers))
        await self.write(self.parser.send(response))

    async def send_part(self, data):
        """Send a part of a streamed answer."""
        await self.write(self.parser.send(h11.Data(data=data)))

    async def end(self):
        """End a streamed answer as complete."""
        await self.write(self.parser.send(h11.EndOfMessage()))

    def break_off(self):
        """End the connection so that an answer under way can't look complete."""
        self.transport.close()


class AsyncHttpServer:
    """A listener with one task for each caller's connection.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 takes a free one.
    handler : coroutine function
        Called with the `CallerRequest` and the `ServerConnection` to answer on.
    clock : Clock
        Stamps the arrival of requests.
    """

    def __init__(self, address, handler, clock):
        self.address = address
        self.handler = handler
        self.clock = clock
        self.limits = ServerLimits()
        self.connections = set()
        self.closing = False
        self.server = None

    async def start(self):
        """Bind and listen; raises OSError when the address is taken."""
        host, port = split_address(self.address)
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    def close(self):
        """Stop listening and drop the connections."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.connections):
            connection.close()


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
            kept = connection.renew()
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
