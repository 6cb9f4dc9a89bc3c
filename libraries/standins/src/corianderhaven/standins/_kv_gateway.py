"""JSON gateway of the etcd v3 API, backed by `KvStore`."""

import base64
import random
import threading

import msgspec

from corianderhaven.common import Response, json_response

from ._faults import drop_connection

WATCH_POLL_S = 0.2
BURST_S = 0.5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_INVALID_ARGUMENT = 3
GRPC_NOT_FOUND = 5


class TokenBucket:
    """Token bucket that refills at a fixed rate per second."""

    def __init__(self, clock, rate_per_s):
        self.clock = clock
        self.rate_per_s = rate_per_s
        self.tokens = rate_per_s * BURST_S
        self.updated_ms = clock.now_ms()
        self.lock = threading.Lock()

    def take(self):
        """Take one token; return False if the bucket is empty."""
        with self.lock:
            now = self.clock.now_ms()
            refill = (now - self.updated_ms) * self.rate_per_s / 1000
            self.tokens = min(self.rate_per_s * BURST_S, self.tokens + refill)
            self.updated_ms = now
            if self.tokens < 1:
                return False
            self.tokens -= 1
            return True


class KvFaults:
    """Faults injected into the key-value service.

    Attributes
    ----------
    down : bool
        Whether connections are dropped without an answer.
    delay_ms : float
        Delay added to each call.
    lose_answers : float
        Fraction of writes that are applied but not answered.
    cut_sources : set of str
        Source IP addresses whose calls are dropped.
    """

    def __init__(self):
        self.down = False
        self.delay_ms = 0.0
        self.lose_answers = 0.0
        self.cut_sources = set()


