"""A daemon before the stand-in of a hosting platform, in one event loop."""

import asyncio
import itertools
from contextlib import asynccontextmanager

from corianderhaven.common import ClientConnection, ConnectionLostError
from corianderhaven.daemon._fleet_daemon import FleetDaemon
from corianderhaven.fleet import NodeSettings
from corianderhaven.standins import HostingSite, small_models

ids = itertools.count(1)
STARTED_S = 6.0


def node_settings(site, name="edge-a-1", ip="127.0.0.1", **fields):
    values = {
        "name": name,
        "zone": "a",
        "ip": ip,
        "callers": f"{ip}:0",
        "readiness": f"{ip}:0",
        "peers": f"{ip}:0",
        "store": site.store_server.address,
        "first_start": True,
        "stall_ms": 400.0,
        "grace_ms": 4_000.0,
        "retry_slack": 400.0,
        **fields,
    }
    return NodeSettings(**values)


@asynccontextmanager
async def hosted(daemons=1, site_fields=None, wait=True, **settings):
    """Start a site and daemons; wait until both models are served."""
    values = {
        "zones": ["a", "b"],
        "domain_size": 4,
        "models": small_models(),
        **(site_fields or {}),
    }
    site = await HostingSite(**values).start()
    started = []
    try:
        for number in range(daemons):
            name = f"edge-a-{number + 1}"
            daemon = FleetDaemon(node_settings(site, name, f"127.0.0.{number + 1}", **settings))
            await daemon.start()
            started.append(daemon)
        if wait:
            await until(lambda: all(served(d, site) for d in started))
        yield site, started
    finally:
        for daemon in started:
            daemon.close()
        site.close()


def served(daemon, site):
    names = {model.name for model in site.models}
    return daemon.ready and all(
        daemon.gateway.replica_view.available_heads("draft-pool", n) for n in names
    )


async def until(condition, seconds=STARTED_S):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


class Answer:
    def __init__(self, request_id, status, head, body, complete):
        self.request_id = request_id
        self.status = status
        self.head = head
        self.body = body
        self.complete = complete

    def header(self, name):
        return self.head.header(name)

    @property
    def event_ids(self):
        lines = self.body.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


async def ask(daemon, path, method="GET", key="key-a", body=b"", headers=(), connection=None):
    """Send one request and return its `Answer`."""
    request_id = f"request-{next(ids)}"
    sent = [
        ("host", "site.example"),
        ("corianderhaven-attempt-id", request_id),
        ("corianderhaven-deadline-ms", "4000"),
        *([("authorization", f"Bearer {key}")] if key else []),
        *([("content-length", str(len(body)))] if body else []),
        *headers,
    ]
    own = connection is None
    if own:
        connection = await ClientConnection.open(daemon.callers_server.address, 1000)
    try:
        await connection.send(method, path, sent, body)
        head = await connection.read_head()
        parts = []
        try:
            while (part := await connection.read_chunk()) is not None:
                parts.append(part)
            complete = True
        except ConnectionLostError:
            complete = False
        return Answer(request_id, head.status, head, b"".join(parts), complete)
    finally:
        if own:
            connection.close()


async def draft(daemon, model="small", headers=(), **fields):
    sent = [
        ("corianderhaven-model", model),
        ("corianderhaven-token-count", "100,40"),
        ("corianderhaven-prompt-prefix", "5c1e07a2:40,91bd3f06:60"),
        *headers,
    ]
    return await ask(daemon, "/draft/x", "POST", body=b"{}", headers=sent, **fields)


def workers(site, service):
    return [w for w in site.workers.values() if w.service == service]


def heads(site, model):
    """Return the workers that head an open replica of a model."""
    return [
        w
        for w in site.workers.values()
        if w.engine is not None
        and site.engines.state(w.engine) == "open"
        and w.engine.group.model == model
    ]
