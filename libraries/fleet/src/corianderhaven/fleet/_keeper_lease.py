"""The right to order engines: one lease in the store."""

import asyncio
import random

from corianderhaven.common import MS_PER_S, new_id

from ._interfaces import LeaseEndedError, StoreUnavailableError

LEASE_MS = 2_500.0  # three lost renewals; bounds how long nobody repairs after a kill
RENEW_MS = 700.0
RETRY_MS = 100.0
QUIET_MS = 1_200.0  # twice the age of a digest, by which a predecessor hears of the store
OUTAGE_TENURE_MS = 30_000.0  # a longer outage is no longer told from a lost network
MARGIN_MS = 400.0  # an order under way must arrive before a successor's first
CAMPAIGN_JITTER_MS = 120.0  # lets one daemon's record be seen before the others try


class KeeperLease:
    """Campaigns for the keeper's record and renews it.

    Parameters
    ----------
    store : MetadataStore
    watcher : StoreWatcher
    key : str
        Key of the record.
    description : bytes
        What the record says of its holder.
    clock : Clock
    decisions : DecisionLog
    """

    def __init__(self, store, watcher, key, description, clock, decisions):
        self.store = store
        self.watcher = watcher
        self.key = key
        self.instance = new_id("keeper")
        self.value = self.instance.encode() + b"\n" + description
        self.clock = clock
        self.decisions = decisions
        self.lease = None
        self.tenure = None
        self.valid_until_ms = 0.0
        self.quiet_until_ms = 0.0
        self.outage_confirmed = lambda: False
        self.resigned = False
        self.task = None

    def start(self):
        """Begin to campaign."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self):
        """Stop at once; the lease lapses."""
        if self.task is not None:
            self.task.cancel()

    async def resign(self):
        """Give the right away, so that a successor need not wait for the lease to lapse."""
        self.resigned = True
        self.close()
        lease, self.lease, self.tenure = self.lease, None, None
        if lease is not None:
            try:
                await self.store.revoke_lease(lease)
            except StoreUnavailableError as error:
                self.decisions.record("keeper_resign_unheard", reason=str(error))

    def may_order(self):
        """Return whether orders may be sent now.

        After the lease may have ended only while all peers say that they don't reach the
        store either, as then none of them can have won it: two holders with old views would
        order the same engines, and an engine accepts a join from either.
        """
        if self.tenure is None or self.clock.boot_ms() < self.quiet_until_ms:
            return False
        left_ms = self.valid_until_ms - self.clock.boot_ms()
        if left_ms > MARGIN_MS:
            return True
        if self.watcher.store_reachable or left_ms < -OUTAGE_TENURE_MS:
            return False
        return self.outage_confirmed()

    def superseded(self, generation):
        """Stand down because an engine has seen a newer holder's generation."""
        if self.tenure is not None:
            self.decisions.record("keeper_superseded", tenure=self.tenure, seen=generation)
        self.tenure = self.lease = None

    async def _run(self):
        while True:
            try:
                if self.tenure is not None:
                    await self._renew()
                    await asyncio.sleep(RENEW_MS / MS_PER_S)
                else:
                    await self._campaign()
            except LeaseEndedError:
                self.decisions.record("keeper_lease_ended", tenure=self.tenure)
                self.tenure = self.lease = None
            except StoreUnavailableError as error:
                self.decisions.record("keeper_store_failed", reason=str(error))
                await asyncio.sleep(RETRY_MS / MS_PER_S)

    async def _renew(self):
        sent_ms = self.clock.boot_ms()
        await self.store.renew_lease(self.lease)
        self.valid_until_ms = sent_ms + LEASE_MS

    async def _campaign(self):
        if not self.watcher.store_reachable or self.key in self.watcher.own_items:
            self.watcher.own_changed.clear()
            try:
                async with asyncio.timeout(RENEW_MS / MS_PER_S):
                    await self.watcher.own_changed.wait()
            except TimeoutError:
                pass  # look again
            return
        await asyncio.sleep(random.random() * CAMPAIGN_JITTER_MS / MS_PER_S)
        if self.key in self.watcher.own_items:
            return
        sent_ms = self.clock.boot_ms()
        lease = await self.store.grant_lease(LEASE_MS)
        try:
            revision = await self.store.put_if(self.key, self.value, 0, lease)
        except StoreUnavailableError as error:
            if not error.outcome_unknown:
                raise
            revision = await self._find_own(lease)
        if revision is None:
            await self.store.revoke_lease(lease)
            await asyncio.sleep(RENEW_MS / MS_PER_S / 3)
            return
        self.lease, self.tenure = lease, revision
        self.valid_until_ms = sent_ms + LEASE_MS
        # Whoever reached the store all the while has told a predecessor so.
        reached_ms = self.clock.now_ms() - self.watcher.reachable_since_ms
        self.quiet_until_ms = self.clock.boot_ms() + max(0.0, QUIET_MS - reached_ms)
        self.decisions.record("keeper_elected", tenure=revision)

    async def _find_own(self, lease):
        """Return the revision of the record if it is this process's own after all."""
        item = await self.store.read(self.key)
        if item is not None and item.value == self.value and item.lease == lease:
            return item.revision
        return None
