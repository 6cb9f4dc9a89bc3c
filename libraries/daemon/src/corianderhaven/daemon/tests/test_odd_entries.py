"""Tests of a site in whose list of workers another writer left an odd entry."""

import asyncio

import msgspec
import pytest
from loguru import logger

from corianderhaven.common import AsyncHttpClient
from corianderhaven.daemon._fleet_daemon import FleetDaemon
from corianderhaven.daemon.tests.hosted_site import (
    heads,
    hosted_site,
    node_settings,
    send_draft,
    send_request,
    serves_all_models,
    wait_until,
    workers,
)
from corianderhaven.daemon.tests.odd_entries import (
    FORMS,
    ODD_IDS,
    SOUND_ENTRY,
    encode_entry,
    odd_entry,
)


def ascii_id(value):
    """Return a short name of a value for the name of a test."""
    return ascii(value)[:40]


FAILURES = {"daemon_failed", "keeper_failed", "peer_exchange_failed", "digest_unreadable"}
SERVED_WITHIN_S = 8.0
MAX_LINES = 2  # of one daemon about one odd entry, however often it is read


def tasks_of(daemon):
    tasks = [daemon.watcher.task, daemon.lease.task, daemon.keeper.task, daemon.proven_parts.task]
    return tasks + daemon.exchange.tasks + daemon.gateway.tasks


@pytest.fixture(autouse=True)
def failed_handlers():
    """Errors that a handler of requests did not expect; a test fails if there are any."""
    lines = []
    sink = logger.add(
        lambda message: lines.append(message.record["exception"]),
        level="ERROR",
        filter=lambda record: record["message"] == "request handler failed",
    )
    yield lines
    logger.remove(sink)
    assert not lines


async def send_until_served(send, daemon):
    """Send a request, and again while it is refused, as callers do beside other load."""
    async with asyncio.timeout(SERVED_WITHIN_S):
        while (await send(daemon)).status != 200:
            await asyncio.sleep(0.1)


async def check_requests(daemons):
    """Check that each daemon serves requests of all kinds."""
    kinds = (
        lambda daemon: send_request(daemon, "/issue/x", "POST", body=b"{}"),
        lambda daemon: send_request(daemon, "/status/x"),
        send_draft,
        lambda daemon: send_draft(daemon, model="large"),
    )
    for _ in range(3):
        await asyncio.gather(*(send_until_served(send, d) for send in kinds for d in daemons))


async def check_serving(daemons):
    """Check that each daemon serves requests of all kinds and that all its tasks run."""
    await check_requests(daemons)
    for daemon in daemons:
        assert not [task for task in tasks_of(daemon) if task.done()]
        assert not FAILURES & {entry["event"] for entry in daemon.decisions.entries}


async def start_late_daemon(site, daemons):
    """Start a daemon that reads the list of workers as it is now, and check that it serves."""
    late = FleetDaemon(node_settings(site, "edge-a-4", "127.0.0.4"))
    await late.start()
    daemons.append(late)
    await wait_until(lambda: serves_all_models(late, site))


def replica_names(site):
    return {worker.engine.group.name for name in ("large", "small") for worker in heads(site, name)}


async def lose_replica(site, daemons):
    """End the head of a replica, and check that the keeper forms another one with a new VM."""
    before = replica_names(site)
    site.kill(heads(site, "large")[0].id)
    for number in range(2):
        await site.add_engine("a", f"new-{number}")
    await wait_until(lambda: replica_names(site) - before)
    await wait_until(lambda: all(serves_all_models(daemon, site) for daemon in daemons))


async def check_site_with(odd_id, put_odd):
    """Check that a site serves, forms replicas and takes new daemons with an odd entry."""
    async with hosted_site(daemons=3) as (site, daemons):
        put_odd(site)
        await asyncio.sleep(0.4)
        await check_serving(daemons)
        await start_late_daemon(site, daemons)
        put_odd(site)
        await lose_replica(site, daemons)
        await check_serving(daemons)
        for daemon in daemons:
            assert daemon.directory.get(odd_id) is None
            assert count_lines(daemon, odd_id) <= MAX_LINES


