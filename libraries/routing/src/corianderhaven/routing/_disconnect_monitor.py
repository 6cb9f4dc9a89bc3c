"""Detection of callers that disconnect while waiting."""

import itertools
import select
import socket
import threading

from corianderhaven.common import PeriodicThread

POLL_PERIOD_MS = 100.0


class DisconnectMonitor:
    """Polls the sockets of waiting callers in a background thread."""

    def __init__(self):
        self.handles = itertools.count()
        self.watched = {}
        self.lock = threading.Lock()
        self.periodic = None

    def start(self):
        """Start polling."""
        self.periodic = PeriodicThread("caller-watch", self.poll, POLL_PERIOD_MS).start()
        return self

    def close(self):
        """Stop polling."""
        self.periodic.close()

    def add(self, request, on_disconnect):
        """Call `on_disconnect` once when the caller of `request` disconnects.

        Parameters
        ----------
        request : Request
        on_disconnect : callable
            Must not block.

        Returns
        -------
        int or None
            Handle for `remove`.
        """
        if request.connection is None:
            return None
        handle = next(self.handles)
        with self.lock:
            self.watched[handle] = (request.connection.socket, on_disconnect)
        return handle

    def remove(self, handle):
        """Stop monitoring a caller."""
        with self.lock:
            self.watched.pop(handle, None)

    def poll(self):
        """Check each monitored socket once."""
        with self.lock:
            watched = dict(self.watched)
        for handle, (sock, on_disconnect) in watched.items():
            if _is_disconnected(sock):
                self.remove(handle)
                on_disconnect()


def _is_disconnected(sock):
    try:
        poller = select.poll()
        poller.register(sock, select.POLLIN | select.POLLHUP | select.POLLERR)
        if not poller.poll(0):
            return False
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True
