"""Asyncio HTTP/1.1 server."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

import h11
from loguru import logger

from ._async_connection import (
    TCP_USER_TIMEOUT_MS,
    Connection,
    ConnectionLostError,
    split_address,
)
from ._clock import MS_PER_S

LISTEN_BACKLOG = 1024  # for a burst of connections between two event loop iterations
PROCESSING = 102
BAD_GATEWAY = 502
REQUEST_TIMEOUT = 408
HEADERS_TOO_LARGE = 431
BODY_TOO_LARGE = 413
# Values of SO_LINGER: whether a close is a reset, and the seconds for which it waits.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ORDERLY_CLOSE = struct.pack("ii", 0, 0)
FLUSH_POLL_MS = 10.0


class CallerDisconnectedError(Exception):
    """The caller disconnected while its request was being handled."""


@dataclass
class CallerRequest:
    """A request with its complete body; `target` is the undecoded request target."""

    method: bytes
    target: bytes
    headers: list
    body: bytes = b""
    received_ms: float = 0.0

    def header(self, name):
        """Return the value of header `name` (lower-case str), or None if it is absent."""
        encoded_name = name.encode()
        return next(
            (value.decode("latin-1") for key, value in self.headers if key == encoded_name), None
        )


@dataclass
class ServerLimits:
    """Size limits and timeouts of requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class ServerConnection(Connection):
    """Connection from a caller, with one task that handles its requests in sequence.

    Parameters
    ----------
    server : AsyncHttpServer
        Server that provides the limits and the handler.
    """

    def __init__(self, server):
        super().__init__(h11.SERVER, server.limits.header_bytes + 1024)
        self.server = server
        self.user_timeout_ms = server.user_timeout_ms()
        self.task = None
        self.handling = False
        self.reading = False
        self.head_sent = False

    def connection_made(self, transport):
        """Register the connection and start its task."""
        super().connection_made(transport)
        self.server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self._run())

    @property
    def is_receiving(self):
        """Whether part of a request has come that isn't handled yet."""
        return self.reading or bool(self.parser.trailing_data[0])

    def limit_unread(self):
        """Abort a connection that sends while its request is handled, up to a further request.

        Reading can't pause meanwhile, as the end of the connection would go unnoticed.
        """
        limits = self.server.limits
        if self.handling and self.unread_bytes > limits.header_bytes + limits.body_bytes:
            self.transport.abort()

    def eof_received(self):
        """Cancel the handler when the caller closes its side."""
        super().eof_received()
        if self.handling and self.task is not None:
            self.task.cancel()

    def connection_lost(self, error):
        """Unregister the connection and cancel a handler that is running."""
        super().connection_lost(error)
        self.server.connections.discard(self)
        if self.handling and self.task is not None:
            self.task.cancel()

    async def _run(self):
        try:
            while await self._serve_request():
                pass
        except (ConnectionLostError, CallerDisconnectedError, asyncio.CancelledError):
            pass  # the caller has disconnected; a handler that was running has logged it
        except Exception:
            logger.exception("request handler failed")
            await self._answer_failure()
        finally:
            if self.transport is not None and not self.lost:
                self.transport.close()

    async def _answer_failure(self):
        """Tell the caller that its request failed, which may have been carried out."""
        if self.head_sent or self.lost:
            return
        with contextlib.suppress(CallerDisconnectedError, h11.LocalProtocolError):
            await self.send_response(BAD_GATEWAY, [(b"connection", b"close")], b"")

    async def _serve_request(self):
        limits = self.server.limits
        request = await self._read_request(limits)
        if request is None:
            return False
        self.reading, self.handling = False, True
        self.head_sent = False
        try:
            await self.server.handler(request, self)
        finally:
            self.handling = False
        if self.parser.our_state is h11.MUST_CLOSE or self.parser.our_state is h11.ERROR:
            return False
        if self.parser.our_state is not h11.DONE:
            return False  # the response was aborted, so the connection must close
        self.begin_cycle()
        return not self.lost

    async def _read_request(self, limits):
        """Return the next request, or None when the connection has to close."""
        if not await self._wait_for_first_byte(limits):
            return None
        self.reading = True
        try:
            async with asyncio.timeout(limits.header_timeout_ms / MS_PER_S):
                event = await self.next_event()
        except TimeoutError:
            await self._reject(REQUEST_TIMEOUT)
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
        try:
            async with asyncio.timeout(limits.idle_timeout_ms / MS_PER_S):
                request.body = await self._read_body(limits.body_bytes)
        except TimeoutError:
            await self._reject(REQUEST_TIMEOUT)
            return None
        if request.body is None:
            return None
        request.received_ms = self.server.clock.now_ms()
        return request

    async def _wait_for_first_byte(self, limits):
        """Wait for the start of a request; return whether one came within the idle timeout."""
        trailing_bytes, _ = self.parser.trailing_data
        if trailing_bytes or self.lost:
            return True
        self.read_waiter = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(limits.idle_timeout_ms / MS_PER_S):
                await self.read_waiter
        except TimeoutError:
            return False
        return True

    async def _read_body(self, limit_bytes):
        """Return the request's body, or None when the connection has to close."""
        chunks, size = [], 0
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                return None
            size += len(event.data)
            if size > limit_bytes:
                await self._reject(BODY_TOO_LARGE)
                return None
            chunks.append(bytes(event.data))
        return b"".join(chunks)

    async def _reject(self, status):
        """Send an error response, if one can still be sent, before the connection closes."""
        if status is not None and self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self.send_response(status, [(b"connection", b"close")], b"")

    async def write(self, data):
        """Write to the caller, raising `CallerDisconnectedError` when the connection is lost."""
        try:
            await super().write(data)
        except ConnectionLostError as error:
            raise CallerDisconnectedError(str(error)) from None

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
        """Send a complete response."""
        headers = self._with_connection_header([*headers, (b"content-length", b"%d" % len(body))])
        data = self.parser.send(h11.Response(status_code=status, headers=headers))
        if body:
            data += self.parser.send(h11.Data(data=body))
        data += self.parser.send(h11.EndOfMessage())
        self.head_sent = True
        await self.write(data)

    async def send_head(self, status, headers):
        """Send the status and headers of a streamed response."""
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


