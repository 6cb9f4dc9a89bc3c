"""Capacity of other availability zones, to which their daemons forward requests."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RemoteZone:
    """Another zone that can serve requests.

    Attributes
    ----------
    addresses : tuple of str
        Peer addresses of some of its daemons.
    made_ms : float
        Local monotonic time at which the zone summary was made.
    """

    zone: str
    addresses: tuple
    free_slots: int
    made_ms: float


class RemoteZones:
    """Finds capacity in other zones from their summaries.

    Parameters
    ----------
    adoption : ZoneAdoption
    peers : PeerTable
    """

    def __init__(self, adoption, peers):
        self.adoption = adoption
        self.peers = peers

    def for_deployment(self, name):
        """Return the other zones with whole replicas of a deployment, nearest first."""
        found = []
        for zone in self.adoption.zones_by_distance(self.peers.own.zone):
            record = self.adoption.records.get(zone)
            if record is None or not self.adoption.is_zone_live(zone):
                continue
            capacity = record.summary.deployments.get(name)
            addresses = self.addresses(zone)
            if capacity is not None and capacity.whole_replicas and addresses:
                found.append(RemoteZone(zone, addresses, capacity.free_slots, record.created_ms))
        return found

    def for_service(self, name):
        """Return the other zones with endpoints of a service, nearest first."""
        return [
            RemoteZone(zone, self.addresses(zone), 0, record.created_ms)
            for zone in self.adoption.zones_by_distance(self.peers.own.zone)
            if (record := self.adoption.records.get(zone)) is not None
            and record.summary.services.get(name)
            and self.addresses(zone)
        ]

    def addresses(self, zone):
        """Return the peer addresses of daemons that serve `zone`, except draining ones.

        These are the daemons in the zone's summary and the known peers there that aren't dead.
        """
        record = self.adoption.records.get(zone)
        summarised = record.summary.daemons if record is not None else []
        direct = [r.info for r in self.peers.live(zone)]
        return tuple({i.address: i for i in [*direct, *summarised] if not i.draining})
