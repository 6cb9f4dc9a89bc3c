"""Delivery of orders to engines with retries, and probes of engines."""

import asyncio
import math
from dataclasses import dataclass

from corianderhaven.common import MS_PER_S

from ._interfaces import OrderResult

GENERATIONS_PER_TENURE = 10_000  # formations in one tenure; more than a day needs
ORDER_ATTEMPTS = 4
ORDER_RETRY_INTERVAL_MS = 60.0
PROBE_TIMEOUT_MS = 300.0  # engines respond in a few ms; leaves room for a lossy link
PROBE_INTERVAL_MS = 100.0  # delay between attempts, so that a lost packet affects only one
PROBE_ATTEMPTS = 2
UNRESPONSIVE_MS = 2_000.0  # until an unresponsive endpoint is probed again
ACCEPTED = (OrderResult.BEGUN, OrderResult.DONE)


@dataclass
class Silence:
    """Times at which an endpoint first and last failed to respond, with no response between.

    Parameters
    ----------
    started_ms : int or None
        Incarnation that failed to respond last, None if it isn't known.
    """

    since_ms: float
    last_ms: float
    started_ms: int | None = None


class OrderSender:
    """Sends orders and probes to engines while this daemon holds the keeper's lease.

    Parameters
    ----------
    lease : KeeperLease
    orders : EngineOrders
    directory : EndpointDirectory
    clock : Clock
    decisions : DecisionLog
    """

    def __init__(self, lease, orders, directory, clock, decisions):
        self.lease = lease
        self.orders = orders
        self.directory = directory
        self.clock = clock
        self.decisions = decisions
        self.unresponsive = {}
        self.silences = {}
        self.recovered_ms = {}

    async def send(self, operation, endpoint, subject, call, change=None):
        """Send an order up to `ORDER_ATTEMPTS` times until there is a response.

        Returns the `OrderResult`, which is `NOT_SENT` if this daemon may not send orders. An
        endpoint that refuses isn't planned with for a while.

        Parameters
        ----------
        change : callable or None
            Returns what the endpoint is in after the order, given its `Membership` before.
        """
        result = OrderResult.UNKNOWN
        known = self.directory.last_report(endpoint.id)
        for attempt in range(ORDER_ATTEMPTS):
            if not self.lease.may_order():
                return OrderResult.NOT_SENT
            result = await call()
            self.decisions.record(
                "order",
                operation=operation,
                endpoint=endpoint.id,
                subject=subject,
                result=result.value,
                attempt=attempt,
            )
            if result is OrderResult.OUTDATED:
                await self._check_superseded(endpoint)
                return result
            if result is OrderResult.REFUSED:
                self.mark_unresponsive(endpoint.id)
            if result in ACCEPTED and known is not None:
                after = change(known.membership) if change else known.membership
                began = result is OrderResult.BEGUN
                self.directory.note_order(endpoint.id, known.order_count, began, after)
            if result is not OrderResult.UNKNOWN:
                return result
            await asyncio.sleep(ORDER_RETRY_INTERVAL_MS / MS_PER_S)
        return result

    async def leave(self, endpoint, key):
        """Remove an endpoint from replica `key`; returns whether it is certain to have left."""

        def member_after(member):
            left = member is not None and (member.replica, member.generation) == key
            return None if left else member

        result = await self.send(
            "leave", endpoint, key[0], lambda: self.orders.leave(endpoint, *key), member_after
        )
        if result in ACCEPTED:
            return True
        asked_ms = self.clock.now_ms()
        report = await self.orders.report(endpoint, PROBE_TIMEOUT_MS)
        if report is None or not self.directory.update_from_report(endpoint.id, report, asked_ms):
            self.mark_unresponsive(endpoint.id)
            return False
        member = report.membership
        return member is None or (member.replica, member.generation) != key

    async def probe(self, endpoints):
        """Query endpoints; returns their reports by id, None for those that don't respond."""

        async def report_after(endpoint, delay_ms):
            await asyncio.sleep(delay_ms / MS_PER_S)
            asked_ms = self.clock.now_ms()
            return await self.orders.report(endpoint, PROBE_TIMEOUT_MS), asked_ms

        async def probe_one(endpoint):
            begun_ms = self.clock.now_ms()
            attempts = [
                report_after(endpoint, PROBE_INTERVAL_MS * number)
                for number in range(PROBE_ATTEMPTS)
            ]
            for done in asyncio.as_completed(attempts):
                report, asked_ms = await done
                if report is not None and self.directory.update_from_report(
                    endpoint.id, report, asked_ms
                ):
                    self.unresponsive.pop(endpoint.id, None)
                    if self.silences.pop(endpoint.id, None) is not None:
                        self.recovered_ms[endpoint.id] = self.clock.now_ms()
                    return report
            # Another probe that began later may have been answered meanwhile.
            if self.recovered_ms.get(endpoint.id, -math.inf) < begun_ms:
                self.mark_unresponsive(endpoint.id)
            return None

        reports = await asyncio.gather(*(probe_one(e) for e in endpoints))
        return {e.id: report for e, report in zip(endpoints, reports, strict=True)}

    def mark_unresponsive(self, endpoint_id):
        """Treat an endpoint as unresponsive for `UNRESPONSIVE_MS`."""
        now = self.clock.now_ms()
        endpoint = self.directory.get(endpoint_id)
        silence = self.silences.setdefault(endpoint_id, Silence(now, now))
        silence.last_ms = now
        silence.started_ms = endpoint.started_ms if endpoint is not None else None
        if endpoint_id not in self.unresponsive:
            self.decisions.record("endpoint_silent", endpoint=endpoint_id)
        self.unresponsive[endpoint_id] = now + UNRESPONSIVE_MS
        self.directory.changed.set()

    def due_probes(self, endpoints):
        """Return the unresponsive endpoints to probe again, and drop those that are gone.

        One that has restarted since is probed at once.
        """
        now = self.clock.now_ms()
        by_id = {e.id: e for e in endpoints}
        due = []
        for endpoint_id, until in list(self.unresponsive.items()):
            if self.directory.get(endpoint_id) is None:
                del self.unresponsive[endpoint_id]
                self.silences.pop(endpoint_id, None)
                self.recovered_ms.pop(endpoint_id, None)
            elif endpoint_id in by_id and (now >= until or self._has_restarted(by_id[endpoint_id])):
                self.unresponsive[endpoint_id] = now + UNRESPONSIVE_MS
                due.append(by_id[endpoint_id])
        return due

    def _has_restarted(self, endpoint):
        silence = self.silences[endpoint.id]
        restarted = endpoint.started_ms != silence.started_ms
        silence.started_ms = endpoint.started_ms
        return restarted

    async def _check_superseded(self, endpoint):
        """Step down if an engine has seen the generation of a newer holder."""
        report = await self.orders.report(endpoint, PROBE_TIMEOUT_MS)
        tenure = self.lease.tenure
        if report is None or report.membership is None or tenure is None:
            return
        if report.membership.generation >= (tenure + 1) * GENERATIONS_PER_TENURE:
            self.lease.step_down(report.membership.generation)
