"""The way of a request: routing, attempts, retries and streaming between callers and endpoints."""

from ._connection_pool import ConnectionPool, declared_idle_ms
from ._crash_evidence import Admission, Assessment, ListedPart, Verdict
from ._crash_ledger import CrashLedger
from ._endpoint_access import EndpointAccess
from ._event_stream import EventSplitter
from ._forwarding import ForwardingDaemon, choose_peer, forwarded_headers, is_forwarded, unwrap
from ._gateway import Gateway
from ._peer_forwarder import PeerForwarder
from ._reachability import Reachability
from ._refusal_log import RefusalLog
from ._replica_view import ReplicaView
from ._routes import RouteTable
from ._silence_detector import ActiveStream, SilenceDetector
from ._stream_failover import StreamFailover
from ._wire import AttemptMetadata, RequestMetadata, ResponseMetadata, WireFormat

__all__ = [
    "ConnectionPool",
    "declared_idle_ms",
    "ActiveStream",
    "Admission",
    "Assessment",
    "AttemptMetadata",
    "CrashLedger",
    "EndpointAccess",
    "EventSplitter",
    "ForwardingDaemon",
    "Gateway",
    "ListedPart",
    "PeerForwarder",
    "Reachability",
    "RefusalLog",
    "ReplicaView",
    "RequestMetadata",
    "ResponseMetadata",
    "RouteTable",
    "SilenceDetector",
    "StreamFailover",
    "Verdict",
    "WireFormat",
    "choose_peer",
    "forwarded_headers",
    "is_forwarded",
    "unwrap",
]
