"""A loopback link that can delay, reset, cut and silence what goes over it."""

import asyncio

from corianderhaven.common import MS_PER_S

READ_BYTES = 65_536


class Link:
    """Listens on loopback and forwards each connection to `target`.

    Parameters
    ----------
    target : str
        ``IP:port``; may be changed while the link runs.
    """

    def __init__(self, target):
        self.target = target
        self.delay_ms = 0.0
        self.refusing = False
        self.cut_forth = False
        self.cut_back = False
        self.silenced = set()
        self.pairs = set()
        self.server = None
        self.address = ""

    async def start(self):
        """Listen; returns the link."""
        self.server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def close(self):
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset()

    def heal(self):
        """Carry everything again; what was silenced stays silent."""
        self.delay_ms = 0.0
        self.refusing = self.cut_forth = self.cut_back = False

    def reset(self):
        """Reset all connections."""
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()

    def silence(self):
        """Let the open connections carry nothing any more, without closing them."""
        self.silenced |= self.pairs

    async def _carry(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, pair, lambda: self.cut_forth),
                self._pump(far_reader, writer, pair, lambda: self.cut_back),
            )
        except asyncio.CancelledError:
            return  # the loop ends; the stream server would report the cancelled task as failed
        finally:
            self.pairs.discard(pair)
            self.silenced.discard(pair)
            for end in pair:
                end.transport.abort()

    async def _pump(self, reader, writer, pair, is_cut):
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / MS_PER_S)
                if pair in self.silenced or is_cut():
                    self.silenced.add(pair)  # a stream with a hole carries nothing after it
                    continue
                writer.write(data)
                await writer.drain()
            if pair not in self.silenced:
                writer.close()
        except OSError:
            for end in pair:
                end.transport.abort()
