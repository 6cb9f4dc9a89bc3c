"""Workers that send bytes without end, to a daemon process with the limits of the smallest VM.

Ordinary requests go to the same workers meanwhile.
"""

import asyncio
import itertools

import pytest

from corianderhaven.daemon.tests.hosted_site import wait_until
from corianderhaven.daemon.tests.small_vm import (
    CROWD_TIMEOUT_S,
    head_bytes,
    request_id,
    trial,
)
from corianderhaven.standins import HostingSite

BLOCK_BYTES = 65_536
LARGE_ERROR_BYTES = 2_000_000
EVENTS_BEFORE_SILENCE = 3
LENGTH = ("content-length", "0")
DRAFT = (
    LENGTH,
    ("corianderhaven-model", "small"),
    ("corianderhaven-token-count", "100,40"),
    ("corianderhaven-prompt-prefix", "5c1e07a2:40,91bd3f06:60"),
)
CHUNKED = b"transfer-encoding: chunked\r\n"
FIRST_EVENT = b"id: 1\ndata: 1\n\n"
# What follows the status line and headers of the worker, and what follows that without end.
ANSWERS = {
    "header": (b"x: ", b"a" * BLOCK_BYTES),
    "headers": (b"", b"x: a\r\n" * 10_000),
    "informational heads": (b"\r\n", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000),
    "body": (b"\r\n", b"b" * BLOCK_BYTES),
    "long body": (b"content-length: 99999999999\r\n\r\n", b"b" * BLOCK_BYTES),
    "chunks": (CHUNKED + b"\r\n", b"400\r\n" + b"c" * 1024 + b"\r\n"),
    "chunk size": (CHUNKED + b"\r\n", b"0" * BLOCK_BYTES),
    "chunk extension": (CHUNKED + b"\r\n4;x=", b"e" * BLOCK_BYTES),
    "trailers": (CHUNKED + b"\r\n0\r\n", b"x: a\r\n" * 10_000),
    "past the length": (b"content-length: 4\r\n\r\nfour", b"b" * BLOCK_BYTES),
}
EVENTS = {
    "comment": (b"\r\n: ", b"c" * BLOCK_BYTES),
    "comments": (b"\r\n", b": comment\n\n" * 6_000),
    "event": (b"\r\ndata: ", b"d" * BLOCK_BYTES),
    "event in tiny chunks": (CHUNKED + b"\r\n6\r\ndata: \r\n", b"1\r\nd\r\n" * 10_000),
    "lines": (b"\r\n", b"data: line\n" * 6_000),
    "fields": (b"\r\n", b"retry: 1\n\n" * 6_000),
    "id": (b"\r\nid: ", b"7" * BLOCK_BYTES),
    "ids": (b"\r\n", (b"id: " + b"7" * 200_000 + b"\n\n")),
    "late comments": (b"\r\n" + FIRST_EVENT, b": comment\n\n" * 6_000),
}
STREAMED = {**ANSWERS, **EVENTS}


class EndlessSite(HostingSite):
    """Site whose workers send bytes without end to requests for targets with "endless".

    Attributes
    ----------
    status : bytes
    answer : tuple of bytes
        What follows the headers of the answer, and what is repeated after it.
    silent_first : bool
        Whether the first worker that gets a stream falls silent within each, and only what resumes
        them elsewhere has no end.
    silent_worker : object or None
        That worker.
    framed : bool
        Whether the worker's status line and headers come first.
    """

    status = b"200 OK"
    answer = (b"", b"")
    silent_first = False
    silent_worker = None
    framed = True

    async def _answer_plain(self, worker, request, caller):
        if b"endless" not in request.target:
            await super()._answer_plain(worker, request, caller)
        else:
            await self._send_endless(worker, request, caller)

    async def _stream_events(self, worker, request, caller):
        if b"endless" not in request.target:
            await super()._stream_events(worker, request, caller)
        elif not self.silent_first or request.header("last-event-id") is not None:
            await self._send_endless(worker, request, caller)
        elif self.silent_worker in (None, worker):
            self.silent_worker = worker
            await self._send_events_and_wait(worker, request, caller)
        else:
            await super()._stream_events(worker, request, caller)

    def _head(self, worker, request):
        lines = [b"%b: %b\r\n" % header for header in self._response_headers(worker, request)]
        return b"HTTP/1.1 %b\r\n%b" % (self.status, b"".join(lines))

    async def _send_endless(self, worker, request, caller):
        start, block = self.answer
        await caller.write((self._head(worker, request) if self.framed else b"") + start)
        while not caller.lost:
            await caller.write(block)
            await asyncio.sleep(0)

    async def _send_events_and_wait(self, worker, request, caller):
        numbers = range(1, EVENTS_BEFORE_SILENCE + 1)
        events = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)
        await caller.write(self._head(worker, request) + b"\r\n" + events)
        while not caller.lost:
            await asyncio.sleep(0.01)


