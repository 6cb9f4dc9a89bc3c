"""State of the other daemons, aggregated by zone; performs no I/O.

The first daemons of an availability zone, by name, are its hubs. Each daemon sends its digest
to the hubs of its zone, which respond with the aggregate of the other digests; hubs also
exchange these aggregates with the hubs of other zones. The amount of data that a daemon sends
and holds thus grows with the number of zones, for a hub also with the size of its zone. A lost
message is replaced by the next one, and outdated messages are ignored.
"""

from collections import Counter
from dataclasses import dataclass

import msgspec

from corianderhaven.common import rendezvous_order

from ._digests import (
    Digest,
    DirectSummary,
    HeadDigest,
    PeerMessage,
    ZoneSummary,
    merge_heads,
    merge_suspects,
    without_summarized_fields,
)

DIGEST_VALIDITY_MS = 600.0  # several exchanges; older counts include requests that have ended
PEER_EXPIRY_MS = 10_000.0  # a silent peer is dropped then, unless the store lists it
HUBS_PER_ZONE = 2  # one can fail without interrupting the exchange in its zone
TOTALS_CACHE_MS = 20.0  # a fifth of the shortest exchange interval
TOTALS_MAX_AGE_MS = 100.0  # digests expire while no message arrives
CACHE_MS_PER_DAEMON = 3.0  # keeps a hub's work independent of the number of its members
MAX_CACHE_MS = 50.0
UNREACHABLE_MS = 1_000.0  # time until an unreachable daemon may be a hub again
ISSUER_UNREACHABLE_MS = 3_000.0  # or issue permits again, unless it has sent a message
NO_WORK = HeadDigest(0)


@dataclass
class Peer:
    """State of another daemon."""

    name: str
    address: str
    last_heard_ms: float
    zone: str = ""
    digest: Digest | None = None
    listed: bool = False
    unreachable_since_ms: float = -1e12
    feed_request: object = None


@dataclass(frozen=True)
class ReceivedSummary:
    """Summary of a zone with the local time at which it was computed."""

    summary: ZoneSummary
    made_ms: float


