"""A TCP proxy on loopback that emulates network faults: delay, reset, loss and stalls."""

import asyncio
import socket
import struct

from corianderhaven.common import MS_PER_S

from ._source_filter import drop_sources

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER


class LinkProxy:
    """Listens on loopback and forwards each connection to `target`.

    The faults are switched on and off while the proxy runs.

    Parameters
    ----------
    target : str
        ``IP:port``; may be changed while the proxy runs.
    """

    def __init__(self, target):
        self.target = target
        self.delay_ms = 0.0
        self.refuse_connections = False
        self.drop_to_target = False
        self.drop_from_target = False
        self.blocked_sources = set()
        self.stalled = set()
        self.connections = set()
        self.server = None
        self.address = ""

    async def start(self):
        """Start listening; returns the proxy."""
        self.server = await asyncio.start_server(self._forward_connection, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def close(self):
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset()

    def restore(self):
        """End delay, refusals and data loss; connections that were stalled stay stalled."""
        self.delay_ms = 0.0
        self.refuse_connections = self.drop_to_target = self.drop_from_target = False

    def reset(self):
        """Reset all connections."""
        for connection in list(self.connections):
            _reset(connection)

    def stall(self):
        """Drop all further data on the open connections without closing them."""
        self.stalled |= self.connections

    def block(self, source_ip, stall_open):
        """Drop new connections from a source and, if `stall_open`, what comes on the open ones."""
        self._set_blocked(self.blocked_sources | {source_ip})
        if stall_open:
            self.stalled |= {c for c in self.connections if _source_ip(c) == source_ip}

    def unblock(self, source_ip):
        """Accept connections from a source again."""
        self._set_blocked(self.blocked_sources - {source_ip})

    def _set_blocked(self, sources):
        self.blocked_sources = sources
        if self.server.is_serving():
            for sock in self.server.sockets:
                drop_sources(sock, sources)

    async def _forward_connection(self, reader, writer):
        if self.refuse_connections:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = (writer, target_writer)
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, connection, lambda: self.drop_to_target),
                self._forward(target_reader, writer, connection, lambda: self.drop_from_target),
            )
        except asyncio.CancelledError:
            return  # at shutdown; the stream server would log the cancelled task as an error
        finally:
            self.connections.discard(connection)
            self.stalled.discard(connection)
            for side in connection:
                side.transport.abort()

    async def _forward(self, reader, writer, connection, is_dropping):
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / MS_PER_S)
                if connection in self.stalled or is_dropping():
                    self.stalled.add(connection)  # TCP delivers nothing after a gap in the stream
                    continue
                writer.write(data)
                await writer.drain()
            if connection not in self.stalled:
                writer.close()
        except OSError:
            _reset(connection)


def _reset(connection):
    """Reset both sides of a connection: an orderly close would end an answer without a length."""
    for side in connection:
        sock = side.get_extra_info("socket")
        if sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        side.transport.abort()


def _source_ip(connection):
    writer, _ = connection
    return (writer.get_extra_info("peername") or ("",))[0]
