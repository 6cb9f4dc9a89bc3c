"""Facts about endpoints and replicas, and the configuration in force."""

from dataclasses import dataclass, field
from enum import StrEnum


class ReplicaState(StrEnum):
    """What a member says of its replica."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class RequestKind(StrEnum):
    """What the operator allows to be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Membership:
    """One endpoint's place in a replica; rank 0 is the head, which answers requests."""

    replica: str
    generation: int
    rank: int
    state: ReplicaState


@dataclass(frozen=True)
class Endpoint:
    """What one life of an endpoint said of itself.

    Parameters
    ----------
    id : str
        Identity that a request can name, so that no other endpoint runs it.
    entry_number : int
        Grows with each entry that this life writes; 0 is unknown.
    started_ms : int
        Unix time of this life's start in ms; another value is another life.
    models : tuple of str
        Models in memory.
    staged : tuple of str
        Models on the VM's host, which load much faster.
    warmup_remaining_ms : float
        How much longer it stays slow after its start.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    entry_number: int = 0
    started_ms: int = 0
    domain: str = ""
    models: tuple = ()
    staged: tuple = ()
    membership: Membership | None = None
    warmup_remaining_ms: float = 0.0


@dataclass(frozen=True)
class EngineReport:
    """What an engine answers when asked directly."""

    started_ms: int
    busy: bool
    staged: tuple
    membership: Membership | None
    queued: int
    active: int
    time_factor: float


@dataclass(frozen=True)
class ModelSpec:
    """A model as the operator declares it.

    Parameters
    ----------
    size : int
        VMs of one replica.
    time_factor : float
        Factor on all of a replica's times.
    share : float
        Share of the work at the start.
    load_s, staged_load_s : float
        Time to load from the weight store, and from the VM's host.
    """

    name: str
    size: int
    time_factor: float
    share: float
    load_s: float
    staged_load_s: float


@dataclass(frozen=True)
class EngineSpec:
    """How the engines of a service work.

    Parameters
    ----------
    slots : int
        Requests that a replica runs at once.
    tokens_per_event : int
        Tokens in one event of a stream.
    step_ms, step_per_request_ms, step_per_k_context_ms : float
        Time of one token step, and what each running request adds to it.
    prefill_tokens_per_s : float
        Prompt tokens read in a second.
    prefill_chunk_tokens : int
        Most prompt tokens read in one step.
    loads_per_s, max_concurrent_loads : float
        What the weight store bears.
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
        """Return the `ModelSpec` of a name, or None."""
        return next((model for model in self.models if model.name == name), None)


@dataclass(frozen=True)
class ServiceSpec:
    """A service; `engine` is None for plain ones."""

    name: str
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class RouteRule:
    """Where requests of a host and path prefix go, and what may be done with them.

    Parameters
    ----------
    services : tuple of (str, float)
        Services with their weights.
    timeout_ms : float
        Longest time that a request may be kept waiting for its final answer.
    goal_ms : float
        Time within which an answer (a stream's first event) counts in full.
    gap_goal_ms : float
        Longest pause between events that counts in full.
    max_endpoints : int
        Most endpoints to which one request may be sent.
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
    """A client account with its keys."""

    name: str
    keys: tuple
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What callers may send and how long they may idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclass(frozen=True)
class FleetConfig:
    """The operator's configuration of one version."""

    version: int
    routes: tuple
    services: dict
    accounts: tuple
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass
class NodeSettings:
    """What a daemon learns from its VM's settings.

    Parameters
    ----------
    callers, readiness, peers : str
        ``IP:port`` to listen on.
    first_start : bool
        Whether the whole system starts for the first time.
    grace_ms : float
        Time from SIGTERM to SIGKILL.
    stall_ms : float
        Time after which a replica that lacks a member declares itself broken.
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
