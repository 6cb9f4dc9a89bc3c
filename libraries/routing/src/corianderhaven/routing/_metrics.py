"""Prometheus metrics of request routing."""

from prometheus_client import Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

DRAFTS = Counter("corianderhaven_drafts", "Drafts by outcome.", ["deployment", "outcome"])
FIRST_TOKEN = Histogram(
    "corianderhaven_first_token_seconds",
    "Time from acceptance to the first token.",
    ["deployment"],
    buckets=LATENCY_BUCKETS_S,
)
TOKENS = Counter("corianderhaven_tokens", "Tokens relayed.", ["deployment"])
ATTEMPTS_LOST = Counter(
    "corianderhaven_attempts_lost", "Draft attempts that broke.", ["deployment", "reason"]
)
REFUSED = Counter("corianderhaven_refused", "Requests refused as not_run.", ["code"])
WAITING = Gauge("corianderhaven_waiting", "Requests waiting for admission.", ["deployment"])
OPERATIONS = Counter(
    "corianderhaven_operations", "Operations by outcome.", ["service", "operation", "outcome"]
)
CLAIM_BATCH = Histogram(
    "corianderhaven_claim_batch_size",
    "Claims written in one call.",
    buckets=(1, 2, 4, 8, 16, 32, 64),
)
