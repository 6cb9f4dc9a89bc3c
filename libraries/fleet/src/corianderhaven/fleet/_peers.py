"""The other daemons and what they have told; decisions only.

The first daemons of an availability zone are its hubs. Each daemon tells its own digest to
the hubs of its zone, which answer with the sum of the others'; hubs also exchange these sums
with the hubs of other zones. A daemon so sends and holds an amount that grows with the
number of zones, a hub one that grows with its zone. A message that is lost is replaced by
the next, and what is old says nothing.
"""

from dataclasses import dataclass

import msgspec

from ._digests import Digest, PeerMessage, ZoneSummary, add_heads, add_suspects, without_load

FRESH_MS = 600.0  # several exchanges; older counts tell of requests that have ended
FORGET_MS = 10_000.0  # a peer unheard for so long is not sent to, unless the store names it
HUBS = 2  # one may be lost without a gap in what its zone hears
TOTALS_MS = 20.0  # a fifth of the shortest time between two exchanges
UNREACHED_MS = 1_000.0  # until a daemon that could not be reached may be a hub again


@dataclass
class Peer:
    """What is known of another daemon."""

    name: str
    address: str
    heard_ms: float
    zone: str = ""
    digest: Digest | None = None
    listed: bool = False
    unreached_ms: float = -1e12


@dataclass(frozen=True)
class HeardSummary:
    """A zone's summary with the time at which it was added up."""

    summary: ZoneSummary
    made_ms: float


