"""Permits to send requests to endpoints that limit their rate. Performs no I/O.

A limit is one for all daemons together, so one daemon at a time issues the permits of an endpoint:
a hub of the endpoint's availability zone, or of another zone if that has none left. The issuer
spreads permits evenly in time (generic cell rate algorithm). When it changes, the next one starts
with no permits in hand. While daemons are cut off from each other, issuers of both sides reduce
their rate to the part of the fleet that they hear from.
"""

import math

import msgspec

from corianderhaven.common import MS_PER_S

from ._peers import ISSUER_UNREACHABLE_MS

PERMITS_PATH = "/peer/permits"
# For which a permit may be reserved. It bounds what a lost issuer leaves; more would expire with
# requests that are gone before they may use it.
MAX_ADVANCE_MS = 200.0
PERMIT_LIFETIME_MS = 1_000.0  # from the time from which it may be used
BURST_INTERVALS = 1.0  # by which unused permits may be made up for
# Of an endpoint's previous issuer, permits may still be used for a while.
TAKEOVER_MS = 500.0
# The sides of a cut issue this much of the limit together, and more than their part alone.
CUT_FACTOR = 1.3
NOT_ISSUER_WAIT_MS = 300.0  # by then views of the daemons agree again
# Daemons whose wishes were denied come back one after the other, but at most so much later than
# the next permit: those that no longer want it must not keep it from others.
MAX_LINE_MS = 1_000.0
FORGET_MS = 60_000.0
# A lower limit, and one that can't be read, still gets the requests that tell when it ends.
MIN_RATE_PER_S = 0.25
MAX_WISHES = 64

# Limits of cold endpoints hold in any one second. With two sides of a cut, permits that may be used
# within one are CUT_FACTOR * rate * (1 + lifetime + jitter) + 2 * (1 + BURST_INTERVALS). That is
# 27.4 at 15 a second, where 27.5 are allowed; a lifetime of 1 s would give 44.
COLD_WINDOW_MS = 1_000.0
COLD_PERMIT_LIFETIME_MS = 150.0  # a few calls; counted from the time of the wish
ARRIVAL_JITTER_MS = 50.0  # between sending and arrival, with a new connection
COLD_SIDES = 2
ISSUER_SILENT_MS = 600.0  # several exchanges of digests, as they are valid
# A head that is found to be cold may have just been filled: that counts against its first second.
MAX_START_PAUSE_MS = 500.0
# Daemons without contact to the store drop off the list after some seconds, but still send.
FLEET_MEMORY_MS = 60_000.0


def cold_permit_rate_per_s(cold_per_s, overrun, slack):
    """Return the rate of permits that keeps a cold endpoint within its bound in any one second."""
    highest_per_s = bounded_permit_rate_per_s(cold_per_s, overrun, slack)
    return max(MIN_RATE_PER_S, min(cold_per_s, highest_per_s / CUT_FACTOR))


def bounded_permit_rate_per_s(cold_per_s, overrun, slack):
    """Return the highest rate at which permits keep a cold endpoint's bound without a cut."""
    window_s = (COLD_WINDOW_MS + COLD_PERMIT_LIFETIME_MS + ARRIVAL_JITTER_MS) / MS_PER_S
    evenly_spread = cold_per_s * overrun + slack - COLD_SIDES * (1.0 + BURST_INTERVALS)
    return max(MIN_RATE_PER_S, evenly_spread / window_s)


class PermitWish(msgspec.Struct, array_like=True):
    """Wish for one permit.

    Parameters
    ----------
    endpoint : str
        Endpoint id.
    started_ms : int
        Start time of its incarnation.
    zone : str
        Availability zone of the endpoint.
    rate_per_s : float
        Limit as the requesting daemon knows it.
    cold : bool
        Whether the endpoint is cold or may turn cold, so that the limit holds in any one second.
    in_flight : int
        Requests at a cold endpoint, of all daemons as far as the requesting one knows.
    warm : bool
        Whether the endpoint isn't known to be cold. The sides of a cut then don't exceed the
        limit together, as it is the highest that is safe.
    """

    endpoint: str
    started_ms: int
    zone: str
    rate_per_s: float
    cold: bool = False
    in_flight: int = 0
    warm: bool = False


class PermitOffer(msgspec.Struct, array_like=True):
    """Answer to a wish.

    Parameters
    ----------
    granted : bool
    wait_ms : float
        Time until the permit may be used, or until it is worth asking again.
    """

    granted: bool
    wait_ms: float


class PermitRequest(msgspec.Struct):
    """Wishes of a daemon."""

    daemon: str
    wishes: list[PermitWish] = []


class PermitReply(msgspec.Struct):
    """Offers by endpoint id."""

    offers: dict[str, PermitOffer] = {}