def count_lines(daemon, endpoint_id):
    return sum(entry.get("endpoint") == endpoint_id for entry in daemon.decisions.entries)


@pytest.mark.parametrize("form", FORMS)
def test_odd_entry_of_a_new_worker_leaves_a_site_as_it_was(form):
    def put_odd(site):
        site.store.put("servers/i-0", odd_entry(form))

    asyncio.run(check_site_with("i-0", put_odd))


@pytest.mark.parametrize("service", ["ledger", "draft-pool"])
@pytest.mark.parametrize("odd_id", ODD_IDS, ids=ascii_id)
def test_entry_whose_id_no_header_can_carry_is_not_used(odd_id, service):
    """Each request that was sent to it failed, and so did each replica that was to have it."""

    def put_odd(site):
        address = workers(site, service)[0].address
        entry = {**SOUND_ENTRY, "service": service, "address": address, "staged": ["large"]}
        site.store.put(f"servers/{odd_id}", encode_entry(entry))

    asyncio.run(check_site_with(odd_id, put_odd))


def test_limited_requests_are_answered_beside_an_entry_of_countless_slots():
    """Capacities were summed with it, which no float can hold, and the requests ended with 502."""

    async def scenario():
        async with hosted_site() as (site, daemons):
            for worker in workers(site, "ledger"):
                worker.faults.limits = ("5",)
            await check_requests(daemons)
            key = f"servers/{workers(site, 'ledger')[0].id}"
            entry = {**msgspec.json.decode(site.store.items[key].value), "sequence": 1_000_000}
            site.store.put(key, odd_entry("slots-4000-digits", entry))
            await asyncio.sleep(0.4)
            requests = [send_request(daemons[0], "/status/x") for _ in range(20)]
            assert 200 in {answer.status for answer in await asyncio.gather(*requests)}

    asyncio.run(scenario())


@pytest.mark.parametrize("service", ["ledger", "draft-pool"])
@pytest.mark.parametrize("form", ["born-4000-digits", "sequence-4000-digits", "slots-0", "deep"])
def test_worker_is_used_again_after_an_odd_entry_in_its_place(form, service):
    """It was taken for an earlier life of a worker whose entry named a start far ahead."""

    async def scenario():
        async with hosted_site(daemons=2, site_fields={"plain_workers": 4}) as (site, daemons):
            worker = workers(site, service)[-1]
            key = f"servers/{worker.id}"
            entry = {**msgspec.json.decode(site.store.items[key].value), "address": "127.0.0.9:9"}
            requests = asyncio.create_task(check_requests(daemons))
            for _ in range(3):
                site.store.put(key, odd_entry(form, entry))
                await asyncio.sleep(0.1)
            site.store.delete(key)
            await requests
            await wait_until(lambda: all(address_of(d, worker) == worker.address for d in daemons))
            await asyncio.sleep(0.2)
            await check_serving(daemons)

    def address_of(daemon, worker):
        known = daemon.directory.get(worker.id)
        return known and known.address

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"corianderhaven-instance-load", b"\xb2,0,8"),
        (b"corianderhaven-instance-load", b"9" * 5_000 + b",0,8"),
        (b"corianderhaven-instance-load", b"9" * 400 + b",0,8"),
        (b"keep-alive", b"timeout=" + b"9" * 400),
        (b"keep-alive", b"timeout=" + b"9" * 5_000),
        (b"server-limit", b"1e308"),
        (b"server-leaving", b"\xb2"),
    ],
    ids=ascii_id,
)
def test_answer_with_an_odd_statement_of_its_worker_reaches_its_caller(name, value):
    """The request had run, and its caller got 502 or a closed connection."""

    async def scenario():
        async with hosted_site(daemons=2) as (site, daemons):
            for worker in site.workers.values():
                worker.faults.headers = {name: value}
            daemons[1].close()  # loads of answers count while peers are silent
            await asyncio.sleep(0.7)
            for _ in range(3):
                for path, method in (("/issue/x", "POST"), ("/status/x", "GET")):
                    answer = await send_request(daemons[0], path, method, body=b"")
                    assert (answer.status, answer.complete) == (200, True)
                assert (await send_draft(daemons[0])).complete

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("corianderhaven-token-count", "\u00b2,40"),
        ("corianderhaven-token-count", "9" * 5_000 + ",40"),
        ("corianderhaven-token-count", "9" * 400 + ",40"),
        ("corianderhaven-length-hint", "\u00b2"),
        ("corianderhaven-length-hint", "9" * 400),
        ("corianderhaven-length-hint", "9" * 5_000),
    ],
    ids=ascii_id,
)
def test_request_with_an_odd_count_is_served(name, value):
    """It ended with 502, as the error was not expected."""

    async def scenario():
        async with hosted_site() as (site, daemons):
            headers = [
                ("corianderhaven-model", "small"),
                ("corianderhaven-prompt-prefix", "5c1e07a2:40,91bd3f06:60"),
                (name, value.encode("latin-1")),
            ]
            answer = await send_request(daemons[0], "/draft/x", "POST", body=b"{}", headers=headers)
            assert (answer.status, answer.complete) == (200, True)

    asyncio.run(scenario())


