"""The availability zones that this daemon serves, and summaries of the others."""

import threading
from dataclasses import dataclass

from ._messages import ZoneSummary

ZONE_DEAD_AFTER_MS = 8_000.0
MAX_SUMMARIES = 4


@dataclass
class ZoneRecord:
    """The most recent summary of another zone and its local creation time."""

    summary: ZoneSummary
    created_ms: float


class ZoneAdoption:
    """Adopts a zone without live daemons if this zone is the nearest one that has any.

    Parameters
    ----------
    clock : Clock
    peers : PeerTable
    holder : ConfigHolder
    decisions : DecisionLog
    """

    def __init__(self, clock, peers, holder, decisions):
        self.clock = clock
        self.peers = peers
        self.holder = holder
        self.decisions = decisions
        self.records = {}
        self.adopted = set()
        self.lock = threading.Lock()

    def update_summary(self, summary):
        """Store a summary unless a more recent one of that zone is known."""
        created_ms = self.clock.now_ms() - summary.age_ms
        if summary.zone == self.peers.own.zone:
            return
        with self.lock:
            known = self.records.get(summary.zone)
            if known is None or known.created_ms < created_ms:
                self.records[summary.zone] = ZoneRecord(summary, created_ms)

    def summaries(self):
        """Return the most recent summaries of other zones, with their ages."""
        now = self.clock.now_ms()
        with self.lock:
            records = sorted(self.records.values(), key=lambda r: r.created_ms, reverse=True)
        return [
            ZoneSummary(
                r.summary.zone,
                int(now - r.created_ms),
                r.summary.daemons,
                r.summary.deployments,
                r.summary.services,
            )
            for r in records[:MAX_SUMMARIES]
        ]

    def is_zone_live(self, zone):
        """Return whether a daemon of `zone` was recently known to be alive."""
        if zone == self.peers.own.zone:
            return True
        if any(not record.info.draining for record in self.peers.live(zone)):
            return True
        record = self.records.get(zone)
        return record is not None and self.clock.now_ms() - record.created_ms < ZONE_DEAD_AFTER_MS

    def zones_by_distance(self, zone):
        """Return the other zones of the document, nearest to `zone` first."""
        document = self.holder.document
        zones = document.zones if document else []
        if zone not in zones:
            return []
        position = zones.index(zone)
        others = [other for other in zones if other != zone]
        return sorted(others, key=lambda other: (abs(zones.index(other) - position), other))

    def update(self):
        """Adopt zones without live daemons, and hand back those that have live daemons again."""
        document = self.holder.document
        uptime_ms = self.clock.now_ms() - self.peers.started_ms
        if document is None or uptime_ms < ZONE_DEAD_AFTER_MS:
            return
        adopted = {zone for zone in document.zones if self._should_adopt(zone)}
        for zone in adopted - self.adopted:
            self.decisions.record("zone_adopted", zone=zone, by=self.peers.own.name)
        for zone in self.adopted - adopted:
            self.decisions.record("zone_handed_back", zone=zone, by=self.peers.own.name)
        self.adopted = adopted

    def _should_adopt(self, zone):
        if self.is_zone_live(zone) or self.peers.isolated():
            return False
        nearest_live = next((z for z in self.zones_by_distance(zone) if self.is_zone_live(z)), None)
        return nearest_live == self.peers.own.zone

    def served_zones(self):
        """Return this daemon's own zone and the adopted ones."""
        return {self.peers.own.zone, *self.adopted}
