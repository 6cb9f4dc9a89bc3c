"""A planned change of the intent."""

from dataclasses import dataclass, field


@dataclass
class Plan:
    """A changed copy of the intent.

    Attributes
    ----------
    changes : list of dict
        Decision log fields of each change; empty when the intent stays as it is.
    """

    intent: object
    changes: list = field(default_factory=list)

    def note(self, event, replica_id, zone, **details):
        """Add the decision log fields of one change."""
        self.changes.append({"event": event, "replica": replica_id, "zone": zone, **details})
