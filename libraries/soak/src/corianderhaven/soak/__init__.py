"""Soak test: seeded random faults against real daemons, with invariants checked throughout."""

from ._faults import Fault, plan_faults
from ._invariants import Attempt, InvariantChecker
from ._link_proxy import LinkProxy
from ._main import main
from ._soak_run import SoakRun

__all__ = ["Attempt", "Fault", "InvariantChecker", "LinkProxy", "SoakRun", "main", "plan_faults"]
