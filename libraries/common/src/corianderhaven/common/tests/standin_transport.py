"""A transport without a socket, for the connections of both sides of HTTP."""

import asyncio


class StandinSocket:
    def setsockopt(self, level, option, value):
        pass

    def fileno(self):
        return -1


class StandinTransport:
    """Calls its protocol like asyncio's transport; `unsent` bytes delay the end of a close."""

    def __init__(self, protocol, unsent=0):
        self.protocol = protocol
        self.unsent = unsent
        self.written = bytearray()
        self.closing = False
        protocol.connection_made(self)

    def get_extra_info(self, name):
        return StandinSocket() if name == "socket" else None

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return self.unsent

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def is_closing(self):
        return self.closing

    def close(self):
        if not self.closing:
            self.closing = True
            if not self.unsent:
                asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def abort(self, error=None):
        if not self.closing:
            self.closing = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, error)

    def end_input(self):
        """End the peer's side, as a close or a half-close by the peer does."""
        if not self.closing and not self.protocol.eof_received():
            self.close()

    def finish(self):
        """End the connection of a protocol that hasn't been told of its end."""
        if not self.protocol.lost:
            self.closing = True
            self.protocol.connection_lost(None)

    def reset(self):
        """Break the connection, as a reset by the peer does."""
        self.abort(ConnectionResetError())


async def take_turns(count):
    """Let all tasks that are ready have their turn, `count` times."""
    for _ in range(count):
        await asyncio.sleep(0)
