"""Prometheus metrics of the gateway."""

from prometheus_client import Counter, Gauge, Histogram

PREFIX = "corianderhaven_gateway_"
LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0)

REQUESTS = Counter(PREFIX + "requests", "Requests by route and outcome", ["route", "outcome"])
ATTEMPTS = Counter(PREFIX + "sends", "Sends to endpoints by result", ["service", "result"])
FIRST_EVENT = Histogram(
    PREFIX + "first_event_seconds",
    "Time to a stream's first event, or to a whole answer",
    ["route"],
    buckets=LATENCY_BUCKETS_S,
)
LONGEST_PAUSE = Histogram(
    PREFIX + "longest_pause_seconds",
    "Longest pause between two events of a stream",
    ["route"],
    buckets=LATENCY_BUCKETS_S,
)
WAITING = Gauge(PREFIX + "waiting", "Requests that wait for a replica", ["model"])
PREFILL_TOKENS = Gauge(
    PREFIX + "prefill_tokens",
    "Prompt tokens of this daemon's requests that heads have yet to prefill",
)
IN_FLIGHT = Gauge(PREFIX + "in_flight", "Requests being answered")
SERVING_REPLICAS = Gauge(PREFIX + "serving_replicas", "Whole open replicas", ["model"])
STRANDED_VMS = Gauge(PREFIX + "stranded_vms", "Live engine VMs that serve nothing", ["service"])
LIMITED_ENDPOINTS = Gauge(PREFIX + "limited_endpoints", "Endpoints that name a limit")
COLD_ENDPOINTS = Gauge(PREFIX + "cold_endpoints", "Endpoints that are taken for cold")
PART_REJECTIONS = Counter(
    PREFIX + "part_rejections", "Requests rejected for a part of their prompt", ["verdict"]
)
ENDS_UNDER_REQUESTS = Counter(
    PREFIX + "ends_under_requests", "Answers in whose opening phase their endpoint ended"
)
CONNECTIONS = Counter(
    "corianderhaven_gateway_connections_total",
    "Requests sent to endpoints by the kind of connection.",
    ["service", "connection"],
)
FORWARDS = Counter(
    PREFIX + "forwards", "Requests forwarded to other daemons by result", ["service", "result"]
)
LOST_SCOPES = Gauge(PREFIX + "lost_scopes", "Scopes of endpoints that are out of reach")
EVACUATED_ZONES = Gauge(PREFIX + "evacuated_zones", "Zones that get no requests")
DENIED_SENDS = Counter(
    PREFIX + "denied_sends",
    "Requests held back just before they were sent, as their endpoint may get none any more",
    ["service", "reason"],
)
CONNECTION_FAILURES = Counter(
    PREFIX + "connection_failures",
    "Connections to endpoints that could not be opened, by cause",
    ["service", "cause"],
)
REFUSALS = Counter(
    PREFIX + "connection_refusals",
    "Requests, answers and connections given up to bound what the process holds, by cause",
    ["cause"],
)
GIVEN_UP = Counter(
    PREFIX + "given_up_requests",
    "Requests given up before they were read whole, by cause",
    ["cause"],
)
