"""A server whose answers have no end, for clients in threads."""

import socketserver
import threading
from contextlib import contextmanager

SENT_BYTES = 64 << 20  # after which even a client that takes everything is done
MAX_TAKEN_BYTES = 32 << 20  # by a client that gives up; the socket buffers hold some of it


class EndlessServer(socketserver.ThreadingTCPServer):
    """Answers each connection by `start`, then `block` until the client closes.

    Attributes
    ----------
    sent_bytes : int
    ended : threading.Event
        Set once the client has closed.
    """

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, start, block):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.start = start
        self.block = block
        self.sent_bytes = 0
        self.ended = threading.Event()

    @property
    def address(self):
        """Address in the form IP:port."""
        return f"127.0.0.1:{self.server_address[1]}"


class _Handler(socketserver.BaseRequestHandler):
    def handle(self):
        server = self.server
        self.request.recv(65_536)
        try:
            self.request.sendall(server.start)
            while server.block and server.sent_bytes < SENT_BYTES:
                self.request.sendall(server.block)
                server.sent_bytes += len(server.block)
        except OSError:
            pass
        server.ended.set()


@contextmanager
def endless_server(start, block):
    """Run an `EndlessServer`."""
    with EndlessServer(start, block) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        try:
            yield server
        finally:
            server.shutdown()
