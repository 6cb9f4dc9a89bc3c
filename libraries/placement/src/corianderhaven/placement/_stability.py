"""Which VMs have been present long enough to be used, so that a flapping VM churns nothing."""

from dataclasses import dataclass

FIRST_PENALTY_MS = 1_000.0
MOST_PENALTY_MS = 60_000.0
CALM_AFTER_MS = 120_000.0


@dataclass
class Presence:
    """Presence of one VM."""

    present: bool
    returned_ms: float
    penalty_ms: float = 0.0


class StabilityTracker:
    """Doubles the waiting time of a VM each time it returns soon after the last time.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self.clock = clock
        self.presences = {}

    def update(self, vm, present):
        """Take in whether a VM answers now."""
        now = self.clock.now_ms()
        presence = self.presences.get(vm)
        if presence is None:
            self.presences[vm] = Presence(present, now)
            return
        if present and not presence.present:
            calm = now - presence.returned_ms > CALM_AFTER_MS
            doubled = min(MOST_PENALTY_MS, presence.penalty_ms * 2)
            presence.penalty_ms = FIRST_PENALTY_MS if calm else max(FIRST_PENALTY_MS, doubled)
            presence.returned_ms = now
        presence.present = present

    def is_stable(self, vm):
        """Return whether a VM may be given to a replica."""
        presence = self.presences.get(vm)
        if presence is None or not presence.present:
            return False
        return self.clock.now_ms() - presence.returned_ms >= presence.penalty_ms
