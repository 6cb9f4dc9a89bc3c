"""Tests of claims under lost answers, late writes, outages and lost owners."""

import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import CorianderhavenError, DecisionLog, ManualClock, Outcome
from corianderhaven.membership import PeerInfo
from corianderhaven.platform import KeyValueError, Swap
from corianderhaven.platform.tests.direct_store import DirectStore
from corianderhaven.routing import ClaimRegistry, ClaimState, GroupCommitter
from corianderhaven.routing._claims import decode_claim

RETENTION_MS = 86_400_000
KEY = "/corianderhaven/claims/a/s/o/k"


class DirectCommitter:
    """Writes each swap at once."""

    def __init__(self, store):
        self.store = store

    def swap(self, swap, timeout_ms):
        return self.store.compare_and_swap(swap.key, swap.expected_revision, swap.value, swap.lease)


class Daemons:
    """Claim books of several daemons that share a store and ask each other."""

    def __init__(self, count=2):
        self.clock = ManualClock()
        first = DirectStore(self.clock)
        self.stores = [first] + [DirectStore(self.clock, first.kv) for _ in range(count - 1)]
        self.books = [self._book(n) for n in range(count)]
        self.gone = set()

    def _book(self, number):
        store = self.stores[number]
        own = PeerInfo(f"d{number}", "z", f"d{number}-1", str(number), 1)
        book = ClaimRegistry(
            store, DirectCommitter(store), self.clock, own, None, DecisionLog(self.clock)
        )
        book._ask_owner = self._ask
        return book

    def _ask(self, claim):
        number = int(claim.owner_address)
        return None if number in self.gone else self.books[number].local_claims.get(claim.claim_id)


def test_second_claim_sees_the_first():
    first, second = Daemons().books
    held = first.claim(KEY, "p", RETENTION_MS).held
    existing = second.claim(KEY, "p", RETENTION_MS).existing
    assert existing.claim_id == held.claim.claim_id
    assert second.resolve(existing).state is ClaimState.CLAIMED
    first.complete(held, 200, "application/json", b"{}")
    assert second.resolve(second.claim(KEY, "p", RETENTION_MS).existing).body == b"{}"


def test_lost_answer_of_a_claim_is_still_ones_own():
    daemons = Daemons()
    daemons.stores[0].lose_answers = 2
    assert daemons.books[0].claim(KEY, "p", RETENTION_MS).held is not None
    assert daemons.books[1].claim(KEY, "p", RETENTION_MS).held is None


def test_outage_refuses_as_not_run_and_the_key_stays_free():
    daemons = Daemons()
    daemons.stores[0].down = True
    with pytest.raises(CorianderhavenError) as caught:
        daemons.books[0].claim(KEY, "p", RETENTION_MS)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert daemons.books[1].claim(KEY, "p", RETENTION_MS).held is not None


def test_claim_that_took_effect_but_was_given_up_does_not_block_the_key():
    daemons = Daemons()
    daemons.books[0].leases.lease(RETENTION_MS)
    store = daemons.stores[0]
    original = store.compare_and_swap

    def take_effect_then_go_down(*arguments):
        original(*arguments)
        store.down = True
        raise KeyValueError("answer lost", ambiguous=True)

    store.compare_and_swap = take_effect_then_go_down
    with pytest.raises(CorianderhavenError):
        daemons.books[0].claim(KEY, "p", RETENTION_MS)
    stored = decode_claim(daemons.stores[1].get(KEY).value)
    assert stored.state is ClaimState.CLAIMED
    assert daemons.books[1].claim(KEY, "p", RETENTION_MS).held is not None


def test_lost_owner_leaves_the_outcome_unknown():
    daemons = Daemons()
    daemons.books[0].claim(KEY, "p", RETENTION_MS)
    daemons.gone.add(0)
    existing = daemons.books[1].claim(KEY, "p", RETENTION_MS).existing
    assert daemons.books[1].resolve(existing).state is ClaimState.UNKNOWN


def test_released_claim_can_be_taken_again():
    daemons = Daemons()
    held = daemons.books[0].claim(KEY, "p", RETENTION_MS).held
    daemons.books[0].release(held)
    assert daemons.books[1].claim(KEY, "p", RETENTION_MS).held is not None


def test_answer_that_could_not_be_recorded_is_recorded_later():
    daemons = Daemons()
    held = daemons.books[0].claim(KEY, "p", RETENTION_MS).held
    daemons.stores[0].down = True
    daemons.books[0].complete(held, 200, "t", b"answer")
    existing = daemons.books[1].claim(KEY, "p", RETENTION_MS).existing
    assert daemons.books[1].resolve(existing).body == b"answer"
    daemons.stores[0].down = False
    daemons.books[0].write_pending()
    daemons.gone.add(0)
    existing = daemons.books[1].claim(KEY, "p", RETENTION_MS).existing
    assert daemons.books[1].resolve(existing).body == b"answer"


def test_claims_expire_with_their_shared_lease():
    daemons = Daemons()
    book = daemons.books[0]
    book.complete(book.claim(KEY, "p", 1000).held, 200, "t", b"")
    other = book.claim(KEY + "2", "p", 1000).held
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
    """A request that holds the claim runs unless it ends as released."""
    daemons = Daemons(3)
    runs = 0
    for action, number, ending in actions:
        book, store = daemons.books[number], daemons.stores[number]
        if action == "lose":
            store.lose_answers = 1
        elif action in ("down", "up"):
            store.down = action == "down"
        elif action == "gone":
            daemons.gone.add(number)
        elif action == "back":
            daemons.gone.discard(number)
        else:
            try:
                held = book.claim(KEY, "p", RETENTION_MS).held
            except CorianderhavenError as error:
                assert error.outcome is Outcome.NOT_RUN
                continue
            if held is None:
                continue
            if ending == "release":
                book.release(held)
                continue
            runs += 1
            if ending == "complete":
                book.complete(held, 200, "t", b"")
            elif ending == "unknown":
                book.mark_unknown(held)
        assert runs <= 1


def test_group_commit_writes_waiting_swaps_in_one_call():
    store = DirectStore(ManualClock())
    calls = []
    entered, release = threading.Event(), threading.Event()
    original = store.swap_many

    def slow(swaps):
        calls.append(len(swaps))
        entered.set()
        release.wait(10)
        return original(swaps)

    store.swap_many = slow
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
