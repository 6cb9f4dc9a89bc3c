"""Which endpoint gets a request; decisions only."""

import random

REMOTE_PENALTY = 0.08  # of an endpoint's slots: bytes between zones cost, waiting costs more
FAILURE_PENALTY = 4.0  # slots' worth of load that an always failing endpoint counts for
TIE_NOISE = 0.02  # keeps daemons with the same view from choosing alike


def choose_endpoint(endpoints, load_book, zone, slots=None, limit=None):
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
    """
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
