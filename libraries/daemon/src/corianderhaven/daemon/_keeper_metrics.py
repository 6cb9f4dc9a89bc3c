"""Prometheus metrics of the keeper."""

from prometheus_client import Counter

DOUBTS = Counter(
    "corianderhaven_keeper_doubts",
    "Replicas with silent members that turned out to be sound, or to have failed",
    ["outcome"],
)


def count_doubt(failed):
    """Count one replica of which it is certain now whether it has failed."""
    DOUBTS.labels("failed" if failed else "sound").inc()
