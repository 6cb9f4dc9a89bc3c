"""Endpoint discovery, exchange of state between daemons, and replica management."""

from ._active_config import ActiveConfig
from ._config_checks import check_config
from ._digests import (
    DIGEST_PATH,
    Digest,
    HeadDigest,
    LimitRecord,
    PartRecord,
    PeerMessage,
    ZoneSummary,
    merge_parts,
)
from ._directory import EndpointDirectory
from ._evacuations import EvacuationRecord, Evacuations
from ._feed import Feed, FeedReader, FeedRequest, FeedWriter
from ._formation import Dissolve, Form, FormationPlanner, Stage, Standby, Vm, find_failed
from ._interfaces import (
    AnswerCutShortError,
    EngineOrders,
    HistoryGoneError,
    LeaseEndedError,
    MetadataStore,
    OrderResult,
    PlatformFormat,
    StoreItem,
    StoreRestoredError,
    StoreUnavailableError,
)
from ._keeper import ReplicaKeeper
from ._keeper_lease import KeeperLease
from ._peer_exchange import PeerExchange
from ._peer_state import STATE_PATH, PeerState, encode_state
from ._peers import PeerTable
from ._permit_client import PermitClient
from ._permit_issuer import (
    COLD_PERMIT_LIFETIME_MS,
    MAX_ADVANCE_MS,
    MIN_RATE_PER_S,
    PERMIT_LIFETIME_MS,
    PERMITS_PATH,
    PermitIssuer,
    PermitOffer,
    PermitRequest,
    PermitWish,
    bounded_permit_rate_per_s,
    cold_permit_rate_per_s,
    decode_permits,
)
from ._proven_parts import ProvenParts
from ._replicas import (
    Replica,
    count_missing_members,
    group_replicas,
    is_serving,
    model_of,
    replica_name,
)
from ._store_calls import Purpose, PurposeStore, Role, StoreCalls
from ._store_era import StoreEra
from ._store_readers import StoreReaders
from ._store_watcher import StoreWatcher
from ._types import (
    Account,
    CallerLimits,
    Endpoint,
    EngineReport,
    EngineSpec,
    FleetConfig,
    Membership,
    ModelSpec,
    NodeSettings,
    ReplicaState,
    RequestKind,
    RouteRule,
    ServiceSpec,
)

__all__ = [
    "AnswerCutShortError",
    "Account",
    "CallerLimits",
    "ActiveConfig",
    "COLD_PERMIT_LIFETIME_MS",
    "check_config",
    "DIGEST_PATH",
    "Digest",
    "Dissolve",
    "Endpoint",
    "EndpointDirectory",
    "EngineOrders",
    "EngineReport",
    "EngineSpec",
    "EvacuationRecord",
    "Evacuations",
    "Feed",
    "FeedReader",
    "FeedRequest",
    "FeedWriter",
    "FleetConfig",
    "Form",
    "FormationPlanner",
    "HeadDigest",
    "HistoryGoneError",
    "KeeperLease",
    "LeaseEndedError",
    "LimitRecord",
    "Membership",
    "MetadataStore",
    "ModelSpec",
    "NodeSettings",
    "OrderResult",
    "PartRecord",
    "MAX_ADVANCE_MS",
    "MIN_RATE_PER_S",
    "PERMITS_PATH",
    "PERMIT_LIFETIME_MS",
    "PermitClient",
    "PermitIssuer",
    "PermitOffer",
    "PermitRequest",
    "PermitWish",
    "ProvenParts",
    "bounded_permit_rate_per_s",
    "cold_permit_rate_per_s",
    "decode_permits",
    "encode_state",
    "PeerExchange",
    "PeerMessage",
    "PeerState",
    "PeerTable",
    "PlatformFormat",
    "Replica",
    "ReplicaKeeper",
    "ReplicaState",
    "RequestKind",
    "RouteRule",
    "STATE_PATH",
    "ServiceSpec",
    "Stage",
    "Standby",
    "StoreEra",
    "StoreItem",
    "StoreRestoredError",
    "StoreUnavailableError",
    "StoreWatcher",
    "Vm",
    "ZoneSummary",
    "find_failed",
    "count_missing_members",
    "group_replicas",
    "merge_parts",
    "model_of",
    "replica_name",
    "is_serving",
    "Purpose",
    "PurposeStore",
    "Role",
    "StoreCalls",
    "StoreReaders",
]
