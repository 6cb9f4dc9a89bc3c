"""Selection of the endpoint for a request. Performs no I/O."""

import random

from ._placement import RequestCountPlacement
from ._work import RequestWork

REMOTE_PENALTY = 0.08  # as a fraction of slots: cross-zone traffic costs less than waiting
FAILURE_PENALTY = 4.0  # added load, in multiples of the slots, at a failure rate of 1
COLD_PENALTY = 0.15  # as a fraction of slots: a cold endpoint answers more slowly
MIN_CANDIDATES = 2  # the better of two random choices is nearly as good as the best of all
TIE_BREAK_NOISE = 0.02  # keeps daemons with the same view from choosing the same endpoint


def sample_candidates(endpoints, zone, daemons, zone_daemons):
    """Return a random sample of endpoints that this daemon considers for one request.

    The load of other daemons is known only as of the last exchange. If every daemon chose
    among all endpoints, all would send to the one last reported idle. The sample is as large
    on average as if the endpoints were divided among the daemons, and at least two.

    Parameters
    ----------
    daemons : int
        Daemons that choose among the endpoints of other zones.
    zone_daemons : int
        Daemons of the own zone, which prefer the endpoints there.
    """
    own = [e for e in endpoints if e.zone == zone]
    others = [e for e in endpoints if e.zone != zone]
    own_count = max(MIN_CANDIDATES, round(len(own) / zone_daemons))
    sample = random.sample(own, min(len(own), own_count))
    min_others = max(1, MIN_CANDIDATES - len(sample))
    other_count = max(min_others, round(len(others) / daemons))
    return sample + random.sample(others, min(len(others), other_count))


def choose_endpoint(
    endpoints,
    load_tracker,
    zone,
    slots=None,
    limit=None,
    daemons=1,
    zone_daemons=1,
    reserved=(),
    placement=None,
    work=None,
    slack_ms=0.0,
    is_cold=lambda endpoint: False,
):
    """Return the least loaded endpoint of a random sample.

    If all endpoints of the sample are full, the choice is among all endpoints; None means that
    all of them are full.

    Parameters
    ----------
    endpoints : list of Endpoint
    load_tracker : LoadTracker
    zone : str
        Own availability zone, preferred among endpoints of similar load.
    slots : int or None
        Requests that one endpoint runs at once; by default the slots in its entry.
    limit : float or None
        Endpoints with this many requests or more are full.
    daemons, zone_daemons : int
        See `sample_candidates`.
    reserved : sequence of Endpoint
        Endpoints that this daemon holds a place at, which are always considered.
    placement : BasePlacement or None
        Rates the endpoints by the work of the request; by default requests are all alike.
    work : RequestWork or None
    slack_ms : float
        Time for which the first event may be delayed without missing its goal.
    is_cold : callable
        Returns whether an endpoint is cold; warm ones of similar load are preferred.
    """
    placement, work = placement or RequestCountPlacement(), work or RequestWork()

    def best_of(candidates):
        fitting = [e for e in candidates if placement.has_room(e, work)]
        penalties = {e.id: placement.penalty(e, work, slack_ms) for e in fitting}
        for endpoint in fitting:
            penalties[endpoint.id] += COLD_PENALTY * is_cold(endpoint)
        return _least_loaded(fitting, load_tracker, zone, slots, limit, penalties)

    sample = sample_candidates(endpoints, zone, daemons, zone_daemons)
    sample += [e for e in reserved if e not in sample]
    return best_of(sample) or (best_of(endpoints) if len(sample) < len(endpoints) else None)


def _least_loaded(endpoints, load_tracker, zone, slots, limit, penalties):
    best, best_score = None, None
    for endpoint in endpoints:
        occupancy = load_tracker.occupancy(endpoint.id)
        if limit is not None and occupancy >= limit:
            continue
        score = occupancy / max(1, slots or endpoint.slots)
        score += REMOTE_PENALTY * (endpoint.zone != zone)
        score += FAILURE_PENALTY * load_tracker.failure_rate(endpoint.id)
        score += penalties[endpoint.id]
        score += random.random() * TIE_BREAK_NOISE
        if best is None or score < best_score:
            best, best_score = endpoint, score
    return best
