"""A prefix cache that publishes its events late and with gaps."""

import hashlib
import threading
from collections import OrderedDict, deque

BLOCK_CHARACTERS = 256
EVENT_HISTORY = 1000


def prompt_blocks(prompt):
    """Return one chained hash per whole block of the prompt."""
    chained = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        chained.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(chained.hexdigest())
    return blocks


class PrefixCache:
    """Least-recently-used prompt blocks of one replica.

    Parameters
    ----------
    clock : Clock
    capacity : int
        In blocks.
    event_lag_ms, event_loss : float
        Delay of events, and the fraction that is never published.
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
        """Store the blocks of `prompt`; returns how many were not cached."""
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
        """Return published events after `sequence`."""
        visible = self.clock.now_ms() - self.event_lag_ms
        with self.lock:
            return [
                {"sequence": number, "kind": kind, "block": block}
                for at, number, kind, block in self.events
                if number > sequence and at <= visible
            ]

    def _publish(self, kind, block):
        self.sequence += 1
        if self.random.random() >= self.event_loss:
            self.events.append((self.clock.now_ms(), self.sequence, kind, block))
