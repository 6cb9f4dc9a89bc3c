"""Index of the prompt prefixes that replicas are likely to have cached."""

import hashlib
import threading
from collections import OrderedDict

BLOCK_CHARACTERS = 256
MAX_BLOCKS = 32
MAX_INDEXED_BLOCKS = 20_000


def prompt_blocks(prompt):
    """Return the chained hash of each complete block of the prompt.

    Parameters
    ----------
    prompt : str

    Returns
    -------
    list of str
        At most `MAX_BLOCKS`; equal prefixes have equal hashes.
    """
    running_hash = hashlib.blake2b(digest_size=8)
    blocks = []
    last = min(len(prompt), MAX_BLOCKS * BLOCK_CHARACTERS)
    for start in range(0, last - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        running_hash.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(running_hash.hexdigest())
    return blocks


class PrefixIndex:
    """Maps prompt blocks to the replicas that are likely to have cached them.

    Updated when a request is sent and by cache events of the replicas; both are hints.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks; the least recently used ones are evicted.
    """

    def __init__(self, capacity=MAX_INDEXED_BLOCKS):
        self.capacity = capacity
        self.blocks = OrderedDict()
        self.lock = threading.Lock()

    def add(self, replica_key, blocks):
        """Add a replica to the entries of `blocks`."""
        with self.lock:
            for block in blocks:
                replica_keys = self.blocks.pop(block, frozenset())
                self.blocks[block] = replica_keys | {replica_key}
            while len(self.blocks) > self.capacity:
                self.blocks.popitem(last=False)

    def discard(self, replica_key, block):
        """Remove a replica from the entry of a block that it has evicted."""
        with self.lock:
            if block in self.blocks:
                self.blocks[block] -= {replica_key}

    def cached_block_count(self, replica_key, blocks):
        """Return how many leading blocks a replica has probably cached."""
        count = 0
        for block in blocks:
            if replica_key not in self.blocks.get(block, ()):
                break
            count += 1
        return count
