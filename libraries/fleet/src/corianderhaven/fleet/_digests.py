"""Messages between daemons: requests in flight, activity and suspected failures of heads."""

import math
from dataclasses import dataclass

import msgspec

from ._evacuations import EvacuationRecord
from ._feed import Feed, FeedRequest

DIGEST_PATH = "/peer/digest"


class HeadDigest(msgspec.Struct, array_like=True, omit_defaults=True):
    """Requests in flight at a head, and the age of the last activity seen from it.

    Parameters
    ----------
    own : int
        Requests in flight from the reporting daemon, or from all daemons of a summary.
    sign_age_ms : float
        Age of the last activity seen from the head; negative if there was none.
    prefill_tokens, held_tokens : int
        Prompt tokens of these requests that the head has yet to prefill, and tokens that the
        requests hold in its memory; 0 from daemons that don't count work.
    """

    own: int
    sign_age_ms: float = -1.0
    prefill_tokens: int = 0
    held_tokens: int = 0

    def copy(self):
        """Return a copy."""
        return HeadDigest(self.own, self.sign_age_ms, self.prefill_tokens, self.held_tokens)

    def add_work(self, other, sign=1):
        """Add the requests and the work of another digest of the head, or take them off."""
        self.own += sign * other.own
        self.prefill_tokens += sign * other.prefill_tokens
        self.held_tokens += sign * other.held_tokens


class PartRecord(msgspec.Struct, array_like=True):
    """Evidence on whether a part of a prompt ends the endpoints that answer it.

    Parameters
    ----------
    ends : dict of str to float
        Incarnations of endpoints that ended while an answer on the part was in its opening phase,
        with the ages of these ends in ms.
    cleared_age_ms : float
        Time since a sound answer on the part began; negative if none is known.
    """

    ends: dict[str, float] = {}
    cleared_age_ms: float = -1


class LimitRecord(msgspec.Struct, array_like=True):
    """Limit on requests per second that an incarnation of an endpoint has named.

    Parameters
    ----------
    started_ms : int
        Start time of the incarnation.
    rate_per_s : float or None
        None once the limit has ended.
    age_ms : float
        Age of the evidence.
    """

    started_ms: int
    rate_per_s: float | None = None
    age_ms: float = 0.0


class Digest(msgspec.Struct):
    """State that a daemon reports about itself.

    Parameters
    ----------
    suspects : dict of str to float
        Heads that this daemon itself suspects to have failed, with the age of the suspicion in
        ms. Suspicions received from other daemons are left out: they would return to their
        origin and be renewed there.
    unreachable : dict of str to float
        Heads that this daemon could not connect to though it reaches others, with the age in ms.
        The path may be at fault, so others go on using them, and the keeper looks at them.
    opened : dict of str to (str, int, int)
        Heads that the keeper opened recently or while the store was unreachable, with replica,
        generation and start time of the head in ms. Their entries in the store appear later or
        not at all.
    era : int
        Latest era of the store that this daemon has seen.
    tenure : int
        Latest tenure of a keeper that this daemon has seen.
    config_version : int
        Version of the configuration in force at this daemon; 0 without one.
    leaving : dict of str to int
        Endpoints that said recently that they leave, with their start times in ms.
    parts : dict of str to PartRecord
        Evidence about parts of prompts, the daemon's own and what it has from others.
    limits : dict of str to LimitRecord
        Limits of endpoints that have changed recently, by endpoint id, like `parts`.
    lost_services : list of str
        Services of which this daemon reaches no endpoint.
    evacuations : dict of str to EvacuationRecord
        State of zones that are or were evacuated, by zone: all that the daemon knows each time.
    holds_lease : bool
        Whether this daemon is the keeper and has renewed its lease in time.
    """

    daemon: str
    address: str
    heads: dict[str, HeadDigest] = {}
    suspects: dict[str, float] = {}
    store_reachable: bool = True
    opened: dict[str, tuple[str, int, int]] = {}
    zone: str = ""
    era: int = 0
    tenure: int = 0
    config_version: int = 0
    leaving: dict[str, int] = {}
    parts: dict[str, PartRecord] = {}
    limits: dict[str, LimitRecord] = {}
    lost_services: list[str] = []
    unreachable: dict[str, float] = {}
    evacuations: dict[str, EvacuationRecord] = {}
    holds_lease: bool = False


