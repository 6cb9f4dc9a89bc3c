"""Interfaces of the platform."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from corianderhaven.common import CorianderhavenError, ErrorCode, Outcome


class KeyValueError(CorianderhavenError):
    """A call to the key-value service that gave no usable answer.

    Parameters
    ----------
    message : str
    ambiguous : bool
        Whether a write may have taken effect all the same.
    code : ErrorCode
    """

    def __init__(self, message, ambiguous, code=ErrorCode.PLATFORM_UNAVAILABLE):
        outcome = Outcome.UNKNOWN if ambiguous else Outcome.NOT_RUN
        super().__init__(code, message, outcome, retry_after_ms=1000)
        self.ambiguous = ambiguous


@dataclass(frozen=True)
class Item:
    """One key with its value and revisions.

    Attributes
    ----------
    create_revision, mod_revision : int
        Store revisions of the creation and of the last write.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True)
class Swap:
    """One compare-and-swap; an expected revision of 0 means that the key is absent."""

    key: str
    expected_revision: int
    value: bytes
    lease: int = 0


@dataclass(frozen=True)
class SwapResult:
    """Result of a compare-and-swap.

    Attributes
    ----------
    succeeded : bool
        Whether this writer's value is in the store.
    item : Item or None
        The item now in the store; its revision is this write's if it succeeded.
    """

    succeeded: bool
    item: Item | None


class BaseKeyValueStore(ABC):
    """A key-value service with compare-and-swap, leases and watches.

    Values must be unique per writer: a compare-and-swap whose answer was lost is
    recognised as one's own by its value.
    """

    @abstractmethod
    def get(self, key):
        """Return the `Item` of `key`, or None."""

    @abstractmethod
    def list(self, prefix, limit=0):
        """Return the items whose keys begin with `prefix`."""

    @abstractmethod
    def compare_and_swap(self, key, expected_revision, value, lease=0):
        """Write if the key's last revision is the expected one; 0 means absent.

        Returns
        -------
        SwapResult
        """

    def swap_many(self, swaps):
        """Run several compare-and-swaps, independently of each other.

        Parameters
        ----------
        swaps : list of Swap

        Returns
        -------
        list of SwapResult
        """
        return [self.compare_and_swap(s.key, s.expected_revision, s.value, s.lease) for s in swaps]

    @abstractmethod
    def delete(self, key, expected_revision):
        """Delete if the key's last revision is the expected one; return whether it was."""

    @abstractmethod
    def grant_lease(self, ttl_s):
        """Create a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease):
        """Renew a lease; return False when it has lapsed."""

    @abstractmethod
    def revoke_lease(self, lease):
        """End a lease and delete its keys."""

    @abstractmethod
    def watch(self, key, idle_timeout_ms):
        """Yield `Item` or None (deleted) at each change of `key`; ends with `KeyValueError`."""

    @abstractmethod
    def close(self):
        """Close the connections."""


class VmKind(enum.StrEnum):
    """What runs on a VM."""

    ENGINE = "engine"
    SERVICE = "service"
    ENTRY = "entry"


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, kw_only=True, frozen=True):
    """One VM of the platform's list.

    Attributes
    ----------
    address : str
        ``IP:port`` of its endpoint, or of a daemon's peer listener.
    fabric_domain : str
        Engine VMs of one domain can form a replica.
    """

    id: str
    address: str
    zone: str
    kind: VmKind
    label: str
    fabric_domain: str = ""
    state: VmState = VmState.LIVE


class BaseVmList(ABC):
    """The platform's list of VMs."""

    @abstractmethod
    def read(self):
        """Return the list of `Vm`; raises `CorianderhavenError` when unavailable."""

    @abstractmethod
    def close(self):
        """Close the connections."""
