"""Placement intent: the desired replicas of a zone, stored in the key-value service."""

import enum

import msgspec

from corianderhaven.common import new_id
from corianderhaven.membership import MemberReference


class DrainReason(enum.StrEnum):
    """Reason for draining an intended replica."""

    NONE = ""
    RETIRE = "retire"
    ROLL_OUT = "roll_out"


class IntentReplica(msgspec.Struct, kw_only=True):
    """One intended replica.

    Attributes
    ----------
    generation : int
        Increases each time the replica is re-formed; unique within the zone.
    drain : DrainReason
        Why the replica takes no new requests; once idle it is removed or re-formed.
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
        Unique per write, so that a writer recognizes its own write after a lost response.
    """

    zone: str
    token: int = 0
    next_generation: int = 1
    write_id: str = ""
    replicas: list[IntentReplica] = []

    def find(self, replica_id):
        """Return the replica with that id, or None."""
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
        Whether the intent in memory has changes made while the platform was unreachable.
    """

    def __init__(self, store, zone):
        self.store = store
        self.zone = zone
        self.intent = None
        self.revision = 0
        self.unwritten = False

    def load(self):
        """Read the stored intent, or start an empty one; raises `KeyValueError`."""
        item = self.store.get(intent_key(self.zone))
        self.revision = item.mod_revision if item else 0
        self.intent = (
            msgspec.json.decode(item.value, type=ZoneIntent) if item else ZoneIntent(zone=self.zone)
        )
        self.unwritten = False

    def write(self, intent, token):
        """Write by compare-and-swap; return False on a conflict. Raises `KeyValueError`.

        While `unwritten` is set, a retry keeps the write id, so that it recognizes an earlier
        write of the same `intent` whose response was lost.
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

    def set_unwritten(self, intent):
        """Use an intent that can't be written while the platform is unreachable."""
        self.intent = intent
        self.unwritten = True
