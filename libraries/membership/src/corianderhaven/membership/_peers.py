"""Known peer daemons and failure detection."""

import enum
import threading
from dataclasses import dataclass, field

from corianderhaven.common import rendezvous_order

from ._messages import HeardPeer, PeerInfo

SUSPECT_AFTER_MS = 3_000.0
DEAD_AFTER_MS = 6_000.0
REMOVE_AFTER_MS = 120_000.0
DEAD_AFTER_REFUSALS = 2
MAX_HEARD_ENTRIES = 8
INSTANCE_SUFFIX_LENGTH = 6


class PeerState(enum.StrEnum):
    """Liveness of a peer as seen by this daemon."""

    LIVE = "live"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass
class PeerRecord:
    """One known peer.

    Attributes
    ----------
    heard_ms : float
        Local monotonic time at which the peer was last known to be alive.
    refusals : int
        Consecutive refused connections since then.
    revision : int
        Configuration revision that the peer itself last reported.
    in_flight, accounts : dict of str to int
        Its own requests by replica and by client account, as it last reported itself.
    reported_ms : float
        Local monotonic time of its last direct report.
    """

    info: PeerInfo
    heard_ms: float
    refusals: int = 0
    revision: int = 0
    vms_stamp: int = 0
    fact_version: int = 0
    worst_age_ms: int = 0
    in_flight: dict = field(default_factory=dict)
    accounts: dict = field(default_factory=dict)
    reported_ms: float = float("-inf")


class PeerTable:
    """Peers in this daemon's zone, and a few in each other zone.

    Parameters
    ----------
    clock : Clock
    own : PeerInfo
        This daemon.
    """

    def __init__(self, clock, own):
        self.clock = clock
        self.own = own
        self.records = {}
        self.lock = threading.RLock()
        self.started_ms = clock.now_ms()
        self.platform_reachable = lambda: False

    def update_info(self, info):
        """Add or update a peer; an earlier instance never replaces a later one."""
        if info.name == self.own.name:
            return
        with self.lock:
            known = self.records.get(info.name)
            if known is None or info.started_ms > known.info.started_ms:
                self.records[info.name] = PeerRecord(info, self.clock.now_ms())
            elif info.instance == known.info.instance:
                known.info.draining = known.info.draining or info.draining

    def record_heard(self, heard):
        """Record a `HeardPeer`; return whether it is newer information on a known instance."""
        heard_ms = self.clock.now_ms() - heard.age_ms
        with self.lock:
            record = self.records.get(heard.name)
            if record is None or not record.info.instance.endswith(heard.instance):
                return False
            if heard_ms <= record.heard_ms and heard.age_ms:
                return False
            record.heard_ms = max(heard_ms, record.heard_ms)
            record.refusals = 0
            record.fact_version = heard.fact_version
            record.worst_age_ms = heard.worst_age_ms
            return True

    def record_refusal(self, name):
        """Record that a peer's address refused a connection."""
        with self.lock:
            if name in self.records:
                self.records[name].refusals += 1

    def state(self, record):
        """Return the `PeerState` of a record."""
        silent_ms = self.clock.now_ms() - record.heard_ms
        gone = silent_ms > DEAD_AFTER_MS and not self.isolated()
        if gone or record.refusals >= DEAD_AFTER_REFUSALS:
            return PeerState.DEAD
        return PeerState.SUSPECTED if silent_ms > SUSPECT_AFTER_MS else PeerState.LIVE

    def isolated(self):
        """Return whether neither a peer nor the platform was reached recently.

        The fault is then likely on this daemon's side, so silent peers are not declared dead.
        """
        if self.platform_reachable():
            return False
        now = self.clock.now_ms()
        return bool(self.records) and all(
            now - record.heard_ms > SUSPECT_AFTER_MS for record in self.records.values()
        )

    def known(self, zone=None):
        """Return the records of a zone, or of all zones."""
        with self.lock:
            records = list(self.records.values())
        return [record for record in records if zone in (None, record.info.zone)]

    def live(self, zone=None):
        """Return the records of a zone, or of all zones, that are not dead."""
        return [r for r in self.known(zone) if self.state(r) is not PeerState.DEAD]

    def job_candidates(self, zone):
        """Return the names of daemons in `zone` that are live and not draining, self included."""
        names = [r.info.name for r in self.live(zone) if not r.info.draining]
        if self.own.zone == zone and not self.own.draining:
            names.append(self.own.name)
        return sorted(names)

    def is_ranked(self, job, count, candidates=None):
        """Return whether this daemon is among the first `count` for `job` by rendezvous hashing.

        The candidates default to the live daemons of its zone that are not draining.
        """
        names = self.job_candidates(self.own.zone) if candidates is None else candidates
        return self.own.name in rendezvous_order(names, job)[:count]

    def recently_heard(self):
        """Return the most recently heard peers in this daemon's zone, for a digest."""
        now = self.clock.now_ms()
        records = sorted(self.live(self.own.zone), key=lambda r: r.heard_ms, reverse=True)
        return [
            HeardPeer(
                r.info.name,
                r.info.instance[-INSTANCE_SUFFIX_LENGTH:],
                int(now - r.heard_ms),
                r.fact_version,
                r.worst_age_ms,
            )
            for r in records[:MAX_HEARD_ENTRIES]
        ]

    def remove_expired(self):
        """Remove peers that have not been heard for `REMOVE_AFTER_MS`."""
        limit = self.clock.now_ms() - REMOVE_AFTER_MS
        with self.lock:
            if self.isolated():
                return
            for name in [n for n, r in self.records.items() if r.heard_ms < limit]:
                del self.records[name]
