"""JSON request router and threaded HTTP server, based on cheroot."""

import http.client
import re
import select
import socket
import struct
import threading
from dataclasses import dataclass, field

import msgspec
from cheroot import wsgi
from loguru import logger

from ._chunked_body import ChunkedBody
from ._ids import new_id
from .exceptions import CorianderhavenError, ErrorCode, FieldError, Outcome

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
DISCARD_CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
READ_BYTES = 64 * 1024  # of a body at a time; up to this size it counts towards no limit
MAX_BUFFERED_BYTES = 64 * 1024 * 1024  # of the bodies of all requests that are read or handled
NO_MEMORY_RETRY_AFTER_MS = 1_000
LISTEN_BACKLOG = 512
WRITE_TIMEOUT_S = 10
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,80}")


def set_kernel_timeout(sock, option, timeout_s):
    """Set a kernel timeout on a blocking socket, which saves Python's poll before each call."""
    seconds = int(timeout_s)
    microseconds = int((timeout_s - seconds) * 1_000_000)
    sock.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", seconds, microseconds))


class _StreamingGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the caller's connection to the application."""

    version = (1, 5)
    streaming = False

    def get_environ(self):
        environ = super().get_environ()
        environ["wsgi.version"] = (1, 0)
        environ["corianderhaven.connection"] = self.req.conn
        if self.req.chunked_read:
            environ["wsgi.input"] = ChunkedBody(self.req.conn.rfile)
        return environ

    def respond(self):
        """Respond, and restore the timeout of a persistent connection after a stream."""
        try:
            super().respond()
        finally:
            if self.streaming:
                self.req.conn.socket.settimeout(self.req.server.timeout)

    def write(self, chunk):
        """Write a chunk; after the first, send it in one call that bypasses cheroot's buffers."""
        request = self.req
        if request.sent_headers and request.chunked_write and chunk:
            sock = request.conn.socket
            if not self.streaming:
                self.streaming = True
                sock.settimeout(None)
                set_kernel_timeout(sock, socket.SO_SNDTIMEO, WRITE_TIMEOUT_S)
            sock.sendall(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        else:
            super().write(chunk)


@dataclass
class Request:
    """An HTTP request."""

    method: str
    path: str
    query: str
    headers: dict
    body: bytes
    request_id: str
    connection: object = None
    parameters: dict = field(default_factory=dict)

    def header(self, name, default=None):
        """Return the value of header `name` (lower-case), or `default` if it is absent."""
        return self.headers.get(name, default)

    def json(self, model=None):
        """Decode the JSON body, as an instance of `model` if one is given.

        Raises
        ------
        CorianderhavenError
            When the body is invalid; contains the path of the first validation error.
        """
        try:
            if model is None:
                return msgspec.json.decode(self.body)
            return msgspec.json.decode(self.body, type=model)
        except msgspec.ValidationError as error:
            field_error = to_field_error(error)
            raise CorianderhavenError(
                ErrorCode.INVALID_REQUEST, str(error), errors=[field_error]
            ) from None
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise CorianderhavenError(ErrorCode.MALFORMED_JSON, str(error)) from None

    def caller_disconnected(self):
        """Check without blocking whether the caller has closed its connection."""
        if self.connection is None:
            return False
        sock = self.connection.socket
        try:
            readable, _, _ = select.select([sock], [], [], 0)
            return bool(readable) and sock.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True


@dataclass
class Response:
    """An HTTP response; `body` is bytes, or an iterator of bytes for a stream."""

    status: int = 200
    body: object = b""
    headers: dict = field(default_factory=dict)


def to_field_error(error):
    """Convert a msgspec error, whose message ends in "- at `path`", to a `FieldError`."""
    message, _, path = str(error).partition(" - at `")
    return FieldError(path.rstrip("`") or "$", message)


def json_response(value, status=200, headers=None):
    """Return a `Response` with `value` as JSON."""
    body = msgspec.json.encode(value, enc_hook=str)
    return Response(status, body, {"Content-Type": "application/json", **(headers or {})})


def error_response(error):
    """Return the `Response` for a `CorianderhavenError`."""
    headers = {}
    if error.retry_after_ms is not None:
        headers["Retry-After"] = str(max(1, -(-error.retry_after_ms // 1000)))
    return json_response(error.to_body(), error.code.status, headers)


class Router:
    """Dispatches requests by method and path pattern.

    Patterns are like ``/v1/services/{service}/{operation}``.

    Parameters
    ----------
    max_body_bytes : int
        Maximum body size; larger bodies are rejected with status 413.

    Attributes
    ----------
    max_buffered_bytes : int
        Bound on the bodies of all requests together, beyond `READ_BYTES` of each.
    """

    def __init__(self, max_body_bytes=MAX_BODY_BYTES):
        self.max_body_bytes = max_body_bytes
        self.max_buffered_bytes = MAX_BUFFERED_BYTES
        self.buffered_bytes = 0
        self.buffer_lock = threading.Lock()
        self.routes = []

    def add(self, method, pattern, handler):
        """Register `handler(request)` for `method` and `pattern`."""
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        self.routes.append((method, re.compile(expression), handler))

    def dispatch(self, request):
        """Return the handler's `Response` to `request`, or an error response."""
        try:
            return self._handler(request)(request)
        except CorianderhavenError as error:
            return error_response(error)
        except Exception:
            logger.bind(request_id=request.request_id).exception("request handler failed")
            message = "internal error"
            return error_response(CorianderhavenError(ErrorCode.INTERNAL, message, Outcome.UNKNOWN))

    def _handler(self, request):
        matches = [
            (method, match, handler)
            for method, expression, handler in self.routes
            if (match := expression.fullmatch(request.path))
        ]
        if not matches:
            raise CorianderhavenError(ErrorCode.NOT_FOUND, f"no such path: {request.path}")
        for method, match, handler in matches:
            if method == request.method:
                request.parameters = match.groupdict()
                return handler
        raise CorianderhavenError(ErrorCode.METHOD_NOT_ALLOWED, f"not allowed: {request.method}")

    def application(self, environ, start_response):
        """Handle a request as a WSGI application."""
        buffered = _BufferedBytes(self)
        try:
            request, error = self._read_request(environ, buffered)
            response = error_response(error) if error else self.dispatch(request)
        finally:
            buffered.release()
        headers = {"X-Request-Id": request.request_id, **response.headers}
        if isinstance(response.body, bytes):
            headers["Content-Length"] = str(len(response.body))
        reason = http.client.responses.get(response.status, "Unknown")
        start_response(f"{response.status} {reason}", list(headers.items()))
        return [response.body] if isinstance(response.body, bytes) else response.body

    def _read_request(self, environ, buffered):
        headers = {
            key[5:].replace("_", "-").lower(): value
            for key, value in environ.items()
            if key.startswith("HTTP_")
        }
        request_id = headers.get("x-request-id", "")
        if not REQUEST_ID_PATTERN.fullmatch(request_id):
            request_id = new_id("req")
        request = Request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            environ.get("QUERY_STRING", ""),
            headers,
            b"",
            request_id,
            environ.get("corianderhaven.connection"),
        )
        try:
            request.body = self._read_body(environ, buffered)
        except CorianderhavenError as error:
            logger.bind(request_id=request_id).info("request given up: {}", error)
            return request, error
        return request, None

    def _read_body(self, environ, buffered):
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdigit():
            raise CorianderhavenError(ErrorCode.INVALID_REQUEST, "bad Content-Length")
        stream = environ["wsgi.input"]
        read_bytes = self.max_body_bytes + 1
        has_length = not environ.get("wsgi.input_terminated")
        if has_length:
            read_bytes = min(read_bytes, int(length))
        body = bytearray()
        while part := stream.read(min(READ_BYTES, read_bytes - len(body))):
            if body and not buffered.take(len(part)):
                body.clear()
                buffered.release()
                _discard_body(stream)
                raise CorianderhavenError(
                    ErrorCode.NO_MEMORY,
                    "bodies of other requests take the memory",
                    retry_after_ms=NO_MEMORY_RETRY_AFTER_MS,
                )
            body += part
            if len(body) >= read_bytes:
                break
        if len(body) > self.max_body_bytes:
            body.clear()
            buffered.release()
            _discard_body(stream)
            raise CorianderhavenError(
                ErrorCode.BODY_TOO_LARGE, f"body above {self.max_body_bytes} bytes"
            )
        if has_length and len(body) < read_bytes:
            raise CorianderhavenError(ErrorCode.INVALID_REQUEST, "connection ended within the body")
        return bytes(body)


class _BufferedBytes:
    """What one request has taken of its router's `max_buffered_bytes`."""

    def __init__(self, router):
        self.router = router
        self.taken_bytes = 0

    def take(self, size):
        """Count `size` more bytes; return False if there is no room for them."""
        router = self.router
        with router.buffer_lock:
            if router.buffered_bytes + size > router.max_buffered_bytes:
                return False
            router.buffered_bytes += size
        self.taken_bytes += size
        return True

    def release(self):
        """Return what was taken."""
        with self.router.buffer_lock:
            self.router.buffered_bytes -= self.taken_bytes
        self.taken_bytes = 0


def _discard_body(stream):
    """Discard the rest of the body, up to a limit, so that the caller reads the response."""
    remaining = MAX_DISCARDED_BYTES
    while remaining > 0 and (chunk := stream.read(DISCARD_CHUNK_BYTES)):
        remaining -= len(chunk)


class HttpServer:
    """HTTP server that runs cheroot on a background thread.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 selects a free port.
    router : Router
        Router that handles the requests.
    threads : int
        Maximum number of requests handled concurrently.
    shutdown_timeout_s : float
        Maximum wait for worker threads in `close`.
    """

    def __init__(self, address, router, threads=32, shutdown_timeout_s=1.0):
        self.address = address
        self.router = router
        self.threads = threads
        self.shutdown_timeout_s = shutdown_timeout_s
        self.server = None
        self.thread = None

    def start(self):
        """Bind, listen and serve; raises OSError when the address is in use."""
        host, _, port = self.address.rpartition(":")
        self.server = wsgi.Server(
            (host, int(port)),
            self.router.application,
            numthreads=self.threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=WRITE_TIMEOUT_S,
            shutdown_timeout=self.shutdown_timeout_s,
            server_name="corianderhaven",
        )
        self.server.gateway = _StreamingGateway
        self.server.max_request_header_size = MAX_HEADER_BYTES
        self.server.error_log = _log_server_error
        self.server.prepare()
        self.address = f"{host}:{self.server.bind_addr[1]}"
        self.thread = threading.Thread(
            target=self.server.serve, name=f"http-{self.address}", daemon=True
        )
        self.thread.start()
        return self

    def close(self):
        """Stop listening and shut down the worker threads."""
        if self.server is not None:
            self.server.stop()
            self.thread.join(self.shutdown_timeout_s)
            self.server = None


def _log_server_error(message="", level=0, traceback=False):
    logger.debug("http server: {}", message)
