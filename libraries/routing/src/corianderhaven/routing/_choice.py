"""Choice of a replica for a draft."""

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
    """A chosen replica and why.

    Attributes
    ----------
    scores : dict of str to float
        Estimated wait in ms of each replica that was weighed.
    """

    replica: object
    reason: str
    scores: dict


class BaseReplicaChooser(ABC):
    """Chooses one of several whole replicas."""

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
        """Take in that a request with these prefix blocks went to `replica`."""


class RandomChooser(BaseReplicaChooser):
    """Baseline: any whole replica.

    Parameters
    ----------
    generator : random.Random
    """

    def __init__(self, generator):
        self.generator = generator

    def choose(self, replicas, blocks):
        """Return a uniformly random choice."""
        return Choice(self.generator.choice(replicas), "random", {})

    def record_sent(self, replica, blocks):
        """Keep nothing."""


class LeastWaitChooser(BaseReplicaChooser):
    """Power of two choices on the estimated time to the first token, with prefix affinity.

    Parameters
    ----------
    load_tracker : LoadTracker
    generator : random.Random
    affinity : bool
        Whether prefix affinity is used.
    """

    def __init__(self, load_tracker, generator, affinity=True):
        self.load_tracker = load_tracker
        self.generator = generator
        self.affinity = affinity
        self.index = PrefixIndex()

    def choose(self, replicas, blocks):
        """Return the better of two random replicas, or the one with affinity if not overloaded."""
        sample = self.generator.sample(replicas, min(SAMPLE_SIZE, len(replicas)))
        preferred = self._preferred_replica(replicas, blocks)
        if preferred is not None:
            # First, so that it wins a tie: equal prefixes then meet from the first request on.
            sample = [preferred, *(replica for replica in sample if replica is not preferred)]
        scores = {replica.key: self._wait_ms(replica, replicas, blocks) for replica in sample}
        best = min(sample, key=lambda replica: scores[replica.key])
        reason = "affinity" if best is preferred else "least_wait"
        return Choice(best, reason, {key: round(score, 1) for key, score in scores.items()})

    def record_sent(self, replica, blocks):
        """Remember that the replica now holds the prefix."""
        self.index.add(replica.key, blocks)

    def _wait_ms(self, replica, replicas, blocks):
        """Estimate the time to the first token and the slowdown after it."""
        step_ms = replica.load.step_ms or DEFAULT_STEP_MS
        slowdown = self.load_tracker.slowdown(replica, replicas)
        cached_block_count = (
            self.index.cached_block_count(replica.key, blocks) if self.affinity else 0
        )
        prefill_ms = (len(blocks) - cached_block_count) * PREFILL_MS_PER_BLOCK
        queue_ms = step_ms * (1 + self.load_tracker.estimate_requests(replica))
        return (queue_ms + prefill_ms) * slowdown * slowdown

    def _preferred_replica(self, replicas, blocks):
        """Return the replica that rendezvous gives the prefix to, unless it is overloaded."""
        if not self.affinity or not blocks:
            return None
        by_key = {replica.key: replica for replica in replicas}
        preferred = by_key[rendezvous_order(by_key, blocks[0])[0]]
        average = sum(self.load_tracker.estimate_requests(r) for r in replicas) / len(replicas)
        max_load = average * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK
        return preferred if self.load_tracker.estimate_requests(preferred) <= max_load else None


def make_chooser(name, load_tracker, seed=None):
    """Return the chooser that a setting names.

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
