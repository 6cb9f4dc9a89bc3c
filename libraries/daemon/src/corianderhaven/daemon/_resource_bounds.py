"""Derives what the connections of a daemon may hold from the limits of its VM.

Load: more connections than the process has descriptors, and more buffered data than the VM has
memory (docs/design/untrusted-clients.md).
"""

import resource

from corianderhaven.common import connection_budgets
from corianderhaven.gateway import RefusalLog

DEFAULT_MEMORY_MB = 1_024.0  # of an ordinary VM, where the settings file names none
# Shares of the descriptors. A request being handled takes a second one, at an endpoint; the rest
# is for these, for the store, and for connections accepted at once before others are closed.
CALLERS_FRACTION = 0.4
PEERS_FRACTION = 0.125
READINESS_FRACTION = 0.0625


class ResourceBounds:
    """Bounds on memory and connections, and the log of what they refuse.

    Parameters
    ----------
    settings : NodeSettings
    clock : Clock
    decisions : DecisionLog
    """

    def __init__(self, settings, clock, decisions):
        self.settings = settings
        self.refusal_log = RefusalLog(clock, decisions)

    def start(self, callers, peers, readiness):
        """Apply the bounds to the process and to the servers of its listeners."""
        system_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_fds = self.settings.max_fds or system_fds
        if system_fds != resource.RLIM_INFINITY:
            max_fds = min(max_fds, system_fds)
        connection_budgets.set_memory(self.settings.memory_mb or DEFAULT_MEMORY_MB)
        connection_budgets.listeners.append(self.refusal_log.record)
        if max_fds == resource.RLIM_INFINITY:
            return
        callers.max_connections = int(max_fds * CALLERS_FRACTION)
        peers.max_connections = int(max_fds * PEERS_FRACTION)
        readiness.max_connections = int(max_fds * READINESS_FRACTION)

    def close(self):
        """Log no further refusals."""
        if self.refusal_log.record in connection_budgets.listeners:
            connection_budgets.listeners.remove(self.refusal_log.record)