class LargeErrorsSite(HostingSite):
    """Site whose workers answer targets with "endless" by a large error once, then not at all."""

    async def _answer_plain(self, worker, request, caller):
        if b"endless" not in request.target:
            await super()._answer_plain(worker, request, caller)
            return
        if self.run_counts()[request.header("corianderhaven-attempt-id")] > 1:
            while not caller.lost:
                await asyncio.sleep(0.01)
            return
        headers = self._response_headers(worker, request)
        await caller.send_response(500, headers, b"e" * LARGE_ERROR_BYTES)


def streams(target, headers, count):
    requests = [(request_id(), headers) for _ in range(count)]
    return [(i, [head_bytes(i, f"/{target}/endless", h)]) for i, h in requests]


def run_load(folder, requests, site_class=EndlessSite, **attributes):
    """Send requests whose answers have no end, and check the daemon during and after them."""

    async def scenario():
        async with trial(folder, site_class) as current:
            for name, value in attributes.items():
                setattr(current.site, name, value)
            crowd = current.crowd()
            sending = asyncio.get_running_loop().create_task(crowd.send_all(requests))
            try:
                await asyncio.sleep(0.5)
                assert await current.ordinary_is_answered()
                await sending
                await wait_until(lambda: all(task.done() for task in crowd.tasks), CROWD_TIMEOUT_S)
                assert len(crowd.statuses) == len(requests)
                assert await current.ordinary_is_answered()
            finally:
                crowd.close()
            await wait_until(
                lambda: not any(w.active for w in current.site.workers.values()), CROWD_TIMEOUT_S
            )
            await current.check()

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", ANSWERS)
def test_plain_answers_without_end(tmp_path, kind):
    """Guards against LOST: an answer that is kept until it ends takes all of the memory."""
    run_load(tmp_path, streams("status", (LENGTH,), 30), answer=ANSWERS[kind])


def test_bytes_without_end_that_are_no_answer(tmp_path):
    requests = streams("status", (LENGTH,), 15) + streams("draft", DRAFT, 15)
    run_load(tmp_path, requests, answer=(b"", b"\x00\x17 no answer "), framed=False)


@pytest.mark.parametrize("target", ["status", "draft"])
@pytest.mark.parametrize("kind", ["body", "chunks"])
def test_errors_without_end(tmp_path, target, kind):
    headers = DRAFT if target == "draft" else (LENGTH,)
    run_load(
        tmp_path, streams(target, headers, 30), answer=ANSWERS[kind], status=b"500 Internal Error"
    )


@pytest.mark.parametrize("kind", STREAMED)
def test_streams_without_end(tmp_path, kind):
    run_load(tmp_path, streams("draft", DRAFT, 12), answer=STREAMED[kind])


@pytest.mark.parametrize("kind", STREAMED)
def test_resumed_streams_without_end(tmp_path, kind):
    """Guards against LOST: what was read ahead of the first event was kept without a bound."""
    run_load(tmp_path, streams("draft", DRAFT, 6), answer=STREAMED[kind], silent_first=True)


def test_large_errors_of_requests_that_are_tried_again(tmp_path):
    """Guards against LOST: errors that are kept for requests were counted by no budget."""

    async def scenario():
        async with trial(tmp_path, LargeErrorsSite) as current:
            crowd = current.crowd()
            for request in streams("status", (LENGTH,), 60):
                await crowd.send_all([request])
                await asyncio.sleep(0.02)
            assert await current.ordinary_is_answered()
            await wait_until(lambda: len(crowd.statuses) == 60, CROWD_TIMEOUT_S)
            await current.check()
            assert set(crowd.statuses.values()) <= {500, 502, 504}

    asyncio.run(scenario())


def test_answers_that_go_on_after_their_callers_have_left(tmp_path):
    async def scenario():
        async with trial(tmp_path, EndlessSite) as current:
            current.site.answer = EVENTS["comments"]
            for target, headers in itertools.islice(
                itertools.cycle([("draft", DRAFT), ("status", (LENGTH,))]), 30
            ):
                crowd = current.crowd()
                await crowd.send_all(streams(target, headers, 2))
                await asyncio.sleep(0.05)
                crowd.close()
            await wait_until(
                lambda: not any(w.active for w in current.site.workers.values()), CROWD_TIMEOUT_S
            )
            await current.check()

    asyncio.run(scenario())
