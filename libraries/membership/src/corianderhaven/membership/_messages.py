"""Messages between daemons and reports from endpoints."""

import enum

import msgspec

from corianderhaven.platform import Vm


class MemberReference(msgspec.Struct, frozen=True):
    """One member of a replica.

    Attributes
    ----------
    instance : str
        Changes each time the VM is replaced or restarted.
    """

    vm: str
    instance: str
    address: str


class Assignment(msgspec.Struct):
    """The replica that a member reports to belong to.

    Attributes
    ----------
    generation : int
        Increases each time the replica is re-formed.
    token : int
        Fencing token of the order that formed it.
    rank : int
        Position among the members; rank 0 serves requests.
    """

    replica_id: str
    generation: int
    token: int
    rank: int
    members: list[MemberReference]
    deployment: str
    model: str
    version: str
    adapters: list[str] = []


class Weights(msgspec.Struct, frozen=True):
    """A model version held in a VM's memory."""

    model: str
    version: str


class Load(msgspec.Struct):
    """Load as the endpoint reports it.

    Attributes
    ----------
    running, queued : int
        Requests in the batch, and requests waiting for it.
    step_ms : float
        Time between two tokens of one request.
    age_ms : float
        Age of these values at the time of the report.
    """

    running: int = 0
    queued: int = 0
    step_ms: float = 0.0
    age_ms: float = 0.0


class MemberStatus(enum.StrEnum):
    """Status that an endpoint reports of itself."""

    FREE = "free"
    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"
    BROKEN = "broken"


class MemberReport(msgspec.Struct):
    """Report of an endpoint on itself."""

    vm: str
    instance: str
    status: MemberStatus
    leaving: bool = False
    token: int = 0
    loaded: list[Weights] = []
    load: Load = msgspec.field(default_factory=Load)
    assignment: Assignment | None = None


class PeerInfo(msgspec.Struct, array_like=True):
    """Description that a daemon sends of itself.

    Attributes
    ----------
    started_ms : int
        Wall-clock start time; of two instances with one name, the later one is current.
    """

    name: str
    zone: str
    instance: str
    address: str
    started_ms: int
    draining: bool = False


class HeardPeer(msgspec.Struct, array_like=True):
    """Time since a peer was last known to be alive, and the version of its facts then.

    Attributes
    ----------
    instance : str
        Suffix of the peer's instance id.
    fact_version : int
        Number of changes that the peer has made to its facts.
    worst_age_ms : int
        Age of its oldest fact at that time.
    """

    name: str
    instance: str
    age_ms: int
    fact_version: int = 0
    worst_age_ms: int = 0


class FactKind(enum.StrEnum):
    """Kind of fact that a daemon shares about an endpoint that it probes."""

    REPORT = "report"
    LOST = "lost"
    SILENT = "silent"
    WITHDRAWN = "withdrawn"


class FactEntry(msgspec.Struct, array_like=True):
    """One fact; `report` is the last one for a silent endpoint and None for a lost one."""

    vm: str
    age_ms: int
    kind: FactKind
    report: MemberReport | None


class FactSet(msgspec.Struct):
    """Facts of one daemon: changes after version `since`, or all when it is 0."""

    since: int
    version: int
    entries: list[FactEntry]


class FactMessage(msgspec.Struct):
    """Facts pushed to a peer or returned to one that requested them."""

    sender: "PeerInfo"
    facts: FactSet


class LoadEntry(msgspec.Struct, array_like=True):
    """Load of a member that serves requests."""

    vm: str
    age_ms: int
    running: int
    queued: int
    step_ms: int


class DeploymentSummary(msgspec.Struct, array_like=True):
    """Capacity of one deployment in one availability zone."""

    whole_replicas: int
    free_slots: int


class ZoneSummary(msgspec.Struct):
    """Summary of a zone sent to other zones.

    Attributes
    ----------
    daemons : list of PeerInfo
        A few live daemons that accept requests from other zones.
    """

    zone: str
    age_ms: int
    daemons: list[PeerInfo]
    deployments: dict[str, DeploymentSummary] = {}
    services: dict[str, int] = {}


class Digest(msgspec.Struct, omit_defaults=True):
    """Body of a heartbeat and of its answer.

    Attributes
    ----------
    revision : int
        Active configuration revision of the sender, or 0 if there is none.
    vms_stamp : int
        Wall-clock time of the last change of the sender's VM list, as noticed by the daemon
        that read it from the platform.
    fact_version, worst_age_ms : int
        Version of the sender's own facts and age of the oldest one, see `HeardPeer`.
    in_flight : dict of str to int
        The sender's own requests in flight by replica.
    accounts : dict of str to int
        The sender's own requests in flight and queued by client account.
    """

    sender: PeerInfo
    revision: int = 0
    vms_stamp: int = 0
    fact_version: int = 0
    worst_age_ms: int = 0
    heard: list[HeardPeer] = []
    peers: list[PeerInfo] = []
    loads: list[LoadEntry] = []
    zones: list[ZoneSummary] = []
    in_flight: dict[str, int] = {}
    accounts: dict[str, int] = {}


class VmSnapshot(msgspec.Struct):
    """A VM list with the wall-clock time at which its last change was noticed."""

    stamp: int
    vms: list[Vm]
