"""Lease that selects the daemon which places replicas in an availability zone."""

import enum

import msgspec

from corianderhaven.common import new_id
from corianderhaven.platform import KeyValueError

LEASE_TTL_S = 6
SAFETY_MARGIN_MS = 1_000.0
ORDER_TIMEOUT_MS = 1_000.0
MS_PER_S = 1_000


class LeaseState(enum.StrEnum):
    """What this daemon may do in a zone.

    ``HELD``: the lease is valid. ``DETACHED``: the lease was held but its validity can't be
    confirmed with the platform; only engines that check fencing tokens may receive orders.
    ``NONE``: no orders.
    """

    NONE = "none"
    HELD = "held"
    DETACHED = "detached"


class LeaseOwner(msgspec.Struct):
    """The stored value of a zone's lease."""

    daemon: str
    instance: str
    nonce: str


def lease_key(zone):
    """Return the store key of a zone's lease."""
    return f"/corianderhaven/zones/{zone}/lease"


class ZoneLease:
    """Acquires and renews the lease of one zone.

    Validity is counted from the time before the request was sent, so that a pause between the
    response and its use never makes an expired lease look valid.

    Parameters
    ----------
    store : BaseKeyValueStore
    clock : Clock
    zone : str
    own : PeerInfo
        This daemon.

    Attributes
    ----------
    token : int
        Fencing token: the store revision at which the lease was acquired.
    """

    def __init__(self, store, clock, zone, own):
        self.store = store
        self.clock = clock
        self.zone = zone
        self.own = own
        self.token = 0
        self.lease = 0
        self.valid_until_ms = float("-inf")
        self.acquired_ms = float("-inf")
        self.state = LeaseState.NONE

    def current_state(self):
        """Return the `LeaseState` at this moment."""
        if self.state is LeaseState.HELD and self.clock.now_ms() >= self.valid_until_ms:
            self.state = LeaseState.DETACHED
        return self.state

    def acquire(self):
        """Try to acquire the lease; return whether it is held. Raises `KeyValueError`."""
        if self.store.get(lease_key(self.zone)) is not None:
            return False
        sent_ms = self.clock.now_ms()
        lease = self.store.grant_lease(LEASE_TTL_S)
        owner = LeaseOwner(self.own.name, self.own.instance, new_id("lease"))
        value = msgspec.json.encode(owner)
        result = self.store.compare_and_swap(lease_key(self.zone), 0, value, lease)
        if not result.succeeded:
            self._try_revoke(lease)
            return False
        self.lease = lease
        self.token = result.item.mod_revision
        self.acquired_ms = self.clock.now_ms()
        self._extend(sent_ms)
        return True

    def renew(self):
        """Renew the lease; return whether it is still held.

        If the platform is unreachable, the state becomes ``DETACHED`` when the validity ends;
        if the platform reports that the lease has expired, the state becomes ``NONE``.
        """
        sent_ms = self.clock.now_ms()
        try:
            renewed = self.store.renew_lease(self.lease)
        except KeyValueError:
            return self.current_state() is LeaseState.HELD
        if not renewed:
            self.drop()
            return False
        self._extend(sent_ms)
        return True

    def may_order(self, checks_fencing_token):
        """Return whether an order may be sent now.

        Parameters
        ----------
        checks_fencing_token : bool
            Whether the engine refuses orders with an older token.
        """
        state = self.current_state()
        if checks_fencing_token:
            return state is not LeaseState.NONE
        if state is not LeaseState.HELD:
            return False
        now = self.clock.now_ms()
        predecessor_orders_expired = now - self.acquired_ms >= ORDER_TIMEOUT_MS + SAFETY_MARGIN_MS
        return predecessor_orders_expired and self.valid_until_ms - now >= ORDER_TIMEOUT_MS

    def drop(self):
        """Discard the lease after it expired or an engine refused its token."""
        self.state = LeaseState.NONE
        self.valid_until_ms = float("-inf")

    def release(self):
        """Revoke the lease if it may still be held."""
        if self.state is not LeaseState.NONE:
            self._try_revoke(self.lease)
        self.drop()

    def _extend(self, sent_ms):
        self.valid_until_ms = sent_ms + LEASE_TTL_S * MS_PER_S - SAFETY_MARGIN_MS
        self.state = LeaseState.HELD

    def _try_revoke(self, lease):
        """Revoke a lease; if the call fails, the lease expires on its own."""
        try:
            self.store.revoke_lease(lease)
        except KeyValueError:
            pass
