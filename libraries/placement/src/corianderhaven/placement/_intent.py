"""Placement intent: which replicas there should be, kept in the platform's service."""

import enum

import msgspec

from corianderhaven.common import new_id
from corianderhaven.membership import MemberReference


class DrainReason(enum.StrEnum):
    """Why an intended replica is drained."""

    NONE = ""
    RETIRE = "retire"
    ROLL_OUT = "roll_out"


class IntentReplica(msgspec.Struct, kw_only=True):
    """One intended replica.

    Attributes
    ----------
    generation : int
        Raised each time the replica is formed anew; unique within the zone.
    drain : DrainReason
        Why it takes no new work; it is then released or formed anew once it is idle.
    """

    replica_id: str
    generation: int
    deployment: str
    model: str
    version: str
    adapters: list[str]
    fabric_domain: str
    members: list[MemberReference]
    drain: DrainReason = DrainReason.NONE

    @property
    def vms(self):
        """Return the VM ids of the members."""
        return [member.vm for member in self.members]


class ZoneIntent(msgspec.Struct, kw_only=True):
    """All intended replicas of a zone.

    Attributes
    ----------
    write_id : str
        Unique per write, so that a write whose answer was lost is known as one's own.
    """

    zone: str
    token: int = 0
    next_generation: int = 1
    write_id: str = ""
    replicas: list[IntentReplica] = []

    def find(self, replica_id):
        """Return the replica of that id, or None."""
        return next((r for r in self.replicas if r.replica_id == replica_id), None)

    def used_vms(self):
        """Return the VM ids of all members."""
        return {vm for replica in self.replicas for vm in replica.vms}

    def copy(self):
        """Return an independent copy."""
        return msgspec.convert(msgspec.to_builtins(self), ZoneIntent)


def intent_key(zone):
    """Return the store key of a zone's intent."""
    return f"/corianderhaven/zones/{zone}/intent"


class IntentStore:
    """Reads and writes the intent of one zone.

    Parameters
    ----------
    store : BaseKeyValueStore
    zone : str

    Attributes
    ----------
    unwritten : bool
        Whether the intent in memory was changed while the platform was away.
    """

    def __init__(self, store, zone):
        self.store = store
        self.zone = zone
        self.intent = None
        self.revision = 0
        self.unwritten = False

    def load(self):
        """Read the stored intent; raises `KeyValueError`."""
        item = self.store.get(intent_key(self.zone))
        self.revision = item.mod_revision if item else 0
        self.intent = (
            msgspec.json.decode(item.value, type=ZoneIntent) if item else ZoneIntent(zone=self.zone)
        )
        self.unwritten = False

    def write(self, intent, token):
        """Write by compare-and-swap; returns False if somebody else wrote. Raises `KeyValueError`.

        A write whose answer was lost may be repeated with the same `intent`.
        """
        intent.token = token
        if not intent.write_id or not self.unwritten:
            intent.write_id = new_id("write")
        value = msgspec.json.encode(intent)
        result = self.store.compare_and_swap(intent_key(self.zone), self.revision, value)
        if not result.succeeded:
            self.intent = None
            return False
        self.revision = result.item.mod_revision
        self.intent = intent
        self.unwritten = False
        return True

    def keep_unwritten(self, intent):
        """Use an intent that can't be written while the platform is away."""
        self.intent = intent
        self.unwritten = True
