"""Which endpoint gets a request; decisions only."""

import random

REMOTE_PENALTY = 0.08  # of an endpoint's slots: bytes between zones cost, waiting costs more
FAILURE_PENALTY = 4.0  # slots' worth of load that an always failing endpoint counts for
LEAST_CONSIDERED = 2  # the better of two drawn at random is nearly as good as the best of all
TIE_NOISE = 0.02  # keeps daemons with the same view from choosing alike


def considered(endpoints, zone, daemons, zone_daemons):
    """Return the endpoints that one daemon looks at for one request, drawn at random.

    What daemons know of each other is an exchange old. Were all to choose among all, each
    would send to the one that all last heard to be idle. As many look at an endpoint on
    average as if each daemon had endpoints of its own; two are the fewest to choose from.

    Parameters
    ----------
    daemons : int
        Daemons that choose among the endpoints of other zones.
    zone_daemons : int
        Daemons of the own zone, which prefer the endpoints there.
    """
    own = [e for e in endpoints if e.zone == zone]
    others = [e for e in endpoints if e.zone != zone]
    own_count = max(LEAST_CONSIDERED, round(len(own) / zone_daemons))
    drawn = random.sample(own, min(len(own), own_count))
    least = max(1, LEAST_CONSIDERED - len(drawn))
    other_count = max(least, round(len(others) / daemons))
    return drawn + random.sample(others, min(len(others), other_count))


def choose_endpoint(
    endpoints,
    load_book,
    zone,
    slots=None,
    limit=None,
    daemons=1,
    zone_daemons=1,
):
    """Return the endpoint that is expected to answer first, or None when all are full.

    Parameters
    ----------
    endpoints : list of Endpoint
    load_book : LoadBook
    zone : str
        Own availability zone, preferred among equals.
    slots : int or None
        Requests that one endpoint runs at once; by default as each entry tells.
    limit : float or None
        Endpoints with this many requests or more are full.
    daemons, zone_daemons : int
        See `considered`.
    """

    def best_of(candidates):
        return _best(candidates, load_book, zone, slots, limit)

    drawn = considered(endpoints, zone, daemons, zone_daemons)
    return best_of(drawn) or (best_of(endpoints) if len(drawn) < len(endpoints) else None)


def _best(endpoints, load_book, zone, slots, limit):
    best, best_score = None, None
    for endpoint in endpoints:
        occupancy = load_book.occupancy(endpoint.id)
        if limit is not None and occupancy >= limit:
            continue
        score = occupancy / max(1, slots or endpoint.slots)
        score += REMOTE_PENALTY * (endpoint.zone != zone)
        score += FAILURE_PENALTY * load_book.failure_rate(endpoint.id)
        score += random.random() * TIE_NOISE
        if best is None or score < best_score:
            best, best_score = endpoint, score
    return best
