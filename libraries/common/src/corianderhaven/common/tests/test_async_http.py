"""Tests of the asyncio HTTP server and client against valid and malformed byte streams."""

import asyncio
import socket

import pytest

from corianderhaven.common import (
    AsyncHttpClient,
    AsyncHttpServer,
    ClientConnection,
    Clock,
    ConnectionLostError,
    ServerLimits,
    SettingsError,
    check_address,
)


async def echo(request, caller):
    await caller.send_response(200, [(b"x-target", request.target)], request.body)


def run_scenario(scenario, handler=echo, **limits):
    async def run():
        server = await AsyncHttpServer("127.0.0.1:0", handler, Clock()).start()
        server.limits = ServerLimits(**limits)
        try:
            await asyncio.wait_for(scenario(server), 10)
        finally:
            server.close()

    asyncio.run(run())


async def exchange_raw(server, data, end=False):
    """Send raw bytes on a new connection and return all data received until it closes."""
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    if end:
        writer.write_eof()
    response = await reader.read()
    writer.close()
    return response


def test_flush_sends_the_rest_of_answers_before_connections_close():
    """Guards against LOST: a graceful stop discarded what the kernel had not taken yet."""
    body = bytes(1 << 20)
    answered = asyncio.Event()

    async def answer(request, caller):
        sock = caller.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        await caller.send_response(200, [], body)
        answered.set()

    async def scenario(server):
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=4_096)
        writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        received = 0
        while not answered.is_set():
            received += len(await reader.read(4_096))
            await asyncio.sleep(0)
        assert received < len(body)
        flushing = asyncio.create_task(server.flush(2_000.0))
        while part := await reader.read(4_096):
            received += len(part)
        await flushing
        assert not server.connections
        server.close()
        writer.close()
        assert received == len(body)

    run_scenario(scenario, answer)


def test_target_and_body_are_passed_unchanged():
    async def scenario(server):
        response = await AsyncHttpClient(server.address).call("POST", "/a%2Fb?x=%20", b"body")
        assert (response.status, response.body) == (200, b"body")
        assert (b"x-target", b"/a%2Fb?x=%20") in response.headers

    run_scenario(scenario)


def test_chunked_request_body():
    async def scenario(server):
        request = (
            b"POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
            b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert (await exchange_raw(server, request)).endswith(b"abcde")

    run_scenario(scenario)


def test_connection_is_reused_for_many_requests():
    async def scenario(server):
        connection = await ClientConnection.open(server.address, 1000)
        for number in range(5):
            body = b"%d" % number
            headers = [("host", "h"), ("content-length", "1")]
            await connection.send("POST", "/", headers, body)
            assert (await connection.read_head()).status == 200
            assert await connection.read_body() == body
            assert connection.prepare_for_reuse()
        connection.close()

    run_scenario(scenario)


def test_requests_on_a_kept_connection_do_not_add_up_to_the_limit_of_unread_bytes():
    """Guards against an abort of a connection whose requests were all read."""

    async def scenario(server):
        connection = await ClientConnection.open(server.address, 1000)
        body = bytes(1_000)
        headers = [("host", "h"), ("content-length", str(len(body)))]
        for _ in range(20):
            await connection.send("POST", "/", headers, body)
            await connection.read_head()
            await connection.read_body()
            assert connection.prepare_for_reuse()
        (accepted,) = server.connections
        assert accepted.unread_bytes == connection.unread_bytes == 0
        connection.close()

    run_scenario(scenario)


@pytest.mark.parametrize(
    "data", [b"nonsense\r\n\r\n", b"GET / HTTP/9\r\n\r\n", b"\x00\x01\r\n\r\n"]
)
def test_malformed_request_gets_400(data):
    async def scenario(server):
        assert (await exchange_raw(server, data)).startswith(b"HTTP/1.1 400")

    run_scenario(scenario)


def test_oversized_headers_get_431_and_oversized_bodies_413():
    async def scenario(server):
        oversized_header = b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"a" * 4_000
        assert (await exchange_raw(server, oversized_header + b"\r\n\r\n")).startswith(
            b"HTTP/1.1 431"
        )
        assert (await exchange_raw(server, oversized_header)).startswith(b"HTTP/1.1 431")
        oversized_body = (
            b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3000\r\n\r\n" + b"b" * 3_000
        )
        assert (await exchange_raw(server, oversized_body)).startswith(b"HTTP/1.1 413")

    run_scenario(scenario, header_bytes=1_000, body_bytes=2_000)


def test_truncated_request_is_not_handled():
    handled = []

    async def record_request(request, caller):
        handled.append(request)

    async def scenario(server):
        await exchange_raw(
            server, b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nabc", end=True
        )

    run_scenario(scenario, record_request)
    assert handled == []


def test_idle_connection_is_closed_only_after_its_timeout():
    async def scenario(server):
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)
        assert await asyncio.wait_for(reader.read(1), 1.0) == b""
        writer.close()

    run_scenario(scenario, idle_timeout_ms=400.0)


