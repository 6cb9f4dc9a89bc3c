"""Routing, admission, retries and streaming of requests between callers and endpoints."""

from ._admission import AdmissionQueue, QueuedRequest, Refusal, queue_order
from ._choice import choose_endpoint
from ._connection_pool import ConnectionPool, declared_idle_ms
from ._crash_evidence import Admission, Assessment, ListedPart, Verdict
from ._crash_ledger import CrashLedger
from ._endpoint_limits import EndpointLimits
from ._event_stream import EventSplitter
from ._forwarding import ForwardingDaemon, choose_peer, forwarded_headers, is_forwarded, unwrap
from ._gateway import Gateway
from ._latency_estimator import LatencyEstimator
from ._load_tracker import LoadTracker
from ._peer_forwarder import PeerForwarder
from ._reachability import Reachability
from ._replica_view import ReplicaView
from ._retry_budget import RetryBudget
from ._routes import RouteTable
from ._send_permits import SendPermits
from ._silence_detector import ActiveStream, SilenceDetector
from ._stream_failover import StreamFailover
from ._waiting_requests import WaitingRequests
from ._wire import AttemptMetadata, RequestMetadata, ResponseMetadata, WireFormat

__all__ = [
    "ConnectionPool",
    "declared_idle_ms",
    "ActiveStream",
    "Admission",
    "AdmissionQueue",
    "Assessment",
    "AttemptMetadata",
    "CrashLedger",
    "EndpointLimits",
    "EventSplitter",
    "ForwardingDaemon",
    "Gateway",
    "LatencyEstimator",
    "ListedPart",
    "LoadTracker",
    "PeerForwarder",
    "QueuedRequest",
    "Reachability",
    "Refusal",
    "ReplicaView",
    "RequestMetadata",
    "ResponseMetadata",
    "RetryBudget",
    "RouteTable",
    "SendPermits",
    "SilenceDetector",
    "StreamFailover",
    "Verdict",
    "WaitingRequests",
    "WireFormat",
    "choose_endpoint",
    "choose_peer",
    "forwarded_headers",
    "is_forwarded",
    "queue_order",
    "unwrap",
]
