"""Admission, replica choice, attempts, streams and at-most-once operations."""

from ._admission import AdmissionController, Ticket
from ._cache_events import CacheEventFollower
from ._caller_watch import CallerWatch
from ._choice import (
    BaseReplicaChooser,
    LeastWaitChooser,
    RandomChooser,
    make_chooser,
)
from ._chunks import chunk_finish_reason, chunk_text
from ._claims import Claim, ClaimBook, ClaimState
from ._drafts import DraftRelay, DraftRequest, DraftRouter
from ._group_commit import GroupCommitter
from ._load_book import LoadBook
from ._operations import OperationRequest, OperationRouter
from ._outcomes import AttemptEvidence, AttemptStage, Verdict, judge
from ._prefix_affinity import PrefixIndex
from ._replicas import Replica, ReplicaView
from ._resume_token import ResumePoint, ResumeTokens
from ._retry import Backoff, RetryBudget
from ._spill import RemoteZones
from ._targets import TargetFinder

__all__ = [
    "AdmissionController",
    "AttemptEvidence",
    "AttemptStage",
    "Backoff",
    "BaseReplicaChooser",
    "CacheEventFollower",
    "CallerWatch",
    "Claim",
    "ClaimBook",
    "ClaimState",
    "DraftRelay",
    "DraftRequest",
    "DraftRouter",
    "LeastWaitChooser",
    "LoadBook",
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
    "judge",
    "make_chooser",
]
