"""Evidence that a request, or one part of prompts, ends the endpoints that answer it.

A request as a whole stands in the ledger as a part of its own, by a digest of its contents.
"""

import hashlib
import math
from dataclasses import dataclass, field
from enum import IntEnum

SUSPECT_ENDS = 2
PROOF_ENDS = 5
# A request that comes again is the same to the letter, so fewer ends tell than of a part, which is
# in many requests.
REQUEST_PROOF_ENDS = 3
CLEARANCE_MS = 1_000.0  # an end so soon after a sound answer has another cause
# The loss of a rack ends many endpoints at once. However many they are, they can't prove anything
# alone; that takes an end at another time.
MOMENT_MS = 1_000.0  # daemons notice the same loss at slightly different times
MAX_ENDS_OF_MOMENT = 3  # below PROOF_ENDS, and two more ends at other times complete a proof
MAX_REQUEST_ENDS_OF_MOMENT = 2
FIRST_PAUSE_MS = 3_600_000.0
MAX_PAUSE_MS = 24 * 3_600_000.0
EVIDENCE_MS = 60_000.0  # for which a part stays suspected
# Ends count towards a proof for longer: a part may come at any rate.
MEMORY_MS = 3_600_000.0
PROOF_EVIDENCE_MS = 48 * 3_600_000.0
MAX_ENDS = 16
MAX_PART_LENGTH = 64
SHARED_MS = 1_500.0  # several exchanges; bounds the messages in times of many ordinary losses
# Begins the incarnation that stands for the PROOF_ENDS ends of a proof read from the store.
STORE_INCARNATION = "store:"
SHORTENED_PREFIX = "blake2b:"
REQUEST_PREFIX = "request:"
REQUEST_DIGEST_BYTES = 16
NEVER_MS = -math.inf


class Verdict(IntEnum):
    """What the evidence says of a part; a higher value restricts its requests more."""

    CLEAR = 0
    SUSPECTED = 1
    PROVEN = 2


@dataclass(frozen=True)
class Thresholds:
    """Numbers of ends that count.

    Parameters
    ----------
    proof : int
        Ends that prove.
    of_moment : int
        Ends at the same moment that count at most.
    shared : int
        Ends from which on peers are told again and again.
    """

    proof: int
    of_moment: int
    shared: int


PART_THRESHOLDS = Thresholds(PROOF_ENDS, MAX_ENDS_OF_MOMENT, SUSPECT_ENDS)
REQUEST_THRESHOLDS = Thresholds(REQUEST_PROOF_ENDS, MAX_REQUEST_ENDS_OF_MOMENT, SUSPECT_ENDS)


def thresholds_of(part):
    """Return the `Thresholds` of a part, or of a request as a whole."""
    return REQUEST_THRESHOLDS if part.startswith(REQUEST_PREFIX) else PART_THRESHOLDS


class RequestDigest:
    """Part that stands for a request as a whole, made from its contents.

    Parameters
    ----------
    method, target : bytes
    account : str
        Client account; empty for an anonymous caller.
    """

    def __init__(self, method, target, account):
        self.digest = hashlib.blake2b(digest_size=REQUEST_DIGEST_BYTES)
        for value in (method, target, account.encode()):
            self.digest.update(b"%d:" % len(value))
            self.digest.update(value)

    def update(self, piece):
        """Add the next piece of the body."""
        self.digest.update(piece)

    def part(self):
        """Return the part."""
        return REQUEST_PREFIX + self.digest.hexdigest()


@dataclass(frozen=True)
class Assessment:
    """Evidence against the worst part of a prompt.

    Parameters
    ----------
    part : str or None
        None if all parts are clear.
    ends : int
        Ended endpoints that count as evidence.
    age_ms : float
        Time since the last of these ends.
    """

    verdict: Verdict = Verdict.CLEAR
    part: str | None = None
    ends: int = 0
    age_ms: float = 0.0


@dataclass(frozen=True)
class Admission:
    """Whether an attempt may be sent.

    Parameters
    ----------
    resumable : bool
        Whether the request may go to another endpoint after a break.
    retry_after_ms : float
        Time after which a refused request may be admitted; 0 if allowed.
    part : str or None
        Part that decided; None if all parts are clear.
    """

    allowed: bool = True
    resumable: bool = True
    retry_after_ms: float = 0.0
    part: str | None = None


@dataclass(frozen=True)
class ListedPart:
    """A part with evidence, as shown to operators; ages in ms, -1.0 if never cleared."""

    part: str
    verdict: Verdict
    ends: dict
    cleared_age_ms: float


