"""Network partitions between single daemons and endpoints, within one process.

The stand-in of the platform listens on loopback, where connections can't be lost. Each daemon has
a source address of its own, so links are told apart where connections are opened.
"""

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass, field

import pytest

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError

HANG = "hang"
RESET = "reset"
REFUSE_NEW = "refuse_new"
MODES = (HANG, RESET, REFUSE_NEW)


@dataclass
class Links:
    """Links between daemons and endpoints.

    Parameters
    ----------
    site : HostingSite
    modes : dict of str to str
        How the links of daemons are cut, by the daemons' IP addresses.
    affects : callable
        Takes an endpoint's worker and returns whether its links are cut as well.
    opened : list of (str, str, ClientConnection)
        Connections with source and destination.
    isolated : dict of str to set of str
        Addresses of peers from which daemons are partitioned, by the daemons' IP addresses.
    """

    site: object
    modes: dict = field(default_factory=dict)
    affects: object = lambda worker: True
    opened: list = field(default_factory=list)
    attempts: int = 0
    isolated: dict = field(default_factory=dict)

    def cut(self, daemon, mode, affects=lambda worker: True):
        """Partition a daemon from the endpoints for which `affects` returns True."""
        self.affects = affects
        self.modes[daemon.settings.ip] = mode
        for source, address, connection in self.opened:
            if source != daemon.settings.ip or not self.is_cut(source, address):
                continue
            if mode == RESET:
                connection.close()
            elif mode == HANG:
                _silence(connection)

    def isolate(self, daemon, peers):
        """Partition a daemon from its peers; open connections between them go silent."""
        self.isolated[daemon.settings.ip] = {peer.settings.peers for peer in peers}
        for peer in peers:
            self.isolated.setdefault(peer.settings.ip, set()).add(daemon.settings.peers)
        for source, address, connection in self.opened:
            if self.is_between_daemons(source, address):
                _silence(connection)

    def is_between_daemons(self, source, address):
        """Return whether a connection is one between an isolated daemon and another one."""
        return address in self.isolated.get(source, ())

    def heal(self, daemon):
        """End the partition; connections that have gone silent stay so."""
        del self.modes[daemon.settings.ip]

    def is_cut(self, source, address):
        cut = {w.address for w in self.site.workers.values() if self.affects(w)}
        return source in self.modes and address in cut


def _silence(connection):
    """Lose all further bytes in both directions."""

    async def lose(data):
        return None

    connection.write = lose
    connection.data_received = lambda data: None
    connection.eof_received = lambda: None


@contextmanager
def partitionable(site):
    """Yield the `Links` of a site; connections opened meanwhile obey them."""
    links, open_connection = Links(site), ClientConnection.open

    async def open_link(address, timeout_ms, source_ip=None):
        if links.is_between_daemons(source_ip, address):
            await asyncio.sleep(timeout_ms / MS_PER_S)
            raise ConnectionLostError(f"cannot connect to {address}: timed out", False)
        mode = links.modes.get(source_ip)
        if mode is not None and links.is_cut(source_ip, address):
            links.attempts += 1
            if mode == HANG:
                await asyncio.sleep(timeout_ms / MS_PER_S)
                raise ConnectionLostError(f"cannot connect to {address}: timed out", False)
            raise ConnectionLostError(f"cannot connect to {address}", False, refused=True)
        connection = await open_connection(address, timeout_ms, source_ip)
        links.opened.append((source_ip, address, connection))
        return connection

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ClientConnection, "open", open_link)
        yield links