ODD_RECORDS = {
    "daemons/edge-a-0": [
        b"",
        b"\xff\xfe",
        b"[" * 200_000,
        b'{"address": 7, "zone": "a"}',
        b'{"address": "", "zone": "a"}',
        b'{"address": "127.0.0.9:70000", "zone": "a"}',
        b'{"address": "127.0.0.9:0", "zone": "a"}',
        b'{"address": "127.0.0.9:' + b"1" * 5_000 + b'", "zone": "a"}',
        b'{"address": "127.0.0.9:9", "zone": "\\r\\n"}',
    ],
    "daemons/": [b'{"address": "127.0.0.9:9", "zone": "a"}'],
    "daemons/\r\nx: y": [b'{"address": "127.0.0.9:9", "zone": "a"}'],
    "parts/0": [
        b"",
        b"[" * 200_000,
        b'{"part": 7, "proven": true}',
        b'{"part": "x", "proven": true, "group": [7]}',
        b'{"part": "' + b"x" * 500_000 + b'", "proven": true}',
    ],
    "other": [b"\xff"],
}
MAX_RECORD_LINES = 8  # of one daemon about an odd record, which may be a peer's that is silent


@pytest.mark.parametrize("key", ODD_RECORDS, ids=ascii_id)
def test_odd_record_of_the_daemons_leaves_a_site_as_it_was(key):
    """A record that could not be read wrote ten lines a second to the log of each daemon."""

    async def scenario():
        async with hosted_site(daemons=3) as (site, daemons):
            for value in ODD_RECORDS[key]:
                site.store.put(f"corianderhaven/{key}", value)
                await asyncio.sleep(1.0)
                for daemon in daemons:
                    lines = [e for e in daemon.decisions.entries if names_record(e, key)]
                    assert len(lines) <= MAX_RECORD_LINES, lines[-3:]
                    daemon.decisions.entries.clear()
            await check_serving(daemons)
            await start_late_daemon(site, daemons)
            await lose_replica(site, daemons)
            await check_serving(daemons)

    def names_record(entry, key):
        return entry.get("key") == f"corianderhaven/{key}" or entry.get("peer") == key[8:]

    asyncio.run(scenario())


