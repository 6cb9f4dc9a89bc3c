"""Claims of idempotency keys.

A claimed operation runs at most once; repeated requests get the recorded response.
"""

import enum
import hashlib
import threading
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from corianderhaven.common import (
    CorianderhavenError,
    ErrorCode,
    Outcome,
    PeriodicThread,
    TransportError,
    new_id,
)
from corianderhaven.platform import KeyValueError, Swap

CLAIM_PREFIX = "/corianderhaven/claims/"
CLAIM_DEADLINE_MS = 2_500.0
SWAP_TIMEOUT_MS = 1_500.0
AMBIGUOUS_RETRY_PAUSE_MS = 100.0
WRITE_RETRY_PERIOD_MS = 500.0
MAX_LEASE_SHARING_MS = 3_600_000
MAX_RECORDED_BYTES = 256 * 1024
MAX_LOCAL_CLAIMS = 20_000
MAX_PENDING_WRITES = 5_000


class ClaimState(enum.StrEnum):
    """State of the operation that a claim covers."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Claim(msgspec.Struct, kw_only=True):
    """The stored claim of one idempotency key.

    Attributes
    ----------
    claim_id : str
        Unique per request, so that a request recognises its own claim after an ambiguous
        write.
    owner, owner_address : str
        Instance and peer address of the daemon that runs the operation.
    payload_digest : str
        Digest of the request body; a repeated request with another body is refused.
    status, content_type, body :
        The recorded response once the state is ``done``.
    """

    claim_id: str
    owner: str
    owner_address: str
    payload_digest: str
    state: ClaimState
    claimed_ms: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""

    def encode(self):
        """Return the claim as JSON bytes."""
        return msgspec.json.encode(self)


def decode_claim(value):
    """Return the `Claim` encoded as JSON bytes."""
    return msgspec.json.decode(value, type=Claim)


def claim_key(account, service, operation, idempotency_key):
    """Return the store key of an idempotency key, which is scoped by account and operation."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()[:40]
    return f"{CLAIM_PREFIX}{account}/{service}/{operation}/{digest}"


@dataclass
class HeldClaim:
    """A claim held by this daemon, with the store revision of its last write."""

    key: str
    claim: Claim
    revision: int
    lease: int


@dataclass(frozen=True)
class ClaimResult:
    """Either the claim held by this request, or the existing claim of an earlier one."""

    held: HeldClaim | None
    existing: Claim | None


