"""Has other daemons serve requests for endpoints that this daemon can't reach.

A peer handles a forwarded request like one of its own callers, and never forwards it again. What it
answers is passed on; a stream that breaks off goes on at another peer.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass

from corianderhaven.common import MS_PER_S, ClientConnection, ConnectionLostError

from . import _metrics
from ._answer_status import REFUSAL_STATUSES, is_whole_success
from ._connection_pool import ConnectionPool
from ._event_stream import EventTooLargeError, read_to_first_event
from ._forwarding import (
    DECLINED,
    FORWARD_PATH,
    ForwardingDaemon,
    choose_peer,
    forwarded_headers,
)
from ._path_prober import CONNECT_TIMEOUT_MS
from ._request_context import AttemptResult
from ._silence_detector import STALL_MS

AVOIDED_MS = 500.0  # after a peer could not be reached, or declined; some exchanges of digests
HOP_MARGIN_MS = 10.0  # so that the peer's last word arrives before this daemon's deadline
# Within which a peer accepts a request that may be sent again. Its answer may take longer, as the
# request may wait there for an endpoint.
ACCEPTANCE_TIMEOUT_MS = 300.0
RETRY_AFTER = "retry-after"
DEFAULT_RETRY_AFTER_MS = 400.0


class _PeerSilentError(Exception):
    """A peer sends nothing, and another one may get the request."""


@dataclass(frozen=True)
class PeerTarget:
    """A peer as the connection pool sees it."""

    id: str
    address: str
    zone: str
    service: str = "peer"
    started_ms: int = 0
    leaving: bool = False


async def _find_none():
    return None


@dataclass
class Forward:
    """One request on its way to a peer.

    Parameters
    ----------
    retry_after_ms : float
        When the caller may come back, as a peer that refused the request says.
    reason : str or None
        Why the peer declined, or why the connection failed.
    head : ResponseHead or None
    body : bytes or None
        Whole body of an answer that isn't streamed.
    data : bytes
        Beginning of a streamed body that was read before it could be passed on.
    ended : bool
        Whether the end of a streamed body was read before it could be passed on.
    is_ready : bool
        Whether the answer has begun and can be passed on.
    find_other : coroutine function
        Returns a prepared `Forward` to another peer if there is one; called for a silent peer.
    replacement : Forward or None
        What was found.
    leaves_silent : bool
        Whether a silent peer is left at once, as another attempt stays open.
    """

    context: object
    target: PeerTarget
    connection: object = None
    kept: bool = False
    retry_after_ms: float = DEFAULT_RETRY_AFTER_MS
    reason: str | None = None
    head: object = None
    body: bytes | None = None
    data: bytes = b""
    ended: bool = False
    is_ready: bool = False
    find_other: object = _find_none
    replacement: object = None
    leaves_silent: bool = False


class PeerForwarder:
    """Sends requests to peers and passes on their answers.

    Parameters
    ----------
    peers : PeerTable
    wire : WireFormat
    clock : Clock
    decisions : DecisionLog
    source_ip : str or None

    Attributes
    ----------
    config_version : callable
        Returns the version of the configuration in force.
    may_retry : callable
        Returns whether a request of a service may be sent once more now.
    """

    def __init__(self, peers, wire, clock, decisions, source_ip=None):
        self.peers = peers
        self.wire = wire
        self.clock = clock
        self.decisions = decisions
        self.source_ip = source_ip
        self.config_version = lambda: 0
        self.may_retry = lambda service: True
        self.pool = ConnectionPool(clock)
        self.in_flight = Counter()
        self.avoided_until_ms = {}

    def close(self):
        """Close the idle connections."""
        self.pool.close()

    def prune(self):
        """Close connections that have rested for too long, and forget peers that are gone."""
        self.pool.prune()
        known = self.peers.peers
        self.avoided_until_ms = {n: t for n, t in self.avoided_until_ms.items() if n in known}

    def has_peer(self, service):
        """Return whether a peer is likely to take requests; one that is only listed may be gone."""
        return bool(self.peers.fresh_peers()) and self.pick(service) is not None

    def pick(self, service, declined=frozenset()):
        """Return the `PeerTarget` for a request, or None if no peer can take it.

        Parameters
        ----------
        declined : set of str
            Ids of peers that have not taken this request.
        """
        now = self.clock.now_ms()
        without = self.peers.daemons_without(service)
        reachable = self.peers.reachable_peers()
        usable = [
            p
            for p in reachable
            if p.name not in without
            and p.name not in declined
            and now >= self.avoided_until_ms.get(p.name, 0.0)
        ]
        # Daemons of a zone lose their paths together.
        tried = {p.zone for p in reachable if p.name in declined}
        usable = [p for p in usable if p.zone not in tried] or usable
        zone = self.peers.zone
        cut_in_zone = 1 + sum(p.zone == zone and p.name in without for p in reachable)
        peer = choose_peer(usable, zone, cut_in_zone, self.in_flight)
        return None if peer is None else PeerTarget(peer.name, peer.address, peer.zone)

    def begin(self, context, target):
        """Return a `Forward` of a request to a peer."""
        self.in_flight[target.id] += 1
        return Forward(context, target)

    def end(self, forward, result=None):
        """Release what a `Forward` holds and log its result, None if it wasn't needed."""
        self.in_flight[forward.target.id] -= 1
        if forward.connection is not None:
            forward.connection.close()
        # Not kept with the request until the next garbage collection.
        forward.body, forward.data = None, b""
        context, outcome = forward.context, result.value if result else "not needed"
        _metrics.FORWARDS.labels(context.service.name, outcome).inc()
        self.decisions.record(
            "request_forwarded",
            request=context.metadata.request_id,
            peer=forward.target.id,
            zone=forward.target.zone,
            kept_connection=forward.kept,
            result=outcome,
            reason=forward.reason,
            last_event=context.splitter.last_event_id,
        )

    async def prepare(self, forward, streaming, ahead=False):
        """Send a request to a peer and read until its answer can be passed on.

        Parameters
        ----------
        ahead : bool
            Whether to read up to the first event of a stream, or its end.
        """
        try:
            return await self._prepare(forward, streaming, ahead)
        except _PeerSilentError:
            return self._note_silent(forward)
        except (ConnectionLostError, EventTooLargeError) as error:
            return self._note_broken(forward, error)

    async def _prepare(self, forward, streaming, ahead):
        head = forward.head = await self._request_head(forward, ahead)
        if head is None:
            self.avoid(forward.target)
            return AttemptResult.NOT_SENT
        result = self._classify(forward, head, streaming)
        if result is AttemptResult.COMPLETE and streaming:
            if ahead:
                await self._read_ahead(forward)
        else:
            forward.body = await forward.connection.read_body()
            # A refusal with an endpoint's stamp is no word of the peer.
            if result is AttemptResult.FAILED and head.status not in REFUSAL_STATUSES:
                headers = self.wire.caller_headers(head)
                forward.context.keep_error(head.status, headers, forward.body)
            self._give_back(forward)
        forward.is_ready = result is AttemptResult.COMPLETE
        return result

    async def deliver(self, forward, streaming):
        """Pass on the answer of a prepared `Forward`."""
        context, head = forward.context, forward.head
        if not streaming:
            context.record_forwarded(self.clock.now_ms())
            headers = self.wire.caller_headers(head)
            await context.caller.send_response(head.status, headers, forward.body)
            return AttemptResult.COMPLETE
        try:
            await self._pass_on_events(forward, head)
        except _PeerSilentError:
            return self._note_silent(forward)
        except (ConnectionLostError, EventTooLargeError) as error:
            return self._note_broken(forward, error)
        self._give_back(forward)
        return AttemptResult.COMPLETE

    def _give_back(self, forward):
        connection, forward.connection = forward.connection, None
        self.pool.give_back(forward.target, connection, forward.head)

    def _note_silent(self, forward):
        forward.reason = "no answer in time"
        self.avoid(forward.target)
        return AttemptResult.SILENT

    def _note_broken(self, forward, error):
        forward.reason = str(error)
        self.avoid(forward.target)
        return AttemptResult.BROKEN

    def avoid(self, target):
        """Send nothing to a peer for a short time."""
        self.avoided_until_ms[target.id] = self.clock.now_ms() + AVOIDED_MS

    async def _request_head(self, forward, ahead):
        """Send the request and return the head of the answer; None if no connection was made."""
        context, target = forward.context, forward.target
        may_repeat = context.can_fail_over() and self.may_retry(context.service.name)
        kept = self.pool.take(target) if may_repeat else None
        forward.kept = kept is not None
        if kept is not None:
            forward.connection = kept.connection
        else:
            try:
                forward.connection = await ClientConnection.open(
                    target.address, CONNECT_TIMEOUT_MS, self.source_ip
                )
            except ConnectionLostError as error:
                forward.reason = str(error)
                return None
        await self._write_request(forward)
        read = forward.connection.read_acceptance
        timeout_ms = ACCEPTANCE_TIMEOUT_MS if may_repeat or ahead else None
        head = await self._read(forward, read, timeout_ms)
        return head if head is not None else await forward.connection.read_head()

    async def _read(self, forward, read, timeout_ms):
        """Return what `read` does; raise `_PeerSilentError` if a silent peer is left."""
        while True:
            try:
                async with asyncio.timeout(timeout_ms / MS_PER_S if timeout_ms else None):
                    return await read()
            except TimeoutError:
                if not forward.leaves_silent:
                    forward.replacement = await forward.find_other()
                if forward.leaves_silent or forward.replacement is not None:
                    raise _PeerSilentError from None

    async def _write_request(self, forward):
        context = forward.context
        sender = ForwardingDaemon(
            self.peers.own_name,
            self.config_version(),
            self.clock.now_ms() - context.started_ms + HOP_MARGIN_MS,
            context.endpoints_used,
            context.attempts > 0,
        )
        headers = forwarded_headers(context.request, sender, context.splitter.last_event_id)
        context.possible_runs[forward.target.id] += 1
        request = context.request
        await forward.connection.send(
            request.method, FORWARD_PATH + request.target, headers, request.body
        )

    def _classify(self, forward, head, streaming):
        """Return the result that the status and headers of a peer's answer indicate."""
        context, target = forward.context, forward.target
        response = self.wire.read_response(head)
        declined = head.header(DECLINED.decode())
        if declined is not None:
            forward.reason = declined
            self.avoid(target)
            context.possible_runs[target.id] -= 1
            return AttemptResult.DECLINED
        if response.request_id not in (None, context.metadata.request_id):
            raise ConnectionLostError("answer of another request")
        if 200 <= head.status < 300:
            if not response.stamped:
                raise ConnectionLostError("success without an endpoint's stamp")
            if not is_whole_success(head.status, streaming, context.request):
                raise ConnectionLostError(f"no whole answer: status {head.status}")
            return AttemptResult.COMPLETE
        if head.status in REFUSAL_STATUSES and not response.stamped:
            context.possible_runs[target.id] -= 1
            forward.retry_after_ms = _retry_after_ms(head)
            return AttemptResult.NOT_RUN
        return AttemptResult.FAILED

    async def _read_ahead(self, forward):
        last_event_id = forward.context.splitter.last_event_id
        forward.data, forward.ended = await read_to_first_event(
            forward.connection, forward.head, last_event_id
        )

    async def _pass_on_events(self, forward, head):
        context = forward.context
        if not context.head_forwarded:
            await context.caller.send_head(head.status, self.wire.caller_headers(head))
            context.head_forwarded = True
        context.splitter.discard_partial()
        while (chunk := await self._read_chunk(forward)) is not None:
            events = context.splitter.feed(chunk)
            if events:
                context.record_forwarded(self.clock.now_ms())
                await context.caller.send_chunk(events)
        if context.splitter.partial:
            raise ConnectionLostError("stream ended within an event")
        await context.caller.send_end()

    async def _read_chunk(self, forward):
        """Return the next chunk or None at the end.

        The peer itself notices sooner when its endpoint is silent.
        """
        if forward.data:
            data, forward.data = forward.data, b""
            return data
        if forward.ended:
            return None
        return await self._read(forward, forward.connection.read_chunk, STALL_MS)


def _retry_after_ms(head):
    try:
        return max(0.0, float(head.header(RETRY_AFTER)) * MS_PER_S)
    except (TypeError, ValueError):
        return DEFAULT_RETRY_AFTER_MS
