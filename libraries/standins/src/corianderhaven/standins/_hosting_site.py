"""Stand-in of the hosting platform on loopback: store, engines and plain services over HTTP."""

import asyncio
import itertools
import socket
import struct
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from corianderhaven.common import MS_PER_S, AsyncHttpServer, Clock, new_id

from ._hosting_engine import HostedEngine, HostedEngines, HostedModel
from ._hosting_store import HostedStore
from ._hosting_store_api import HostedStoreApi

HEARTBEAT_MS = 150.0
ENTRY_LIFETIME_MS = 3 * HEARTBEAT_MS  # an entry is deleted after three heartbeats of silence
STATE_POLL_MS = 10.0
ENGINE_SERVICE = "draft-pool"
PLAIN_SERVICE = "ledger"
ENDLESS_BLOCK = b"\x17 bytes without end " * 1_000
TRICKLE_INTERVAL_MS = 20.0
INCARNATIONS_PER_WORKER = 1_000  # keeps the start times of different workers apart
ANY_ADDRESS = "127.0.0.1:0"
# Values of SO_LINGER: whether a close is a reset, and the seconds for which it waits.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ORDERLY_CLOSE = struct.pack("ii", 0, 0)


@dataclass
class WorkerFaults:
    """Faults of a worker in handling requests.

    Parameters
    ----------
    shed : bool
        Refuse requests with 503 and report that they were not executed.
    lose_answer : bool
        Run the request, then close the connection without an answer.
    cut_after : int or None
        Id of an event of a stream; the connection closes in the middle of the event after it.
    garble : bool
        Answer with bytes that are not valid HTTP.
    other_id : bool
        Answer with the ID of another request.
    extra : bool
        Send a second response after the first.
    unframed : bool
        Send bodies and streams without a length or chunks, which end when the connection closes.
    reset : bool
        With `unframed`, end the connection with a reset within a plain body.
    no_events : bool
        With `unframed`, end a stream after its head.
    fail : bool
        Run the request and answer 500.
    slow_ms : float
        Delay added to each answer.
    trickle_after : int or None
        Id of an event of a stream; after it the worker sends a byte of a comment now and then.
    endless : {"", "head", "body", "event"}
        Part of the answer in which bytes come until the caller closes.
    server_leaving : bool
        Say in all answers that the worker leaves, while its entry doesn't.
    shed_for_s : float or None
        With `shed`, the seconds for which the worker wants no further requests.
    drop_idle : bool
        Reset a connection when a second request comes on it, without running it.
    late_copy_ms : float or None
        Send a second copy of a plain answer after this time.
    shed_copy_ms : float or None
        With `shed`, send a second copy of the refusal after this time.
    cut_head : bool
        Run the request, then close the connection within the head of the answer.
    limits : tuple of str
        Values of the header in which the worker names its limit of requests per second.
    headers : dict of bytes to bytes
        Headers of answers, in place of those of the same names.
    status : bytes
        Text in place of the status code of answers; what follows is as usual.
    omitted_headers : tuple of bytes
        Names of headers that answers lack.
    """

    shed: bool = False
    lose_answer: bool = False
    cut_after: int | None = None
    garble: bool = False
    other_id: bool = False
    extra: bool = False
    unframed: bool = False
    reset: bool = False
    no_events: bool = False
    fail: bool = False
    slow_ms: float = 0.0
    trickle_after: int | None = None
    endless: str = ""
    server_leaving: bool = False
    shed_for_s: float | None = None
    drop_idle: bool = False
    late_copy_ms: float | None = None
    shed_copy_ms: float | None = None
    cut_head: bool = False
    limits: tuple = ()
    headers: dict = field(default_factory=dict)
    status: bytes = b""
    omitted_headers: tuple = ()


@dataclass
class RequestRun:
    """Record of one request that a worker ran."""

    request_id: str
    worker: str
    target: str
    headers: dict
    body: bytes
    after: str | None = None
    connection: int = 0


