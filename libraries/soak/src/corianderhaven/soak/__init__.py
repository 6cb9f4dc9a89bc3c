"""A soak: seeded random faults against real daemons, with every promise checked."""

from ._faults import Fault, plan_faults
from ._link import Link
from ._main import main
from ._promises import Attempt, Promises
from ._soak import Soak

__all__ = ["Attempt", "Fault", "Link", "Promises", "Soak", "main", "plan_faults"]
