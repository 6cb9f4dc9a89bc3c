"""Chunked request bodies of the threaded HTTP server."""

import re

MAX_CHUNK_LINE_BYTES = 8 * 1024  # a chunk's size with its extensions, or a trailer
MAX_TRAILERS = 100
CHUNK_SIZE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;.*)?\r?\n")


class ChunkedBody:
    """Chunked body of a request, read in parts.

    Cheroot's own takes a whole chunk or line into memory, whatever size the client gives it.

    Parameters
    ----------
    file : file object
        The connection, after the request's headers.
    """

    def __init__(self, file):
        self.file = file
        self.chunk_left = 0
        self.ended = False

    def read(self, size):
        """Return up to `size` bytes of the body, fewer only at its end."""
        data = bytearray()
        while len(data) < size and (self.chunk_left or self._begin_chunk()):
            part = self.file.read(min(self.chunk_left, size - len(data)))
            if not part:
                raise ValueError("connection ended within a chunk")
            data += part
            self.chunk_left -= len(part)
            if not self.chunk_left and self.file.read(2) != b"\r\n":
                raise ValueError("chunk without an end")
        return bytes(data)

    def _begin_chunk(self):
        """Read the head of the next chunk; return False at the end of the body."""
        if self.ended:
            return False
        match = CHUNK_SIZE_PATTERN.fullmatch(self.file.readline(MAX_CHUNK_LINE_BYTES))
        if match is None:
            raise ValueError("bad size of a chunk")
        self.chunk_left = int(match[1], 16)
        if not self.chunk_left:
            self.ended = True
            self._skip_trailers()
        return not self.ended

    def _skip_trailers(self):
        for _ in range(MAX_TRAILERS):
            line = self.file.readline(MAX_CHUNK_LINE_BYTES)
            if line in (b"\r\n", b"\n"):
                return
            if not line.endswith(b"\n"):
                break
        raise ValueError("bad trailers")
