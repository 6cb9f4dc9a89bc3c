"""Connections opened only to find out whether endpoints can be reached."""

import asyncio
import itertools
import random

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError

from ._reachability import MIN_FAILED_ENDPOINTS, scopes_of

# Twenty times the latency within a region. TCP resends a lost first packet only after a second,
# but the first event of another endpoint must still arrive in time.
CONNECT_TIMEOUT_MS = 60.0
CONTROL_COUNT = MIN_FAILED_ENDPOINTS - 1  # with the one that failed, they show a lost path
PROBE_INTERVAL_MS = 200.0  # while a path is lost


class PathProber:
    """Tells lost paths from failed endpoints, and notices when a path is back.

    Parameters
    ----------
    reachability : Reachability
    directory : EndpointDirectory
    clock : Clock
    source_ip : str or None
    """

    def __init__(self, reachability, directory, clock, source_ip=None):
        self.reachability = reachability
        self.directory = directory
        self.clock = clock
        self.source_ip = source_ip
        self.checks = {}
        self.woken = asyncio.Event()

    def wake(self):
        """Probe at once."""
        self.woken.set()

    async def run(self):
        """Probe lost paths until cancelled."""
        while True:
            try:
                async with asyncio.timeout(PROBE_INTERVAL_MS / MS_PER_S):
                    await self.woken.wait()
            except TimeoutError:
                pass  # the next probe is due
            self.woken.clear()
            if self.reachability.lost_scopes:
                await asyncio.gather(*(self._probe(e) for e in self.due()))

    async def is_path_sound(self, endpoint, failed_since_ms):
        """Return whether a failure at an endpoint is its own, as others can be reached.

        Parameters
        ----------
        failed_since_ms : float
            Time from which on the endpoint failed.
        """
        if self.reachability.is_scope_lost(endpoint):
            return False
        if self.reachability.connected_since(endpoint, failed_since_ms):
            return True
        return await asyncio.shield(self.begin_check(endpoint))

    def begin_check(self, endpoint):
        """Return the task that finds out whether others than a failed endpoint can be reached."""
        check = self.checks.get(endpoint.service)
        if check is None:
            check = asyncio.get_running_loop().create_task(self._check(endpoint))
            self.checks[endpoint.service] = check
            check.add_done_callback(lambda done: self.checks.pop(endpoint.service, None))
        return check

    def close(self):
        """Abandon the checks under way."""
        for check in list(self.checks.values()):
            check.cancel()

    async def _check(self, endpoint):
        """Return whether any endpoint of the service can be reached, if it has others."""
        failed = self.reachability.failures
        others = [
            e
            for e in self.directory.endpoints(endpoint.service)
            if e.id != endpoint.id and e.id not in failed
        ]
        if not others:
            return not self.reachability.is_scope_lost(endpoint)
        probed = _spread(others, CONTROL_COUNT)
        if endpoint.id not in failed:
            probed.append(endpoint)
        probes = [asyncio.ensure_future(self._probe(e)) for e in probed]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return True
            return False
        finally:
            for probe in probes:
                probe.cancel()

    async def _probe(self, endpoint):
        """Return whether a connection to an endpoint can be opened, and record it."""
        try:
            connection = await ClientConnection.open(
                endpoint.address, CONNECT_TIMEOUT_MS, self.source_ip
            )
        except ConnectionLostError:
            self.reachability.record_failed(endpoint)
            return False
        connection.close()
        self.reachability.record_connected(endpoint)
        return True

    def due(self):
        """Return a random endpoint of each lost scope, of a part that isn't lost itself if any."""
        endpoints = self.directory.endpoints()
        due = {}
        for scope in self.reachability.lost_scopes:
            in_scope = [e for e in endpoints if scope in scopes_of(e)]
            telling = [e for e in in_scope if not self.reachability.lost_parts(scope, e)]
            if in_scope:
                endpoint = random.choice(telling or in_scope)
                due[endpoint.id] = endpoint
        return list(due.values())


def _spread(endpoints, count):
    """Return `count` random endpoints of as many availability zones as possible."""
    shuffled = random.sample(endpoints, len(endpoints))
    ranks = {}
    by_zone = sorted(shuffled, key=lambda e: e.zone)
    for _, group in itertools.groupby(by_zone, key=lambda e: e.zone):
        ranks.update({e.id: rank for rank, e in enumerate(group)})
    return sorted(shuffled, key=lambda e: ranks[e.id])[:count]
