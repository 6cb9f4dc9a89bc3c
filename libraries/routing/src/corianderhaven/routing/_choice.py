"""Strategies for choosing the replica of a draft."""

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass

from corianderhaven.common import SettingsError, rendezvous_order

from ._prefix_affinity import PrefixIndex

PREFILL_MS_PER_BLOCK = 2.0
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 2.0
DEFAULT_STEP_MS = 20.0
SAMPLE_SIZE = 2


@dataclass(frozen=True)
class Choice:
    """A chosen replica and the reason.

    Attributes
    ----------
    scores : dict of str to float
        Estimated wait in ms of each candidate replica.
    """

    replica: object
    reason: str
    scores: dict


class BaseReplicaChooser(ABC):
    """Base class of strategies that choose one of several whole replicas."""

    @abstractmethod
    def choose(self, replicas, blocks):
        """Return a `Choice`.

        Parameters
        ----------
        replicas : list of Replica
            Not empty.
        blocks : list of str
            Prefix block hashes of the prompt.
        """

    @abstractmethod
    def record_sent(self, replica, blocks):
        """Record that a request with these prefix blocks was sent to `replica`."""


class RandomChooser(BaseReplicaChooser):
    """Chooses uniformly at random; a baseline for comparisons.

    Parameters
    ----------
    generator : random.Random
    """

    def __init__(self, generator):
        self.generator = generator

    def choose(self, replicas, blocks):
        """Return a random `Choice`."""
        return Choice(self.generator.choice(replicas), "random", {})

    def record_sent(self, replica, blocks):
        """Do nothing; random choices don't depend on earlier requests."""


class LeastWaitChooser(BaseReplicaChooser):
    """Chooses the shorter estimated wait of two random replicas, with prefix affinity.

    Parameters
    ----------
    load_tracker : LoadTracker
    generator : random.Random
    affinity : bool
        Whether the preferred replica of a prefix is a candidate too.
    """

    def __init__(self, load_tracker, generator, affinity=True):
        self.load_tracker = load_tracker
        self.generator = generator
        self.affinity = affinity
        self.index = PrefixIndex()

    def choose(self, replicas, blocks):
        """Return the best of two random replicas and, unless overloaded, the preferred one."""
        sample = self.generator.sample(replicas, min(SAMPLE_SIZE, len(replicas)))
        preferred = self._preferred_replica(replicas, blocks)
        if preferred is not None:
            # Placed first to win ties, so that equal prefixes share a replica from the first
            # request on.
            sample = [preferred, *(replica for replica in sample if replica is not preferred)]
        scores = {replica.key: self._wait_ms(replica, replicas, blocks) for replica in sample}
        best = min(sample, key=lambda replica: scores[replica.key])
        reason = "affinity" if best is preferred else "least_wait"
        return Choice(best, reason, {key: round(score, 1) for key, score in scores.items()})

    def record_sent(self, replica, blocks):
        """Record that the replica has cached the prefix."""
        self.index.add(replica.key, blocks)

    def _wait_ms(self, replica, replicas, blocks):
        """Return the estimated time to the first token times the square of the slowdown.

        The slowdown counts twice because it delays the later tokens too.
        """
        step_ms = replica.load.step_ms or DEFAULT_STEP_MS
        slowdown = self.load_tracker.slowdown(replica, replicas)
        cached = self.index.cached_block_count(replica.key, blocks) if self.affinity else 0
        prefill_ms = (len(blocks) - cached) * PREFILL_MS_PER_BLOCK
        queue_ms = step_ms * (1 + self.load_tracker.estimate_requests(replica))
        return (queue_ms + prefill_ms) * slowdown * slowdown

    def _preferred_replica(self, replicas, blocks):
        """Return the replica that rendezvous hashing assigns to the prefix, unless overloaded."""
        if not self.affinity or not blocks:
            return None
        by_key = {replica.key: replica for replica in replicas}
        preferred = by_key[rendezvous_order(by_key, blocks[0])[0]]
        average = sum(self.load_tracker.estimate_requests(r) for r in replicas) / len(replicas)
        max_load = average * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK
        return preferred if self.load_tracker.estimate_requests(preferred) <= max_load else None


def make_chooser(name, load_tracker, seed=None):
    """Return the replica chooser with the name of a setting.

    Parameters
    ----------
    name : {"least-wait", "no-affinity", "random"}
    load_tracker : LoadTracker
    seed : int or None
    """
    generator = random.Random(seed)
    if name == "random":
        return RandomChooser(generator)
    if name in ("least-wait", "no-affinity"):
        return LeastWaitChooser(load_tracker, generator, affinity=name == "least-wait")
    raise SettingsError(f"chooser must be least-wait, no-affinity or random, not {name!r}")
