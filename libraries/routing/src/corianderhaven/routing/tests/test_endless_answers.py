"""Tests of replicas, services and daemons of other zones that send bytes without end."""

from types import SimpleNamespace

import pytest

from corianderhaven.common import Clock, DecisionLog
from corianderhaven.common.tests.endless_server import MAX_TAKEN_BYTES, endless_server
from corianderhaven.routing import OperationRouter, Verdict
from corianderhaven.routing._operations import ServiceTarget
from corianderhaven.routing._upstream import AttemptLostError, DraftAttempt

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
TOKEN = b'id: s/1\ndata: {"choices": []}\n\n'
STREAMS = {
    "event": (HEAD, b"data: " + b"d" * 65_536),
    "comments": (HEAD, b": comment\n\n" * 6_000),
    "events without tokens": (HEAD, b"data: {}\n\n" * 6_000),
    "event after a token": (HEAD + TOKEN, b"d" * 65_536),
    "events after a token": (HEAD + TOKEN, b"data: {}\n\n" * 6_000),
    "chunk size": (CHUNKED, b"0" * 65_536),
    "error": (b"HTTP/1.1 500 Error\r\n\r\n", b"e" * 65_536),
}
BODIES = {
    "body": (HEAD, b"b" * 65_536),
    "chunks": (CHUNKED, (b"400\r\n" + b"c" * 1024 + b"\r\n") * 64),
    "chunk size": (CHUNKED, b"0" * 65_536),
    "error": (b"HTTP/1.1 500 Error\r\n\r\n", b"e" * 65_536),
}


@pytest.mark.parametrize("kind", STREAMS)
def test_draft_without_end_is_lost(kind):
    """Guards against LOST: what brought no token was kept, or read, as long as it came."""
    with endless_server(*STREAMS[kind]) as server:
        attempt = DraftAttempt(server.address, "POST", "/", b"{}", {}, 2_000.0, 2_000.0)
        try:
            with pytest.raises(AttemptLostError):
                list(attempt.start().batches())
        finally:
            attempt.close()
        assert server.ended.wait(5)
    assert server.sent_bytes < MAX_TAKEN_BYTES


@pytest.mark.parametrize("kind", BODIES)
def test_answer_of_an_operation_without_end_is_none(kind):
    """Guards against LOST: the whole answer was kept until the operation's deadline."""
    clock = Clock()
    router = OperationRouter(clock, None, None, None, None, None, DecisionLog(clock), "secret")
    operation = SimpleNamespace(name="o", deadline_ms=20_000.0, refuses_before_run=())
    service = SimpleNamespace(name="s")
    request = SimpleNamespace(
        request_id="r", service=service, operation=operation, body=b"{}", idempotency_key=None
    )
    with endless_server(*BODIES[kind]) as server:
        result = router._run_attempt(request, ServiceTarget(server.address, "vm"), 0)
        assert server.ended.wait(5)
    assert (result.verdict, result.response) == (Verdict.UNKNOWN, None)
    assert server.sent_bytes < MAX_TAKEN_BYTES
