"""Connection faults and VM conditions."""

import enum
import socket

from corianderhaven.common import CorianderhavenError, ErrorCode


class VmCondition(enum.StrEnum):
    """Condition of a stand-in VM.

    ``ALIVE`` answers requests, ``DEAD`` drops connections, and ``SILENT`` accepts connections but
    never answers, like a paused VM or an unreachable fabric domain.
    """

    ALIVE = "alive"
    DEAD = "dead"
    SILENT = "silent"


def drop_connection(request):
    """Close the caller's connection without sending a response."""
    try:
        request.connection.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    raise CorianderhavenError(ErrorCode.INTERNAL, "connection dropped by an injected fault")
