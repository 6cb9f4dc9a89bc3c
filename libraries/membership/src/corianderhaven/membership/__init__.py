"""Peers, digests, configuration propagation, the VM directory and shared probing."""

from ._adoption import ZoneAdoption
from ._config_holder import ConfigHolder
from ._config_propagation import ConfigProposer, ConfigWatcher
from ._directory import VmDirectory
from ._facts import Fact, FactTable
from ._heartbeat import Heartbeater
from ._messages import (
    Assignment,
    DeploymentSummary,
    Digest,
    FactMessage,
    HeardPeer,
    Load,
    MemberReference,
    MemberReport,
    MemberStatus,
    PeerInfo,
    VmSnapshot,
    Weights,
    ZoneSummary,
)
from ._peers import PeerRecord, PeerState, PeerTable
from ._probing import ProbeSupervisor
from ._transport import PeerTransport, peer_signature, verify_peer_signature

__all__ = [
    "Assignment",
    "ConfigHolder",
    "ConfigProposer",
    "ConfigWatcher",
    "DeploymentSummary",
    "Digest",
    "Fact",
    "FactMessage",
    "FactTable",
    "HeardPeer",
    "Heartbeater",
    "Load",
    "MemberReference",
    "MemberReport",
    "MemberStatus",
    "PeerInfo",
    "PeerRecord",
    "PeerState",
    "PeerTable",
    "PeerTransport",
    "ProbeSupervisor",
    "VmDirectory",
    "VmSnapshot",
    "Weights",
    "ZoneAdoption",
    "ZoneSummary",
    "peer_signature",
    "verify_peer_signature",
]
