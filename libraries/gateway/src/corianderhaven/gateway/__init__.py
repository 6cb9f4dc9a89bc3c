"""Requests between callers and endpoints."""

from ._admission import Refusal, Waiter, WaitingLine, waiting_order
from ._choice import choose_endpoint
from ._event_stream import EventSplitter
from ._gateway import Gateway
from ._load_book import LoadBook
from ._pace import EnginePace
from ._replica_view import ReplicaView
from ._retry_budget import RetryBudget
from ._routes import RouteTable
from ._silence import ActiveStream, SilenceWatch
from ._wire import AttemptMetadata, RequestMetadata, ResponseMetadata, WireFormat

__all__ = [
    "ActiveStream",
    "AttemptMetadata",
    "EnginePace",
    "EventSplitter",
    "Gateway",
    "LoadBook",
    "Refusal",
    "ReplicaView",
    "RequestMetadata",
    "ResponseMetadata",
    "RetryBudget",
    "RouteTable",
    "SilenceWatch",
    "Waiter",
    "WaitingLine",
    "WireFormat",
    "choose_endpoint",
    "waiting_order",
]
