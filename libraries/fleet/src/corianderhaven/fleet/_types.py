"""Data types for endpoints, replicas, configuration and settings."""

from dataclasses import dataclass, field
from enum import StrEnum


class ReplicaState(StrEnum):
    """State of a replica as reported by a member."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class RequestKind(StrEnum):
    """How requests of a route may be retried, as declared by the operator."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Membership:
    """Membership of an endpoint in a replica; rank 0 is the head, which serves requests."""

    replica: str
    generation: int
    rank: int
    state: ReplicaState


@dataclass(frozen=True)
class Endpoint:
    """State that one incarnation of an endpoint reported about itself.

    Two are equal if nothing differs that routing or the keeper uses.

    Parameters
    ----------
    id : str
        Identifier that a request can carry so that no other endpoint runs it.
    entry_number : int
        Increases with each entry that this incarnation writes; 0 means unknown.
    started_ms : int
        Unix time in ms at which this incarnation started; it identifies the incarnation.
    models : tuple of str
        Models in memory.
    staged : tuple of str
        Models staged on the VM's host, which load much faster than from the weight store.
    warmup_remaining_ms : float
        Remaining time in which the endpoint is slow after its start.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    entry_number: int = field(default=0, compare=False)
    started_ms: int = 0
    domain: str = ""
    models: tuple = ()
    staged: tuple = ()
    membership: Membership | None = None
    warmup_remaining_ms: float = field(default=0.0, compare=False)


@dataclass(frozen=True)
class EngineReport:
    """State that an engine returns when queried directly.

    Parameters
    ----------
    order_count : int or None
        Orders that this incarnation has accepted; rises with each that begins something.
    """

    started_ms: int
    busy: bool
    staged: tuple
    membership: Membership | None
    queued: int
    active: int
    time_factor: float
    order_count: int | None = None


@dataclass(frozen=True)
class ModelSpec:
    """Model as declared by the operator.

    Parameters
    ----------
    size : int
        Number of VMs in one replica.
    time_factor : float
        Factor by which the step and prefill times of the engine are multiplied.
    share : float
        Expected share of the work at the start.
    load_s, staged_load_s : float
        Time to load from the weight store and from the VM's host.
    """

    name: str
    size: int
    time_factor: float
    share: float
    load_s: float
    staged_load_s: float


@dataclass(frozen=True)
class EngineSpec:
    """Capacity and timing of the engines of a service.

    Parameters
    ----------
    slots : int
        Number of requests that a replica runs concurrently.
    tokens_per_event : int
        Tokens in one stream event.
    step_ms, step_per_request_ms, step_per_k_context_ms : float
        Time of one decoding step, the time that each running request adds to it, and the time
        that each thousand tokens of its context add.
    prefill_tokens_per_s : float
        Prompt tokens processed per second.
    prefill_chunk_tokens : int
        Maximum number of prompt tokens processed in one step.
    loads_per_s : float
        Loads that the weight store can start per second.
    max_concurrent_loads : int
        Loads that the weight store can serve at the same time.
    """

    slots: int
    models: tuple
    tokens_per_event: int = 1
    step_ms: float = 10.0
    step_per_request_ms: float = 0.0
    step_per_k_context_ms: float = 0.0
    prefill_tokens_per_s: float = 10_000.0
    attention_ms_per_million_pairs: float = 0.0
    prefill_chunk_tokens: int = 2048
    kv_capacity_tokens: int = 0
    loads_per_s: float = 1.0
    max_concurrent_loads: int = 1
    formation_ms: float = 0.0
    typical_prompt_tokens: float = 0.0
    typical_answer_tokens: float = 100.0

    def model(self, name):
        """Return the `ModelSpec` with the given name, or None."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True)
class ServiceSpec:
    """Service; `engine` is None for services without model engines.

    Parameters
    ----------
    cold_per_s : float
        Requests per second that an endpoint takes while it is cold; 0 means no bound.
    cold_ms : float
        Time for which an endpoint is cold.
    """

    name: str
    engine: EngineSpec | None = None
    cold_per_s: float = 0.0
    cold_ms: float = 3_000.0


@dataclass(frozen=True)
class RouteRule:
    """Services, limits and retry rules for requests with a host and path prefix.

    Parameters
    ----------
    services : tuple of (str, float)
        Services with their weights.
    timeout_ms : float
        Maximum time until the final response to a request.
    goal_ms : float
        Target latency of the response, or of the first event of a stream.
    gap_goal_ms : float
        Target for the longest gap between two events of a stream.
    max_endpoints : int
        Maximum number of endpoints to which one request may be sent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple
    timeout_ms: float
    goal_ms: float
    priority: int = 5
    max_endpoints: int = 1
    anonymous: bool = False
    resumable: bool = False
    gap_goal_ms: float = 0.0

    @property
    def retryable(self):
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True)
class Account:
    """Client account with its API keys."""

    name: str
    keys: tuple
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of requests and on idle connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclass(frozen=True)
class FleetConfig:
    """One version of the operator's configuration."""

    version: int
    routes: tuple
    services: dict
    accounts: tuple
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass
class NodeSettings:
    """Settings of a daemon, read from its VM.

    Parameters
    ----------
    callers, readiness, peers : str
        Listening addresses, ``IP:port``, for clients, readiness checks and other daemons.
    first_start : bool
        Whether the whole site starts for the first time.
    grace_ms : float
        Time from SIGTERM to SIGKILL.
    stall_ms : float
        Time after which a replica with a missing member declares itself broken.
    retry_ratio, retry_slack : float
        Retries allowed in a window of `retry_window_ms`: `retry_ratio` times the requests, plus
        `retry_slack` for all daemons together.
    lease_min_ms : float
        Shortest lease that the store grants.
    load_window_ms : float
        Window over which loads from the weight store are counted to limit their rate.
    weigh_prompts : bool
        Whether heads are chosen by the prompt tokens that they have to prefill, too.
    evacuate_ms : float
        Time from the store's acknowledgement of an evacuation until no request reaches the zone.
    memory_mb : float or None
        Memory of the VM; by default that of an ordinary one is assumed.
    max_fds : int or None
        File descriptors that the process may use; by default what the system allows.
    drain_ms, config_ms : float
        Time within which an endpoint's leaving, and a new configuration, are in force at all
        daemons; 0 if not specified. Daemons of a large fleet read the store no more often than
        these bounds need.
    cold_overrun, cold_slack : float
        Requests that a cold endpoint gets in any one second are at most `cold_overrun` times its
        rate, plus `cold_slack`.
    fair_shares : bool
        Whether accounts share full queues equally, where the configuration names several.
    """

    name: str
    zone: str
    ip: str
    callers: str
    readiness: str
    peers: str
    store: str
    first_start: bool = False
    grace_ms: float = 8_000.0
    stall_ms: float = 4_000.0
    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_slack: float = 10.0
    lease_min_ms: float = 1_000.0
    load_window_ms: float = 5_000.0
    weigh_prompts: bool = False
    evacuate_ms: float = 5_000.0
    memory_mb: float | None = None
    max_fds: int | None = None
    drain_ms: float = 0.0
    config_ms: float = 0.0
    cold_overrun: float = 1.5
    cold_slack: float = 5.0
    fair_shares: bool = False