@dataclass
class PartEvidence:
    """Evidence about one part; times are local.

    Parameters
    ----------
    thresholds : Thresholds
    ends : dict of str to float
        Times at which endpoint incarnations ended, in ms. Ends before the last sound answer stay,
        so that a peer's later time of the same end doesn't count.
    counted : dict of str to float
        Those that count as evidence.
    total : int
        Number of ended endpoints that `counted` stands for.
    weight : int
        The same with a limit on ends at the same moment.
    was_proven : bool
        Whether the verdict was ever `PROVEN`. Peers out of contact may keep such evidence for
        long, so the time of the sound answer is kept as long.
    """

    thresholds: Thresholds = PART_THRESHOLDS
    ends: dict = field(default_factory=dict)
    cleared_ms: float = NEVER_MS
    verdict: Verdict = Verdict.CLEAR
    was_proven: bool = False
    counted: dict = field(default_factory=dict)
    total: int = 0
    weight: int = 0
    last_end_ms: float = NEVER_MS
    changed_ms: float = NEVER_MS

    def update(self):
        """Compute the fields that follow from `ends` and `cleared_ms`."""
        since_ms = self.cleared_ms + CLEARANCE_MS
        self.counted = {i: t for i, t in self.ends.items() if t > since_ms}
        self.total = count_ends(self.counted, self.thresholds)
        self.weight = weigh_ends(self.counted, self.thresholds)
        self.last_end_ms = max(self.counted.values(), default=NEVER_MS)

    def trim(self):
        """Remove ends beyond `MAX_ENDS` and return them."""
        removed = {}
        while len(self.ends) > MAX_ENDS:
            incarnation = least_needed_end(self.ends, self.thresholds)
            removed[incarnation] = self.ends.pop(incarnation)
        return removed

    def evidence_until_ms(self):
        """Return when the ends no longer count."""
        return self.last_end_ms + evidence_lifetime_ms(self.total, self.thresholds)

    def suspected_until_ms(self):
        """Return when a part that isn't proven is no longer suspected."""
        lasting_ms = PROOF_EVIDENCE_MS if self.total >= self.thresholds.proof else EVIDENCE_MS
        return self.last_end_ms + lasting_ms

    def expires_ms(self):
        """Return when neither ends nor the last sound answer are needed any more."""
        kept_ms = PROOF_EVIDENCE_MS if self.was_proven else EVIDENCE_MS
        return max(self.evidence_until_ms(), self.cleared_ms + kept_ms)

    def is_concentrated(self):
        """Return whether there are enough ends for a proof, but not enough that tell apart.

        They came at the same moment, or another part explains them as well.
        """
        return self.verdict is Verdict.SUSPECTED and self.total >= self.thresholds.proof

    def is_explained_by(self, other):
        """Return whether these ends have more likely to do with another part of the requests.

        That is the one that never worked, rather than one that did: the latter may also have been
        at an ordinary loss. Otherwise it is the one in all the same answers and more.
        """
        worked, other_worked = self.cleared_ms > NEVER_MS, other.cleared_ms > NEVER_MS
        if worked == other_worked:
            return self.counted.keys() < other.counted.keys()
        return worked and len(self.counted.keys() - other.counted.keys()) < SUSPECT_ENDS

    def is_shared(self, now_ms):
        """Return whether daemons tell each other: it restricts requests, or did, or is new."""
        restricts = self.verdict is not Verdict.CLEAR and self.total >= self.thresholds.shared
        return restricts or self.was_proven or now_ms - self.changed_ms <= SHARED_MS

    def pause_ms(self):
        """Return the time from the last end to the next trial of a proven part."""
        doublings = max(0, self.total - self.thresholds.proof)
        return min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2.0**doublings)


def shorten(part):
    """Return a part's id with at most `MAX_PART_LENGTH` characters.

    An id that looks shortened is shortened too: a caller must not pass for another's part.
    """
    if len(part) <= MAX_PART_LENGTH and not part.startswith(SHORTENED_PREFIX):
        return part
    data = part.encode(errors="surrogatepass")
    return SHORTENED_PREFIX + hashlib.blake2b(data, digest_size=24).hexdigest()


def caller_part(part):
    """Return the id of a part that a caller names, which never stands for a request as a whole."""
    return f"part:{part}" if part.startswith(REQUEST_PREFIX) else part


def store_incarnation(group):
    """Return the incarnation of a proof in the store of parts that are proven together."""
    data = "\0".join(sorted(group)).encode(errors="surrogatepass")
    return STORE_INCARNATION + hashlib.blake2b(data, digest_size=8).hexdigest()


def proof_ms(ends):
    """Return when a proof was read from the store, or None if there is none among `ends`."""
    times = (t for incarnation, t in ends.items() if incarnation.startswith(STORE_INCARNATION))
    return min(times, default=None)


def count_ends(ends, thresholds=PART_THRESHOLDS):
    """Return the number of ended endpoints, with those that a proof in the store stands for."""
    proven_ms = proof_ms(ends)
    if proven_ms is None:
        return len(ends)
    later = sum(ended_ms > proven_ms for ended_ms in ends.values())
    return max(len(ends) - 1, thresholds.proof + later)


def weigh_ends(ends, thresholds=PART_THRESHOLDS):
    """Return the number of ends with a limit on those at the same moment."""
    if proof_ms(ends) is not None:
        return max(thresholds.proof, count_ends(ends, thresholds))
    return sum(min(len(moment), thresholds.of_moment) for moment in group_by_moment(ends))


def group_by_moment(ends):
    """Return lists of incarnations whose ends are at the same moment, in order of time."""
    moments, moment_ms = [], NEVER_MS
    for ended_ms, incarnation in sorted((t, i) for i, t in ends.items()):
        if ended_ms - moment_ms > MOMENT_MS:
            moments.append([])
            moment_ms = ended_ms
        moments[-1].append(incarnation)
    return moments


def least_needed_end(ends, thresholds):
    """Return the end that adds least to the evidence: one of many at a moment, or the oldest."""
    moments = group_by_moment(ends)
    most = max(moments, key=len)
    return most[-1] if len(most) > thresholds.of_moment else moments[0][0]


def evidence_lifetime_ms(total, thresholds=PART_THRESHOLDS):
    """Return how long `total` ends count after the last of them, in ms."""
    return PROOF_EVIDENCE_MS if total >= thresholds.proof else MEMORY_MS