class ZoneSummary(msgspec.Struct):
    """Aggregated state of the daemons of an availability zone.

    Parameters
    ----------
    daemons : int
        Number of daemons whose recent digests are included.
    complete : bool
        Whether all daemons that are known in the zone are included, except the one that
        receives the summary.
    store_reachable : bool
        Whether any of these daemons reaches the store.
    age_ms : float
        Age of the oldest included digest.
    made_ms : float
        Time since a daemon of the zone computed the summary.
    lost_services : dict of str to list of str
        Daemons that reach no endpoint of some services, with these services.
    """

    zone: str
    daemons: int = 0
    complete: bool = False
    store_reachable: bool = True
    age_ms: float = 0.0
    made_ms: float = 0.0
    heads: dict[str, HeadDigest] = {}
    suspects: dict[str, float] = {}
    opened: dict[str, tuple[str, int, int]] = {}
    leaving: dict[str, int] = {}
    lost_services: dict[str, list[str]] = {}
    unreachable: dict[str, float] = {}


def without_summarized_fields(digest):
    """Return a digest without the fields whose contents zone summaries contain."""
    return Digest(
        digest.daemon,
        digest.address,
        store_reachable=digest.store_reachable,
        zone=digest.zone,
        era=digest.era,
        tenure=digest.tenure,
        config_version=digest.config_version,
        parts=digest.parts,
        limits=digest.limits,
        evacuations=digest.evacuations,
        holds_lease=digest.holds_lease,
    )


class PeerMessage(msgspec.Struct, omit_defaults=True):
    """Request or response of an exchange between two daemons.

    Parameters
    ----------
    feed_request : FeedRequest or None
        Asks the receiver for changes in the store.
    feed : Feed or None
        Answer to such a request.
    """

    digest: Digest
    zones: list[ZoneSummary] = []
    feed_request: FeedRequest | None = None
    feed: Feed | None = None


def merge_heads(total, heads, age_ms=0.0):
    """Add the requests of `heads` to `total`; the most recent activity is kept."""
    for head_id, reported in heads.items():
        # Fractions of a millisecond would make up half of a message's size.
        current_age_ms = round(reported.sign_age_ms + age_ms) if reported.sign_age_ms >= 0.0 else -1
        known = total.get(head_id)
        if known is None:
            total[head_id] = reported.copy()
            total[head_id].sign_age_ms = current_age_ms
            continue
        known.add_work(reported)
        if current_age_ms >= 0.0 and not 0.0 <= known.sign_age_ms <= current_age_ms:
            known.sign_age_ms = current_age_ms


def merge_suspects(total, suspects, age_ms=0.0):
    """Add suspicions to `total`; the most recent one of each head is kept."""
    for head_id, suspected_age_ms in suspects.items():
        current_age_ms = round(suspected_age_ms + age_ms)
        total[head_id] = min(total.get(head_id, current_age_ms), current_age_ms)


def merge_parts(total, parts, age_ms=0.0):
    """Add evidence about parts to `total`: the oldest age of each end, the last sound answer.

    Parameters
    ----------
    total, parts : dict of str to PartRecord
        `parts` is left unchanged.
    age_ms : float
        Time since `parts` was received.
    """
    for part, reported in parts.items():
        known = total.setdefault(part, PartRecord({}))
        # Rounded down: an end must not get older with each exchange.
        for incarnation, ended_age_ms in reported.ends.items():
            current_age_ms = math.floor(ended_age_ms + age_ms)
            known.ends[incarnation] = max(known.ends.get(incarnation, 0), current_age_ms)
        if reported.cleared_age_ms >= 0.0:
            cleared_age_ms = math.floor(reported.cleared_age_ms + age_ms)
            if not 0.0 <= known.cleared_age_ms <= cleared_age_ms:
                known.cleared_age_ms = cleared_age_ms


@dataclass(frozen=True)
class DirectSummary:
    """Sum of the digests of a zone's other daemons, with these digests by daemon."""

    summary: ZoneSummary
    digests: dict
    computed_ms: float

    def without(self, daemon):
        """Return a copy without the requests, suspicions and reports of one daemon."""
        digest = self.digests.get(daemon)
        others = [d for name, d in self.digests.items() if name != daemon]
        summary = msgspec.structs.replace(
            self.summary,
            heads={i: head.copy() for i, head in self.summary.heads.items()},
            suspects=dict(self.summary.suspects),
            opened=dict(self.summary.opened),
            leaving=dict(self.summary.leaving),
            unreachable=dict(self.summary.unreachable),
            lost_services={n: s for n, s in self.summary.lost_services.items() if n != daemon},
        )
        if digest is None:
            return summary
        summary.daemons -= 1
        summary.store_reachable = any(other.store_reachable for other in others)
        for head_id, reported in digest.heads.items():
            summary.heads[head_id].add_work(reported, -1)
        own_suspects = digest.suspects.keys() - {i for other in others for i in other.suspects}
        for head_id in own_suspects:
            del summary.suspects[head_id]
        told_by_others = {i for other in others for i in other.unreachable}
        for head_id in digest.unreachable.keys() - told_by_others:
            del summary.unreachable[head_id]
        return summary
