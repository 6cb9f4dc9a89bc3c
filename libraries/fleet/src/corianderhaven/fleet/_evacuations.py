"""Availability zones that the operator evacuates; performs no I/O.

Addresses the load of an evacuation: within a second, every daemon of a site has to stop sending to
a whole zone, whether or not it reads the store itself, and must not resume because a message is
old, the store is unavailable or was restored from a copy.
"""

import msgspec

# The operator writes an item again within seconds if a restored store has lost it.
RESTORE_HOLD_MS = 10_000.0
MAX_ENDED = 64  # bounds the size of digests; several times the zones of the largest site
MAX_ZONE_LENGTH = 128  # in characters; longer names come from no platform
MAX_NUMBER = 2**63 - 1


class EvacuationRecord(msgspec.Struct, array_like=True, frozen=True):
    """Latest known state of a zone, with its position in the store's history.

    Parameters
    ----------
    evacuated : bool
        Whether the zone is evacuated; if not, an evacuation has ended.
    era, revision : int
        Position at which the operator's item was written or deleted, or was found missing.
    """

    evacuated: bool
    era: int
    revision: int

    @property
    def position(self):
        """Era and revision."""
        return (self.era, self.revision)


class Evacuations:
    """Latest known state of the zones, from the store and from other daemons.

    The state with the higher position wins, whichever way it arrives. A daemon that reads the store
    also learns from the absence of an item: it ends an evacuation of the same era, and one of an
    earlier era once the item has been missing for `RESTORE_HOLD_MS`, as a restored store may have
    lost it.

    Parameters
    ----------
    clock : Clock
    decisions : DecisionLog

    Attributes
    ----------
    zones : frozenset of str
        Zones that are evacuated.
    version : int
        Rises when `zones` changes.
    on_begun : list of callable
        Called with a zone and the position of its state when its evacuation begins.
    on_ended : list of callable
        Called likewise when an evacuation ends that was known here.
    """

    def __init__(self, clock, decisions):
        self.clock = clock
        self.decisions = decisions
        self.zones = frozenset()
        self.version = 0
        self.on_begun = []
        self.on_ended = []
        self.known = {}
        self.present = set()  # zones of the items in the store, as of `read_position`
        self.read_position = None
        self.missing = {}  # era of the store that lacks a zone's item, and since when

    def is_evacuated(self, zone):
        """Return whether no request may be sent to endpoints of a zone."""
        return zone in self.zones

    def records(self):
        """Return the `EvacuationRecord`s of all zones, by zone."""
        return dict(self.known)

    def observe(self, zone, evacuated, position):
        """Apply a change of a zone's item that a watch of the store returned.

        A watch repeats changes from before the latest listing, which shows what came of them.
        """
        if self.read_position is None or position > self.read_position:
            self._observe(zone, evacuated, position)

    def apply_listing(self, revisions, position):
        """Apply a listing of the operator's items, by zone, as of a position in the store."""
        self.present = set()
        for zone, revision in revisions.items():
            self._observe(zone, True, (position[0], revision))
        self.note_read(position)

    def note_read(self, position):
        """Take note that the changes up to a position were read; end what the store lacks."""
        self.read_position = max(position, self.read_position or position)
        for zone in self.zones - self.present:
            self._settle(zone)

    def forget_reading(self):
        """Go by other daemons from now on, as this one reads the store no longer."""
        self.read_position = None
        self.present = set()
        self.missing = {}

    def merge(self, records, source):
        """Take over what another daemon knows.

        Parameters
        ----------
        records : dict of str to EvacuationRecord
        source : str
            Name of the daemon.
        """
        for zone, record in records.items():
            if _is_valid(zone, record.position):
                self._apply(zone, record.evacuated, record.position, source)

    def _observe(self, zone, evacuated, position):
        if not _is_valid(zone, position):
            return
        if evacuated:
            self.present.add(zone)
        else:
            self.present.discard(zone)
        self._apply(zone, evacuated, position, "store")

    def _settle(self, zone):
        """End an evacuation whose item the store lacks, after a restore only when that lasts."""
        record = self.known[zone]
        if record.position > self.read_position:
            return  # told by a daemon that has read more
        era, _ = self.read_position
        if record.era < era and not self._is_missing_for_long(zone, era):
            return
        self._apply(zone, False, self.read_position, "absence")

    def _is_missing_for_long(self, zone, era):
        now = self.clock.now_ms()
        missing_era, since_ms = self.missing.get(zone, (None, now))
        if missing_era != era:
            self.missing[zone] = (era, now)
            self.decisions.record("evacuation_missing", zone=zone, era=era)
            return False
        return now - since_ms >= RESTORE_HOLD_MS

    def _apply(self, zone, evacuated, position, source):
        known = self.known.get(zone)
        if known is not None and position <= known.position:
            return
        if evacuated and self._is_known_deleted(zone, position):
            return
        self.known[zone] = EvacuationRecord(evacuated, *position)
        self.missing.pop(zone, None)
        if evacuated != (zone in self.zones):
            self._change(zone, evacuated, position, source)
        self._drop_oldest_ended()

    def _is_known_deleted(self, zone, position):
        """Return whether this daemon has read the store beyond an item, which wasn't there."""
        if self.read_position is None or zone in self.present:
            return False
        return position[0] == self.read_position[0] and position <= self.read_position

    def _change(self, zone, evacuated, position, source):
        self.zones = self.zones | {zone} if evacuated else self.zones - {zone}
        self.version += 1
        era, revision = position
        self.decisions.record(
            "evacuation_begun" if evacuated else "evacuation_ended",
            zone=zone,
            era=era,
            revision=revision,
            source=source,
        )
        for listener in self.on_begun if evacuated else self.on_ended:
            listener(zone, position)

    def _drop_oldest_ended(self):
        ended = [zone for zone, record in self.known.items() if not record.evacuated]
        if len(ended) > MAX_ENDED:
            del self.known[min(ended, key=lambda zone: self.known[zone].position)]


def _is_valid(zone, position):
    in_range = all(0 <= number <= MAX_NUMBER for number in position)
    return bool(zone) and len(zone) <= MAX_ZONE_LENGTH and in_range
