"""The active configuration of this daemon."""

import threading

from corianderhaven.config import KeyRing


class ConfigHolder:
    """Holds the active configuration; adopts only higher revisions and notifies listeners.

    Parameters
    ----------
    decisions : DecisionLog
    """

    def __init__(self, decisions):
        self.decisions = decisions
        self.record = None
        self.caller_keys = KeyRing([])
        self.operator_keys = KeyRing([])
        self.listeners = []
        self.lock = threading.Lock()

    @property
    def revision(self):
        """Return the active revision, or 0 if there is none."""
        return self.record.revision if self.record else 0

    @property
    def document(self):
        """Return the active document, or None."""
        return self.record.document if self.record else None

    def adopt(self, record, source):
        """Activate `record` if its revision is higher; return whether it was activated.

        Parameters
        ----------
        record : ConfigRecord
        source : str
            Origin of the record, passed to the log and the listeners.
        """
        with self.lock:
            if record.revision <= self.revision:
                return False
            before = self.revision
            self.caller_keys = KeyRing(record.document.accounts)
            self.operator_keys = KeyRing(record.document.operators)
            self.record = record
        self.decisions.record(
            "config_adopted",
            revision=record.revision,
            before=before,
            change_id=record.change_id,
            source=source,
        )
        for listener in self.listeners:
            listener(record, source)
        return True
