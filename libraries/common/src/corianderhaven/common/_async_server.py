"""Asyncio HTTP/1.1 server."""

import asyncio
import math
import socket

from ._async_connection import TCP_USER_TIMEOUT_MS, split_address
from ._caller_request import ServerLimits
from ._clock import MS_PER_S
from ._server_connection import ServerConnection

LISTEN_BACKLOG = 1024  # for a burst of connections between two event loop iterations
FLUSH_POLL_MS = 10.0
ACCEPTS_PER_TURN = 32  # a burst is accepted in parts, so that it exceeds no limit of descriptors


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
    on_given_up : callable
        Called with each `CallerRequest` whose head was read and that isn't handled, and the cause.
    max_connections : float
        Number of connections above which the one that waits longest is closed.
    waiting : dict
        Connections without a complete request, those that have waited longest first.
    """

    def __init__(self, address, handler, clock):
        self.address = address
        self.handler = handler
        self.clock = clock
        self.limits = ServerLimits()
        self.connections = set()
        self.waiting = {}
        self.max_connections = math.inf
        self.closing = False
        self.sends_callers_away = lambda: False
        self.on_given_up = lambda request, cause: None
        self.user_timeout_ms = lambda: TCP_USER_TIMEOUT_MS
        self.server = None

    async def start(self):
        """Bind and listen; raises OSError when the address is in use."""
        host, port = split_address(self.address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.create_server((host, port), family=family)
        try:
            self.server = await asyncio.get_running_loop().create_server(
                lambda: ServerConnection(self), sock=sock, backlog=ACCEPTS_PER_TURN
            )
        except BaseException:
            sock.close()
            raise
        sock.listen(LISTEN_BACKLOG)  # the kernel's queue, while asyncio accepts a part at a time
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    def admit(self, connection):
        """Register a connection; above the limit, close the one that has waited longest."""
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            longest_waiting = next(iter(self.waiting), connection)
            self.waiting.pop(longest_waiting, None)
            longest_waiting.refuse("connections")
        if not connection.refused:
            self.waiting[connection] = None

    def forget(self, connection):
        """Unregister a connection that is lost."""
        self.connections.discard(connection)
        self.waiting.pop(connection, None)

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
