"""Group commit: compare-and-swaps that wait together go in one call."""

import threading
from dataclasses import dataclass, field

from corianderhaven.common import MS_PER_S
from corianderhaven.platform import KeyValueError

from . import _metrics as metrics

MAX_BATCH = 64


@dataclass
class PendingSwap:
    """One compare-and-swap and, later, its result or error."""

    swap: object
    done: threading.Event = field(default_factory=threading.Event)
    result: object = None
    error: KeyValueError | None = None


class GroupCommitter:
    """Writes all waiting compare-and-swaps in one call, one call at a time.

    While a call is under way the next batch gathers, so calls grow more slowly than
    operations.

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
        """Start the writing thread."""
        self.thread = threading.Thread(target=self._run, name="group-commit", daemon=True)
        self.thread.start()
        return self

    def close(self):
        """Write what waits, then stop."""
        with self.changed:
            self.stopping = True
            self.changed.notify_all()
        self.thread.join(MS_PER_S / 500)

    def swap(self, swap, timeout_ms):
        """Write one `Swap`; raises `KeyValueError`.

        A swap that is still waiting at the timeout is ambiguous.
        """
        pending = PendingSwap(swap)
        with self.changed:
            self.pending.append(pending)
            self.changed.notify_all()
        if not pending.done.wait(timeout_ms / MS_PER_S):
            raise KeyValueError(
                "key-value service is slow", ambiguous=not self._remove_pending(pending)
            )
        if pending.error is not None:
            raise pending.error
        return pending.result

    def _remove_pending(self, pending):
        """Take back a swap that has not been sent; return whether it was."""
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
