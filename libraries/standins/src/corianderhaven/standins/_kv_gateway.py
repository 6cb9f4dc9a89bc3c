"""The JSON gateway of etcd v3's published protocol, in front of `KvStore`."""

import base64
import random
import threading

import msgspec

from corianderhaven.common import Response, json_response

from ._faults import drop_connection

WATCH_POLL_S = 0.2
TOKEN_BURST_S = 0.5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_INVALID_ARGUMENT = 3
GRPC_NOT_FOUND = 5


class RateLimit:
    """A token bucket per second."""

    def __init__(self, clock, rate_per_s):
        self.clock = clock
        self.rate_per_s = rate_per_s
        self.tokens = rate_per_s * TOKEN_BURST_S
        self.updated_ms = clock.now_ms()
        self.lock = threading.Lock()

    def take(self):
        """Take one token; False when there is none."""
        with self.lock:
            now = self.clock.now_ms()
            refill = (now - self.updated_ms) * self.rate_per_s / 1000
            self.tokens = min(self.rate_per_s * TOKEN_BURST_S, self.tokens + refill)
            self.updated_ms = now
            if self.tokens < 1:
                return False
            self.tokens -= 1
            return True


class KvFaults:
    """Switches of the key-value service.

    Attributes
    ----------
    down : bool
        Connections are dropped unanswered.
    delay_ms : float
        Added to each call.
    lose_answers : float
        Fraction of writes whose answer is dropped after the write.
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
        Of the random choice of lost answers.
    """

    def __init__(self, store, layout, clock, seed):
        self.store = store
        self.layout = layout
        self.clock = clock
        self.seed = seed
        self.random = random.Random(seed)
        self.faults = KvFaults()
        self.writes = RateLimit(clock, layout.writes_per_s)
        self.reads = RateLimit(clock, layout.reads_per_s)
        self.calls = {"read": 0, "write": 0, "limited": 0, "watches": 0}

    def register(self, router):
        """Add the routes of the gateway."""
        for path, kind, function in (
            ("/v3/kv/range", "read", self._range),
            ("/v3/kv/put", "write", self._put),
            ("/v3/kv/deleterange", "write", self._delete_range),
            ("/v3/kv/txn", "write", self._txn_top),
            ("/v3/lease/grant", "write", self._grant),
            ("/v3/lease/revoke", "write", self._revoke),
            ("/v3/lease/keepalive", "write", self._keep_alive),
        ):
            router.add("POST", path, self._guarded(kind, function))
        router.add("POST", "/v3/watch", self._watch)

    def _guarded(self, kind, function):
        def handle(request):
            self._apply_faults(request)
            self.calls[kind] += 1
            if not (self.writes if kind == "write" else self.reads).take():
                self.calls["limited"] += 1
                return _error(429, GRPC_RESOURCE_EXHAUSTED, "etcdserver: too many requests")
            if len(request.body) > self.layout.max_value_bytes * 2:
                return _error(400, GRPC_INVALID_ARGUMENT, "etcdserver: request is too large")
            self.store.expire()
            try:
                with self.store.changed:
                    answer = function(request.json())
            except OverflowError:
                return _error(400, GRPC_INVALID_ARGUMENT, "etcdserver: request is too large")
            except KeyError as error:
                return _error(404, GRPC_NOT_FOUND, f"etcdserver: {error}")
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
            _bytes(body, "key"), _bytes(body, "range_end"), int(body.get("limit", 0))
        )
        return {
            "header": self._header(),
            "kvs": [_render(item) for item in items],
            "count": str(len(items)),
        }

    def _put(self, body, revision=None):
        value = _bytes(body, "value")
        if len(value) > self.layout.max_value_bytes:
            raise OverflowError
        self.store.put(_bytes(body, "key"), value, int(body.get("lease", 0)), revision)
        return {"header": self._header()}

    def _delete_range(self, body, revision=None):
        deleted = self.store.delete(_bytes(body, "key"), _bytes(body, "range_end"), revision)
        return {"header": self._header(), "deleted": str(deleted)}

    def _txn_top(self, body):
        return self._txn(body, self.store.revision + 1)

    def _txn(self, body, revision):
        held = all(self.store.compare(_comparison(item)) for item in body.get("compare", ()))
        operations = body.get("success" if held else "failure", ())
        responses = [self._operation(operation, revision) for operation in operations]
        answer = {"header": self._header(), "responses": responses}
        if held:
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
        return {"response_txn": self._txn(operation["request_txn"], revision)}

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
        key, range_end = _bytes(create, "key"), _bytes(create, "range_end")
        start = int(create.get("start_revision", 0)) or self.store.revision + 1
        return Response(200, self._watch_events(request, key, range_end, start))

    def _watch_events(self, request, key, range_end, revision):
        self.calls["watches"] += 1
        try:
            yield _line({"result": {"header": self._header(), "created": True}})
            while not request.caller_disconnected():
                self._apply_faults(request)
                self.store.expire()
                with self.store.changed:
                    events = self.store.events_since(revision, key, range_end)
                    if not events:
                        self.store.changed.wait(WATCH_POLL_S)
                        continue
                    revision = events[-1].item.mod_revision + 1
                yield _line(
                    {
                        "result": {
                            "header": self._header(),
                            "events": [_render_event(event) for event in events],
                        }
                    }
                )
        finally:
            self.calls["watches"] -= 1


def _line(value):
    return msgspec.json.encode(value) + b"\n"


def _bytes(body, name):
    return base64.b64decode(body.get(name, ""))


def _comparison(item):
    comparison = {"result": "EQUAL", "target": "VERSION", **item, "key": _bytes(item, "key")}
    for name in ("create_revision", "mod_revision", "version"):
        comparison[name] = int(item.get(name, 0))
    comparison["value"] = _bytes(item, "value")
    return comparison


def _render(item):
    rendered = {
        "key": base64.b64encode(item.key).decode(),
        "value": base64.b64encode(item.value).decode(),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "version": str(item.version),
    }
    if item.lease:
        rendered["lease"] = str(item.lease)
    return rendered


def _render_event(event):
    rendered = {"kv": _render(event.item)}
    if event.kind == "DELETE":
        rendered["type"] = "DELETE"
    return rendered


def _error(status, code, message):
    return json_response({"error": message, "code": code, "message": message}, status)
