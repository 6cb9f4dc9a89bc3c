"""Fixtures shared by the tests of all libraries: a site of stand-ins and daemons in-process."""

import itertools
import json
import sys
import time
from pathlib import Path

import pytest
from loguru import logger

from corianderhaven.common import JsonClient
from corianderhaven.daemon import Daemon, Settings
from corianderhaven.standins import (
    EngineLayout,
    Layout,
    PlatformLayout,
    Site,
    VmLayout,
    free_address,
)

EXAMPLES = Path(__file__).parent.parent / "examples"
BOOTSTRAP_KEY = "bootstrap.test"
SECRET = "a-secret-for-tests-only"
CALLER_KEY = "day-team-a-1.example"
OTHER_CALLER_KEY = "office-1.example"
OPERATOR_KEY = "operator-1.example"
FAST_ENGINE = EngineLayout(
    token_ms=4.0,
    load_ms=60.0,
    load_report_lag_ms=20.0,
    stream_retention_ms=5_000.0,
    threads=24,
)

logger.remove()
logger.add(sys.stderr, level="ERROR")


def engine_vm(zone, number, domain="1", **fields):
    return VmLayout(
        id=f"draft-{zone}-{domain}-{number}",
        address="",
        zone=zone,
        kind="engine",
        label="drafting",
        fabric_domain=f"{zone}-fabric-{domain}",
        **fields,
    )


def service_vm(zone, number=1):
    return VmLayout(
        id=f"tablet-{zone}-{number}",
        address="",
        zone=zone,
        kind="service",
        label="tablet",
    )


class TestSite:
    """A site whose stand-ins and daemons run in the test process."""

    __test__ = False

    def __init__(self, zones, vms, document=None, members=2, engine_layout=None, **settings):
        self.zones = zones
        self.vms = vms
        self.document = document or self.sample_document(members)
        self.settings = settings
        self.layout = Layout(
            control_address="127.0.0.1:0",
            platform=PlatformLayout(address="127.0.0.1:0", vm_list_lag_ms=50.0),
            engine=engine_layout or FAST_ENGINE,
            vms=vms,
        )
        for vm in vms:
            vm.address = free_address()
        self.site = Site(self.layout)
        self.daemons = []

    @staticmethod
    def sample_document(members=2):
        document = json.loads((EXAMPLES / "ndiaye.json").read_text())
        document["deployments"][0]["members_per_replica"] = members
        return document

    def start(self, apply=True):
        self.site.start()
        for zone, count in self.zones.items():
            for number in range(1, count + 1):
                self.start_daemon(zone, number)
        if apply:
            self.apply(self.document)
            self.wait_for(lambda: all(d.holder.revision for d in self.daemons), "config")
        return self

    def start_daemon(self, zone, number):
        settings = Settings(
            f"entry-{zone}-{number}",
            zone,
            "127.0.0.1:0",
            "127.0.0.1:0",
            self.site.servers["platform"].address,
            SECRET,
            bootstrap_key=BOOTSTRAP_KEY,
            caller_threads=40,
            drain_notice_ms=100,
            seed=number,
            **self.settings,
        )
        daemon = Daemon(settings).start()
        self.daemons.append(daemon)
        vm = VmLayout(
            id=daemon.peer_info.name,
            address=daemon.peer_info.address,
            zone=zone,
            kind="entry",
            label="entry",
        )
        self.site.vm_list.add(vm)
        return daemon

    def apply(self, document, key=BOOTSTRAP_KEY, base_revision=0, daemon=None):
        body = {"base_revision": base_revision, "document": document}
        for _ in itertools.repeat(None, 100):
            answer = self.operator_request(
                daemon or self.daemons[0], "POST", "/operators/config", body, key
            )
            if answer.status != 503:
                return answer
            time.sleep(0.1)
        raise AssertionError(answer.body)

    def operator_request(self, daemon, method, path, body=None, key=OPERATOR_KEY):
        client = JsonClient(daemon.peer_info.address, 10_000.0, {"Authorization": f"Bearer {key}"})
        return client.call(method, path, body)

    def caller_request(self, daemon, method, path, body=None, key=CALLER_KEY, **headers):
        address = daemon.callers_server.address
        request_headers = {"Authorization": f"Bearer {key}", **headers}
        return JsonClient(address, 20_000.0, request_headers).call(method, path, body)

    def run_operation(self, daemon, operation_id, key=None, operation="close-cover", **headers):
        if key:
            headers["Idempotency-Key"] = key
        path = f"/v1/services/tablet/{operation}"
        return self.caller_request(daemon, "POST", path, {"operation_id": operation_id}, **headers)

    def executions(self, operation_id):
        return self.site.execution_counters["tablet"].counts[operation_id]

    def wait_for(self, predicate, description, timeout_s=20.0):
        deadline = time.monotonic() + timeout_s
        while not predicate():
            assert time.monotonic() < deadline, (
                f"timed out after {timeout_s} s waiting for {description}"
            )
            time.sleep(0.02)

    def wait_for_whole_replicas(self, count, timeout_s=20.0):
        def whole_replica_count():
            return len({r.replica_id for d in self.daemons for r in d.view.whole_replicas()})

        self.wait_for(lambda: whole_replica_count() >= count, f"{count} whole replicas", timeout_s)

    def close(self):
        for daemon in self.daemons:
            daemon.close()
        self.site.close()


@pytest.fixture
def make_site():
    """Return a function that starts a `TestSite`; its sites are closed after the test."""
    sites = []

    def make(zones, vms, apply=True, **options):
        site = TestSite(zones, vms, **options)
        sites.append(site)
        return site.start(apply)

    yield make
    for site in sites:
        site.close()


@pytest.fixture(scope="module")
def shared_site():
    """Return a site of one zone: 2 daemons, 2 replicas of 2 members, 2 service endpoints."""
    vms = [engine_vm("plateau", n) for n in range(1, 5)]
    vms += [service_vm("plateau", 1), service_vm("plateau", 2)]
    site = TestSite({"plateau": 2}, vms).start()
    try:
        site.wait_for_whole_replicas(2)
        site.wait_for(
            lambda: all(len(d.view.whole_replicas()) == 2 for d in site.daemons),
            "both daemons' views",
        )
        yield site
    finally:
        site.close()


@pytest.fixture(scope="session")
def vm_layout_factories():
    """Return the functions that create the layouts of engine and service VMs."""
    return engine_vm, service_vm


@pytest.fixture(scope="session")
def site_class():
    """Return the `TestSite` class."""
    return TestSite
