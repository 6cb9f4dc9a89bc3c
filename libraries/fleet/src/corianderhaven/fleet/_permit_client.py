"""Asks the daemons that issue permits for those that this daemon wants."""

import asyncio
import contextlib

import msgspec

from corianderhaven.common import MS_PER_S, AsyncHttpClient, ConnectionLostError

from ._permit_issuer import (
    MAX_WISHES,
    PERMITS_PATH,
    PermitOffer,
    PermitReply,
    PermitRequest,
    decode_permits,
)

CALL_TIMEOUT_MS = 300.0
RETRY_MS = 100.0  # after a failed call; another daemon is then the issuer
IDLE_MS = 2_000.0  # after which a connection without wishes is closed


class PermitClient:
    """Sends wishes for permits to their issuers, one task per issuer.

    Parameters
    ----------
    table : PeerTable
    issuer : PermitIssuer
        Issues the permits that this daemon is itself responsible for.
    decisions : DecisionLog
    source_ip : str or None

    Attributes
    ----------
    on_offer : callable
        Called with a `PermitWish` and its `PermitOffer`.
    """

    def __init__(self, table, issuer, decisions, source_ip=None):
        self.table = table
        self.issuer = issuer
        self.decisions = decisions
        self.source_ip = source_ip
        self.on_offer = lambda wish, offer: None
        self.wishes = {}
        self.woken = {}
        self.tasks = {}

    def close(self):
        """Stop all tasks."""
        for task in self.tasks.values():
            task.cancel()

    def request(self, wish):
        """Ask for a permit; `on_offer` is called with the answer, at once if it is known here."""
        peer = self.table.permit_issuer(wish.endpoint, wish.zone)
        if peer is None:
            self.on_offer(wish, self.issuer.offer(wish))
            return
        key = (peer.name, peer.address)
        self.wishes.setdefault(key, {})[wish.endpoint] = wish
        if key not in self.tasks:
            self.woken[key] = asyncio.Event()
            self.tasks[key] = asyncio.get_running_loop().create_task(self._ask(key, peer))
        self.woken[key].set()

    async def _ask(self, key, peer):
        client = AsyncHttpClient(peer.address, self.source_ip)
        try:
            while await self._wait_for_wishes(key):
                wishes = list(self.wishes.pop(key).values())
                for first in range(0, len(wishes), MAX_WISHES):
                    await self._ask_once(client, peer, wishes[first : first + MAX_WISHES])
        finally:
            client.close()
            del self.tasks[key], self.woken[key]
            self.wishes.pop(key, None)

    async def _wait_for_wishes(self, key):
        """Return whether there are wishes within `IDLE_MS`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_MS / MS_PER_S):
                await self.woken[key].wait()
        self.woken[key].clear()
        return bool(self.wishes.get(key))

    async def _ask_once(self, client, peer, wishes):
        body = msgspec.json.encode(PermitRequest(self.table.own_name, wishes))
        offers = {}
        try:
            answer = await client.call("POST", PERMITS_PATH, body, CALL_TIMEOUT_MS)
            offers = decode_permits(answer.body, PermitReply).offers
        except (ConnectionLostError, ValueError) as error:
            self.table.mark_unreachable(peer)
            self.decisions.record("permits_not_answered", peer=peer.name, reason=str(error))
        for wish in wishes:
            self.on_offer(wish, offers.get(wish.endpoint, PermitOffer(False, RETRY_MS)))
