"""Tests of the blocking HTTP client's errors and connection reuse, and of the HTTP server."""

import socket
import threading
import time

import pytest

from corianderhaven.common import (
    HttpServer,
    JsonClient,
    Router,
    TransportError,
    json_response,
    open_connection,
)


def test_refused_connection_reports_nothing_sent():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        with pytest.raises(TransportError) as caught:
            open_connection(address, 500)
    assert (caught.value.sent, caught.value.timed_out) == (False, False)


def test_read_timeout_reports_request_as_possibly_sent():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        client = JsonClient(f"127.0.0.1:{listener.getsockname()[1]}", 100)
        with pytest.raises(TransportError) as caught:
            client.call("GET", "/")
    assert (caught.value.sent, caught.value.timed_out) == (True, True)


def test_read_timeout_is_separate_from_connect_timeout():
    router = Router()
    release = threading.Event()

    def slow(request):
        release.wait(5)
        return json_response({})

    router.add("GET", "/slow", slow)
    server = HttpServer("127.0.0.1:0", router, 2).start()
    connection = open_connection(server.address, 50, 5000)
    connection.request("GET", "/slow")
    threading.Timer(0.2, release.set).start()
    assert connection.getresponse().status == 200
    connection.close()
    server.close()


def test_idle_connection_closed_by_the_server_is_replaced():
    router = Router()
    router.add("GET", "/", lambda request: json_response({"ok": True}))
    server = HttpServer("127.0.0.1:0", router, 2).start()
    client = JsonClient(server.address, 2000)
    assert client.json("GET", "/") == {"ok": True}
    client.idle[0].sock.shutdown(socket.SHUT_RDWR)
    assert client.json("GET", "/") == {"ok": True}
    client.close()
    server.close()


def test_invalid_content_length_is_rejected():
    router = Router()
    router.add("POST", "/", lambda request: json_response({}))
    server = HttpServer("127.0.0.1:0", router, 2).start()
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), 2) as sock:
        sock.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: abc\r\n\r\n")
        time.sleep(0.05)
        assert b"400" in sock.recv(100)
    server.close()
