"""Interfaces to the hosting platform: metadata store, engine orders and data format."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum


class StoreUnavailableError(Exception):
    """Raised when the store rejects a call or returns no usable response.

    Parameters
    ----------
    message : str
        Description of the failure.
    outcome_unknown : bool
        Whether the change may have been applied or may still be applied.
    """

    def __init__(self, message, outcome_unknown=False):
        super().__init__(message)
        self.outcome_unknown = outcome_unknown


class AnswerCutShortError(StoreUnavailableError):
    """Raised when only part of an answer came, as it is too large or takes too long.

    The store is there, but the same call would fail again.
    """


class StoreRestoredError(StoreUnavailableError):
    """Raised when the store was restored from a copy while a call was under way.

    The call may have been carried out in either era.
    """

    def __init__(self, message):
        super().__init__(message, outcome_unknown=True)


class HistoryGoneError(Exception):
    """Raised when the store has compacted the changes since the requested revision."""


class LeaseEndedError(Exception):
    """Raised when a lease has expired or was revoked."""


@dataclass(frozen=True)
class StoreItem:
    """Item of the store; `value` is None for the deletion of an item."""

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


class MetadataStore(ABC):
    """Linearizable key-value store with conditional writes, leases and watches.

    Every call raises `StoreRestoredError` if the store's era changes during the call.

    Parameters
    ----------
    era : StoreEra
    """

    def __init__(self, era):
        self.era = era

    def check_era(self, sent_in, answered_in):
        """Check the era of an answer to a call that was sent when `sent_in` was the latest."""
        latest = self.era.observe(answered_in, "store")
        if not latest or (sent_in and answered_in != sent_in):
            raise StoreRestoredError(f"sent in era {sent_in}, answered in era {answered_in}")

    @abstractmethod
    async def read(self, key):
        """Return the `StoreItem` at `key`, or None."""

    @abstractmethod
    async def list(self, prefix):
        """Return all items under `prefix` and the revision from which to watch them."""

    @abstractmethod
    async def watch(self, prefix, after, wait_ms):
        """Return the changes after revision `after` and the revision to continue from.

        Raises
        ------
        HistoryGoneError
            If the changes were compacted and the items must be listed again.
        AnswerCutShortError
            If the changes are too many for one answer.
        """

    @abstractmethod
    async def put_if(self, key, value, revision, lease=0):
        """Write `key` if its revision is `revision` (0: absent); return the new one, or None."""

    @abstractmethod
    async def grant_lease(self, ttl_ms):
        """Return the id of a new lease with a lifetime of `ttl_ms`."""

    @abstractmethod
    async def renew_lease(self, lease):
        """Renew a lease; raises `LeaseEndedError` if it has ended."""

    @abstractmethod
    async def revoke_lease(self, lease):
        """Revoke a lease and delete its keys."""


class OrderResult(Enum):
    """Response of an engine to an order.

    `UNFIT` means that the state of the engine does not allow the order, `OUTDATED` that the
    engine has seen a newer generation, `REFUSED` that another endpoint answers or that this one
    takes no orders, and `UNKNOWN` that the order may have been executed. `NOT_SENT` is no
    response: this daemon may not send orders.
    """

    BEGUN = "begun"
    DONE = "done"
    UNFIT = "unfit"
    OUTDATED = "outdated"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


class EngineOrders(ABC):
    """Sends orders to engines and queries their state."""

    @abstractmethod
    async def report(self, endpoint, timeout_ms):
        """Return the `EngineReport`, or None if the engine does not respond."""

    @abstractmethod
    async def join(self, endpoint, replica, generation, model, members, order_count=None):
        """Make an endpoint a member of a replica; the first of `members` is the head.

        It is `UNFIT` if the endpoint hasn't accepted just `order_count` orders, unless None.
        """

    @abstractmethod
    async def open(self, head, replica, generation):
        """Let a head that is ready accept requests."""

    @abstractmethod
    async def close(self, head, replica, generation, abort):
        """Stop a head from accepting requests; `abort` also terminates running ones."""

    @abstractmethod
    async def leave(self, endpoint, replica, generation):
        """Remove an endpoint from a replica immediately."""

    @abstractmethod
    async def stage(self, endpoint, model):
        """Load a model onto the endpoint's host."""


class PlatformFormat(ABC):
    """Location and encoding of the platform's data in the store.

    Attributes
    ----------
    operator_prefix : str
        Prefix of the operator's items, the configuration among them; empty if the operator
        writes nothing but the configuration.
    """

    endpoint_prefix = ""
    config_key = ""
    operator_prefix = ""

    def evacuated_zone(self, key):
        """Return the zone that an item of the operator evacuates, or None if it is another one."""
        return

    @abstractmethod
    def decode_endpoint(self, endpoint_id, value):
        """Return the `Endpoint` in an entry; raises ValueError if it names no usable one."""

    @abstractmethod
    def decode_config(self, value):
        """Return the `FleetConfig`; raises ValueError if the value can't be decoded."""
