"""Which replicas are likely to hold a prompt's prefix in their cache."""

import hashlib
import threading
from collections import OrderedDict

BLOCK_CHARACTERS = 256
MAX_BLOCKS = 32
MAX_REMEMBERED_BLOCKS = 20_000


def prompt_blocks(prompt):
    """Return one chained hash per whole block of the prompt.

    Parameters
    ----------
    prompt : str

    Returns
    -------
    list of str
        At most `MAX_BLOCKS`; equal prefixes give equal hashes.
    """
    chained = hashlib.blake2b(digest_size=8)
    blocks = []
    last = min(len(prompt), MAX_BLOCKS * BLOCK_CHARACTERS)
    for start in range(0, last - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        chained.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(chained.hexdigest())
    return blocks


class PrefixIndex:
    """Remembers where prompt blocks were last sent, with cache events as hints.

    Parameters
    ----------
    capacity : int
        Blocks remembered, least recently used first out.
    """

    def __init__(self, capacity=MAX_REMEMBERED_BLOCKS):
        self.capacity = capacity
        self.blocks = OrderedDict()
        self.lock = threading.Lock()

    def note(self, replica_key, blocks):
        """Remember that a replica has seen `blocks`."""
        with self.lock:
            for block in blocks:
                holders = self.blocks.pop(block, frozenset())
                self.blocks[block] = holders | {replica_key}
            while len(self.blocks) > self.capacity:
                self.blocks.popitem(last=False)

    def note_evicted(self, replica_key, block):
        """Take a hint that a replica has dropped a block."""
        with self.lock:
            if block in self.blocks:
                self.blocks[block] -= {replica_key}

    def covered(self, replica_key, blocks):
        """Return how many leading blocks a replica is likely to hold."""
        count = 0
        for block in blocks:
            if replica_key not in self.blocks.get(block, ()):
                break
            count += 1
        return count
