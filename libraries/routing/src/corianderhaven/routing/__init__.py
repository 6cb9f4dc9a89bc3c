"""Request routing: admission control, replica selection, retries, streams and operations."""

from ._admission import AdmissionController, Ticket
from ._cache_events import CacheEventFollower
from ._choice import (
    BaseReplicaChooser,
    LeastWaitChooser,
    RandomChooser,
    make_chooser,
)
from ._chunks import chunk_finish_reason, chunk_text
from ._claims import Claim, ClaimRegistry, ClaimState
from ._disconnect_monitor import DisconnectMonitor
from ._drafts import DraftRelay, DraftRequest, DraftRouter
from ._group_commit import GroupCommitter
from ._load_tracker import LoadTracker
from ._operations import OperationRequest, OperationRouter
from ._outcomes import AttemptEvidence, AttemptStage, Verdict, classify_attempt
from ._prefix_affinity import PrefixIndex
from ._remote_zones import RemoteZones
from ._replicas import Replica, ReplicaView
from ._resume_token import ResumePoint, ResumeTokens
from ._retry import Backoff, RetryBudget
from ._targets import TargetFinder

__all__ = [
    "AdmissionController",
    "AttemptEvidence",
    "AttemptStage",
    "Backoff",
    "BaseReplicaChooser",
    "CacheEventFollower",
    "DisconnectMonitor",
    "Claim",
    "ClaimRegistry",
    "ClaimState",
    "DraftRelay",
    "DraftRequest",
    "DraftRouter",
    "LeastWaitChooser",
    "LoadTracker",
    "OperationRequest",
    "OperationRouter",
    "PrefixIndex",
    "RandomChooser",
    "Replica",
    "ReplicaView",
    "ResumePoint",
    "ResumeTokens",
    "RetryBudget",
    "TargetFinder",
    "Ticket",
    "Verdict",
    "GroupCommitter",
    "RemoteZones",
    "chunk_finish_reason",
    "chunk_text",
    "classify_attempt",
    "make_chooser",
]
