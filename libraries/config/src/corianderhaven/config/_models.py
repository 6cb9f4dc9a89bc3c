"""Data models of the configuration document.

The doc comments of these classes are the descriptions in the JSON Schema of the document.
"""

from typing import Annotated, Literal

import msgspec

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN, description="Lower-case name.")]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000, description="ms")]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9, description="0 is served first.")]
Weight = Annotated[float, msgspec.Meta(ge=0.0, le=1000.0)]


class StrictModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of the models; unknown fields are errors."""


class KeyHash(StrictModel, kw_only=True):
    """A salted hash of a bearer key.

    Attributes
    ----------
    id : str
        Public first part of the key, before the dot.
    salt : str
        Hexadecimal salt.
    sha256 : str
        Hexadecimal SHA-256 of salt and secret.
    """

    id: Name
    salt: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{16,64}$")]
    sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Account(StrictModel, kw_only=True):
    """A client account.

    Attributes
    ----------
    weight : float
        Share against other accounts of the same priority.
    max_in_flight : int
        Bound on requests in flight over one availability zone.
    """

    name: Name
    keys: list[KeyHash] = []
    priority: Priority = 5
    weight: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)] = 1.0
    max_in_flight: PositiveInt = 64


class Operator(StrictModel, kw_only=True):
    """A person or program that may change the configuration."""

    name: Name
    keys: list[KeyHash] = []


class Model(StrictModel, kw_only=True):
    """A model with its versions and adapters."""

    name: Name
    versions: Annotated[list[Name], msgspec.Meta(min_length=1)]
    adapters: list[Name] = []


class VmSelector(StrictModel, kw_only=True):
    """Which VMs may be used; an empty list means any.

    Attributes
    ----------
    label : str
        VMs of the platform's list carry one label, such as ``drafting``.
    """

    label: Name
    zones: list[Name] = []
    fabric_domains: list[Name] = []


class EngineContract(StrictModel, kw_only=True):
    """What the engines of a deployment promise about orders.

    Attributes
    ----------
    checks_fencing_token : bool
        Whether an engine refuses an order with an older fencing token.
    """

    checks_fencing_token: bool = True


class RepairWeights(StrictModel, kw_only=True):
    """How repair weighs its two measures, per ms of either.

    Attributes
    ----------
    group_downtime : float
        Weight of a ms in which a replica is not whole.
    stranded_accelerators : float
        Weight of a ms in which one live VM serves nothing.
    """

    group_downtime: Weight = 1.0
    stranded_accelerators: Weight = 1.0


class Floor(StrictModel, kw_only=True):
    """Least capacity kept during a roll-out."""

    whole_replicas: Annotated[int, msgspec.Meta(ge=0)] = 0


class Limits(StrictModel, kw_only=True):
    """Bounds and deadlines of a deployment's requests.

    Attributes
    ----------
    in_flight_per_replica : int
        Requests that one replica takes at once.
    queue_length : int
        Requests that wait in one daemon.
    queue_deadline_ms, first_token_deadline_ms, gap_deadline_ms, total_deadline_ms : int
        Greatest wait in the queue, for the first token, between tokens and in all.
    retry_budget : float
        Retries allowed as a fraction of first attempts.
    """

    in_flight_per_replica: PositiveInt = 16
    queue_length: PositiveInt = 64
    queue_deadline_ms: Milliseconds = 3_000
    first_token_deadline_ms: Milliseconds = 5_000
    gap_deadline_ms: Milliseconds = 1_500
    total_deadline_ms: Milliseconds = 120_000
    retry_budget: Annotated[float, msgspec.Meta(ge=0.0, le=2.0)] = 0.2


class Deployment(StrictModel, kw_only=True):
    """A model served on VMs for client accounts at a priority.

    Attributes
    ----------
    members_per_replica : int
        VMs that one replica spans, all of one fabric domain.
    accounts : list of str
        Client accounts that may use it; empty means all.
    """

    name: Name
    model: Name
    version: Name
    adapters: list[Name] = []
    members_per_replica: Annotated[int, msgspec.Meta(ge=1, le=64)]
    vms: VmSelector
    accounts: list[Name] = []
    priority: Priority = 5
    max_replicas_per_zone: PositiveInt = 64
    repair: RepairWeights = msgspec.field(default_factory=RepairWeights)
    floor: Floor = msgspec.field(default_factory=Floor)
    engine: EngineContract = msgspec.field(default_factory=EngineContract)
    limits: Limits = msgspec.field(default_factory=Limits)


class Operation(StrictModel, kw_only=True):
    """An operation of a plain service and what its endpoints promise.

    Attributes
    ----------
    idempotent : bool
        Whether running it twice does no harm. Never guessed from the HTTP verb.
    refuses_before_run : list of int
        Statuses that the endpoint sends only when it has not run the operation.
    deadline_ms : int
        Greatest wait for the answer of one attempt.
    retention_ms : int
        How long the answer of a keyed operation is kept.
    """

    name: Name
    idempotent: bool
    refuses_before_run: list[Annotated[int, msgspec.Meta(ge=400, le=599)]] = []
    deadline_ms: Milliseconds = 10_000
    retention_ms: Milliseconds = 86_400_000


class Service(StrictModel, kw_only=True):
    """A plain service beside the model engines."""

    name: Name
    vms: VmSelector
    operations: Annotated[list[Operation], msgspec.Meta(min_length=1)]
    accounts: list[Name] = []


class Document(StrictModel, kw_only=True):
    """The whole configuration of a site.

    Attributes
    ----------
    format : {1}
        Version of this format.
    zones : list of str
        Availability zones; neighbours in the list are nearest to each other.
    weight_store_loads : int
        Loads from the weight store that one zone may run at once.
    """

    format: Literal[1]
    site: Name
    zones: Annotated[list[Name], msgspec.Meta(min_length=1)]
    accounts: list[Account] = []
    operators: list[Operator] = []
    models: list[Model] = []
    deployments: list[Deployment] = []
    services: list[Service] = []
    weight_store_loads: PositiveInt = 8
