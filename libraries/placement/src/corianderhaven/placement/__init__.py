"""Leases per availability zone, replica formation and repair."""

from ._controller import PlacementController, ZonePlacer
from ._intent import IntentReplica, IntentStore, ZoneIntent
from ._invariants import Violation, check_invariants
from ._lease import LeaseState, ZoneLease
from ._member_state import MemberState, ReplicaState, assess_replica
from ._metrics import PlacementMetrics
from ._orders import OrderSender
from ._planner import Planner
from ._repair import BaseRepairPolicy, make_repair_policy

__all__ = [
    "BaseRepairPolicy",
    "IntentReplica",
    "IntentStore",
    "LeaseState",
    "MemberState",
    "OrderSender",
    "PlacementController",
    "PlacementMetrics",
    "Planner",
    "ReplicaState",
    "Violation",
    "ZoneIntent",
    "ZoneLease",
    "ZonePlacer",
    "assess_replica",
    "check_invariants",
    "make_repair_policy",
]
