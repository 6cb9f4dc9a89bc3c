"""Prometheus metrics of the calls to the store."""

from prometheus_client import Counter

STORE_CALLS = Counter(
    "corianderhaven_metadata_store_calls",
    "Calls to the store by what they are for and by the role of this daemon",
    ["purpose", "role"],
)


def count_store_call(purpose, role):
    """Count one call to the store."""
    STORE_CALLS.labels(purpose, role).inc()
