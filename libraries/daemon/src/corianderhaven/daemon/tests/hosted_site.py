"""Daemons and a stand-in of the hosting platform in one event loop."""

import asyncio
import itertools
from contextlib import asynccontextmanager

from corianderhaven.common import ClientConnection, ConnectionLostError
from corianderhaven.daemon._fleet_daemon import FleetDaemon
from corianderhaven.fleet import NodeSettings
from corianderhaven.standins import HostingSite, small_models

request_numbers = itertools.count(1)
STARTUP_TIMEOUT_S = 6.0


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
async def hosted_site(daemons=1, site_fields=None, wait=True, daemon_zones=None, **settings):
    """Start a site and daemons, and wait until the daemons serve all models."""
    values = {
        "zones": ["a", "b"],
        "domain_size": 4,
        "models": small_models(),
        **(site_fields or {}),
    }
    site = await HostingSite(**values).start()
    running = []
    try:
        for number in range(daemons):
            name = f"edge-a-{number + 1}"
            zone = {"zone": daemon_zones[number]} if daemon_zones else {}
            fields = {**settings, **zone}
            daemon = FleetDaemon(node_settings(site, name, f"127.0.0.{number + 1}", **fields))
            await daemon.start()
            running.append(daemon)
        if wait:
            await wait_until(lambda: all(serves_all_models(d, site) for d in running))
        yield site, running
    finally:
        for daemon in running:
            daemon.close()
        site.close()


def serves_all_models(daemon, site):
    names = {model.name for model in site.models}
    return daemon.ready and all(
        daemon.gateway.replica_view.available_heads("draft-pool", n) for n in names
    )


async def wait_until(condition, seconds=STARTUP_TIMEOUT_S):
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


async def send_request(
    daemon, path, method="GET", key="key-a", body=b"", headers=(), connection=None
):
    """Send a request to a daemon and return its `Answer`."""
    request_id = f"request-{next(request_numbers)}"
    sent = [
        ("host", "site.example"),
        ("corianderhaven-attempt-id", request_id),
        ("corianderhaven-deadline-ms", "4000"),
        *([("authorization", f"Bearer {key}")] if key else []),
        *([("content-length", str(len(body)))] if body else []),
        *headers,
    ]
    opened_here = connection is None
    if opened_here:
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
        if opened_here:
            connection.close()


async def send_draft(daemon, model="small", headers=(), **fields):
    sent = [
        ("corianderhaven-model", model),
        ("corianderhaven-token-count", "100,40"),
        ("corianderhaven-prompt-prefix", "5c1e07a2:40,91bd3f06:60"),
        *headers,
    ]
    return await send_request(daemon, "/draft/x", "POST", body=b"{}", headers=sent, **fields)


def workers(site, service):
    return [w for w in site.workers.values() if w.service == service]


def heads(site, model):
    """Return the workers that are heads of open replicas of a model."""
    return [
        w
        for w in site.workers.values()
        if w.engine is not None
        and site.engines.state(w.engine) == "open"
        and w.engine.group.model == model
    ]
