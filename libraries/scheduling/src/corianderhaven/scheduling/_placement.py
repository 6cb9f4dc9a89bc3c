"""What a request costs at an endpoint beyond the number of requests there. Performs no I/O.

Answers long and short prompts on the same heads. An engine prefills a prompt in the steps in which
it also decodes the answers of all its requests, so a prompt of several thousand tokens delays the
first event of whatever is placed behind it, and each event of the answers beside it. Counted as
one request each, prompts that differ twentyfold look alike.
"""

from abc import ABC, abstractmethod

MIN_SLACK_MS = 50.0  # about one event interval: with less left, all backlogs make a request late
# A head at which the prefill backlog uses up the slack costs as much as one with no free slot.
BACKLOG_WEIGHT = 1.0
# The answers at a full head that is about to prefill one more chunk are delayed by a chunk each.
DISTURBANCE_WEIGHT = 0.5


class BasePlacement(ABC):
    """Rates the endpoints that a request could be sent to."""

    @abstractmethod
    def has_room(self, endpoint, work):
        """Return whether the endpoint's memory holds the request beside those it has."""

    @abstractmethod
    def penalty(self, endpoint, work, slack_ms):
        """Return the added load of an endpoint, in multiples of its slots.

        Parameters
        ----------
        endpoint : Endpoint
        work : RequestWork
        slack_ms : float
            Time for which the first event may be delayed without missing its goal.
        """


class RequestCountPlacement(BasePlacement):
    """Counts requests only."""

    def has_room(self, endpoint, work):
        """Return True: memory is left to the engine."""
        return True

    def penalty(self, endpoint, work, slack_ms):
        """Return 0.0: all requests are alike."""
        return 0.0


class PromptPlacement(BasePlacement):
    """Counts the prompt tokens that an endpoint still has to prefill, and the memory in use.

    A backlog weighs by the slack of the request that is placed. A short prompt with a tight goal
    avoids heads that prefill a long one while others are free; a long prompt with much slack
    takes them. A long prompt prefers heads where it delays fewer answers. No head is reserved, so
    the split shifts with the demand.

    Parameters
    ----------
    load_tracker : LoadTracker
    estimator : LatencyEstimator
        Of the model that the endpoints serve.
    """

    def __init__(self, load_tracker, estimator):
        self.load_tracker = load_tracker
        self.estimator = estimator

    def has_room(self, endpoint, work):
        """Return whether all requests of the fleet at the endpoint fit into its memory.

        An engine may end when its requests exceed its memory.
        """
        capacity = self.estimator.engine.kv_capacity_tokens
        if capacity <= 0:
            return True
        return self.load_tracker.held_tokens(endpoint.id) + work.held_tokens <= capacity

    def penalty(self, endpoint, work, slack_ms):
        """Return what the backlog costs the request, and what the request costs the others."""
        engine = self.estimator.engine
        backlog_ms = self.estimator.prefill_ms(self.load_tracker.prefill_tokens(endpoint.id))
        occupancy = self.load_tracker.occupancy(endpoint.id) / max(1, engine.slots)
        chunks = work.prompt_tokens / max(1, engine.prefill_chunk_tokens)
        waiting = BACKLOG_WEIGHT * backlog_ms / max(MIN_SLACK_MS, slack_ms)
        return waiting + DISTURBANCE_WEIGHT * chunks * occupancy