class LeasePool:
    """Provides one lease per retention time, shared by the claims of up to an hour.

    Parameters
    ----------
    store : BaseKeyValueStore
    clock : Clock
    """

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.leases = {}
        self.lock = threading.Lock()

    def lease(self, retention_ms):
        """Return a lease that lasts for at least `retention_ms`."""
        with self.lock:
            granted_ms, lease = self.leases.get(retention_ms, (float("-inf"), 0))
            now = self.clock.now_ms()
            sharing_ms = min(MAX_LEASE_SHARING_MS, retention_ms)
            if now - granted_ms >= sharing_ms:
                lease = self.store.grant_lease((retention_ms + sharing_ms) // 1000 + 1)
                self.leases[retention_ms] = (now, lease)
            return lease

    def clear(self):
        """Forget all leases; called when the store doesn't recognise one."""
        with self.lock:
            self.leases.clear()


class ClaimRegistry:
    """Creates, completes and releases claims.

    Parameters
    ----------
    store : BaseKeyValueStore
    committer : GroupCommitter
    clock : Clock
    own : PeerInfo
    transport : PeerTransport
        Used to query the owner of an unfinished claim.
    decisions : DecisionLog
    """

    def __init__(self, store, committer, clock, own, transport, decisions):
        self.store = store
        self.committer = committer
        self.clock = clock
        self.own = own
        self.transport = transport
        self.decisions = decisions
        self.leases = LeasePool(store, clock)
        self.local_claims = OrderedDict()
        self.pending_writes = {}
        self.lock = threading.Lock()
        self.periodic = None

    def start(self):
        """Start the background thread that retries failed writes."""
        self.periodic = PeriodicThread("claim-recorder", self.write_pending, WRITE_RETRY_PERIOD_MS)
        self.periodic.start()
        return self

    def close(self):
        """Stop the background thread, then try the pending writes once more."""
        self.periodic.close()
        self.write_pending()

    def claim(self, key, payload_digest, retention_ms):
        """Claim `key`; called before the operation is sent.

        Returns
        -------
        ClaimResult

        Raises
        ------
        CorianderhavenError
            ``claims_unavailable`` with the outcome ``not_run`` if the claim can't be written
            with certainty; the operation must not be sent then.
        """
        claim = Claim(
            claim_id=new_id("claim"),
            owner=self.own.instance,
            owner_address=self.own.address,
            payload_digest=payload_digest,
            state=ClaimState.CLAIMED,
            claimed_ms=self.clock.wall_ms(),
        )
        self._keep_local(claim)
        try:
            return self._write_claim(key, claim, retention_ms)
        except KeyValueError as error:
            self._abandon(key, claim)
            raise CorianderhavenError(
                ErrorCode.CLAIMS_UNAVAILABLE, error.message, Outcome.NOT_RUN, retry_after_ms=1000
            ) from error

    def _write_claim(self, key, claim, retention_ms):
        """Write the claim, repeating ambiguous writes; writing the same value is idempotent."""
        deadline = self.clock.now_ms() + CLAIM_DEADLINE_MS
        revision = 0
        while True:
            try:
                lease = self.leases.lease(retention_ms)
                swap = Swap(key, revision, claim.encode(), lease)
                result = self.committer.swap(swap, SWAP_TIMEOUT_MS)
            except KeyValueError as error:
                lease_unknown = "lease not found" in error.message
                if lease_unknown:
                    self.leases.clear()
                repeatable = error.ambiguous or lease_unknown
                if self.clock.now_ms() >= deadline or not repeatable:
                    raise
                self.clock.sleep_ms(AMBIGUOUS_RETRY_PAUSE_MS)
                continue
            if result.succeeded:
                return ClaimResult(HeldClaim(key, claim, result.item.mod_revision, lease), None)
            if result.item is None:
                revision = 0
                continue
            existing = decode_claim(result.item.value)
            if existing.claim_id == claim.claim_id:
                held = HeldClaim(key, claim, result.item.mod_revision, lease)
                return ClaimResult(held, None)
            if not self._is_released(existing):
                return ClaimResult(None, existing)
            revision = result.item.mod_revision

    def _is_released(self, existing):
        """Return whether a claim was released without a run, by its stored state or its owner."""
        if existing.state is ClaimState.RELEASED:
            return True
        if existing.state is not ClaimState.CLAIMED:
            return False
        current = self._ask_owner(existing)
        return current is not None and current.state is ClaimState.RELEASED

    def resolve(self, existing):
        """Return the latest known state of an existing claim, querying its owner if necessary.

        Returns
        -------
        Claim
            In state ``claimed`` only if the owner confirms that the operation is running;
            ``unknown`` if the owner can't be reached or no longer knows the claim.
        """
        if existing.state is not ClaimState.CLAIMED:
            return existing
        current = self._ask_owner(existing)
        if current is not None:
            return current
        return msgspec.structs.replace(existing, state=ClaimState.UNKNOWN)

    def _ask_owner(self, claim):
        if claim.owner == self.own.instance:
            return self.local_claims.get(claim.claim_id)
        try:
            path = f"/peer/claims/{claim.claim_id}"
            exchange = self.transport.call(claim.owner_address, "GET", path)
            return decode_claim(exchange.body) if exchange.status == 200 else None
        except (TransportError, msgspec.DecodeError):
            return None

    def complete(self, held, status, content_type, body):
        """Record the response; retried in the background while the store is unavailable."""
        fits = len(body) <= MAX_RECORDED_BYTES
        self._update(
            held,
            state=ClaimState.DONE,
            status=status,
            content_type=content_type,
            body=body if fits else b'{"recorded": "answer too large to keep"}',
        )

    def mark_unknown(self, held):
        """Record that the operation may or may not have run."""
        self._update(held, state=ClaimState.UNKNOWN)

    def release(self, held):
        """Release the key once it is certain that the operation was not run."""
        self._update(held, state=ClaimState.RELEASED)

    def read(self, key):
        """Return the stored claim of a key, or None; raises `KeyValueError`."""
        item = self.store.get(key)
        return None if item is None else decode_claim(item.value)

    def _update(self, held, **changes):
        held.claim = msgspec.structs.replace(held.claim, **changes)
        self._keep_local(held.claim)
        with self.lock:
            if len(self.pending_writes) < MAX_PENDING_WRITES:
                self.pending_writes[held.claim.claim_id] = held
        self._write(held)

    def _write(self, held):
        swap = Swap(held.key, held.revision, held.claim.encode(), held.lease)
        try:
            result = self.committer.swap(swap, SWAP_TIMEOUT_MS)
        except KeyValueError:
            return
        if not result.succeeded:
            self.decisions.record("claim_overtaken", key=held.key, claim_id=held.claim.claim_id)
        with self.lock:
            self.pending_writes.pop(held.claim.claim_id, None)

    def write_pending(self):
        """Retry the pending writes."""
        with self.lock:
            waiting = list(self.pending_writes.values())
        for held in waiting:
            self._write(held)

    def _abandon(self, key, claim):
        """Mark a claim whose write failed or stayed ambiguous as released, for queries by peers."""
        claim = msgspec.structs.replace(claim, state=ClaimState.RELEASED)
        self._keep_local(claim)
        self.decisions.record("claim_abandoned", key=key, claim_id=claim.claim_id)

    def _keep_local(self, claim):
        with self.lock:
            self.local_claims[claim.claim_id] = claim
            self.local_claims.move_to_end(claim.claim_id)
            while len(self.local_claims) > MAX_LOCAL_CLAIMS:
                self.local_claims.popitem(last=False)
