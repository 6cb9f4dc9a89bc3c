"""Interfaces of the platform's key-value service and VM list."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec

from corianderhaven.common import CorianderhavenError, ErrorCode, Outcome


class KeyValueError(CorianderhavenError):
    """Raised if a call to the key-value service got no usable response.

    Parameters
    ----------
    message : str
    ambiguous : bool
        Whether a write may have taken effect despite the error.
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
        Store revisions of the creation and of the last write of the key.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True)
class Swap:
    """One compare-and-swap; an expected revision of 0 means that the key must not exist."""

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
        Whether the value of this call is in the store.
    item : Item or None
        The item now in the store; on success, its revision is that of this write.
    """

    succeeded: bool
    item: Item | None


class BaseKeyValueStore(ABC):
    """A key-value service with compare-and-swap, leases and watches.

    Values must be unique per writer, so that a writer that did not receive the response to a
    compare-and-swap can recognize its own write by the value.
    """

    @abstractmethod
    def get(self, key):
        """Return the `Item` of `key`, or None."""

    @abstractmethod
    def list(self, prefix, limit=0):
        """Return the items whose keys begin with `prefix`."""

    @abstractmethod
    def compare_and_swap(self, key, expected_revision, value, lease=0):
        """Write if the key's last revision is the expected one; 0 means that it must not exist.

        Returns
        -------
        SwapResult
        """

    def swap_many(self, swaps):
        """Run several independent compare-and-swaps.

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
        """Delete if the key's last revision is the expected one; return whether it was deleted."""

    @abstractmethod
    def grant_lease(self, ttl_s):
        """Create a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease):
        """Renew a lease; return False if it has expired."""

    @abstractmethod
    def revoke_lease(self, lease):
        """Revoke a lease and delete its keys."""

    @abstractmethod
    def watch(self, key, idle_timeout_ms):
        """Yield the `Item` on each change of `key`, None on deletion; raises `KeyValueError`."""

    @abstractmethod
    def close(self):
        """Close the connections."""


class VmKind(enum.StrEnum):
    """Role of a VM."""

    ENGINE = "engine"
    SERVICE = "service"
    ENTRY = "entry"


class VmState(enum.StrEnum):
    """State of a VM as listed by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, kw_only=True, frozen=True):
    """One VM in the platform's list.

    Attributes
    ----------
    address : str
        ``IP:port`` of its endpoint, or of a daemon's peer listener.
    fabric_domain : str
        Engine VMs in the same domain can form a replica.
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
        """Return the list of `Vm`; raises `CorianderhavenError` if it is unavailable."""

    @abstractmethod
    def close(self):
        """Close the connections."""
