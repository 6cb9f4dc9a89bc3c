"""Decisions under load: who may go where, and when. Performs no input or output."""

from ._admission import (
    PATHS_LOST,
    QUEUE_CHECK_INTERVAL_MS,
    AdmissionQueue,
    QueuedRequest,
    Refusal,
    dispatch_periodically,
    queue_order,
)
from ._choice import choose_endpoint
from ._cold_endpoints import OBSERVE_INTERVAL_MS, ColdEndpoints
from ._endpoint_limits import SHARED_MS, EndpointLimits
from ._fair_shares import AccountLines, AccountRates
from ._latency_estimator import LatencyEstimator
from ._load_tracker import LoadTracker
from ._placement import BasePlacement, PromptPlacement, RequestCountPlacement
from ._promised_places import PromisedPlaces
from ._queue_rates import QueueRates
from ._retry_budget import RetryBudget
from ._send_permits import SendPermits
from ._waiting_requests import WaitingRequests
from ._work import RequestWork

__all__ = [
    "OBSERVE_INTERVAL_MS",
    "PATHS_LOST",
    "QUEUE_CHECK_INTERVAL_MS",
    "SHARED_MS",
    "AccountLines",
    "AccountRates",
    "AdmissionQueue",
    "BasePlacement",
    "PromptPlacement",
    "RequestCountPlacement",
    "RequestWork",
    "ColdEndpoints",
    "EndpointLimits",
    "LatencyEstimator",
    "LoadTracker",
    "PromisedPlaces",
    "QueueRates",
    "QueuedRequest",
    "Refusal",
    "RetryBudget",
    "SendPermits",
    "WaitingRequests",
    "choose_endpoint",
    "dispatch_periodically",
    "queue_order",
]
