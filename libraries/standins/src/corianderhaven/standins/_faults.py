"""Faults of connections and VMs."""

import enum
import socket

from corianderhaven.common import CorianderhavenError, ErrorCode


class VmCondition(enum.StrEnum):
    """How a stand-in VM is.

    ``DEAD`` resets connections, ``SILENT`` accepts and never answers (a paused VM or a dark
    fabric domain), ``ALIVE`` answers.
    """

    ALIVE = "alive"
    DEAD = "dead"
    SILENT = "silent"


def drop_connection(request):
    """Close the caller's connection without an answer."""
    try:
        request.connection.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    raise CorianderhavenError(ErrorCode.INTERNAL, "connection dropped by a fault")
