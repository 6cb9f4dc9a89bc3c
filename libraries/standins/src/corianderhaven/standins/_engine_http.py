"""HTTP interface of a stand-in engine, with completions in the format of OpenAI's API."""

import msgspec

from corianderhaven.common import CorianderhavenError, ErrorCode, Response, Router, json_response

from ._faults import VmCondition, drop_connection
from ._text import chat_prompt, hash_prompt

DEFAULT_MAX_TOKENS = 64
DISCONNECT_CHECK_S = 0.25


class ContinueFrom(msgspec.Struct):
    """Part of an answer that another replica has already generated."""

    text: str
    tokens: int


class CompletionBody(msgspec.Struct):
    """Fields of a completion request that the stand-in reads."""

    model: str
    prompt: str = ""
    messages: list[dict] | None = None
    max_tokens: int = DEFAULT_MAX_TOKENS
    max_completion_tokens: int | None = None
    priority: int = 5
    continue_from: ContinueFrom | None = None


class EngineFront:
    """HTTP routes of one engine member.

    Parameters
    ----------
    member : EngineMember
    """

    def __init__(self, member):
        self.member = member
        self.router = Router()
        self.router.add("GET", "/state", self._when_responsive(self._state))
        self.router.add("POST", "/orders", self._when_responsive(self._order))
        self.router.add("POST", "/v1/completions", self._when_responsive(self._complete))
        self.router.add("POST", "/v1/chat/completions", self._when_responsive(self._complete))
        self.router.add("GET", "/v1/streams/{stream_id}", self._when_responsive(self._resume))
        self.router.add(
            "POST", "/v1/streams/{stream_id}/cancel", self._when_responsive(self._cancel)
        )
        self.router.add("GET", "/cache-events", self._when_responsive(self._cache_events))

    def _when_responsive(self, handler):
        def handle(request):
            self._wait_while_silent(request)
            return handler(request)

        return handle

    def _wait_while_silent(self, request, started_ms=None):
        member = self.member
        while member.condition is VmCondition.SILENT or (
            started_ms is not None and started_ms < member.silenced_before_ms
        ):
            member.clock.sleep_ms(50.0)
            if request.caller_disconnected():
                drop_connection(request)
        if member.condition is VmCondition.DEAD:
            drop_connection(request)

    def _state(self, request):
        return json_response(self.member.report())

    def _order(self, request):
        self.member.apply_order(request.json())
        return json_response(self.member.report())

    def _complete(self, request):
        body = request.json(CompletionBody)
        chat = body.messages is not None
        prompt = chat_prompt(body.messages) if chat else body.prompt
        start_offset = body.continue_from.tokens if body.continue_from else 0
        stream = self.member.start_stream(
            request.header("x-stream-id", request.request_id),
            prompt,
            hash_prompt(prompt),
            start_offset,
            body.max_completion_tokens or body.max_tokens,
            chat,
            body.model,
            body.priority,
            request.request_id,
        )
        return self._events(request, stream, start_offset)

    def _resume(self, request):
        stream = self.member.streams.get(request.parameters["stream_id"])
        offset = int(request.query.partition("offset=")[2] or 0)
        if stream is None or offset < stream.start_offset or offset > stream.generated:
            raise CorianderhavenError(
                ErrorCode.STREAM_LOST, "stream does not exist or does not hold the requested offset"
            )
        return self._events(request, stream, offset)

    def _cancel(self, request):
        after_ms = request.json().get("after_ms", 0)
        self.member.cancel(request.parameters["stream_id"], after_ms)
        return json_response({})

    def _cache_events(self, request):
        since = int(request.query.partition("since=")[2] or 0)
        return json_response({"events": self.member.cache.events_since(since)})

    def _events(self, request, stream, offset):
        headers = {"Content-Type": "text/event-stream"}
        return Response(200, self._write_events(request, stream, offset), headers)

    def _write_events(self, request, stream, offset):
        reader_id = stream.attach()
        started_ms = self.member.clock.now_ms()
        try:
            while True:
                self._wait_while_silent(request, started_ms)
                with stream.changed:
                    while not (stream.failed or stream.generated > offset or stream.done):
                        stream.changed.wait(DISCONNECT_CHECK_S)
                        if stream.reader_id != reader_id or request.caller_disconnected():
                            return
                if stream.failed or stream.reader_id != reader_id:
                    drop_connection(request)
                self._wait_while_silent(request, started_ms)
                generated = stream.generated
                yield b"".join(stream.chunk(index) for index in range(offset, generated))
                offset = generated
                if stream.done and offset >= stream.total_tokens:
                    yield stream.end_events()
                    return
        finally:
            if stream.reader_id == reader_id:
                stream.detached_ms = self.member.clock.now_ms()
