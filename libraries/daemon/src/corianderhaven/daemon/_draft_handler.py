"""Handles draft requests over HTTP, from callers and from daemons of other zones."""

import hashlib

import msgspec

from corianderhaven.common import (
    CorianderhavenError,
    ErrorCode,
    Response,
    json_response,
)
from corianderhaven.routing import DraftRequest

from ._completion_format import (
    END_EVENT,
    DraftBody,
    check_body,
    completion_response,
    format_error_event,
    format_events,
    format_peer_events,
)

STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}


class DraftHandler:
    """Parses draft requests and builds their responses.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon

    def serve(self, request, account, path):
        """Serve a caller's draft, as a stream or as a single response."""
        body, draft = self._parse(request, account, path)
        digest = hashlib.blake2b(request.body, digest_size=12).hexdigest()
        last_event_id = request.header("last-event-id")
        if last_event_id and body.stream:
            draft.resume = self.daemon.tokens.check(last_event_id, account.name, digest)
            draft.delivered = draft.resume.offset
        relay = self.daemon.drafts.relay(draft)
        if body.stream:
            chunks = self._caller_stream(request, relay, account.name, digest)
            return Response(200, _start_stream(chunks), dict(STREAM_HEADERS))
        return self._single_response(request, relay, body, path)

    def serve_peer(self, request, account, path):
        """Serve a draft that a daemon of another zone has forwarded."""
        body, draft = self._parse(request, account, path)
        draft.hops = 1
        waited = request.header("x-corianderhaven-waited-ms", "0")
        draft.waited_ms = float(waited) if waited.isdigit() else 0.0
        if body.continue_from is not None:
            draft.delivered = body.continue_from.tokens
            draft.prefix_text = body.continue_from.text
            draft.body.pop("continue_from")
        relay = self.daemon.drafts.relay(draft)
        return Response(200, _start_stream(self._peer_stream(request, relay)), dict(STREAM_HEADERS))

    def serve_peer_stream(self, request, account, resume):
        """Continue a stream that an engine of this zone retains."""
        deployments = self.daemon.permitted_deployments(account)
        draft = DraftRequest(
            request.request_id, account, deployments, "", {}, "", 0, resume.offset, "", resume, 1
        )
        relay = self.daemon.drafts.relay(draft)
        return Response(200, _start_stream(self._peer_stream(request, relay)), dict(STREAM_HEADERS))

    def _parse(self, request, account, path):
        body = request.json(DraftBody)
        check_body(body, chat=path.endswith("chat/completions"))
        deployments = self.daemon.deployments_for(account, body.model)
        if not deployments:
            raise CorianderhavenError(
                ErrorCode.UNKNOWN_MODEL, f"no such model for this account: {body.model!r}"
            )
        raw = msgspec.json.decode(request.body)
        draft = DraftRequest(
            request.request_id,
            account,
            deployments,
            path,
            raw,
            body.prompt_text(),
            body.token_limit(),
        )
        return body, draft

    def _watch_caller(self, request, relay):
        """Yield a relay's batches, and cancel it if the caller disconnects before the first."""
        monitor = self.daemon.disconnect_monitor
        handle = monitor.add(request, relay.handle_disconnect)
        batches = relay.batches()
        try:
            first = next(batches)
            monitor.remove(handle)
            yield first
            yield from batches
        finally:
            monitor.remove(handle)
            batches.close()

    def _caller_stream(self, request, relay, account, digest):
        signer = None
        signer_stream_id = None
        started = False
        try:
            for batch in self._watch_caller(request, relay):
                if relay.stream_id != signer_stream_id or signer is None:
                    signer_stream_id = relay.stream_id
                    signer = self.daemon.tokens.signer(signer_stream_id or "", account, digest)
                started = True
                yield format_events(batch, signer)
            yield END_EVENT
        except CorianderhavenError as error:
            if not started:
                raise
            yield format_error_event(error)

    def _peer_stream(self, request, relay):
        started = False
        try:
            for batch in self._watch_caller(request, relay):
                started = True
                yield format_peer_events(batch, relay.stream_id)
            yield END_EVENT
        except CorianderhavenError:
            if not started:
                raise

    def _single_response(self, request, relay, body, path):
        monitor = self.daemon.disconnect_monitor
        handle = monitor.add(request, relay.handle_disconnect)
        try:
            events = [event for batch in relay.batches() for event in batch]
        finally:
            monitor.remove(handle)
        chat = path.endswith("chat/completions")
        return json_response(completion_response(events, request.request_id, body.model, chat))


def _start_stream(chunks):
    """Run a stream up to its first chunk, so that an earlier error sets the status code."""
    first = next(chunks)
    return _prepend(first, chunks)


def _prepend(first, chunks):
    try:
        yield first
        yield from chunks
    finally:
        chunks.close()
