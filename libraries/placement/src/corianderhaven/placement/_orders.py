"""Orders to the members of replicas."""

import enum
import http.client
import threading
from dataclasses import dataclass

import msgspec

from corianderhaven.common import JsonClient, TransportError, new_id

from ._lease import ORDER_TIMEOUT_MS

_RESULTS = {http.client.OK: "obeyed", http.client.CONFLICT: "refused"}


class OrderKind(enum.StrEnum):
    """Action that a member is ordered to take."""

    FORM = "form"
    DRAIN = "drain"
    RELEASE = "release"
    LOAD = "load"


@dataclass(frozen=True)
class Order:
    """One idempotent order to one member."""

    kind: OrderKind
    vm: str
    address: str
    replica_id: str
    generation: int
    checks_fencing_token: bool
    replica: object = None
    rank: int = 0
    weights: object = None


class OrderSender:
    """Sends orders under a zone's lease, each on its own thread.

    Parameters
    ----------
    decisions : DecisionLog
    """

    def __init__(self, decisions):
        self.decisions = decisions
        self.refused = 0
        self.sent = 0
        self.lock = threading.Lock()

    def send_all(self, orders, lease):
        """Send orders and wait for the responses.

        Parameters
        ----------
        orders : list of Order
        lease : ZoneLease
            Checked before each order; provides the fencing token.

        Returns
        -------
        bool
            False if an engine refused the token: another daemon has acquired the lease since.
        """
        results = []
        threads = [
            threading.Thread(target=self._send, args=(order, lease, results), daemon=True)
            for order in orders
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return "refused" not in results

    def _send(self, order, lease, results):
        if not lease.may_order(order.checks_fencing_token):
            results.append("not_allowed")
            return
        client = JsonClient(order.address, ORDER_TIMEOUT_MS)
        try:
            exchange = client.call("POST", "/orders", self._message(order, lease.token))
            result = _RESULTS.get(exchange.status, "failed")
        except TransportError:
            result = "lost"
        finally:
            client.close()
        with self.lock:
            self.sent += 1
            self.refused += result == "refused"
        results.append(result)
        self.decisions.record(
            "order_sent",
            kind=order.kind.value,
            vm=order.vm,
            replica=order.replica_id,
            generation=order.generation,
            token=lease.token,
            result=result,
        )

    def _message(self, order, token):
        message = {
            "order_id": new_id("order"),
            "kind": order.kind.value,
            "token": token,
            "replica_id": order.replica_id,
            "generation": order.generation,
        }
        if order.kind is OrderKind.LOAD:
            message.update(model=order.weights.model, version=order.weights.version)
        if order.kind is OrderKind.FORM:
            replica = order.replica
            message.update(
                rank=order.rank,
                members=msgspec.to_builtins(replica.members),
                deployment=replica.deployment,
                model=replica.model,
                version=replica.version,
                adapters=replica.adapters,
            )
        return message
