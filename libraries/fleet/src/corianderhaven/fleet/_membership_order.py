"""Order of an endpoint's entries and reports, from what they say.

An entry counts the entries of its incarnation and a report the orders, so they have no count in
common. An incarnation refuses joins of a generation below its highest one.
"""

from enum import Enum

from ._types import ReplicaState

REPORT_LAG_MS = 500.0  # engines report the state of some hundred ms ago
# Order in which a member of a replica passes through its states until it leaves or is closed.
STATE_ORDER = list(ReplicaState)


class EntryOrder(Enum):
    """Order of an entry relative to the newest report."""

    OLDER = "older"
    NEWER = "newer"
    UNKNOWN = "unknown"


def is_same_replica(first, second):
    """Return whether two memberships, or None, are of the same replica, or both of none."""
    if first is None or second is None:
        return first is second
    return (first.replica, first.generation) == (second.replica, second.generation)


def order_of_entry(entered, reported, highest_generation):
    """Return the `EntryOrder` of an entry's membership relative to the reported one.

    The entries before it are taken to be older than the report.

    Parameters
    ----------
    entered, reported : Membership or None
    highest_generation : int
        Highest generation that the incarnation is known to have had.
    """
    if entered is not None and entered.generation != highest_generation:
        newer = entered.generation > highest_generation
        return EntryOrder.NEWER if newer else EntryOrder.OLDER
    if not is_same_replica(entered, reported):
        return EntryOrder.UNKNOWN
    if entered is None or _rank(entered) >= _rank(reported):
        return EntryOrder.NEWER
    return EntryOrder.UNKNOWN


def counts_fewer_orders(report, record, asked_ms):
    """Return whether `report` counts fewer orders than `record` knows of.

    Parameters
    ----------
    asked_ms : float
        Time at which the report was asked for.
    """
    last = record.report
    if last is None or None in (report.order_count, last.order_count):
        return False
    answered = record.order_ms is not None and asked_ms - record.order_ms >= REPORT_LAG_MS
    return not answered and report.order_count < last.order_count


def is_older_report(report, record, asked_ms):
    """Return whether an engine made `report` before the state that `record` holds of it."""
    member, last = report.membership, record.report
    if member is not None and member.generation < record.highest_generation:
        return True
    if counts_fewer_orders(report, record, asked_ms):
        return True
    if last is None or record.order_ms is not None or report.order_count != last.order_count:
        return False
    # Entries have shown another replica since; without an order it can't have changed back.
    return is_same_replica(member, last.membership) and not is_same_replica(
        member, record.endpoint.membership
    )


def is_counted_newer(report, record):
    """Return whether an order lies between `report` and what `record` holds from a report."""
    last = record.report
    if last is None or None in (report.order_count, last.order_count):
        return False
    return report.order_count > last.order_count and last.membership == record.endpoint.membership


def _rank(membership):
    return STATE_ORDER.index(membership.state)