class PeerTable:
    """The other daemons, their digests and the sums of zones.

    Parameters
    ----------
    own_name : str
    clock : Clock
    zone : str
        Own availability zone.
    """

    def __init__(self, own_name, clock, zone=""):
        self.own_name = own_name
        self.clock = clock
        self.zone = zone
        self.peers = {}
        self.summaries = {}
        self.make_digest = lambda: Digest(own_name, "", zone=zone)
        self.on_suspects = lambda head_ids, daemon: None
        self.on_opened = lambda opened: None
        self.totals = {}
        self.totals_heard = 0
        self.totals_ms = -1e12

    def set_listed_daemons(self, records):
        """Take over the daemons that the store lists, as (name, address, zone)."""
        listed = {name: rest for name, *rest in records if name != self.own_name}
        now = self.clock.now_ms()
        for name, (address, zone) in listed.items():
            peer = self.peers.get(name)
            if peer is None or peer.address != address:
                self.peers[name] = Peer(name, address, now, zone, listed=True)
        for peer in self.peers.values():
            peer.listed = peer.name in listed
        self.totals_ms = -1e12

    def receive(self, body):
        """Take over a message; returns its sender, or None for an own one.

        Raises
        ------
        ValueError
            When it can't be read.
        """
        try:
            message = msgspec.json.decode(body, type=PeerMessage)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(str(error)) from None
        digest, now = message.digest, self.clock.now_ms()
        if digest.daemon == self.own_name:
            return None
        peer = self.peers.get(digest.daemon)
        if peer is None or peer.address != digest.address:
            peer = self.peers[digest.daemon] = Peer(digest.daemon, digest.address, now)
        peer.zone, peer.heard_ms, peer.digest = digest.zone, now, digest
        peer.unreached_ms = -1e12
        self._hear(digest, peer.name)
        for summary in message.zones:
            self._take_summary(summary, peer, now)
        return peer

    def message_to(self, peer):
        """Return the body to send to a peer; only hubs tell more than of themselves."""
        zones = self._zones_for(peer) if self.is_hub() else []
        return msgspec.json.encode(PeerMessage(self._digest_for(peer), zones))

    def answer_to(self, peer):
        """Return the body that answers a peer, which takes this daemon for a hub."""
        return msgspec.json.encode(PeerMessage(self._digest_for(peer), self._zones_for(peer)))

    def targets(self):
        """Return the peers to exchange with, and forget those that are gone."""
        now = self.clock.now_ms()
        for name, peer in list(self.peers.items()):
            if not peer.listed and now - peer.heard_ms > FORGET_MS:
                del self.peers[name]
        own_hubs = [p for p in self.hubs(self.zone) if p is not None]
        if not self.is_hub():
            return own_hubs
        # An exchange goes both ways, so the hubs of the first of two zones begin it.
        zones = {p.zone for p in self.peers.values() if p.zone > self.zone}
        return own_hubs + [hub for zone in sorted(zones) for hub in self.hubs(zone)]

    def fleet_size(self):
        """Return how many daemons are known, this one included."""
        return 1 + len(self.peers)

    def zone_size(self):
        """Return how many daemons of this zone are known, this one included."""
        return 1 + sum(p.zone == self.zone for p in self.peers.values())

    def hubs(self, zone):
        """Return the hubs of a zone as far as known; None stands for this daemon."""
        now = self.clock.now_ms()
        named = {
            p.name: p
            for p in self.peers.values()
            if p.zone == zone and now - p.unreached_ms > UNREACHED_MS
        }
        if zone == self.zone:
            named[self.own_name] = None
        return [named[name] for name in sorted(named)[:HUBS]]

    def is_hub(self):
        """Return whether this daemon is a hub of its zone."""
        return None in self.hubs(self.zone)

    def note_unreached(self, peer):
        """Let another daemon be hub while this one can't be reached."""
        peer.unreached_ms = self.clock.now_ms()

    def fresh_peers(self):
        """Return the peers whose own latest digest still tells something."""
        now = self.clock.now_ms()
        return [
            p for p in self.peers.values() if p.digest is not None and now - p.heard_ms < FRESH_MS
        ]

    def reporting_daemons(self):
        """Return of how many other daemons the present load is known."""
        self._fresh_totals()
        return self.totals_heard

    def all_peers_reporting(self):
        """Return whether the present load of all known daemons is known."""
        return self.reporting_daemons() >= len(self.peers)

    def store_outage_confirmed(self):
        """Return whether all known peers have just said that the store is out of reach."""
        if not self.peers:
            return False
        summaries = {s.zone: s for s in self._fresh_summaries()}
        if any(p.zone not in summaries for p in self.peers.values()):
            return False
        return all(
            s.complete and not s.store_reachable and s.age_ms < FRESH_MS for s in summaries.values()
        )

    def peer_requests_at(self, head_id):
        """Return how many requests of other daemons are at a head."""
        told = self._fresh_totals().get(head_id)
        return told.own if told is not None else 0

    def last_activity_ms(self, head_id):
        """Return when a peer last saw a sign of life of a head, or None."""
        told = self._fresh_totals().get(head_id)
        if told is None or told.sign_age_ms < 0.0:
            return None
        return self.totals_ms - told.sign_age_ms

    def _digest_for(self, peer):
        digest = self.make_digest()
        return digest if peer.zone == self.zone else without_load(digest)

    def _zones_for(self, peer):
        """Return the sums that a peer can't add up itself."""
        if peer.zone != self.zone:
            return [self._own_summary()]
        now = self.clock.now_ms()
        others = [
            self._aged(heard)
            for zone, heard in self.summaries.items()
            if zone != self.zone and now - heard.made_ms < FRESH_MS
        ]
        return [self._own_summary(peer.name), *others]

    def _hear(self, told, teller):
        if told.suspects:
            self.on_suspects(told.suspects, teller)
        if told.opened:
            self.on_opened(told.opened)

    def _take_summary(self, summary, peer, now):
        self._hear(summary, peer.name)
        heard = HeardSummary(summary, now - summary.made_ms)
        known = self.summaries.get(summary.zone)
        if known is None or self._better(heard, known, now):
            self.summaries[summary.zone] = heard

    def _better(self, heard, known, now):
        """Prefer the newer sum, or while the known one is new the one over more daemons."""
        if now - known.made_ms >= FRESH_MS / 2:
            return heard.made_ms > known.made_ms
        new, old = heard.summary.daemons, known.summary.daemons
        return (new, heard.made_ms) >= (old, known.made_ms)

    def _aged(self, heard):
        """Return a summary with its ages as of now."""
        now = self.clock.now_ms()
        passed_ms = now - heard.made_ms - heard.summary.made_ms
        heads, suspects = {}, {}
        add_heads(heads, heard.summary.heads, passed_ms)
        add_suspects(suspects, heard.summary.suspects, passed_ms)
        return msgspec.structs.replace(
            heard.summary,
            age_ms=heard.summary.age_ms + passed_ms,
            made_ms=now - heard.made_ms,
            heads=heads,
            suspects=suspects,
        )

    def _own_summary(self, asker=None):
        """Add up this zone: the fresh digests heard here and the own one, but the asker's."""
        summary = self._direct_summary(asker)
        own = self.make_digest()
        add_heads(summary.heads, own.heads)
        summary.daemons += 1
        summary.store_reachable = summary.store_reachable or own.store_reachable
        add_suspects(summary.suspects, own.suspects)
        summary.opened.update(own.opened)
        return summary

    def _direct_summary(self, asker=None):
        """Add up the fresh digests that came straight from daemons of this zone."""
        now = self.clock.now_ms()
        members = [p for p in self.peers.values() if p.zone == self.zone and p.name != asker]
        fresh = [p for p in members if p.digest is not None and now - p.heard_ms < FRESH_MS]
        summary = ZoneSummary(self.zone, len(fresh), len(fresh) == len(members), False)
        for peer in fresh:
            age_ms = now - peer.heard_ms
            add_heads(summary.heads, peer.digest.heads, age_ms)
            add_suspects(summary.suspects, peer.digest.suspects, age_ms)
            summary.opened.update(peer.digest.opened)
            summary.age_ms = max(summary.age_ms, age_ms)
        summary.store_reachable = any(p.digest.store_reachable for p in fresh)
        return summary

    def _fresh_summaries(self):
        """Return what is known now of each zone but for this daemon itself."""
        now = self.clock.now_ms()
        told = {
            zone: self._aged(heard)
            for zone, heard in self.summaries.items()
            if now - heard.made_ms < FRESH_MS
        }
        direct = self._direct_summary()
        known = told.get(self.zone)
        if known is None or direct.daemons >= known.daemons:
            told[self.zone] = direct
        return list(told.values())

    def _fresh_totals(self):
        """Return the heads of all zones added up, kept for `TOTALS_MS`."""
        now = self.clock.now_ms()
        if now - self.totals_ms >= TOTALS_MS:
            self.totals, self.totals_heard = {}, 0
            for summary in self._fresh_summaries():
                add_heads(self.totals, summary.heads)
                self.totals_heard += summary.daemons
            self.totals_ms = now
        return self.totals