DIGEST = {"daemon": "edge-b-9", "address": "127.0.0.9:9", "zone": "b"}
UNREADABLE_MESSAGES = [
    b"",
    b"\xff",
    b"[" * 200_000,
    b'{"digest": 7}',
    encode_entry({}, {"digest": encode_entry(DIGEST, {"heads": b'{"x": [1, 1e400]}'})}),
]
ODD_PARTS_OF_DIGESTS = [
    {"heads": {"x": [10**4_000, -1]}},
    {"heads": {"x": [1, 1e308]}},
    {"suspects": {"x": -1e308, "y": 1e308}, "unreachable": {"x": 1e308}},
    {"leaving": {"x": 10**4_000}},
    {"opened": {"x": ["a", 10**4_000, -1]}},
    {"config_version": 10**4_000},
    {"parts": {"x": [{"e": 1e308}, 1e308]}},
    {"limits": {"x": [10**4_000, 1e308, -1e308]}},
    {"lost_services": ["ledger"] * 1_000},
    {"address": "", "zone": "\r\n"},
]


def test_odd_message_to_the_peers_address_leaves_a_site_as_it_was():
    async def scenario():
        async with hosted_site(daemons=2) as (site, daemons):
            digests = [encode_entry({"digest": {**DIGEST, **odd}}) for odd in ODD_PARTS_OF_DIGESTS]
            client = AsyncHttpClient(daemons[0].settings.peers)
            for body in UNREADABLE_MESSAGES:
                for path in ("/peer/digest", "/peer/permits"):
                    assert (await client.call("POST", path, body)).status == 400
            daemons[0].decisions.entries.clear()
            for body in digests:
                assert (await client.call("POST", "/peer/digest", body)).status == 200
                await asyncio.sleep(0.2)
            client.close()
            await check_serving(daemons)

    asyncio.run(scenario())


KEEPER_KEY = "corianderhaven/keeper"


def test_record_of_no_keeper_keeps_none_from_being_elected():
    """A record that another writer left there had no lease, so it never ended."""

    async def scenario():
        async with hosted_site(daemons=0, wait=False) as (site, daemons):
            site.store.put(KEEPER_KEY, b"nobody")
            for number in (1, 2):
                settings = node_settings(site, f"edge-a-{number}", f"127.0.0.{number}")
                daemons.append(FleetDaemon(settings))
                await daemons[-1].start()
            await wait_until(lambda: all(serves_all_models(d, site) for d in daemons), 12.0)
            assert site.store.items[KEEPER_KEY].lease in site.store.leases

    asyncio.run(scenario())


def test_keeper_whose_record_was_replaced_steps_down_before_its_successor_orders():
    async def scenario():
        async with hosted_site(daemons=3) as (site, daemons):
            (former,) = (d for d in daemons if d.lease.tenure is not None)
            tenure = former.lease.tenure
            site.store.put(KEEPER_KEY, b"nobody")
            async with asyncio.timeout(10.0):
                while not any(d.lease.may_order() and d.lease.tenure != tenure for d in daemons):
                    may_order = [d for d in daemons if d.lease.may_order()]
                    assert may_order in ([], [former])
                    await asyncio.sleep(0.01)
            assert [d.lease.tenure is not None for d in daemons].count(True) == 1
            await lose_replica(site, daemons)
            await check_serving(daemons)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("part", "name", "value"),
    [("engine", "slots", 0), ("engine", "read_per_s", 0.0), ("limits", "idle_timeout_ms", 1e308)],
)
def test_configuration_that_cannot_be_carried_out_leaves_the_previous_one(part, name, value):
    """Requests ended with 502, as each estimate or connection failed."""

    async def scenario():
        async with hosted_site(daemons=2) as (site, daemons):
            version = daemons[0].active_config.version
            config = msgspec.json.decode(site.store.items["op/config"].value)
            config["version"] = version + 1
            (config if part == "limits" else config["services"][0])[part][name] = value
            site.store.put("op/config", msgspec.json.encode(config))
            await asyncio.sleep(0.6)
            await check_serving(daemons)
            assert {daemon.active_config.version for daemon in daemons} == {version}
            site.publish_config()
            await wait_until(lambda: all(d.active_config.version > version for d in daemons))
            await check_serving(daemons)

    asyncio.run(scenario())
