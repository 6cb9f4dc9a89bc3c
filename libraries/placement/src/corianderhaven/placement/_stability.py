"""Tracks how long VMs have been present, so that a flapping VM causes no repeated repairs."""

from dataclasses import dataclass

INITIAL_PENALTY_MS = 1_000.0
MAX_PENALTY_MS = 60_000.0
PENALTY_RESET_MS = 120_000.0


@dataclass
class Presence:
    """Presence of one VM and the time it must stay present before use."""

    present: bool
    returned_ms: float
    penalty_ms: float = 0.0


class StabilityTracker:
    """Doubles the waiting time of a VM each time it returns soon after its last return.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self.clock = clock
        self.presences = {}

    def update(self, vm, present):
        """Record whether a VM responds now."""
        now = self.clock.now_ms()
        presence = self.presences.get(vm)
        if presence is None:
            self.presences[vm] = Presence(present, now)
            return
        if present and not presence.present:
            was_stable = now - presence.returned_ms > PENALTY_RESET_MS
            doubled = min(MAX_PENALTY_MS, presence.penalty_ms * 2)
            presence.penalty_ms = (
                INITIAL_PENALTY_MS if was_stable else max(INITIAL_PENALTY_MS, doubled)
            )
            presence.returned_ms = now
        presence.present = present

    def is_stable(self, vm):
        """Return whether a VM may be assigned to a replica."""
        presence = self.presences.get(vm)
        if presence is None or not presence.present:
            return False
        return self.clock.now_ms() - presence.returned_ms >= presence.penalty_ms
