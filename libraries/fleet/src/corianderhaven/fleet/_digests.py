"""What daemons tell each other: requests in flight, signs of life, suspicions."""

import msgspec

DIGEST_PATH = "/peer/digest"


class HeadDigest(msgspec.Struct, array_like=True):
    """Requests of one or several daemons at a head, and the age of its last sign of life.

    Parameters
    ----------
    sign_age_ms : float
        Negative when there was none.
    """

    own: int
    sign_age_ms: float = -1.0


class Digest(msgspec.Struct):
    """What one daemon tells of itself.

    Parameters
    ----------
    suspects : dict of str to float
        Heads that this daemon itself took for lost, with the age of that in ms. What it was
        reported by others is left out: they would hear their own word again and believe it anew.
    opened : dict of str to (str, int, int)
        Heads, with replica, generation and start of the head in ms, that the keeper opened
        lately or while the store was out of reach; entries tell of them later, or not at all.
    """

    daemon: str
    address: str
    heads: dict[str, HeadDigest] = {}
    suspects: dict[str, float] = {}
    store_reachable: bool = True
    opened: dict[str, tuple[str, int, int]] = {}
    zone: str = ""


class ZoneSummary(msgspec.Struct):
    """What a daemon knows of an availability zone, added up.

    Parameters
    ----------
    daemons : int
        Daemons whose fresh digests are added up.
    complete : bool
        Whether no daemon that the store lists in the zone is silent.
    store_reachable : bool
        Whether any of the daemons reaches the store.
    age_ms : float
        Age of the oldest digest in it.
    made_ms : float
        Time since a daemon of the zone added it up.
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


def without_summarized_fields(digest):
    """Return the part of a digest that a zone's summary doesn't hold."""
    return Digest(
        digest.daemon, digest.address, store_reachable=digest.store_reachable, zone=digest.zone
    )


class PeerMessage(msgspec.Struct):
    """One half of an exchange between two daemons."""

    digest: Digest
    zones: list[ZoneSummary] = []


def merge_heads(total, heads, age_ms=0.0):
    """Add the requests of `heads` to `total`; the latest sign of life counts."""
    for head_id, reported in heads.items():
        # Rounded: digits of a fraction of a ms are half of a message's bytes.
        current_age_ms = round(reported.sign_age_ms + age_ms) if reported.sign_age_ms >= 0.0 else -1
        known = total.get(head_id)
        if known is None:
            total[head_id] = HeadDigest(reported.own, current_age_ms)
            continue
        known.own += reported.own
        if current_age_ms >= 0.0 and not 0.0 <= known.sign_age_ms <= current_age_ms:
            known.sign_age_ms = current_age_ms


def merge_suspects(total, suspects, age_ms=0.0):
    """Add suspicions to `total`; the latest of a head counts."""
    for head_id, suspected_age_ms in suspects.items():
        current_age_ms = round(suspected_age_ms + age_ms)
        total[head_id] = min(total.get(head_id, current_age_ms), current_age_ms)
