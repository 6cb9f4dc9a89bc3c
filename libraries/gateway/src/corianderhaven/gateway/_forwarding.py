"""Format of requests that daemons forward to each other, and choice of the daemon."""

import random

import msgspec

from corianderhaven.common import CONNECTION_HEADERS

FORWARD_PATH = b"/peer/forward"
FORWARDED_BY = b"x-forwarded-by-daemon"
DECLINED = b"x-forward-declined"
LAST_EVENT_ID = b"last-event-id"
EXPECT = b"expect"
CANDIDATES = 2  # the better of two random choices is nearly as good as the best of all


class ForwardingDaemon(msgspec.Struct):
    """What the daemon that forwards a request tells about it.

    Parameters
    ----------
    daemon : str
    config_version : int
        Version of the configuration by which it accepted the request.
    elapsed_ms : float
        Time since it received the request.
    endpoints_used : int
        Endpoints that may have run the request already.
    resumed : bool
        Whether the caller has waited for another attempt already, or has part of the answer.
    """

    daemon: str
    config_version: int = 0
    elapsed_ms: float = 0.0
    endpoints_used: int = 0
    resumed: bool = False


def forwarded_headers(request, sender, last_event_id):
    """Return the headers of a `CallerRequest` as it is forwarded by a `ForwardingDaemon`."""
    dropped = CONNECTION_HEADERS | {EXPECT, FORWARDED_BY, LAST_EVENT_ID}
    headers = [(k, v) for k, v in request.headers if k not in dropped]
    headers.append((FORWARDED_BY, msgspec.json.encode(sender)))
    if request.body:
        headers.append((b"content-length", b"%d" % len(request.body)))
    if last_event_id is not None:
        headers.append((LAST_EVENT_ID, last_event_id.encode("latin-1")))
    return headers


def is_forwarded(target):
    """Return whether the target of a request between daemons is that of a forwarded one."""
    return target.startswith(FORWARD_PATH + b"/")


def unwrap(request):
    """Turn a forwarded `CallerRequest` into the caller's; return its `ForwardingDaemon`.

    Raises
    ------
    ValueError
        If it isn't a forwarded request, or what its sender tells can't be decoded.
    """
    values = [value for name, value in request.headers if name == FORWARDED_BY]
    if not is_forwarded(request.target) or len(values) != 1:
        raise ValueError("not a forwarded request")
    try:
        sender = msgspec.json.decode(values[0], type=ForwardingDaemon)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None
    request.target = request.target[len(FORWARD_PATH) :]
    request.headers = [(name, value) for name, value in request.headers if name != FORWARDED_BY]
    request.received_ms -= sender.elapsed_ms
    return sender


def choose_peer(peers, zone, cut_in_zone, in_flight):
    """Return the peer for a request that this daemon can't send to an endpoint, or None.

    Peers of the own zone come first, as traffic between zones is dear, unless so many daemons
    of the zone are cut off that the others would carry more than twice their load.

    Parameters
    ----------
    peers : list of Peer
        Peers that are believed to reach the endpoints.
    zone : str
        Own availability zone.
    cut_in_zone : int
        Daemons of the zone that don't reach the endpoints, including this one.
    in_flight : dict of str to int
        Requests that this daemon has forwarded and that are not answered yet, by peer.
    """
    own = [p for p in peers if p.zone == zone]
    pool = own if len(own) >= cut_in_zone else peers
    sample = random.sample(pool, min(len(pool), CANDIDATES))
    return min(sample, key=lambda p: in_flight.get(p.name, 0), default=None)
