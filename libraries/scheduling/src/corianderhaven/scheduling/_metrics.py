"""Prometheus metrics of the decisions under load."""

from prometheus_client import Counter

# These metrics were the gateway's, and operators know them by that name.
PREFIX = "corianderhaven_gateway_"

PERMITS = Counter(PREFIX + "permits", "Permits to send to endpoints that name a limit", ["result"])
FAIR_SHARES = Counter(
    PREFIX + "fair_share_requests",
    "Requests refused in queues that accounts share, and returned to a place that was kept",
    ["decision"],
)
