"""Server side of HTTP/1.1 over asyncio."""

import asyncio
from dataclasses import dataclass

import h11

from ._async_connection import Connection, ConnectionLostError, split_address
from ._clock import MS_PER_S

LISTEN_BACKLOG = 1024  # a burst of new connections between two turns of the loop
HEADERS_TOO_LARGE = 431
BODY_TOO_LARGE = 413


class CallerDisconnectedError(Exception):
    """A caller that has gone while it was being answered."""


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


class ServerConnection(Connection):
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
        except (ConnectionLostError, CallerDisconnectedError, asyncio.CancelledError):
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
            await self.send_response(status, [(b"connection", b"close")], b"")

    async def write(self, data):
        """Write to the caller; raises `CallerDisconnectedError`."""
        try:
            await super().write(data)
        except ConnectionLostError as error:
            raise CallerDisconnectedError(str(error)) from None

    def _with_ending(self, headers):
        """Ask the caller to go elsewhere next time while this server is closing."""
        return [*headers, (b"connection", b"close")] if self.server.closing else headers

    async def send_response(self, status, headers, body):
        """Send a whole answer."""
        headers = self._with_ending([*headers, (b"content-length", b"%d" % len(body))])
        data = self.parser.send(h11.Response(status_code=status, headers=headers))
        if body:
            data += self.parser.send(h11.Data(data=body))
        data += self.parser.send(h11.EndOfMessage())
        self.head_sent = True
        await self.write(data)

    async def send_head(self, status, headers):
        """Send status and headers of a streamed answer."""
        self.head_sent = True
        response = h11.Response(status_code=status, headers=self._with_ending(headers))
        await self.write(self.parser.send(response))

    async def send_chunk(self, data):
        """Send a part of a streamed answer."""
        await self.write(self.parser.send(h11.Data(data=data)))

    async def send_end(self):
        """End a streamed answer as complete."""
        await self.write(self.parser.send(h11.EndOfMessage()))

    def abort_response(self):
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