class PeerTable:
    """The other daemons, their digests and the zone summaries.

    Parameters
    ----------
    own_name : str
    clock : Clock
    zone : str
        Availability zone of this daemon.
    """

    def __init__(self, own_name, clock, zone=""):
        self.own_name = own_name
        self.clock = clock
        self.zone = zone
        self.peers = {}
        self.summaries = {}
        self.last_lost_ms = -1e12
        self.make_digest = lambda: Digest(own_name, "", zone=zone)
        self.on_suspects = lambda suspects, daemon: None
        self.on_unreachable = lambda unreachable, daemon: None
        self.on_opened = lambda opened: None
        self.on_leaving = lambda leaving, daemon: None
        self.on_peer_state = lambda digest: None
        self.on_parts = lambda parts: None
        self.on_limits = lambda limits, daemon: None
        self.on_evacuations = lambda evacuations, daemon: None
        self.make_feed_request = lambda peer_name: None
        self.answer_feed = lambda request: None
        self.on_feed = lambda feed, peer_name: None
        self.totals = {}
        self.totals_daemons = 0
        self.totals_ms = -1e12
        self.totals_outdated = True
        self.direct = None

    def set_listed_daemons(self, records):
        """Apply the list of daemons in the store, as (name, address, zone)."""
        listed = {name: rest for name, *rest in records if name != self.own_name}
        now = self.clock.now_ms()
        for name, (address, zone) in listed.items():
            peer = self.peers.get(name)
            if peer is None or peer.address != address:
                self.peers[name] = Peer(name, address, now, zone, listed=True)
                self.totals_outdated = True
        for peer in self.peers.values():
            peer.listed = peer.name in listed

    def receive(self, body):
        """Apply a message and return its sender, or None if this daemon sent it.

        Raises
        ------
        ValueError
            If the message can't be decoded.
        """
        try:
            message = msgspec.json.decode(body, type=PeerMessage)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise ValueError(str(error)) from None
        digest, now = message.digest, self.clock.now_ms()
        if digest.daemon == self.own_name:
            return None
        peer = self.peers.get(digest.daemon)
        if peer is None or peer.address != digest.address:
            peer = self.peers[digest.daemon] = Peer(digest.daemon, digest.address, now)
        peer.zone, peer.last_heard_ms, peer.digest = digest.zone, now, digest
        peer.unreachable_since_ms = -1e12
        self.totals_outdated = True
        self.on_peer_state(digest)
        self.on_parts(digest.parts)
        self.on_limits(digest.limits, peer.name)
        self.on_evacuations(digest.evacuations, peer.name)
        self._notify(digest, peer.name)
        for summary in message.zones:
            self._store_summary(summary, peer, now)
        peer.feed_request = message.feed_request
        if message.feed is not None:
            self.on_feed(message.feed, peer.name)
        return peer

    def message_to(self, peer):
        """Return the message body for a peer; only hubs include zone summaries."""
        zones = self._summaries_for(peer) if self.is_hub() else []
        request = self.make_feed_request(peer.name) if peer.zone == self.zone else None
        return msgspec.json.encode(PeerMessage(self._digest_for(peer), zones, request))

    def response_to(self, peer):
        """Return the response body for a peer, which considers this daemon a hub."""
        request, peer.feed_request = peer.feed_request, None
        feed = self.answer_feed(request) if request is not None else None
        message = PeerMessage(self._digest_for(peer), self._summaries_for(peer), feed=feed)
        return msgspec.json.encode(message)

    def targets(self):
        """Drop expired peers and return the peers to exchange digests with."""
        now = self.clock.now_ms()
        for name, peer in list(self.peers.items()):
            if not peer.listed and now - peer.last_heard_ms > PEER_EXPIRY_MS:
                del self.peers[name]
        own_hubs = [p for p in self.hubs(self.zone) if p is not None]
        if not self.is_hub():
            return own_hubs
        # Exchanges are bidirectional: of two zones, the hubs of the one first by name start them.
        zones = {p.zone for p in self.peers.values() if p.zone > self.zone}
        return own_hubs + [hub for zone in sorted(zones) for hub in self.hubs(zone)]

    def fleet_size(self):
        """Return the number of known daemons, including this one."""
        return 1 + len(self.peers)

    def zone_size(self):
        """Return the number of known daemons in this zone, including this one."""
        return 1 + sum(p.zone == self.zone for p in self.peers.values())

    def hub_count(self):
        """Return the number of hubs in all zones."""
        sizes = Counter(p.zone for p in self.peers.values())
        sizes[self.zone] += 1
        return sum(min(size, HUBS_PER_ZONE) for size in sizes.values())

    def permit_issuer(self, endpoint_id, zone, silent_ms=0.0):
        """Return the peer that issues the permits of an endpoint; None stands for this daemon.

        It is a hub of the endpoint's zone, or of another one if none of that zone is reachable.

        Parameters
        ----------
        silent_ms : float
            An unreachable peer remains the issuer until it has sent nothing for this time.
        """
        zones = {p.zone for p in self.peers.values()} | {self.zone}
        others = rendezvous_order(zones - {zone}, endpoint_id)
        candidates = (self.hubs(z, ISSUER_UNREACHABLE_MS, silent_ms) for z in (zone, *others))
        hubs = {
            p.name if p is not None else self.own_name: p for p in next(filter(None, candidates))
        }
        return hubs[rendezvous_order(hubs, endpoint_id)[0]]

    def is_permit_issuer(self, endpoint_id, zone, silent_ms=0.0):
        """Return whether this daemon issues the permits of an endpoint, as far as it knows."""
        return self.permit_issuer(endpoint_id, zone, silent_ms) is None

    def hubs(self, zone, unreachable_ms=UNREACHABLE_MS, silent_ms=0.0):
        """Return the known hubs of a zone; None stands for this daemon.

        Daemons that were found unreachable within `unreachable_ms` are left out, unless they have
        sent something within `silent_ms`.
        """
        now = self.clock.now_ms()
        named = {
            p.name: p
            for p in self.peers.values()
            if p.zone == zone
            and (now - p.unreachable_since_ms > unreachable_ms or now - p.last_heard_ms < silent_ms)
        }
        if zone == self.zone:
            named[self.own_name] = None
        return [named[name] for name in sorted(named)[:HUBS_PER_ZONE]]

    def is_hub(self):
        """Return whether this daemon is a hub of its zone."""
        return None in self.hubs(self.zone)

    def is_first_hub(self):
        """Return whether this daemon is a hub of its zone even when all daemons are reachable."""
        names = [p.name for p in self.peers.values() if p.zone == self.zone]
        return sum(name < self.own_name for name in names) < HUBS_PER_ZONE

    def is_first_by_name(self):
        """Return whether this daemon is the first of its zone even when all are reachable."""
        return not any(p.zone == self.zone and p.name < self.own_name for p in self.peers.values())

    def is_first_reachable(self):
        """Return whether all daemons of this zone that come before this one are unreachable."""
        return self.hubs(self.zone)[0] is None

    def knows_keeper(self):
        """Return whether a daemon has just reported that it is the keeper and holds its lease."""
        return any(p.digest.holds_lease for p in self.fresh_peers())

    def mark_unreachable(self, peer):
        """Record that a peer is unreachable, so that another daemon replaces it as hub."""
        peer.unreachable_since_ms = self.last_lost_ms = self.clock.now_ms()

    def fresh_peers(self):
        """Return the peers whose latest digest is still valid."""
        now = self.clock.now_ms()
        return [
            p
            for p in self.peers.values()
            if p.digest is not None and now - p.last_heard_ms < DIGEST_VALIDITY_MS
        ]

    def reachable_peers(self):
        """Return the peers that were not found unreachable lately."""
        now = self.clock.now_ms()
        return [p for p in self.peers.values() if now - p.unreachable_since_ms > UNREACHABLE_MS]

    def daemons_without(self, service):
        """Return the names of the daemons that report that they reach no endpoint of a service."""
        now = self.clock.now_ms()
        names = {p.name for p in self.fresh_peers() if service in p.digest.lost_services}
        for received in self.summaries.values():
            if now - received.made_ms < DIGEST_VALIDITY_MS:
                lost = received.summary.lost_services
                names.update(name for name, services in lost.items() if service in services)
        return names - {self.own_name}

    def reporting_daemons(self):
        """Return the number of other daemons whose current load is known."""
        self._current_totals()
        return self.totals_daemons

    def all_peers_reporting(self):
        """Return whether the current load of all known daemons is known."""
        return self.reporting_daemons() >= len(self.peers)

    def store_outage_confirmed(self):
        """Return whether all known peers have just reported that they can't reach the store."""
        if not self.peers:
            return False
        summaries = {s.zone: s for s in self._valid_summaries()}
        if any(p.zone not in summaries for p in self.peers.values()):
            return False
        return all(
            s.complete and not s.store_reachable and s.age_ms < DIGEST_VALIDITY_MS
            for s in summaries.values()
        )

    def peer_requests_at(self, head_id):
        """Return the number of requests that other daemons have in flight at a head."""
        reported = self._current_totals().get(head_id)
        return reported.own if reported is not None else 0

    def peer_work_at(self, head_id):
        """Return a `HeadDigest` of the requests and the work of other daemons at a head."""
        return self._current_totals().get(head_id, NO_WORK)

    def last_activity_ms(self, head_id):
        """Return the time at which a peer last saw activity of a head, or None."""
        reported = self._current_totals().get(head_id)
        if reported is None or reported.sign_age_ms < 0.0:
            return None
        return self.totals_ms - reported.sign_age_ms

    def _digest_for(self, peer):
        digest = self.make_digest()
        return digest if peer.zone == self.zone else without_summarized_fields(digest)

    def _summaries_for(self, peer):
        """Return the zone summaries that a peer can't compute itself."""
        if peer.zone != self.zone:
            return [self._zone_summary()]
        now = self.clock.now_ms()
        others = [
            self._with_current_ages(received)
            for zone, received in self.summaries.items()
            if zone != self.zone and now - received.made_ms < DIGEST_VALIDITY_MS
        ]
        return [self._zone_summary(peer.name), *others]

    def _notify(self, reported, sender):
        if reported.suspects:
            self.on_suspects(reported.suspects, sender)
        if reported.unreachable:
            self.on_unreachable(reported.unreachable, sender)
        if reported.opened:
            self.on_opened(reported.opened)
        if reported.leaving:
            self.on_leaving(reported.leaving, sender)

    def _store_summary(self, summary, peer, now):
        self._notify(summary, peer.name)
        received = ReceivedSummary(summary, now - summary.made_ms)
        known = self.summaries.get(summary.zone)
        if known is None or self._is_preferred(received, known, now):
            self.summaries[summary.zone] = received

    def _is_preferred(self, received, known, now):
        """Return whether to replace the known summary by the received one.

        A recent summary is replaced only by one that covers more daemons, or as many daemons
        and is at least as new.
        """
        if now - known.made_ms >= DIGEST_VALIDITY_MS / 2:
            return received.made_ms > known.made_ms
        new, old = received.summary.daemons, known.summary.daemons
        return (new, received.made_ms) >= (old, known.made_ms)

    def _with_current_ages(self, received):
        """Return a summary with its ages brought up to the current time."""
        now = self.clock.now_ms()
        elapsed_ms = now - received.made_ms - received.summary.made_ms
        heads, suspects, unreachable = {}, {}, {}
        merge_heads(heads, received.summary.heads, elapsed_ms)
        merge_suspects(suspects, received.summary.suspects, elapsed_ms)
        merge_suspects(unreachable, received.summary.unreachable, elapsed_ms)
        return msgspec.structs.replace(
            received.summary,
            age_ms=received.summary.age_ms + elapsed_ms,
            made_ms=now - received.made_ms,
            heads=heads,
            suspects=suspects,
            unreachable=unreachable,
        )

    def _zone_summary(self, requester=None):
        """Summarize this zone, including this daemon and excluding the requester.

        The sum over all members is computed once for several requesters, and each one's own part
        is taken off.
        """
        now = self.clock.now_ms()
        if self.direct is None or now - self.direct.computed_ms >= self._cache_ms():
            valid = self._valid_members()
            digests = {p.name: p.digest for p in valid}
            self.direct = DirectSummary(self._summarize_direct_digests(valid), digests, now)
        summary = self.direct.without(requester)
        summary.made_ms = now - self.direct.computed_ms
        own = self.make_digest()
        merge_heads(summary.heads, own.heads)
        summary.daemons += 1
        summary.store_reachable = summary.store_reachable or own.store_reachable
        merge_suspects(summary.suspects, own.suspects)
        merge_suspects(summary.unreachable, own.unreachable)
        summary.opened.update(own.opened)
        summary.leaving.update(own.leaving)
        if own.lost_services:
            summary.lost_services[self.own_name] = own.lost_services
        return summary

    def _valid_members(self):
        """Return the other daemons of this zone whose digests are valid."""
        now = self.clock.now_ms()
        return [
            p
            for p in self.peers.values()
            if p.zone == self.zone
            and p.digest is not None
            and now - p.last_heard_ms < DIGEST_VALIDITY_MS
        ]

    def _summarize_direct_digests(self, valid):
        """Summarize the digests of the daemons `valid` of this zone."""
        now = self.clock.now_ms()
        members = sum(p.zone == self.zone for p in self.peers.values())
        summary = ZoneSummary(self.zone, len(valid), len(valid) == members, False)
        for peer in valid:
            age_ms = now - peer.last_heard_ms
            merge_heads(summary.heads, peer.digest.heads, age_ms)
            merge_suspects(summary.suspects, peer.digest.suspects, age_ms)
            merge_suspects(summary.unreachable, peer.digest.unreachable, age_ms)
            summary.opened.update(peer.digest.opened)
            summary.leaving.update(peer.digest.leaving)
            if peer.digest.lost_services:
                summary.lost_services[peer.name] = peer.digest.lost_services
            summary.age_ms = max(summary.age_ms, age_ms)
        summary.store_reachable = any(p.digest.store_reachable for p in valid)
        return summary

    def _valid_summaries(self):
        """Return the valid summaries of all zones, excluding this daemon itself."""
        now = self.clock.now_ms()
        reported = {
            zone: self._with_current_ages(received)
            for zone, received in self.summaries.items()
            if now - received.made_ms < DIGEST_VALIDITY_MS
        }
        direct = self._summarize_direct_digests(self._valid_members())
        known = reported.get(self.zone)
        if known is None or direct.daemons >= known.daemons:
            reported[self.zone] = direct
        return list(reported.values())

    def _cache_ms(self):
        return min(max(TOTALS_CACHE_MS, CACHE_MS_PER_DAEMON * self.zone_size()), MAX_CACHE_MS)

    def _current_totals(self):
        """Return the requests per head of all zones, as of the latest messages."""
        now = self.clock.now_ms()
        max_age_ms = self._cache_ms() if self.totals_outdated else TOTALS_MAX_AGE_MS
        if now - self.totals_ms >= max_age_ms:
            self.totals_outdated = False
            self.totals, self.totals_daemons = {}, 0
            for summary in self._valid_summaries():
                merge_heads(self.totals, summary.heads)
                self.totals_daemons += summary.daemons
            self.totals_ms = now
        return self.totals