class ArrivalWithPart(NamedTuple):
    """A request that reached a worker and crashes it; `request_id` is the caller's.

    `part` is the crashing part of its prompt, or its target.
    """

    at_ms: float
    request_id: str
    worker: str
    part: str


class WorkerEnd(NamedTuple):
    """The end of a worker under a crashing part or target."""

    at_ms: float
    worker: str
    part: str


def _set_event():
    event = asyncio.Event()
    event.set()
    return event


@dataclass
class HostedWorker:
    """A worker's listener and the address that the worker advertises.

    Parameters
    ----------
    running : asyncio.Event
        Not set while the worker's process stands still.
    """

    id: str
    service: str
    zone: str
    server: object = None
    address: str = ""
    engine: object = None
    entry_count: int = 0
    started_ms: int = 1
    listed: bool = True
    leaving: bool = False
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    active: int = 0
    refused_count: int = 0
    misdirected_count: int = 0
    used_connections: set = field(default_factory=set)
    arrivals_ms: list = field(default_factory=list)
    cold_until_ms: float = 0.0
    expiry: object = None
    running: asyncio.Event = field(default_factory=_set_event)


class HostingSite:
    """The complete hosting platform in this process, for tests and the demonstration.

    Parameters
    ----------
    zones : list of str
    domain_size : int
        Number of engines in a fabric domain; each zone has one domain.
    models : list of HostedModel
    plain_workers : int
    token_ms : float
        Time per event of a stream.
    speed : float
        Factor by which loads, stalls and joins are faster than on the platform.
    events : int
        Number of events in a stream.
    stall_ms : float or None
        Time after which a head that lacks a member breaks; by default that of the platform,
        divided by `speed`.

    Attributes
    ----------
    crashing_parts : set of str
        IDs of prompt parts, in lower case. An engine ends when it is about to write the first
        event of a request with one of them before its last part.
    crashing_targets : set of str
        Targets of requests under which any worker ends that begins to run them.
    crash_restart_ms : float
        Time from such an end until the worker starts again at the same address.
    new_id_after_crash : bool
        Whether the worker then has a new ID; the entry of the old one expires as usual.
    ended_workers : list of WorkerEnd
    arrivals_with_part : list of ArrivalWithPart
        Requests with a crashing part or target that reached a worker, whatever it answered.
    cold_bound : dict
        Fields of all services in the configuration that bound the rate of cold workers.
    garbled_control : dict of str to bytes
        Texts in place of the status code in answers to orders and reports, by worker.
    """

    def __init__(
        self,
        zones,
        domain_size,
        models,
        plain_workers=2,
        token_ms=5.0,
        speed=10.0,
        events=8,
        stall_ms=None,
    ):
        self.clock = Clock()
        self.zones = zones
        self.domain_size = domain_size
        self.models = models
        self.plain_workers = plain_workers
        self.token_ms = token_ms
        self.events = events
        self.store = HostedStore(self.clock)
        self.engines = HostedEngines(self.clock, models, speed=speed)
        if stall_ms is not None:
            self.engines.stall_ms = stall_ms
        self.workers = {}
        self.runs = []
        self.servers = []
        self.tasks = []
        self.config_version = 0
        self.wrap_address = _keep_address
        self.keys = {"team-a": ["key-a"], "team-b": ["key-b"]}
        self.routes = default_routes()
        self.limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        self.crashing_parts = set()
        self.crashing_targets = set()
        self.crash_restart_ms = 3_000.0
        self.new_id_after_crash = False
        self.ended_workers = []
        self.arrivals_with_part = []
        self.cold_bound = {}
        self.garbled_control = {}

    async def start(self):
        """Start the store, the workers and their heartbeats."""
        self.store_server = AsyncHttpServer(
            "127.0.0.1:0", HostedStoreApi(self.store).answer, self.clock
        )
        await self.store_server.start()
        self.servers.append(self.store_server)
        for zone, number in itertools.product(self.zones, range(self.domain_size)):
            await self.add_engine(zone, f"{zone}-{number}")
        for number in range(self.plain_workers):
            await self.add_plain_worker(f"s-{number}")
        self.publish_config()
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._publish_entries()))
        return self

    def close(self):
        """Stop all tasks and servers."""
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()

    async def add_plain_worker(self, worker_id, address=ANY_ADDRESS):
        """Add a worker of the plain service, like `add_engine`."""
        return await self._add_worker(worker_id, PLAIN_SERVICE, self.zones[0], address)

    async def add_engine(self, zone, name, address=ANY_ADDRESS):
        """Add an empty engine VM, at the address of one that has ended if `address` is given."""
        worker = await self._add_worker(f"e-{name}", ENGINE_SERVICE, zone, address)
        started_ms = len(self.workers) * INCARNATIONS_PER_WORKER
        worker.engine = self.engines.add(
            HostedEngine(worker.id, zone, f"domain-{zone}", worker.address, started_ms=started_ms)
        )
        return worker

    def kill(self, worker_id, entry_lifetime_ms=ENTRY_LIFETIME_MS):
        """Make a worker unresponsive; its entry is deleted after `entry_lifetime_ms`."""
        worker = self.workers[worker_id]
        worker.server.close()
        if worker.engine is not None:
            self.engines.kill(worker_id)
        worker.listed = False
        loop = asyncio.get_running_loop()
        worker.expiry = loop.call_later(
            entry_lifetime_ms / MS_PER_S, self.store.delete, f"servers/{worker_id}"
        )

    def pause(self, worker_ids):
        """Have workers stand still: they send nothing, accept no orders and write no entries.

        The kernel goes on accepting their connections and data. The heads of their groups stall.
        """
        for worker_id in worker_ids:
            self._set_paused(self.workers[worker_id], True)

    def resume(self, worker_ids):
        """Have paused workers go on where they were."""
        for worker_id in worker_ids:
            self._set_paused(self.workers[worker_id], False)

    @staticmethod
    def _set_paused(worker, paused):
        if paused:
            worker.running.clear()
        else:
            worker.running.set()
        if worker.engine is not None:
            worker.engine.paused = paused

    def publish_config(self):
        """Write the next version of the configuration and return its number."""
        self.config_version += 3
        config = {
            "version": self.config_version,
            "routes": self.routes,
            "services": [
                {**self._engine_service(), **self.cold_bound},
                {"name": PLAIN_SERVICE, "protocol": "h1", **self.cold_bound},
            ],
            "limits": self.limits,
            "tenants": [
                {"name": name, "api_keys": keys, "priority": 1} for name, keys in self.keys.items()
            ],
        }
        self.store.put("op/config", msgspec.json.encode(config))
        return self.config_version

    def evacuate(self, zone):
        """Have the operator evacuate a zone."""
        self.store.put(f"op/evacuate/{zone}", b"{}")

    def end_evacuation(self, zone):
        """Have the operator end the evacuation of a zone."""
        self.store.delete(f"op/evacuate/{zone}")

    def run_counts(self):
        """Return the number of runs by request ID."""
        return Counter(run.request_id for run in self.runs)

    def _engine_service(self):
        speed = self.engines.speed
        return {
            "name": ENGINE_SERVICE,
            "engine": {
                "slots": 9,
                "kv_capacity": 900_000,
                "stride": 5,
                "models": [
                    {
                        "name": m.name,
                        "size": m.size,
                        "share": m.share,
                        "pace": m.time_factor,
                        "load_s": m.load_ms / speed / MS_PER_S,
                        "warm_s": m.staged_load_ms / speed / MS_PER_S,
                    }
                    for m in self.models
                ],
                "step_ms": 2.0,
                "per_seq_ms": 0.1,
                "context_per_k": 0.0,
                "read_per_s": 100_000.0,
                "chunk": 2048,
                "loads_per_s": 5.0,
                "loads_at_once": 7,
                "form_ms": self.engines.form_ms,
                "usual": {"prompt": 100, "answer": 40},
            },
        }

    async def _add_worker(self, worker_id, service, zone, address=ANY_ADDRESS):
        worker = HostedWorker(worker_id, service, zone)
        await self._listen(worker, address)
        worker.address = await self.wrap_address(worker_id, worker.server.address)
        self.workers[worker_id] = worker
        return worker

    async def _listen(self, worker, address):
        async def answer(request, caller):
            await self._answer_worker(worker, request, caller)

        worker.server = AsyncHttpServer(address, answer, self.clock)
        while True:
            try:
                await worker.server.start()
                break
            except OSError:  # an outgoing connection may hold the port for a moment
                await asyncio.sleep(STATE_POLL_MS / MS_PER_S)
        self.servers.append(worker.server)

    def _parts_that_crash(self, request):
        """Return the crashing parts of a request, without its last part, and a crashing target."""
        entries = (request.header("corianderhaven-prompt-prefix") or "").split(",")[:-1]
        parts = [entry.partition(":")[0].strip().lower() for entry in entries]
        target = request.target.decode("latin-1")
        targets = [target] if target in self.crashing_targets else []
        return [part for part in parts if part in self.crashing_parts] + targets

    def _record_arrival(self, worker, request):
        request_id = request.header("corianderhaven-attempt-id") or ""
        for part in self._parts_that_crash(request):
            self.arrivals_with_part.append(
                ArrivalWithPart(self.clock.now_ms(), request_id, worker.id, part)
            )

    def _crash(self, worker, part):
        """End a worker as a crash does, and start it again after `crash_restart_ms`."""
        if not worker.listed:
            return  # another request of the same instant has ended it
        self.ended_workers.append(WorkerEnd(self.clock.now_ms(), worker.id, part))
        self.kill(worker.id)
        if worker.engine is not None:
            worker.engine.group = None
        self.tasks.append(asyncio.get_running_loop().create_task(self._restart(worker)))

    async def _restart(self, worker):
        await asyncio.sleep(self.crash_restart_ms / MS_PER_S)
        address = worker.server.address
        if self.new_id_after_crash:
            worker = self._add_successor(worker)
        else:
            worker.expiry.cancel()
            worker.leaving = False
            worker.started_ms += 1
            if worker.engine is not None:
                self.engines.restart(worker.id)
        await self._listen(worker, address)
        worker.listed = True

    def _add_successor(self, worker):
        """Add a worker with a new ID on the host of an ended one."""
        old = worker.engine
        successor = HostedWorker(new_id("e"), worker.service, worker.zone, listed=False)
        successor.address = worker.address
        if old is not None:
            successor.engine = self.engines.add(
                HostedEngine(
                    successor.id,
                    old.zone,
                    old.domain,
                    old.address,
                    started_ms=old.started_ms + 1,
                    staged=list(self.engines.staged(old)),
                )
            )
        self.workers[successor.id] = successor
        return successor

    async def _publish_entries(self):
        published = {}
        last_heartbeat_ms = 0.0
        while True:
            now = self.clock.now_ms()
            due = now - last_heartbeat_ms >= HEARTBEAT_MS
            if due:
                last_heartbeat_ms = now
            for worker in self.workers.values():
                state = self._published_state(worker)
                if not worker.running.is_set():
                    continue
                if worker.listed and (due or published.get(worker.id) != state):
                    published[worker.id] = state
                    entry = msgspec.json.encode(self._entry(worker))
                    self.store.put(f"servers/{worker.id}", entry)
            await asyncio.sleep(STATE_POLL_MS / MS_PER_S)

    def _published_state(self, worker):
        engine = worker.engine
        if engine is None:
            return worker.leaving
        group = engine.group
        staged = tuple(self.engines.staged(engine))
        return (worker.leaving, group and group.key, self.engines.state(engine), staged)

    def _entry(self, worker):
        cold_ms = max(0.0, worker.cold_until_ms - self.clock.now_ms())
        if worker.engine is not None:
            worker.engine.leaving = worker.leaving
            entry = self.engines.entry(worker.engine, ENGINE_SERVICE)
            return {**entry, "cold_remaining_ms": cold_ms}
        worker.entry_count += 1
        return {
            "service": worker.service,
            "address": worker.address,
            "zone": worker.zone,
            "version": "v1",
            "slots": 6,
            "state": "draining" if worker.leaving else "ready",
            "cold_remaining_ms": cold_ms,
            "sequence": worker.entry_count,
            "born": worker.started_ms,
        }

    async def _answer_worker(self, worker, request, caller):
        engine = worker.engine
        await worker.running.wait()
        self._record_arrival(worker, request)
        if engine is not None and not engine.alive:
            await asyncio.sleep(3600.0)
        if worker.id in self.garbled_control and request.target.startswith(b"/api/"):
            status = self.garbled_control[worker.id] + b" Status"
            await caller.write(_response_bytes(status, [], b"{}"))
        elif request.target == b"/api/report" and engine is not None:
            body = msgspec.json.encode(self.engines.report(engine))
            await caller.send_response(200, self._statements(worker), body)
        elif (
            request.target == b"/api/order"
            and engine is not None
            and self._is_meant(worker, request)
        ):
            status = self.engines.order(engine, msgspec.json.decode(request.body))
            await caller.send_response(status, self._statements(worker), b"")
        else:
            worker.arrivals_ms.append(self.clock.now_ms())
            await self._answer_request(worker, request, caller)

    async def _answer_request(self, worker, request, caller):
        if worker.faults.drop_idle and caller in worker.used_connections:
            caller.close()
        elif not self._is_meant(worker, request):
            worker.misdirected_count += 1
            await caller.send_response(
                421,
                [
                    (b"corianderhaven-instance-id", worker.id.encode()),
                    *self._statements(worker),
                ],
                b"",
            )
        else:
            worker.active += 1
            worker.used_connections.add(caller)
            try:
                await self._run(worker, request, caller)
            finally:
                worker.active -= 1

    def _is_meant(self, worker, request):
        """Return whether a request expects this worker, or none in particular."""
        return request.header("corianderhaven-expect-instance") in (None, worker.id)

    def _statements(self, worker):
        """Return the headers in which a worker tells of itself, whatever it answers."""
        leaving = worker.leaving or worker.faults.server_leaving
        headers = [(b"server-leaving", b"1")] if leaving else []
        return headers + [(b"server-limit", limit.encode()) for limit in worker.faults.limits]

    def _response_headers(self, worker, request):
        request_id = request.header("corianderhaven-attempt-id") or ""
        if worker.faults.other_id:
            request_id = "another"
        stamp = f"{worker.id}.{new_id('stamp')}"
        load = f"{worker.active},0,9"
        headers = {
            b"corianderhaven-attempt-id": request_id.encode(),
            b"corianderhaven-server-stamp": stamp.encode(),
            b"corianderhaven-instance-load": load.encode(),
            **worker.faults.headers,
        }
        kept = [(k, v) for k, v in headers.items() if k not in worker.faults.omitted_headers]
        return kept + self._statements(worker)

    async def _run(self, worker, request, caller):
        faults, engine = worker.faults, worker.engine
        not_run_headers = [(b"corianderhaven-not-executed", b"1")]
        not_run_headers += self._statements(worker)
        if faults.shed:
            worker.refused_count += 1
            if faults.shed_for_s is not None:
                not_run_headers.append((b"retry-after", str(faults.shed_for_s).encode()))
            if faults.shed_copy_ms is not None:
                not_run_headers += self._response_headers(worker, request)
            await caller.send_response(503, not_run_headers, b"")
            if faults.shed_copy_ms is not None:
                copy = _response_bytes(b"503 Busy", not_run_headers, b"")
                asyncio.get_running_loop().call_later(
                    faults.shed_copy_ms / MS_PER_S, caller.transport.write, copy
                )
            return
        if engine is None:
            await self._run_accepted(worker, request, caller)
        elif self.engines.state(engine) != "open":
            await caller.send_response(421, not_run_headers, b"")
        else:
            with self.engines.accept(engine) as group:
                if await self._wait_for_progress(engine, group):
                    await self._run_accepted(worker, request, caller, group)
                else:
                    await caller.send_response(503, not_run_headers, b"")

    async def _wait_for_progress(self, engine, group):
        """Return True once an engine makes progress in a group, False if that ends before."""
        while not self.engines.makes_progress(engine, group):
            if not self.engines.is_working(engine, group):
                return False
            await asyncio.sleep(STATE_POLL_MS / MS_PER_S)
        return True

    async def _run_accepted(self, worker, request, caller, group=None):
        faults, engine = worker.faults, worker.engine
        if engine is not None:
            self.engines.check_group_whole(engine)
        self._record_run(worker, request)
        self.runs[-1].connection = id(caller)
        await asyncio.sleep((self.token_ms + faults.slow_ms) / MS_PER_S)
        await worker.running.wait()
        if faults.lose_answer or (group is not None and not self.engines.is_working(engine, group)):
            caller.close()
        elif faults.cut_head:
            head = _response_bytes(b"200 OK", self._response_headers(worker, request), b"")
            await caller.write(head[: head.index(b"\r\n\r\n") + 2])
            caller.abort_response()
        elif faults.endless in ("head", "body"):
            await self._send_without_end(worker, request, caller)
        elif faults.garble:
            await caller.write(b"\x00\x17 nonsense\r\n\r\n")
            caller.abort_response()
        elif faults.status:
            await self._answer_with_status(worker, request, caller)
        elif faults.fail:
            await caller.send_response(500, self._response_headers(worker, request), b"failed")
        elif parts := self._parts_that_crash(request):
            self._crash(worker, parts[0])
        elif engine is not None:
            await self._stream_events(worker, request, caller)
        else:
            await self._answer_plain(worker, request, caller)

    async def _send_without_end(self, worker, request, caller):
        """Send bytes that are no answer until the caller closes."""
        lines = [b"HTTP/1.1 200 OK"]
        lines += [k + b": " + v for k, v in self._response_headers(worker, request)]
        if worker.faults.endless == "body":
            body = _plain_body(worker)
            lines += [b"content-length: %d" % len(body), b"", body]
        await caller.write(b"\r\n".join(lines))
        while not caller.lost:
            await caller.write(ENDLESS_BLOCK)
            await asyncio.sleep(0)

    def _record_run(self, worker, request):
        headers = {k.decode(): v.decode("latin-1") for k, v in request.headers}
        self.runs.append(
            RequestRun(
                headers.get("corianderhaven-attempt-id", ""),
                worker.id,
                request.target.decode("latin-1"),
                headers,
                request.body,
                headers.get("last-event-id"),
            )
        )

    async def _answer_with_status(self, worker, request, caller):
        """Answer as usual but for the text of the status, which may be none."""
        headers = self._response_headers(worker, request)
        body = _plain_body(worker)
        if worker.engine is not None:
            headers.append((b"content-type", b"text/event-stream"))
            first = int(request.header("last-event-id") or 0) + 1
            body = b"".join(_event(number) for number in range(first, self.events + 1))
        await caller.write(_response_bytes(worker.faults.status + b" Status", headers, body))

    async def _answer_plain(self, worker, request, caller):
        body = _plain_body(worker)
        headers = self._response_headers(worker, request)
        if worker.faults.unframed:
            await _send_unframed_head(caller, headers)
            await self._send_unframed_body(worker, caller, body)
            return
        await caller.send_response(200, headers, body)
        if worker.faults.late_copy_ms is not None:
            asyncio.get_running_loop().call_later(
                worker.faults.late_copy_ms / MS_PER_S,
                caller.transport.write,
                _response_bytes(b"200 OK", headers, body),
            )
        if worker.faults.extra:
            await caller.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra")

    async def _send_unframed_body(self, worker, caller, body):
        if worker.faults.reset:
            await caller.write(body[:5])
            await asyncio.sleep(STATE_POLL_MS / MS_PER_S)
        else:
            await caller.write(body)
            _set_linger(caller, ORDERLY_CLOSE)
        caller.abort_response()

    async def _stream_events(self, worker, request, caller):
        group = worker.engine.group
        first = int(request.header("last-event-id") or 0) + 1
        headers = [
            *self._response_headers(worker, request),
            (b"content-type", b"text/event-stream"),
        ]
        unframed = worker.faults.unframed  # the fault may end before the stream
        if unframed:
            await _send_unframed_head(caller, headers)
            if worker.faults.no_events:
                _set_linger(caller, ORDERLY_CLOSE)
                caller.abort_response()
                return
        else:
            await caller.send_head(200, headers)
        send = caller.write if unframed else caller.send_chunk
        for number in range(first, self.events + 1):
            event = _event(number)
            if worker.faults.endless == "event":
                while not caller.lost:
                    await caller.send_chunk(ENDLESS_BLOCK)
            if worker.faults.cut_after is not None and number > worker.faults.cut_after:
                await send(event[:6])
                _set_linger(caller, ORDERLY_CLOSE)
                caller.close()
                return
            if not await self._wait_for_progress(worker.engine, group):
                caller.close()
                return
            await worker.running.wait()
            await send(event)
            await asyncio.sleep(self.token_ms / MS_PER_S)
            if number == worker.faults.trickle_after:
                await self._trickle(caller)
        await worker.running.wait()
        if unframed:
            _set_linger(caller, ORDERLY_CLOSE)
            caller.abort_response()
        else:
            await caller.send_end()

    async def _trickle(self, caller):
        """Send a byte now and then, and never the end of an event."""
        while not caller.lost:
            await caller.send_chunk(b":")
            await asyncio.sleep(TRICKLE_INTERVAL_MS / MS_PER_S)


