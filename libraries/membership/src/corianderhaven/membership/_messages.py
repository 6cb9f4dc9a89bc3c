"""Messages between daemons, and the reports of endpoints."""

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
    """The replica that a member says it belongs to.

    Attributes
    ----------
    generation : int
        Raised each time the replica is formed anew.
    token : int
        Fencing token of the order that formed it.
    rank : int
        Place among the members; rank 0 answers requests.
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
        Requests in the batch and before it.
    step_ms : float
        Time between two tokens of one request.
    age_ms : float
        Age of these numbers at the time of the report.
    """

    running: int = 0
    queued: int = 0
    step_ms: float = 0.0
    age_ms: float = 0.0


class MemberStatus(enum.StrEnum):
    """Status of an endpoint in its own words."""

    FREE = "free"
    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"
    BROKEN = "broken"


class MemberReport(msgspec.Struct):
    """An endpoint's own report."""

    vm: str
    instance: str
    status: MemberStatus
    leaving: bool = False
    token: int = 0
    loaded: list[Weights] = []
    load: Load = msgspec.field(default_factory=Load)
    assignment: Assignment | None = None


class PeerInfo(msgspec.Struct, array_like=True):
    """What a daemon says of itself.

    Attributes
    ----------
    started_ms : int
        Wall-clock start time; the later of two instances of one name is the current one.
    """

    name: str
    zone: str
    instance: str
    address: str
    started_ms: int
    draining: bool = False


class HeardPeer(msgspec.Struct, array_like=True):
    """How long ago a peer was last known to be alive, and what it vouched for then.

    Attributes
    ----------
    instance : str
        The end of the peer's instance id.
    fact_version : int
        The peer's count of changes of its facts.
    worst_age_ms : int
        Age of its oldest fact at that time.
    """

    name: str
    instance: str
    age_ms: int
    fact_version: int = 0
    worst_age_ms: int = 0


class FactKind(enum.StrEnum):
    """What a daemon knows of an endpoint that it probes."""

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
    """Facts on their way to a peer, or back from one that was asked."""

    sender: "PeerInfo"
    facts: FactSet


class LoadEntry(msgspec.Struct, array_like=True):
    """Load of a member that answers requests."""

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
    """What other zones know of a zone.

    Attributes
    ----------
    daemons : list of PeerInfo
        A few live daemons that take spill-over.
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
        Configuration revision in force at the sender, 0 for none.
    vms_stamp : int
        Wall-clock time at which the sender's VM list was read.
    fact_version, worst_age_ms : int
        What the sender vouches for, see `HeardPeer`.
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
    """A VM list with the wall-clock time at which it was read."""

    stamp: int
    vms: list[Vm]