class KvGateway:
    """HTTP handlers of the key-value service.

    Parameters
    ----------
    store : KvStore
    layout : PlatformLayout
    clock : Clock
    seed : int
        Seeds the random choice of lost answers.
    """

    def __init__(self, store, layout, clock, seed):
        self.store = store
        self.layout = layout
        self.clock = clock
        self.seed = seed
        self.random = random.Random(seed)
        self.faults = KvFaults()
        self.writes = TokenBucket(clock, layout.writes_per_s)
        self.reads = TokenBucket(clock, layout.reads_per_s)
        self.calls = {"read": 0, "write": 0, "limited": 0, "watches": 0}

    def register(self, router):
        """Add the routes of the gateway."""
        for path, kind, function in (
            ("/v3/kv/range", "read", self._range),
            ("/v3/kv/put", "write", self._put),
            ("/v3/kv/deleterange", "write", self._delete_range),
            ("/v3/kv/txn", "write", self._root_transaction),
            ("/v3/lease/grant", "write", self._grant),
            ("/v3/lease/revoke", "write", self._revoke),
            ("/v3/lease/keepalive", "write", self._keep_alive),
        ):
            router.add("POST", path, self._limited(kind, function))
        router.add("POST", "/v3/watch", self._watch)

    def _limited(self, kind, function):
        def handle(request):
            self._apply_faults(request)
            self.calls[kind] += 1
            if not (self.writes if kind == "write" else self.reads).take():
                self.calls["limited"] += 1
                return _error_response(
                    429, GRPC_RESOURCE_EXHAUSTED, "etcdserver: too many requests"
                )
            if len(request.body) > self.layout.max_value_bytes * 2:
                return _error_response(
                    400, GRPC_INVALID_ARGUMENT, "etcdserver: request is too large"
                )
            self.store.expire()
            try:
                with self.store.changed:
                    answer = function(request.json())
            except OverflowError:
                return _error_response(
                    400, GRPC_INVALID_ARGUMENT, "etcdserver: request is too large"
                )
            except KeyError as error:
                return _error_response(404, GRPC_NOT_FOUND, f"etcdserver: {error}")
            if kind == "write" and self.random.random() < self.faults.lose_answers:
                drop_connection(request)
            return json_response(answer)

        return handle

    def _apply_faults(self, request):
        source = request.connection.remote_addr
        if self.faults.down or source in self.faults.cut_sources:
            drop_connection(request)
        if self.faults.delay_ms:
            self.clock.sleep_ms(self.faults.delay_ms)

    def _header(self):
        return {"revision": str(self.store.revision), "raft_term": "1"}

    def _range(self, body):
        items = self.store.range(
            _decode_bytes(body, "key"), _decode_bytes(body, "range_end"), int(body.get("limit", 0))
        )
        return {
            "header": self._header(),
            "kvs": [_encode_item(item) for item in items],
            "count": str(len(items)),
        }

    def _put(self, body, revision=None):
        value = _decode_bytes(body, "value")
        if len(value) > self.layout.max_value_bytes:
            raise OverflowError
        self.store.put(_decode_bytes(body, "key"), value, int(body.get("lease", 0)), revision)
        return {"header": self._header()}

    def _delete_range(self, body, revision=None):
        deleted = self.store.delete(
            _decode_bytes(body, "key"), _decode_bytes(body, "range_end"), revision
        )
        return {"header": self._header(), "deleted": str(deleted)}

    def _root_transaction(self, body):
        return self._transaction(body, self.store.revision + 1)

    def _transaction(self, body, revision):
        holds = all(self.store.compare(_comparison(item)) for item in body.get("compare", ()))
        operations = body.get("success" if holds else "failure", ())
        responses = [self._operation(operation, revision) for operation in operations]
        answer = {"header": self._header(), "responses": responses}
        if holds:
            answer["succeeded"] = True
        return answer

    def _operation(self, operation, revision):
        if "request_range" in operation:
            return {"response_range": self._range(operation["request_range"])}
        if "request_put" in operation:
            return {"response_put": self._put(operation["request_put"], revision)}
        if "request_delete_range" in operation:
            body = operation["request_delete_range"]
            return {"response_delete_range": self._delete_range(body, revision)}
        return {"response_txn": self._transaction(operation["request_txn"], revision)}

    def _grant(self, body):
        lease = self.store.grant(float(body["TTL"]), int(body.get("ID", 0)))
        return {"header": self._header(), "ID": str(lease), "TTL": str(body["TTL"])}

    def _revoke(self, body):
        self.store.revoke(int(body["ID"]))
        return {"header": self._header()}

    def _keep_alive(self, body):
        ttl = self.store.keep_alive(int(body["ID"]))
        result = {"header": self._header(), "ID": str(body["ID"])}
        if ttl:
            result["TTL"] = str(int(ttl))
        return {"result": result}

    def _watch(self, request):
        self._apply_faults(request)
        create = request.json()["create_request"]
        key, range_end = _decode_bytes(create, "key"), _decode_bytes(create, "range_end")
        start = int(create.get("start_revision", 0)) or self.store.revision + 1
        return Response(200, self._watch_events(request, key, range_end, start))

    def _watch_events(self, request, key, range_end, revision):
        self.calls["watches"] += 1
        try:
            yield _encode_line({"result": {"header": self._header(), "created": True}})
            while not request.caller_disconnected():
                self._apply_faults(request)
                self.store.expire()
                with self.store.changed:
                    events = self.store.events_since(revision, key, range_end)
                    if not events:
                        self.store.changed.wait(WATCH_POLL_S)
                        continue
                    revision = events[-1].item.mod_revision + 1
                yield _encode_line(
                    {
                        "result": {
                            "header": self._header(),
                            "events": [_encode_event(event) for event in events],
                        }
                    }
                )
        finally:
            self.calls["watches"] -= 1


def _encode_line(value):
    return msgspec.json.encode(value) + b"\n"


def _decode_bytes(body, name):
    return base64.b64decode(body.get(name, ""))


def _comparison(item):
    comparison = {"result": "EQUAL", "target": "VERSION", **item, "key": _decode_bytes(item, "key")}
    for name in ("create_revision", "mod_revision", "version"):
        comparison[name] = int(item.get(name, 0))
    comparison["value"] = _decode_bytes(item, "value")
    return comparison


def _encode_item(item):
    encoded = {
        "key": base64.b64encode(item.key).decode(),
        "value": base64.b64encode(item.value).decode(),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
    }
    if item.lease:
        encoded["lease"] = str(item.lease)
    return encoded


def _encode_event(event):
    encoded = {"kv": _encode_item(event.item)}
    if event.kind == "DELETE":
        encoded["type"] = "DELETE"
    return encoded


def _error_response(status, code, message):
    return json_response({"error": message, "code": code, "message": message}, status)
