"""A planned change of the placement intent."""

from dataclasses import dataclass, field


@dataclass
class Plan:
    """A modified copy of the intent and the changes made to it.

    Attributes
    ----------
    changes : list of dict
        Decision log fields of each change; empty if the intent is unchanged.
    """

    intent: object
    changes: list = field(default_factory=list)

    def add_change(self, event, replica_id, zone, **details):
        """Append the decision log fields of one change."""
        self.changes.append({"event": event, "replica": replica_id, "zone": zone, **details})
