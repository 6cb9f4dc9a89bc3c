"""Tests of the platform clients against the stand-in over HTTP."""

import threading

import pytest

from corianderhaven.common.tests.endless_server import MAX_TAKEN_BYTES, endless_server
from corianderhaven.platform import EtcdGatewayStore, HttpVmList, KeyValueError, Swap
from corianderhaven.standins import Layout, Site, VmLayout
from corianderhaven.standins._layout import PlatformLayout


@pytest.fixture
def site():
    layout = Layout(
        control_address="127.0.0.1:0",
        platform=PlatformLayout(address="127.0.0.1:0", vm_list_lag_ms=0),
        vms=[VmLayout(id="e", address="127.0.0.1:1", zone="z", kind="entry", label="entry")],
    )
    site = Site(layout).start()
    yield site
    site.close()


@pytest.fixture
def store(site):
    store = EtcdGatewayStore(site.servers["platform"].address)
    yield store
    store.close()


def test_compare_and_swap(store):
    first = store.compare_and_swap("a", 0, b"one")
    assert first.succeeded
    conflict = store.compare_and_swap("a", 0, b"two")
    assert (conflict.succeeded, conflict.item.value) == (False, b"one")
    assert store.compare_and_swap("a", first.item.mod_revision, b"two").succeeded
    assert store.get("a").value == b"two"
    assert not store.delete("a", first.item.mod_revision)
    assert store.delete("a", store.get("a").mod_revision)
    assert store.get("a") is None


def test_swap_many_is_independent_per_key(store):
    store.compare_and_swap("k1", 0, b"other")
    results = store.swap_many([Swap(f"k{n}", 0, f"mine{n}".encode()) for n in range(100)])
    assert [r.succeeded for r in results] == [n != 1 for n in range(100)]
    assert results[1].item.value == b"other"
    assert store.calls["write"] == 3


def test_lost_response_is_ambiguous_and_retry_finds_own_value(site, store):
    site.kv_gateway.faults.lose_answers = 1.0
    with pytest.raises(KeyValueError) as caught:
        store.compare_and_swap("a", 0, b"mine")
    assert caught.value.ambiguous
    site.kv_gateway.faults.lose_answers = 0.0
    assert store.compare_and_swap("a", 0, b"mine").succeeded
    assert not store.compare_and_swap("a", 0, b"theirs").succeeded


def test_outage_before_connecting_is_not_ambiguous(site, store):
    site.servers["platform"].close()
    with pytest.raises(KeyValueError) as caught:
        store.compare_and_swap("a", 0, b"mine")
    assert not caught.value.ambiguous


def test_revoked_lease_deletes_its_keys(site, store):
    lease = store.grant_lease(1)
    store.compare_and_swap("a", 0, b"x", lease)
    assert store.renew_lease(lease)
    store.revoke_lease(lease)
    assert store.get("a") is None
    assert not store.renew_lease(lease)


def test_watch_yields_changes(store):
    values = []
    done = threading.Event()

    def collect_changes():
        for item in store.watch("a", 5000):
            values.append(item and item.value)
            if item is None:
                done.set()
                return

    thread = threading.Thread(target=collect_changes)
    thread.start()
    for number in range(200):
        if store.client and values:
            break
        current = store.get("a")
        store.compare_and_swap("a", current.mod_revision if current else 0, b"%d" % number)
    store.delete("a", store.get("a").mod_revision)
    assert done.wait(10)
    thread.join()
    assert values[-1] is None


def test_rate_and_size_limits(site, store):
    site.kv_gateway.writes.tokens = 0
    site.kv_gateway.writes.rate_per_s = 0
    with pytest.raises(KeyValueError) as caught:
        store.compare_and_swap("a", 0, b"x")
    assert (caught.value.code.text, caught.value.ambiguous) == ("platform_limited", False)
    site.kv_gateway.writes.tokens = 5
    with pytest.raises(KeyValueError):
        store.compare_and_swap("a", 0, b"x" * (1024 * 1024 + 1))


def test_vm_list(site):
    vms = HttpVmList(site.servers["platform"].address)
    assert [vm.id for vm in vms.read()] == ["e"]
    site.vm_list.set_state("e", "leaving")
    assert vms.read()[0].state == "leaving"
    vms.close()


@pytest.mark.parametrize("chunked", [False, True])
def test_change_without_end_ends_the_watch(chunked):
    """Guards against LOST: a change was kept for as long as it came."""
    head = b"HTTP/1.1 200 OK\r\n"
    if chunked:
        answer = (head + b"transfer-encoding: chunked\r\n\r\n", b"400\r\n" + b"c" * 1024 + b"\r\n")
    else:
        answer = (head + b"\r\n", b"c" * 65_536)
    with endless_server(*answer) as server:
        store = EtcdGatewayStore(server.address)
        with pytest.raises(KeyValueError):
            list(store.watch("a", 2_000))
        store.close()
        assert server.ended.wait(5)
    assert server.sent_bytes < MAX_TAKEN_BYTES
