"""Tests of draft attempts at replicas whose answers are none."""

import socketserver
import threading

import pytest

from corianderhaven.routing._upstream import AttemptLostError, DraftAttempt


@pytest.mark.parametrize("status", [b"000", b"199", b"600", b"999"])
def test_answer_whose_status_is_none_tells_nothing_of_the_draft(status):
    """Guards against MIXED: 999 was taken for an error that the replica answers with."""

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.recv(65_536)
            self.request.sendall(b"HTTP/1.1 " + status + b" S\r\ncontent-length: 0\r\n\r\n")

    with socketserver.TCPServer(("127.0.0.1", 0), Handler) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        address = f"127.0.0.1:{server.server_address[1]}"
        attempt = DraftAttempt(address, "POST", "/", b"{}", {}, 1_000.0, 1_000.0)
        with pytest.raises(AttemptLostError) as caught:
            attempt.start()
        attempt.close()
        server.shutdown()
    assert caught.value.reason == "reset"
    assert caught.value.status is None
