"""Selection of the target of a draft attempt, and limits on concurrent drafts per daemon."""

import math
import random
from dataclasses import dataclass

MIN_FORWARDED_DRAFTS = 8


@dataclass(frozen=True)
class Target:
    """Destination of one attempt: a replica, or a daemon of another zone."""

    address: str
    deployment: object
    replica: object = None
    zone: str = ""

    @property
    def key(self):
        """Return the replica's key, or the address of the remote daemon."""
        return self.replica.key if self.replica else self.address


class TargetFinder:
    """Selects targets among the replicas of this zone and daemons of other zones.

    Parameters
    ----------
    view : ReplicaView
    chooser : BaseReplicaChooser
    load_tracker : LoadTracker
    remote_zones : RemoteZones
    holder : ConfigHolder
        Provides the weights of client accounts.
    """

    def __init__(self, view, chooser, load_tracker, remote_zones, holder):
        self.view = view
        self.chooser = chooser
        self.load_tracker = load_tracker
        self.remote_zones = remote_zones
        self.holder = holder
        self.random = random.Random()

    def slots(self, deployment, hops):
        """Return the maximum number of drafts of a deployment that this daemon may run now.

        The daemon may use every slot that its peers leave free. If peers occupy more than
        their share, it may still use its own fair share, so that the daemon that came first
        can't hold all slots of a replica.
        """
        running, free = self._count_slots(deployment, hops)
        return running + free

    def has_free_slot(self, deployment, hops):
        """Return whether a slot for a draft of a deployment is free now."""
        return self._count_slots(deployment, hops)[1] > 0

    def _count_slots(self, deployment, hops):
        """Return this daemon's drafts in flight and the number of free slots."""
        limit = deployment.limits.in_flight_per_replica
        share = self.slot_share()
        own_counts = self.load_tracker.replica_counts
        running = free = 0
        replicas = self.view.for_deployment(deployment)
        for replica in replicas:
            running += own_counts.get(replica.key, 0)
            allowed = self._replica_slots(replica.key, limit, share)
            free += max(0, allowed - own_counts.get(replica.key, 0))
        for zone in () if hops else self.remote_zones.for_deployment(deployment.name):
            sent = sum(own_counts.get(address, 0) for address in zone.addresses)
            running += sent
            # Without local replicas, at least MIN_FORWARDED_DRAFTS are forwarded even if the
            # remote zone reports no free slot: they queue there and get their fair share.
            unsent_minimum = 0 if replicas else MIN_FORWARDED_DRAFTS - sent
            free += max(0, unsent_minimum, self._remote_slots(zone, share))
        return running, free

    def _remote_slots(self, zone, share):
        """Return this daemon's share of a zone's free slots, less drafts sent since the summary."""
        sent = sum(self.load_tracker.started_since(a, zone.made_ms) for a in zone.addresses)
        return max(0, math.ceil(zone.free_slots * share) - sent)

    def slot_share(self):
        """Return this daemon's fair share of the zone's slots, from 0 to 1."""
        document = self.holder.document
        weights = {account.name: account.weight for account in document.accounts}
        return self.load_tracker.slot_share(weights)

    def _replica_slots(self, key, limit, share):
        own_count = self.load_tracker.replica_counts.get(key, 0)
        left_by_peers = limit - (self.load_tracker.in_flight(key) - own_count)
        return max(left_by_peers, math.ceil(limit * share))

    def local_target(self, deployment, blocks, excluded):
        """Choose a replica of this zone with a free slot.

        Returns the `Target` and the `Choice`, or ``(None, None)`` if no slot is free.
        """
        limit = deployment.limits.in_flight_per_replica
        share = self.slot_share()
        free = [
            replica
            for replica in self.view.for_deployment(deployment)
            if replica.key not in excluded
            and self.load_tracker.replica_counts.get(replica.key, 0)
            < self._replica_slots(replica.key, limit, share)
        ]
        if not free:
            return None, None
        choice = self.chooser.choose(free, blocks)
        return Target(choice.replica.address, deployment, choice.replica), choice

    def remote_target(self, deployment, excluded):
        """Return a `Target` in the nearest other zone with capacity, or None."""
        for zone in self.remote_zones.for_deployment(deployment.name):
            addresses = [a for a in zone.addresses if a not in excluded]
            if addresses:
                return Target(self.random.choice(addresses), deployment, zone=zone.zone)
        return None