def decode_permits(body, kind):
    """Return the `PermitRequest` or `PermitReply` in a body; raises ValueError if unreadable."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None


class Schedule:
    """Times of the permits of one incarnation of an endpoint.

    Parameters
    ----------
    started_ms : int
    next_ms : float
        Time of the next permit at an even rate.
    """

    def __init__(self, started_ms, next_ms):
        self.started_ms = started_ms
        self.next_ms = next_ms
        self.line_ms = next_ms

    def issue(self, now, interval_ms):
        """Return the `PermitOffer` for the next permit."""
        self.next_ms = max(self.next_ms, now - BURST_INTERVALS * interval_ms)
        wait_ms = max(0.0, self.next_ms - now)
        if wait_ms <= MAX_ADVANCE_MS:
            self.next_ms += interval_ms
            return PermitOffer(True, wait_ms)
        ask_again_ms = max(self.line_ms, self.next_ms)
        self.line_ms = min(ask_again_ms + interval_ms, self.next_ms + MAX_LINE_MS)
        return PermitOffer(False, ask_again_ms - MAX_ADVANCE_MS - now)


class RecentMaximum:
    """Largest of the values recorded within a time, to the accuracy of that time.

    Parameters
    ----------
    period_ms : float
    """

    def __init__(self, period_ms):
        self.period_ms = period_ms
        self.since_ms = -math.inf
        self.current, self.previous = 0, 0

    def record(self, value, now):
        """Record a value and return the largest one of the last one to two periods."""
        if now - self.since_ms > self.period_ms:
            self.previous, self.current, self.since_ms = self.current, 0, now
        self.current = max(self.current, value)
        return max(self.current, self.previous)


class PermitIssuer:
    """Issues the permits of the endpoints that this daemon is responsible for.

    Parameters
    ----------
    table : PeerTable
    clock : Clock

    Attributes
    ----------
    may_issue : callable
        Returns whether this daemon knows its peers.
    """

    def __init__(self, table, clock):
        self.table = table
        self.clock = clock
        self.schedules = {}
        self.may_issue = lambda: True
        self.started_ms = clock.now_ms()
        self.fleet_size = RecentMaximum(FLEET_MEMORY_MS)

    def answer(self, request):
        """Return the `PermitReply` to a `PermitRequest`."""
        return PermitReply({w.endpoint: self.offer(w) for w in request.wishes[:MAX_WISHES]})

    def offer(self, wish):
        """Return the `PermitOffer` for a wish."""
        # A call that was lost is no proof that the issuer is, and two would exceed a cold bound.
        silent_ms = ISSUER_SILENT_MS if wish.cold else 0.0
        if not self.may_issue() or not self.table.is_permit_issuer(
            wish.endpoint, wish.zone, silent_ms
        ):
            return PermitOffer(False, NOT_ISSUER_WAIT_MS)
        now = self.clock.now_ms()
        fleet_size = self.fleet_size.record(self.table.fleet_size(), now)
        share = self._share(
            fleet_size if wish.cold else self.table.fleet_size(), 1.0 if wish.warm else CUT_FACTOR
        )
        interval_ms = MS_PER_S / (max(MIN_RATE_PER_S, wish.rate_per_s) * share)
        schedule = self.schedules.get(wish.endpoint)
        if schedule is None or schedule.started_ms != wish.started_ms:
            self._forget_unused(now)
            pause_ms = max(TAKEOVER_MS, interval_ms)
        elif wish.cold and now - schedule.next_ms > COLD_WINDOW_MS:
            pause_ms = 0.0
        else:
            return schedule.issue(now, interval_ms)
        if wish.cold:
            pause_ms = self._cold_pause_ms(wish, now, interval_ms)
        schedule = self.schedules[wish.endpoint] = Schedule(wish.started_ms, now + pause_ms)
        return schedule.issue(now, interval_ms)

    def _cold_pause_ms(self, wish, now, interval_ms):
        """Return the time until the first permit of an endpoint that has turned cold.

        It covers requests just sent without permits, and permits of a previous issuer.
        """
        in_flight = max(wish.in_flight, self.table.peer_requests_at(wish.endpoint))
        pause_ms = 0.0 if wish.warm else min(in_flight * interval_ms, MAX_START_PAUSE_MS)
        changed_ms = max(self.started_ms, self.table.last_lost_ms)
        settled = now - changed_ms > ISSUER_UNREACHABLE_MS + TAKEOVER_MS
        return pause_ms if settled else max(TAKEOVER_MS, pause_ms)

    def _share(self, fleet_size, cut_factor):
        """Return the part of a limit that the daemons in contact with this one may use."""
        heard = 1 + self.table.reporting_daemons()
        return min(1.0, cut_factor * heard / fleet_size)

    def _forget_unused(self, now):
        self.schedules = {
            i: schedule
            for i, schedule in self.schedules.items()
            if now - schedule.next_ms < FORGET_MS
        }
