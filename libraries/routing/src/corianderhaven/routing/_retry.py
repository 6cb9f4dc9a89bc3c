"""Retry budgets and exponential backoff."""

import random
import threading

MAX_BUDGET_RESERVE = 10.0
BACKOFF_BASE_MS = 25.0
BACKOFF_CAP_MS = 1_000.0


class RetryBudget:
    """Limits retries to a fraction of first attempts, so that a fault can't multiply the load.

    Parameters
    ----------
    ratio : float
        Retries added to the budget by each first attempt.
    reserve : float
        Initial and maximum number of retries in the budget.
    """

    def __init__(self, ratio, reserve=MAX_BUDGET_RESERVE):
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve
        self.lock = threading.Lock()

    def deposit(self):
        """Add `ratio` retries to the budget for a first attempt."""
        with self.lock:
            self.tokens = min(self.reserve, self.tokens + self.ratio)

    def withdraw(self):
        """Take one retry from the budget; return False if it is exhausted."""
        with self.lock:
            if self.tokens < 1:
                return False
            self.tokens -= 1
            return True


class Backoff:
    """Exponential backoff with full jitter that is never shorter than ``Retry-After``.

    Parameters
    ----------
    base_ms, cap_ms : float
    generator : random.Random or None
    """

    def __init__(self, base_ms=BACKOFF_BASE_MS, cap_ms=BACKOFF_CAP_MS, generator=None):
        self.base_ms = base_ms
        self.cap_ms = cap_ms
        self.generator = generator or random.Random()

    def pause_ms(self, attempt, retry_after_ms=None):
        """Return the pause before retry `attempt`, counted from 1."""
        highest = min(self.cap_ms, self.base_ms * 2**attempt)
        return max(retry_after_ms or 0.0, self.generator.uniform(0.0, highest))


def parse_retry_after_ms(value):
    """Return the value of a ``Retry-After`` header in ms, or None if it isn't a number."""
    try:
        return max(0.0, float(value) * 1000)
    except (TypeError, ValueError):
        return None
