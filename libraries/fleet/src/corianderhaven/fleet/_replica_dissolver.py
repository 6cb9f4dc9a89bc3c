"""Dissolving of replicas: their heads end them, and their members leave."""

import asyncio

from corianderhaven.common import MS_PER_S

from ._dissolution import HEAD_SILENCE_MS, STALL_MARGIN_MS
from ._formation import WORKING_STATES
from ._order_sender import ACCEPTED
from ._types import ReplicaState

LATE_ORDER_MS = 15_000.0  # engines carry out orders some seconds late, if they don't answer
RETRY_MS = 700.0  # between attempts while no member responds
POLL_INTERVAL_MS = 40.0


class ReplicaDissolver:
    """Dissolves replicas in one tenure of the keeper.

    Parameters
    ----------
    sender : OrderSender
    directory : EndpointDirectory
    settings : NodeSettings
    clock : Clock
    decisions : DecisionLog
    keeper_state : KeeperState
    spawn : callable
        Runs a coroutine as a task of the tenure.
    """

    def __init__(self, sender, directory, settings, clock, decisions, keeper_state, spawn):
        self.sender = sender
        self.orders = sender.orders
        self.directory = directory
        self.settings = settings
        self.clock = clock
        self.decisions = decisions
        self.keeper_state = keeper_state
        self.spawn = spawn

    def begin(self, action):
        """Return whether a replica is to be dissolved, as that was not attempted just before."""
        key = action.replica.key
        attempted_ms = self.keeper_state.last_dissolve_ms.get(key)
        if attempted_ms is not None and self.clock.now_ms() - attempted_ms < RETRY_MS:
            return False
        self.keeper_state.dissolving.add(key)
        return True

    def observe_head(self, endpoint_id, member):
        """Take note of what an endpoint reports, if it was the head of a dissolved replica."""
        key = self.keeper_state.observe_head(endpoint_id, member)
        if key is not None:
            self.decisions.record(
                "replica_reentered", replica=key[0], endpoint=endpoint_id, state=str(member.state)
            )

    async def dissolve(self, action):
        """Dissolve a replica; its members are free as far as they are known to have left."""
        replica, keeper_state = action.replica, self.keeper_state
        key = replica.key
        self.decisions.record(
            "replica_dissolving",
            replica=replica.name,
            reason=action.reason,
            members=[e.id for e in replica.members.values()],
        )
        try:
            if await self._head_ended(action, key):
                if key in keeper_state.join_unanswered & keeper_state.open_unanswered:
                    self._hold(replica.members.values(), LATE_ORDER_MS)
                keeper_state.released.add(key)
                if replica.head is not None:
                    keeper_state.record_left(replica.head.id, key)
                    head = self.directory.get(replica.head.id)
                    # Its next entries may come at once, the last of which shows it back.
                    self.observe_head(replica.head.id, head and head.membership)
                await self._release_members(replica, key)
            else:
                await self._release_without_head(replica, key)
        finally:
            keeper_state.dissolving.discard(key)
            keeper_state.last_dissolve_ms[key] = self.clock.now_ms()

    async def _head_ended(self, action, key):
        """Have a head end its replica; return whether it certainly can't serve any more."""
        replica = action.replica
        if replica.state is ReplicaState.BROKEN:
            return True
        if action.graceful:
            closed = await self._close_gracefully(replica.head, key, action.finish_ms)
            # It may leave the site at once. An order to open it may still be carried out late.
            if closed and key not in self.keeper_state.open_unanswered:
                return True
        return await self._head_left(replica, key)

    async def _release_members(self, replica, key):
        """Let all members leave, so that a later keeper sees that they are free.

        It would take them for members whose head it doesn't reach, and wait until that must be
        broken.
        """
        present = (self.directory.get(e.id) for e in replica.members.values())
        members = [
            e
            for e in present
            if e is not None
            and e.membership is not None
            and (e.membership.replica, e.membership.generation) == key
            and e.membership.state is not ReplicaState.BROKEN
            and (not e.leaving or e.membership.rank == 0)
            and e.id not in self.sender.unresponsive
        ]
        await asyncio.gather(*(self.sender.leave(e, key) for e in members))

    async def _head_left(self, replica, key):
        head = replica.head
        if head is None or head.id in self.sender.unresponsive:
            return False
        if self.directory.last_report(head.id) is None:
            # Without it, reports from before the leave can't be told from later ones.
            await self.sender.probe([head])
        return await self.sender.leave(head, key)

    async def _close_gracefully(self, head, key, finish_ms):
        """Have a head accept no more requests and finish those that it has; return whether it has.

        A head that leaves, or is silent for a moment, finishes them as well.
        """
        result = await self.sender.send(
            "close", head, key[0], lambda: self.orders.close(head, *key, False)
        )
        if result not in ACCEPTED:
            return False
        begun_ms = last_probe_ms = self.clock.now_ms()
        while self.clock.now_ms() - begun_ms <= finish_ms and not self._is_lost(head.id):
            current = self.directory.get(head.id)
            member = current.membership if current is not None else None
            if member is None or (member.replica, member.generation) != key:
                return False
            if member.state not in WORKING_STATES:
                return member.state is ReplicaState.READY
            if self.clock.now_ms() - last_probe_ms > MS_PER_S:
                last_probe_ms = self.clock.now_ms()
                self.spawn(self.sender.probe([current]))
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)
        return False

    def _is_lost(self, endpoint_id):
        """Return whether an endpoint has been silent for as long as one that is lost."""
        silence = self.sender.silences.get(endpoint_id)
        return silence is not None and self.clock.now_ms() - silence.since_ms > HEAD_SILENCE_MS

    async def _release_without_head(self, replica, key):
        """Remove the members of a replica whose head is unreachable.

        Without them the head stalls and declares itself broken after `stall_ms`. A member is
        free only after it has left and that time is over.
        """
        members = [
            e
            for rank, e in replica.members.items()
            if rank != 0 and e.id not in self.sender.unresponsive
        ]
        # Hold them before the orders to leave: their reports of having left may arrive first.
        self._hold(members)
        await asyncio.gather(*(self.sender.leave(e, key) for e in members))
        self._hold(members)
        self.note_missing_members(key)

    def note_missing_members(self, key):
        """Record that a replica lacks members from now on and will declare itself broken."""
        until = self.clock.now_ms() + self.settings.stall_ms + STALL_MARGIN_MS
        self.keeper_state.broken_by_ms.setdefault(key, until)

    def _hold(self, endpoints, duration_ms=None):
        """Hold endpoints, by default until a head that lacks members must be broken."""
        if duration_ms is None:
            duration_ms = self.settings.stall_ms + STALL_MARGIN_MS
        until = self.clock.now_ms() + duration_ms
        for endpoint in endpoints:
            self.keeper_state.held_until_ms[endpoint.id] = until
