"""Group commit of compare-and-swap operations."""

import threading
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S
from corianderhaven.platform import KeyValueError

from . import _metrics as metrics

MAX_BATCH = 64


@dataclass
class PendingSwap:
    """A queued compare-and-swap with its result or error once it is done."""

    swap: object
    done: threading.Event = field(default_factory=threading.Event)
    result: object = None
    error: KeyValueError | None = None


class GroupCommitter:
    """Writes pending compare-and-swaps in batches, one store call at a time.

    The next batch accumulates while a call is in progress, so the number of calls grows more
    slowly than the number of operations.

    Parameters
    ----------
    store : BaseKeyValueStore
    """

    def __init__(self, store):
        self.store = store
        self.pending = []
        self.changed = threading.Condition()
        self.stopping = False
        self.thread = None
        self.calls = 0

    def start(self):
        """Start the writer thread."""
        self.thread = threading.Thread(target=self._run, name="group-commit", daemon=True)
        self.thread.start()
        return self

    def close(self):
        """Write the pending swaps and stop the thread, waiting at most 2 s."""
        with self.changed:
            self.stopping = True
            self.changed.notify_all()
        self.thread.join(MS_PER_S / 500)

    def swap(self, swap, timeout_ms):
        """Write one `Swap` and return its result.

        Raises
        ------
        KeyValueError
            On failure or after the timeout; ambiguous if the swap may have taken effect.
        """
        pending = PendingSwap(swap)
        with self.changed:
            self.pending.append(pending)
            self.changed.notify_all()
        if not pending.done.wait(timeout_ms / MS_PER_S):
            raise KeyValueError("key-value service is slow", ambiguous=not self._unqueue(pending))
        if pending.error is not None:
            raise pending.error
        return pending.result

    def _unqueue(self, pending):
        """Remove a swap from the queue; return whether it had not been sent yet."""
        with self.changed:
            if pending in self.pending:
                self.pending.remove(pending)
                return True
            return False

    def _run(self):
        while True:
            with self.changed:
                while not self.pending and not self.stopping:
                    self.changed.wait()
                if not self.pending:
                    return
                batch, self.pending = self.pending[:MAX_BATCH], self.pending[MAX_BATCH:]
            self._write_batch(batch)

    def _write_batch(self, batch):
        metrics.CLAIM_BATCH.observe(len(batch))
        self.calls += 1
        try:
            results = self.store.swap_many([pending.swap for pending in batch])
            for pending, result in zip(batch, results, strict=True):
                pending.result = result
        except KeyValueError as error:
            for pending in batch:
                pending.error = error
        except Exception as error:
            for pending in batch:
                pending.error = KeyValueError(str(error), ambiguous=True)
        for pending in batch:
            pending.done.set()
