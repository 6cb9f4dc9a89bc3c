"""Prefix cache whose events are delayed and sometimes lost."""

import hashlib
import threading
from collections import OrderedDict, deque

BLOCK_CHARACTERS = 256
EVENT_HISTORY = 1000


def prompt_blocks(prompt):
    """Return one chained hash per full block of the prompt."""
    chained = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        chained.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(chained.hexdigest())
    return blocks


class PrefixCache:
    """Least-recently-used cache of one replica's prompt blocks.

    Parameters
    ----------
    clock : Clock
    capacity : int
        Capacity in blocks.
    event_lag_ms, event_loss : float
        Delay of events and the fraction of events that are never published.
    random : random.Random
    """

    def __init__(self, clock, capacity, event_lag_ms, event_loss, random):
        self.clock = clock
        self.capacity = capacity
        self.event_lag_ms = event_lag_ms
        self.event_loss = event_loss
        self.random = random
        self.blocks = OrderedDict()
        self.events = deque(maxlen=EVENT_HISTORY)
        self.sequence = 0
        self.lock = threading.Lock()

    def admit(self, prompt):
        """Cache the blocks of `prompt` and return the number of blocks that were missing."""
        with self.lock:
            missing = 0
            for block in prompt_blocks(prompt):
                if block in self.blocks:
                    self.blocks.move_to_end(block)
                    continue
                missing += 1
                self.blocks[block] = True
                self._publish("stored", block)
            while len(self.blocks) > self.capacity:
                block, _ = self.blocks.popitem(last=False)
                self._publish("evicted", block)
            return missing

    def events_since(self, sequence):
        """Return the visible events whose number is greater than `sequence`."""
        visible = self.clock.now_ms() - self.event_lag_ms
        with self.lock:
            return [
                {"sequence": number, "kind": kind, "block": block}
                for published_ms, number, kind, block in self.events
                if number > sequence and published_ms <= visible
            ]

    def _publish(self, kind, block):
        self.sequence += 1
        if self.random.random() >= self.event_loss:
            self.events.append((self.clock.now_ms(), self.sequence, kind, block))