def test_handler_is_cancelled_when_its_caller_disconnects():
    async def scenario(server):
        connection = await ClientConnection.open(server.address, 1000)
        await connection.send("GET", "/", [("host", "h")])
        await asyncio.wait_for(started.wait(), 2)
        connection.close()
        await asyncio.wait_for(cancelled.wait(), 0.4)

    started, cancelled = asyncio.Event(), asyncio.Event()

    async def wait_forever(request, caller):
        started.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    run_scenario(scenario, wait_forever)


def test_aborted_response_never_looks_complete():
    async def scenario(server):
        connection = await ClientConnection.open(server.address, 1000)
        await connection.send("GET", "/", [("host", "h")])
        await connection.read_head()
        assert await connection.read_chunk() == b"part"
        with pytest.raises(ConnectionLostError):
            await connection.read_chunk()

    async def abort(request, caller):
        await caller.send_head(200, [])
        await caller.send_chunk(b"part")
        caller.abort_response()

    run_scenario(scenario, abort)


async def start_raw_server(data, reset=False):
    """Start a server that responds to any request with `data` and ends the connection."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        if reset:
            writer.transport.abort()
        else:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nuntil the end", b"until the end"),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfourHTTP/1.1 200 OK\r\n\r\n", b"four"),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort", None),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n", None),
        (b"\x16\x03 nonsense", None),
        (b"", None),
    ],
)
def test_responses_of_faulty_backends(data, body):
    async def run():
        server, address = await start_raw_server(data)
        try:
            response = await AsyncHttpClient(address).call("GET", "/", timeout_ms=2_000)
            assert response.body == body
        except ConnectionLostError as error:
            assert body is None
            assert error.sent
        finally:
            server.close()

    asyncio.run(run())


def test_answer_to_a_body_that_is_not_read_is_read_and_the_connection_not_reused():
    """Guards against an answer that waits for the rest of the body, until the deadline."""

    async def run():
        async def answer_early(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
            await closed.wait()
            writer.close()

        closed = asyncio.Event()
        server = await asyncio.start_server(answer_early, "127.0.0.1", 0, limit=1_024)
        port = server.sockets[0].getsockname()[1]
        connection = await ClientConnection.open(f"127.0.0.1:{port}", 500)
        body = bytes(16 << 20)  # more than the kernel buffers
        headers = [("host", "h"), ("content-length", str(len(body)))]
        try:
            async with asyncio.timeout(1.0):
                await connection.send("POST", "/", headers, body)
                assert (await connection.read_head()).status == 200
                assert await connection.read_body() == b"ok"
            assert not connection.prepare_for_reuse()
        finally:
            connection.close()
            closed.set()
            server.close()
            await asyncio.sleep(0.05)

    asyncio.run(run())


def test_refused_connection_reports_nothing_sent():
    async def run():
        server, address = await start_raw_server(b"")
        server.close()
        await server.wait_closed()
        with pytest.raises(ConnectionLostError) as caught:
            await ClientConnection.open(address, 500)
        assert not caught.value.sent

    asyncio.run(run())


@pytest.mark.parametrize(
    "address", ["", "worker-1", "127.0.0.1", "127.0.0.1:http", "127.0.0.1:70000"]
)
def test_unusable_address_reports_nothing_sent(address):
    """Guards against an endpoint's unusable address ending the task that probes paths."""
    with pytest.raises(ConnectionLostError) as caught:
        asyncio.run(ClientConnection.open(address, 500))
    assert not caught.value.sent


def test_closing_server_sends_connection_close():
    async def scenario(server):
        server.closing = True
        response = await AsyncHttpClient(server.address).call("GET", "/")
        assert (b"connection", b"close") in response.headers

    run_scenario(scenario)


def test_unexpected_error_in_a_handler_is_answered_and_ends_only_its_connection():
    async def fail_once(request, caller):
        if request.target == b"/fail":
            raise ZeroDivisionError("unexpected")
        await caller.send_response(200, [], b"")

    async def scenario(server):
        assert (await AsyncHttpClient(server.address).call("GET", "/fail")).status == 502
        assert (await AsyncHttpClient(server.address).call("GET", "/")).status == 200

    run_scenario(scenario, fail_once)


@pytest.mark.parametrize("address", ["127.0.0.1:²", "127.0.0.1:99999", "127.0.0.1:", "host:1"])
def test_invalid_address_is_a_settings_error(address):
    with pytest.raises(SettingsError):
        check_address("peers", address)
