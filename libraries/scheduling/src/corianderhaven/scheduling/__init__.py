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
from ._endpoint_limits import SHARED_MS, EndpointLimits
from ._fair_shares import AccountLines, AccountRates
from ._latency_estimator import LatencyEstimator
from ._load_tracker import LoadTracker
from ._promised_places import PromisedPlaces
from ._queue_rates import QueueRates
from ._retry_budget import RetryBudget
from ._send_permits import SendPermits
from ._waiting_requests import WaitingRequests

__all__ = [
    "PATHS_LOST",
    "QUEUE_CHECK_INTERVAL_MS",
    "SHARED_MS",
    "AccountLines",
    "AccountRates",
    "AdmissionQueue",
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
