"""DRAIN: a worker's entry is removed while one hub of the zone is cut from the store."""

import asyncio

from harness import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Client,
    Daemon,
    Site,
    StoreProxy,
    all_ready,
    route,
    run_case,
    wait_for,
)

DRAIN_S = 2.0  # drain_ms of the settings
CUT_S = 5.5  # core_cut, count = 1, for_s = 5.5
REMOVE_AFTER_S = 0.1  # from the begin of the cut
CONTACT_S = 3.0
WORKERS = 8  # one of them leaves: scale_in, share = 0.13
MACHINES = [
    ("edge-sofia-a-1", "sofia-a", "127.0.0.11"),
    ("edge-sofia-a-2", "sofia-a", "127.0.0.12"),
    ("edge-sofia-a-3", "sofia-a", "127.0.0.13"),
    ("edge-sofia-b-1", "sofia-b", "127.0.0.21"),
    ("edge-sofia-c-1", "sofia-c", "127.0.0.31"),
]
CALM = "edge-sofia-a-3"


def followed_hub(daemon):
    """Return the machine from which the calm one has the store's contents, by its own log."""
    lines = daemon.logged("feed_follower")
    if not lines:
        raise CannotRunError("the calm machine names no machine that it follows")
    return lines[-1]["peer"]


async def send_steadily(client, stop):
    """Send requests one after the other; return the answers."""
    answers = []
    while not stop.is_set():
        answers.append(await client.send("GET", "/status/2f", 1500, label="status"))
        await asyncio.sleep(0.02)
    return answers


async def case(record, folder, daemons):
    """Bring the case about; return its code."""
    site = await Site(record).start()
    for number in range(1, WORKERS + 1):
        zone = ("sofia-a", "sofia-b", "sofia-a", "sofia-c")[number % 4]
        leaving = await site.add_worker(f"i-voucher-{number}", "voucher-api", zone)
    site.publish_config([route("status", "idempotent", "voucher-api")], [{"name": "voucher-api"}])
    proxies = {}
    for name, zone, ip in MACHINES:
        proxies[name] = await StoreProxy(site.address).start()
        daemon = Daemon(folder, name, zone, ip, proxies[name].address, record)
        daemons.append(daemon)
        daemon.start()
    await wait_for(lambda: all_ready(daemons), 20, "all machines are ready")
    by_name = {d.name: d for d in daemons}
    calm = by_name[CALM]
    await asyncio.sleep(2 * CONTACT_S)

    stop = asyncio.Event()
    clients = [Client(calm.front, record) for _ in range(4)]
    tasks = [asyncio.create_task(send_steadily(c, stop)) for c in clients]
    await asyncio.sleep(2.0)
    hub = followed_hub(calm)
    if hub == CALM:
        raise CannotRunError("the calm machine follows itself")
    if TROUBLE:
        proxies[hub].is_cut = True
        record.say(f"{hub} is cut from the store")
    await asyncio.sleep(REMOVE_AFTER_S)
    leaving.remove_entry()
    removed = record.now()
    await asyncio.sleep(CUT_S - REMOVE_AFTER_S)
    proxies[hub].is_cut = False
    record.note(f"{hub} is cut no longer")
    await asyncio.sleep(1.0)
    stop.set()
    answers = [a for task in tasks for a in await task]
    for client in clients:
        client.close()

    before = [a for a in leaving.arrivals if a[0] <= removed]
    late = [a for a in leaving.arrivals if a[0] > removed + DRAIN_S and a[2] == calm.ip]
    last = max((a[0] - removed for a in leaving.arrivals), default=0.0)
    sent_late = {a.request_id for a in answers if a.sent > removed + DRAIN_S}
    late_new = [a for a in late if a[1] in sent_late]
    record.say(
        f"{len(answers)} requests to {CALM}, {sum(a.status == 200 for a in answers)} with 200; "
        f"{leaving.id} ran {len(before)} before its entry was removed; last request reached it "
        f"{last:.2f} s after; {len(late)} later than {DRAIN_S} s, {len(late_new)} of them also "
        "sent by the client later than that"
    )
    if len(before) < 5:
        raise CannotRunError("the leaving worker got no requests before")
    return BROKEN if late else HELD


run_case(case, __file__)
