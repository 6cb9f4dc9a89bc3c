"""Finds where an attempt at a draft can go, and how many this daemon may run."""

import math
import random
from dataclasses import dataclass

MIN_FORWARDED_DRAFTS = 8


@dataclass(frozen=True)
class Target:
    """Where one attempt goes: a replica, or a daemon of another zone."""

    address: str
    deployment: object
    replica: object = None
    zone: str = ""

    @property
    def key(self):
        """Return the replica's key, or the peer's address."""
        return self.replica.key if self.replica else self.address


class TargetFinder:
    """Knows the replicas of this zone, and the daemons of other zones with capacity.

    Parameters
    ----------
    view : ReplicaView
    chooser : BaseReplicaChooser
    load_tracker : LoadTracker
    remote_zones : RemoteZones
    holder : ConfigHolder
        Gives the weights of client accounts.
    """

    def __init__(self, view, chooser, load_tracker, remote_zones, holder):
        self.view = view
        self.chooser = chooser
        self.load_tracker = load_tracker
        self.remote_zones = remote_zones
        self.holder = holder
        self.random = random.Random()

    def slots(self, deployment, hops):
        """Return how many drafts of a deployment this daemon may run now.

        What peers leave free may be used whole; of what they use this daemon may claim its
        fair share, so that whoever came first doesn't keep all slots of a replica.
        """
        running, free = self._count_slots(deployment, hops)
        return running + free

    def has_free_slot(self, deployment, hops):
        """Return whether a draft of a deployment would find a slot at once."""
        return self._count_slots(deployment, hops)[1] > 0

    def _count_slots(self, deployment, hops):
        """Return own_counts drafts in flight and free slots."""
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
            # A zone without replicas of its own_counts queues at its neighbours, which are fair to it.
            unsent_minimum = 0 if replicas else MIN_FORWARDED_DRAFTS - sent
            free += max(0, unsent_minimum, self._remote_slots(zone, share))
        return running, free

    def _remote_slots(self, zone, share):
        """Return the part of a zone's free slots that is left since its summary was made."""
        sent = sum(self.load_tracker.started_since(a, zone.made_ms) for a in zone.addresses)
        return max(0, math.ceil(zone.free_slots * share) - sent)

    def slot_share(self):
        """Return this daemon's fair part of the zone's slots."""
        document = self.holder.document
        weights = {account.name: account.weight for account in document.accounts}
        return self.load_tracker.slot_share(weights)

    def _replica_slots(self, key, limit, share):
        own_counts = self.load_tracker.replica_counts.get(key, 0)
        left_by_peers = limit - (self.load_tracker.in_flight(key) - own_counts)
        return max(left_by_peers, math.ceil(limit * share))

    def local_target(self, deployment, blocks, excluded):
        """Choose a replica of this zone with a free slot; returns a `Target` or None."""
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
        """Choose a daemon of the nearest other zone with capacity; returns a `Target` or None."""
        for zone in self.remote_zones.for_deployment(deployment.name):
            addresses = [a for a in zone.addresses if a not in excluded]
            if addresses:
                return Target(self.random.choice(addresses), deployment, zone=zone.zone)
        return None
