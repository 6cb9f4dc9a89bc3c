"""Client of the key-value service over the JSON gateway of the etcd v3 protocol.

References
----------
etcd documentation, "Why gRPC gateway" and "KV API guarantees".
"""

import http.client
from base64 import b64decode, b64encode

import msgspec

from corianderhaven.common import (
    NETWORK_ERRORS,
    ErrorCode,
    JsonClient,
    TransportError,
    open_connection,
    receive_response,
)

from ._base import BaseKeyValueStore, Item, KeyValueError, SwapResult

MAX_SWAPS_PER_CALL = 64
READ_BYTES = 65_536
MAX_CHANGE_BYTES = 1 << 24


class EtcdGatewayStore(BaseKeyValueStore):
    """Key-value store accessed over the JSON gateway.

    Parameters
    ----------
    address : str
        ``IP:port``.
    timeout_ms : float
        Time limit of each call.
    """

    def __init__(self, address, timeout_ms=1500.0):
        self.address = address
        self.timeout_ms = timeout_ms
        self.client = JsonClient(address, timeout_ms)
        self.calls = {"read": 0, "write": 0}

    def get(self, key):
        """Return the `Item` of `key`, or None."""
        response = self._call("/v3/kv/range", {"key": _encode(key)}, write=False)
        return next(map(_make_item, response.get("kvs", ())), None)

    def list(self, prefix, limit=0):
        """Return the items whose keys begin with `prefix`."""
        body = {"key": _encode(prefix), "range_end": _range_end(prefix), "limit": str(limit)}
        response = self._call("/v3/kv/range", body, write=False)
        return [_make_item(kv) for kv in response.get("kvs", ())]

    def compare_and_swap(self, key, expected_revision, value, lease=0):
        """Write if the key's last revision is the expected one; 0 means that it must not exist."""
        branch = _write_branch(key, expected_revision, value, lease)
        response = self._call("/v3/kv/txn", branch, write=True)
        return _swap_result(response, key, value, _header_revision(response))

    def swap_many(self, swaps):
        """Run independent compare-and-swaps, up to `MAX_SWAPS_PER_CALL` in one call."""
        results = []
        for start in range(0, len(swaps), MAX_SWAPS_PER_CALL):
            batch = swaps[start : start + MAX_SWAPS_PER_CALL]
            branches = [
                {"request_txn": _write_branch(s.key, s.expected_revision, s.value, s.lease)}
                for s in batch
            ]
            response = self._call("/v3/kv/txn", {"compare": [], "success": branches}, write=True)
            revision = _header_revision(response)
            results += [
                _swap_result(result["response_txn"], swap.key, swap.value, revision)
                for result, swap in zip(response["responses"], batch, strict=True)
            ]
        return results

    def delete(self, key, expected_revision):
        """Delete if the key's last revision is the expected one; return whether it was deleted."""
        body = {
            "compare": [_compare(key, expected_revision)],
            "success": [{"request_delete_range": {"key": _encode(key)}}],
        }
        return self._call("/v3/kv/txn", body, write=True).get("succeeded", False)

    def grant_lease(self, ttl_s):
        """Create a lease and return its id."""
        return int(self._call("/v3/lease/grant", {"TTL": str(int(ttl_s))}, write=True)["ID"])

    def renew_lease(self, lease):
        """Renew a lease; return False if it has expired."""
        response = self._call("/v3/lease/keepalive", {"ID": str(lease)}, write=True)
        return int(response["result"].get("TTL", 0)) > 0

    def revoke_lease(self, lease):
        """Revoke a lease and delete its keys."""
        self._call("/v3/lease/revoke", {"ID": str(lease)}, write=True)

    def watch(self, key, idle_timeout_ms):
        """Yield the `Item` on each change of `key`, None on deletion.

        The connection is closed after `idle_timeout_ms` without a change, so that a dead
        connection is replaced; the caller reads the key again before the next watch.
        """
        body = msgspec.json.encode({"create_request": {"key": _encode(key)}})
        connection = None
        try:
            connection = open_connection(self.address, self.timeout_ms, idle_timeout_ms)
            connection.request(
                "POST", "/v3/watch", body=body, preload_content=False, decode_content=False
            )
            yield from _read_changes(receive_response(connection))
        except TransportError as error:
            raise KeyValueError(str(error), ambiguous=False)
        except (*NETWORK_ERRORS, msgspec.DecodeError) as error:
            raise KeyValueError(str(error), ambiguous=False)
        finally:
            if connection is not None:
                connection.close()

    def close(self):
        """Close the connections."""
        self.client.close()

    def _call(self, path, body, write):
        self.calls["write" if write else "read"] += 1
        try:
            exchange = self.client.call("POST", path, body)
        except TransportError as error:
            raise KeyValueError(str(error), ambiguous=write and error.sent)
        if exchange.status == http.client.TOO_MANY_REQUESTS:
            message = "key-value service: too many calls"
            raise KeyValueError(message, ambiguous=False, code=ErrorCode.PLATFORM_LIMITED)
        if exchange.status >= http.client.INTERNAL_SERVER_ERROR:
            raise KeyValueError(f"status {exchange.status}", ambiguous=write)
        if exchange.status != http.client.OK:
            message = f"status {exchange.status}: {exchange.body[:200].decode('utf-8', 'replace')}"
            raise KeyValueError(message, ambiguous=False)
        return exchange.json()


def _read_changes(response):
    """Yield the state of the key for each event of a watch response."""
    line = bytearray()
    while data := response.read1(READ_BYTES):
        for part in data.splitlines(keepends=True):
            line += part
            if line.endswith(b"\n"):
                yield from _read_line(line)
                line = bytearray()
        if len(line) > MAX_CHANGE_BYTES:
            raise http.client.HTTPException(f"change above {MAX_CHANGE_BYTES} bytes")


def _read_line(line):
    events = msgspec.json.decode(line)["result"].get("events", ()) if line.strip() else ()
    for event in events:
        yield None if event.get("type") == "DELETE" else _make_item(event["kv"])


def _encode(text):
    raw = text if isinstance(text, bytes) else text.encode()
    return b64encode(raw).decode()


def _range_end(prefix):
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return _encode(bytes(raw))


def _compare(key, revision):
    target = "CREATE" if revision == 0 else "MOD"
    name = "create_revision" if revision == 0 else "mod_revision"
    return {"key": _encode(key), "target": target, "result": "EQUAL", name: str(revision)}


def _write_branch(key, revision, value, lease):
    put = {"key": _encode(key), "value": _encode(value)}
    if lease:
        put["lease"] = str(lease)
    return {
        "compare": [_compare(key, revision)],
        "success": [{"request_put": put}],
        "failure": [{"request_range": {"key": _encode(key)}}],
    }


def _header_revision(response):
    return int(response.get("header", {}).get("revision", 0))


def _swap_result(response, key, value, revision):
    if response.get("succeeded"):
        return SwapResult(True, Item(key, value, revision, revision))
    key_values = response["responses"][0]["response_range"].get("kvs", ())
    current = next(map(_make_item, key_values), None)
    is_own_value = current is not None and current.value == value
    return SwapResult(is_own_value, current)


def _make_item(kv):
    return Item(
        b64decode(kv["key"]).decode(),
        b64decode(kv.get("value", "")),
        int(kv.get("create_revision", 0)),
        int(kv.get("mod_revision", 0)),
        int(kv.get("lease", 0)),
    )
