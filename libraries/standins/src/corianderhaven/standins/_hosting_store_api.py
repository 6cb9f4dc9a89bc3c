"""HTTP API of the metadata store."""

import asyncio
from urllib.parse import parse_qs, urlsplit

import msgspec

from corianderhaven.common import MS_PER_S

PAGE_ITEMS = 50


class HostedStoreApi:
    """Answers the API calls of one store and applies its faults.

    Parameters
    ----------
    store : HostedStore
    """

    def __init__(self, store):
        self.store = store

    async def answer(self, request, caller):
        faults = self.store.faults
        peer = caller.transport.get_extra_info("peername")[0]
        if faults.answer_ms:
            await asyncio.sleep(faults.answer_ms / MS_PER_S)
        if faults.away or peer in faults.away_for:
            await caller.send_response(503, self._era_header(), b"")
            return
        status, body = await self._dispatch(request)
        if faults.lose_answers and request.method != b"GET":
            caller.abort_response()
            return
        content = [(b"content-type", b"application/json"), *self._era_header()]
        await caller.send_response(status, content, msgspec.json.encode(body))

    def _era_header(self):
        return [(b"store-era", b"%d" % self.store.era)]

    async def _dispatch(self, request):
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        store = self.store
        store.expire_leases()
        name = url.path.removeprefix("/api/")
        if name == "kv-key":
            key = query["key"]
            found = key in store.items
            return (200, {**store.encode_item(key), "at": store.revision}) if found else (404, {})
        if name == "kv-range":
            return 200, self._page(query)
        if name == "kv-watch":
            after = int(query["after"])
            wait_ms = float(query["wait_ms"])
            events = await store.wait_for_events(query.get("path_prefix", ""), after, wait_ms)
            if events is None:
                return 410, {}
            return 200, {"events": events, "at": store.revision}
        if name == "kv-txn":
            body = msgspec.json.decode(request.body)
            status, revision = store.transact(body["expected"], body["writes"], body["remove"])
            return status, {"revision": revision} if revision else {"items": []}
        if name == "kv-lease":
            ttl_ms = msgspec.json.decode(request.body)["ttl_ms"]
            return 200, {"lease_id": store.grant_lease(ttl_ms), "ttl_ms": ttl_ms}
        operation, _, lease = name.partition("/")
        if operation == "kv-keep":
            return (200, {"ttl_ms": 0}) if store.renew_lease(int(lease)) else (404, {})
        if operation == "kv-lease-end":
            return (200, {}) if store.end_lease(int(lease)) else (404, {})
        return 404, {}

    def _page(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.store.items if k.startswith(prefix) and k > after)
        page = keys[:PAGE_ITEMS]
        return {
            "items": [self.store.encode_item(key) for key in page],
            "has_more": len(keys) > PAGE_ITEMS,
            "at": self.store.revision,
        }