def _set_linger(caller, value):
    sock = caller.transport.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


async def _send_unframed_head(caller, headers):
    """Send the head of an answer that an orderly close ends; any other end is a reset."""
    _set_linger(caller, RESET_ON_CLOSE)
    lines = [b"HTTP/1.1 200 OK"] + [k + b": " + v for k, v in headers]
    await caller.write(b"\r\n".join([*lines, b"", b""]))


def _response_bytes(status, headers, body):
    """Return a whole response as it is sent; `status` is the code and the phrase."""
    lines = [b"HTTP/1.1 " + status] + [k + b": " + v for k, v in headers]
    return b"\r\n".join([*lines, b"content-length: %d" % len(body), b"", body])


def _event(number):
    return b"id: %d\ndata: token-%d\n\n" % (number, number)


def _plain_body(worker):
    return b"whole answer of " + worker.id.encode()


async def _keep_address(worker_id, address):
    """Return the address unchanged, so that the worker advertises its listener."""
    return address


def default_routes():
    """Return one route of each kind."""
    common = {"host": "site.example", "timeout_ms": 4000, "priority": 1, "anonymous": False}
    draft = {
        "route_kind": "streaming",
        "goal_ms": 400,
        "service": ENGINE_SERVICE,
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
        "gap_goal_ms": 300,
    }
    plain = {"goal_ms": 200, "service": PLAIN_SERVICE}
    return [
        {"name": "draft", "path_prefix": "/draft/", **draft, **common},
        {
            "name": "issue",
            "path_prefix": "/issue/",
            "route_kind": "non_idempotent",
            "max_attempts": 1,
            **plain,
            **common,
        },
        {
            "name": "status",
            "path_prefix": "/status/",
            "route_kind": "idempotent",
            "max_attempts": 2,
            **plain,
            **common,
        },
    ]


def small_models():
    """Return a model that spans two VMs and one that fits on one."""
    return [HostedModel("large", 2, 400.0, 100.0), HostedModel("small", 1, 300.0, 80.0)]