class AsyncHttpServer:
    """HTTP server that runs one task per connection.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 selects a free port.
    handler : coroutine function
        Called with the `CallerRequest` and the `ServerConnection` to respond on.
    clock : Clock
        Source of the arrival times of requests.

    Attributes
    ----------
    sends_callers_away : callable
        Returns whether connections are closed after an answer, so that callers go elsewhere.
    user_timeout_ms : callable
        Returns how long a caller may take nothing of its answer.
    """

    def __init__(self, address, handler, clock):
        self.address = address
        self.handler = handler
        self.clock = clock
        self.limits = ServerLimits()
        self.connections = set()
        self.closing = False
        self.sends_callers_away = lambda: False
        self.user_timeout_ms = lambda: TCP_USER_TIMEOUT_MS
        self.server = None

    async def start(self):
        """Bind and listen; raises OSError when the address is in use."""
        host, port = split_address(self.address)
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def flush(self, timeout_ms):
        """Stop listening, and close the connections once their answers have been sent.

        Connections whose requests are still read or handled stay open until `close`.

        Parameters
        ----------
        timeout_ms : float
            How long to wait for callers that read slowly.
        """
        self.server.close()
        for connection in tuple(self.connections):
            if not connection.handling and not connection.is_receiving:
                connection.transport.close()
        end_ms = self.clock.now_ms() + timeout_ms
        while self.connections and self.clock.now_ms() < end_ms:
            await asyncio.sleep(FLUSH_POLL_MS / MS_PER_S)

    def close(self):
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.connections):
            connection.close()
