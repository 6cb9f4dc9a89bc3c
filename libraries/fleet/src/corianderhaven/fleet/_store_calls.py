"""Counts calls to the store by purpose and role.

Addresses the cost of the control plane: each call has a price, and which of them a fleet could
do without shows only in counts by purpose.
"""

from collections import Counter
from contextvars import ContextVar
from enum import StrEnum

from ._interfaces import MetadataStore


class Purpose(StrEnum):
    """What a call to the store is for."""

    WATCH = "watch"
    LISTING = "listing"
    REGISTRATION = "registration"
    RENEWAL = "renewal"
    CAMPAIGN = "campaign"
    KEEPER_LEASE = "keeper_lease"
    PARTS = "parts"
    DISCOVERY = "discovery"
    OTHER = "other"


class Role(StrEnum):
    """What the calling daemon is to the others at the time of the call.

    Of the hubs, which read the store or stand by, `KEEPER` is the one that holds the lease;
    `READER` is any other daemon, which gets the store's contents from a hub.
    """

    KEEPER = "keeper"
    HUB = "hub"
    READER = "reader"
    STARTING = "starting"


_purpose = ContextVar("purpose", default=Purpose.OTHER)


class StoreCalls:
    """Calls of one daemon by purpose and role.

    Attributes
    ----------
    counts : Counter
        Calls by (purpose, role).
    role : callable
        Returns the present `Role` of this daemon.
    on_call : callable
        Called with the purpose and the role of each call.
    """

    def __init__(self):
        self.counts = Counter()
        self.role = lambda: Role.STARTING
        self.on_call = lambda purpose, role: None

    def record(self):
        """Count one call of the current task; each page of a listing is one."""
        purpose, role = _purpose.get(), self.role()
        self.counts[purpose, role] += 1
        self.on_call(purpose, role)


class PurposeStore(MetadataStore):
    """A store whose calls are counted for the purposes of one component.

    Parameters
    ----------
    store : MetadataStore
    purpose : Purpose
        Purpose of all calls but watches and those named in `by_method`.
    **by_method : Purpose
        Purposes of calls of single methods, by the method's name.
    """

    def __init__(self, store, purpose, **by_method):
        self.store = store  # its era is that of the wrapped store, so the base sets none here
        self.purpose = purpose
        self.by_method = {"watch": Purpose.WATCH, **by_method}

    @property
    def era(self):
        """The `StoreEra` of the wrapped store."""
        return self.store.era

    async def _call(self, method, *arguments):
        token = _purpose.set(self.by_method.get(method, self.purpose))
        try:
            return await getattr(self.store, method)(*arguments)
        finally:
            _purpose.reset(token)

    async def read(self, key):
        """Return the `StoreItem` at `key`, or None."""
        return await self._call("read", key)

    async def list(self, prefix):
        """Return all items under `prefix` and the revision from which to watch them."""
        return await self._call("list", prefix)

    async def watch(self, prefix, after, wait_ms):
        """Return the changes after revision `after` and the revision to continue from."""
        return await self._call("watch", prefix, after, wait_ms)

    async def put_if(self, key, value, revision, lease=0):
        """Write `key` if its revision is `revision`; return the new one, or None."""
        return await self._call("put_if", key, value, revision, *([lease] if lease else []))

    async def grant_lease(self, ttl_ms):
        """Return the id of a new lease with a lifetime of `ttl_ms`."""
        return await self._call("grant_lease", ttl_ms)

    async def renew_lease(self, lease):
        """Renew a lease; raises `LeaseEndedError` if it has ended."""
        await self._call("renew_lease", lease)

    async def revoke_lease(self, lease):
        """Revoke a lease and delete its keys."""
        await self._call("revoke_lease", lease)
