"""Tests of claims with lost responses, delayed writes, store outages and lost owners."""

import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import CorianderhavenError, DecisionLog, ManualClock, Outcome
from corianderhaven.membership import PeerInfo
from corianderhaven.platform import KeyValueError, Swap
from corianderhaven.platform.tests.in_memory_store import InMemoryStore
from corianderhaven.routing import ClaimRegistry, ClaimState, GroupCommitter
from corianderhaven.routing._claims import decode_claim

RETENTION_MS = 86_400_000
KEY = "/corianderhaven/claims/a/s/o/k"


class DirectCommitter:
    """Writes each swap immediately, without batching."""

    def __init__(self, store):
        self.store = store

    def swap(self, swap, timeout_ms):
        return self.store.compare_and_swap(swap.key, swap.expected_revision, swap.value, swap.lease)


class Daemons:
    """Claim registries of several daemons that share a store and query each other."""

    def __init__(self, count=2):
        self.clock = ManualClock()
        first = InMemoryStore(self.clock)
        self.stores = [first] + [InMemoryStore(self.clock, first.kv) for _ in range(count - 1)]
        self.registries = [self._make_registry(n) for n in range(count)]
        self.unreachable = set()

    def _make_registry(self, number):
        store = self.stores[number]
        own = PeerInfo(f"d{number}", "z", f"d{number}-1", str(number), 1)
        registry = ClaimRegistry(
            store, DirectCommitter(store), self.clock, own, None, DecisionLog(self.clock)
        )
        registry._ask_owner = self._query_owner
        return registry

    def _query_owner(self, claim):
        number = int(claim.owner_address)
        return (
            None
            if number in self.unreachable
            else self.registries[number].local_claims.get(claim.claim_id)
        )


def test_second_claim_returns_the_first():
    first, second = Daemons().registries
    held = first.claim(KEY, "p", RETENTION_MS).held
    existing = second.claim(KEY, "p", RETENTION_MS).existing
    assert existing.claim_id == held.claim.claim_id
    assert second.resolve(existing).state is ClaimState.CLAIMED
    first.complete(held, 200, "application/json", b"{}")
    assert second.resolve(second.claim(KEY, "p", RETENTION_MS).existing).body == b"{}"


def test_claim_with_lost_response_is_recognised_as_own():
    daemons = Daemons()
    daemons.stores[0].lose_answers = 2
    assert daemons.registries[0].claim(KEY, "p", RETENTION_MS).held is not None
    assert daemons.registries[1].claim(KEY, "p", RETENTION_MS).held is None


def test_store_outage_refuses_as_not_run_and_leaves_the_key_free():
    daemons = Daemons()
    daemons.stores[0].down = True
    with pytest.raises(CorianderhavenError) as caught:
        daemons.registries[0].claim(KEY, "p", RETENTION_MS)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert daemons.registries[1].claim(KEY, "p", RETENTION_MS).held is not None


def test_abandoned_claim_that_was_stored_does_not_block_the_key():
    daemons = Daemons()
    daemons.registries[0].leases.lease(RETENTION_MS)
    store = daemons.stores[0]
    original = store.compare_and_swap

    def apply_then_go_down(*arguments):
        original(*arguments)
        store.down = True
        raise KeyValueError("answer lost", ambiguous=True)

    store.compare_and_swap = apply_then_go_down
    with pytest.raises(CorianderhavenError):
        daemons.registries[0].claim(KEY, "p", RETENTION_MS)
    stored = decode_claim(daemons.stores[1].get(KEY).value)
    assert stored.state is ClaimState.CLAIMED
    assert daemons.registries[1].claim(KEY, "p", RETENTION_MS).held is not None


def test_outcome_is_unknown_if_the_owner_is_lost():
    daemons = Daemons()
    daemons.registries[0].claim(KEY, "p", RETENTION_MS)
    daemons.unreachable.add(0)
    existing = daemons.registries[1].claim(KEY, "p", RETENTION_MS).existing
    assert daemons.registries[1].resolve(existing).state is ClaimState.UNKNOWN


def test_released_claim_can_be_claimed_again():
    daemons = Daemons()
    held = daemons.registries[0].claim(KEY, "p", RETENTION_MS).held
    daemons.registries[0].release(held)
    assert daemons.registries[1].claim(KEY, "p", RETENTION_MS).held is not None


def test_failed_write_of_a_response_is_retried():
    daemons = Daemons()
    held = daemons.registries[0].claim(KEY, "p", RETENTION_MS).held
    daemons.stores[0].down = True
    daemons.registries[0].complete(held, 200, "t", b"answer")
    existing = daemons.registries[1].claim(KEY, "p", RETENTION_MS).existing
    assert daemons.registries[1].resolve(existing).body == b"answer"
    daemons.stores[0].down = False
    daemons.registries[0].write_pending()
    daemons.unreachable.add(0)
    existing = daemons.registries[1].claim(KEY, "p", RETENTION_MS).existing
    assert daemons.registries[1].resolve(existing).body == b"answer"


def test_claims_expire_with_their_shared_lease():
    daemons = Daemons()
    registry = daemons.registries[0]
    registry.complete(registry.claim(KEY, "p", 1000).held, 200, "t", b"")
    other = registry.claim(KEY + "2", "p", 1000).held
    assert len({daemons.stores[0].get(KEY).lease, other.lease}) == 1
    daemons.clock.advance_ms(10_000)
    assert daemons.stores[0].get(KEY) is None


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "lose", "down", "up", "gone", "back"]),
        st.integers(0, 2),
        st.sampled_from(["complete", "release", "unknown", "hang"]),
    ),
    max_size=30,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(ACTIONS)
def test_one_key_runs_at_most_once(actions):
    """Count a run for each claim held by a request, unless the claim is released."""
    daemons = Daemons(3)
    runs = 0
    for action, number, ending in actions:
        registry, store = daemons.registries[number], daemons.stores[number]
        if action == "lose":
            store.lose_answers = 1
        elif action in ("down", "up"):
            store.down = action == "down"
        elif action == "gone":
            daemons.unreachable.add(number)
        elif action == "back":
            daemons.unreachable.discard(number)
        else:
            try:
                held = registry.claim(KEY, "p", RETENTION_MS).held
            except CorianderhavenError as error:
                assert error.outcome is Outcome.NOT_RUN
                continue
            if held is None:
                continue
            if ending == "release":
                registry.release(held)
                continue
            runs += 1
            if ending == "complete":
                registry.complete(held, 200, "t", b"")
            elif ending == "unknown":
                registry.mark_unknown(held)
        assert runs <= 1


def test_group_commit_writes_pending_swaps_in_one_call():
    store = InMemoryStore(ManualClock())
    calls = []
    entered, release = threading.Event(), threading.Event()
    original = store.swap_many

    def blocking_swap_many(swaps):
        calls.append(len(swaps))
        entered.set()
        release.wait(10)
        return original(swaps)

    store.swap_many = blocking_swap_many
    committer = GroupCommitter(store).start()
    results = []

    def write(number):
        results.append(committer.swap(Swap(f"k{number}", 0, b"v%d" % number), 10_000))

    threads = [threading.Thread(target=write, args=(n,)) for n in range(10)]
    threads[0].start()
    entered.wait(10)
    for thread in threads[1:]:
        thread.start()
    while len(committer.pending) < 9:
        release.wait(0.01)
    release.set()
    for thread in threads:
        thread.join(10)
    committer.close()
    assert calls == [1, 9]
    assert all(result.succeeded for result in results)
