"""Leader election of the keeper by a lease in the store."""

import asyncio
import random

from corianderhaven.common import MS_PER_S, new_id

from ._interfaces import LeaseEndedError, StoreRestoredError, StoreUnavailableError
from ._store_calls import Purpose, PurposeStore

LEASE_MS = 2_500.0  # three lost renewals; bounds the time without a keeper after a crash
RENEWAL_INTERVAL_MS = 700.0
RETRY_INTERVAL_MS = 100.0
TAKEOVER_DELAY_MS = 1_200.0  # twice the time for which digests are valid, see `may_order`
MAX_OUTAGE_TENURE_MS = 30_000.0  # a longer outage can't be told from a network partition
ORDER_MARGIN_MS = 400.0  # orders in flight must arrive before a successor's first order
# Revisions that the store may lose when it is restored from a copy some seconds old.
REVISIONS_PER_ERA = 10_000_000
RENEWED_MS = 1_300.0  # a renewal interval, a lost call and its retry
CAMPAIGN_JITTER_MS = 120.0  # lets one daemon's record become visible before the others try


class KeeperLease:
    """Campaigns for the keeper's record in the store and renews its lease.

    The daemon that holds the lease is the keeper and may send orders to engines. Its tenure is
    the revision of the record, raised by the era of the store, and orders carry it in their
    generations as a fencing token. A tenure ends as soon as a later era is seen: the restored
    store may have lost the lease, and given it to another daemon.

    A record without a lease is no keeper's: another writer left it, and it would never end. It is
    replaced, and a holder whose record was replaced by it steps down.

    Parameters
    ----------
    store : MetadataStore
    watcher : StoreWatcher
    key : str
        Key of the record.
    description : bytes
        Description of the holder that is stored in the record.
    clock : Clock
    decisions : DecisionLog

    Attributes
    ----------
    can_reach_engines : callable
        Returns whether this daemon can send orders to engines, or no other one can either.
    """

    def __init__(self, store, watcher, key, description, clock, decisions):
        self.store = PurposeStore(store, Purpose.CAMPAIGN, renew_lease=Purpose.KEEPER_LEASE)
        self.watcher = watcher
        self.key = key
        self.instance = new_id("keeper")
        self.value = self.instance.encode() + b"\n" + description
        self.clock = clock
        self.decisions = decisions
        self.lease = None
        self.tenure = None
        self.record_revision = 0
        self.latest_tenure = 0
        self.valid_until_ms = 0.0
        self.orders_from_ms = 0.0
        self.outage_confirmed = lambda: False
        self.can_reach_engines = lambda: True
        self.resigned = False
        self.first_start = False
        self.task = None
        store.era.listeners.append(self._end_tenure_of_earlier_era)

    def start(self):
        """Start campaigning."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self):
        """Stop immediately; the lease expires."""
        if self.task is not None:
            self.task.cancel()

    async def resign(self):
        """Revoke the lease, so that a successor need not wait for it to expire."""
        self.resigned = True
        self.close()
        await self._give_up_lease()

    async def _give_up_lease(self):
        lease, self.lease, self.tenure = self.lease, None, None
        if lease is not None:
            try:
                await self.store.revoke_lease(lease)
            except StoreUnavailableError as error:
                self.decisions.record("keeper_resign_unheard", reason=str(error))

    def may_order(self):
        """Return whether orders may be sent now.

        Once the lease may have expired, orders are allowed only while all peers report that
        they can't reach the store either, so that none of them can have won it. Two holders
        with outdated views would send orders to the same engines, and an engine accepts a join
        from either. A new holder delays its first order until a predecessor must have learned
        that the store is reachable.
        """
        if self.tenure is None or self.clock.boot_ms() < self.orders_from_ms:
            return False
        remaining_ms = self.valid_until_ms - self.clock.boot_ms()
        if remaining_ms > ORDER_MARGIN_MS:
            return True
        if self.watcher.store_reachable or remaining_ms < -MAX_OUTAGE_TENURE_MS:
            return False
        return self.outage_confirmed()

    def renewed_in_time(self):
        """Return whether this daemon is the keeper and no renewal of its lease is overdue."""
        renewed_ms = self.valid_until_ms - LEASE_MS
        return self.tenure is not None and self.clock.boot_ms() - renewed_ms < RENEWED_MS

    def step_down(self, generation):
        """Give up the tenure because an engine has seen the generation of a newer holder."""
        if self.tenure is not None:
            self.decisions.record("keeper_superseded", tenure=self.tenure, seen=generation)
        self.tenure = self.lease = None

    def _end_tenure_of_earlier_era(self):
        if self.tenure is not None:
            self.decisions.record("keeper_era_ended", tenure=self.tenure, era=self.store.era.number)
        self.tenure = self.lease = None

    def observe_tenure(self, tenure, source):
        """Take note of a tenure that a peer has seen; a later one than its own ends this one's.

        A holder that goes on during an outage of the store may have been succeeded before the
        outage, while only this daemon was cut off from the store.
        """
        self.latest_tenure = max(self.latest_tenure, tenure)
        if self.tenure is not None and tenure > self.tenure:
            self.decisions.record(
                "keeper_succeeded", tenure=self.tenure, later=tenure, source=source
            )
            self.tenure = self.lease = None

    async def _run(self):
        while True:
            try:
                if not self.can_reach_engines():
                    await self._hand_over()
                    await asyncio.sleep(RENEWAL_INTERVAL_MS / MS_PER_S)
                elif self.tenure is not None:
                    await self._renew()
                    await asyncio.sleep(RENEWAL_INTERVAL_MS / MS_PER_S)
                else:
                    await self._campaign()
            except LeaseEndedError:
                self.decisions.record("keeper_lease_ended", tenure=self.tenure)
                self.tenure = self.lease = None
            except StoreUnavailableError as error:
                self.decisions.record("keeper_store_failed", reason=str(error))
                await asyncio.sleep(RETRY_INTERVAL_MS / MS_PER_S)

    async def _hand_over(self):
        """End the tenure, so that a daemon that reaches the engines is elected."""
        if self.tenure is not None:
            self.decisions.record("keeper_handed_over", tenure=self.tenure)
            await self._give_up_lease()

    async def _renew(self):
        sent_ms = self.clock.boot_ms()
        tenure = self.tenure
        await self.store.renew_lease(self.lease)
        if self.tenure != tenure:
            return  # the tenure ended while the call was under way
        record = self.watcher.own_items.get(self.key)
        if record is not None and record.revision > self.record_revision:
            self.decisions.record("keeper_record_replaced", tenure=tenure)
            await self._give_up_lease()
            return
        self.valid_until_ms = sent_ms + LEASE_MS

    async def _campaign(self):
        # Only daemons that follow the store know whether there is a keeper.
        if not (self.watcher.following and self.watcher.store_reachable and self._is_vacant()):
            self.watcher.own_changed.clear()
            try:
                async with asyncio.timeout(RENEWAL_INTERVAL_MS / MS_PER_S):
                    await self.watcher.own_changed.wait()
            except TimeoutError:
                pass  # check the record again
            return
        await asyncio.sleep(random.random() * CAMPAIGN_JITTER_MS / MS_PER_S)
        if not self._is_vacant():
            return
        foreign_revision = await self._foreign_revision()
        sent_ms = self.clock.boot_ms()
        lease = await self.store.grant_lease(LEASE_MS)
        try:
            revision = await self.store.put_if(self.key, self.value, foreign_revision, lease)
        except StoreUnavailableError as error:
            if not error.outcome_unknown or isinstance(error, StoreRestoredError):
                raise
            revision = await self._own_record_revision(lease)
        if revision is None:
            await self.store.revoke_lease(lease)
            await asyncio.sleep(RENEWAL_INTERVAL_MS / MS_PER_S / 3)
            return
        had_predecessor = self.latest_tenure > 0
        self.lease, self.record_revision = lease, revision
        self.tenure = self.store.era.number * REVISIONS_PER_ERA + revision
        self.latest_tenure = max(self.latest_tenure, self.tenure)
        self.valid_until_ms = sent_ms + LEASE_MS
        # This daemon's digests have reported the store as reachable for that long already.
        reachable_since_ms = self.watcher.reachable_since_ms
        if had_predecessor:
            # While it stood by, its digests reported the store as out of reach.
            reachable_since_ms = max(reachable_since_ms, self.watcher.following_since_ms)
        reachable_for_ms = self.clock.now_ms() - reachable_since_ms
        # A holder whose record another writer replaced counts on its lease until it sees that.
        foreign_wait_ms = LEASE_MS if foreign_revision else 0.0
        wait_ms = max(TAKEOVER_DELAY_MS - reachable_for_ms, self._era_wait_ms(), foreign_wait_ms)
        self.orders_from_ms = self.clock.boot_ms() + wait_ms
        self.decisions.record("keeper_elected", tenure=self.tenure, wait_ms=round(wait_ms))

    def _is_vacant(self):
        """Return whether there is no record of a keeper, as far as this daemon has read."""
        record = self.watcher.own_items.get(self.key)
        return record is None or not record.lease

    async def _foreign_revision(self):
        """Return the revision of a record that is no keeper's, 0 if there is none."""
        if self.key not in self.watcher.own_items:
            return 0
        item = await self.store.read(self.key)
        return item.revision if item is not None and not item.lease else 0

    def _era_wait_ms(self):
        """Return how long a holder that has not seen the era may still count on its lease.

        Its last renewal was answered before the store was restored, so the lease that it counts
        on ends within `LEASE_MS` of the time at which any daemon first saw the era.
        """
        if self.first_start:
            return 0.0  # the system starts for the first time: there was no holder
        return max(0.0, LEASE_MS - self.store.era.known_for_ms())

    async def _own_record_revision(self, lease):
        """Return the revision of the record if this process wrote it, else None."""
        item = await self.store.read(self.key)
        if item is not None and item.value == self.value and item.lease == lease:
            return item.revision
        return None
