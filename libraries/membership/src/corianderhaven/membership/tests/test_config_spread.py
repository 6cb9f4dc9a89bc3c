"""Tests of proposals under races, lost answers, outages and restored stores."""

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import (
    CorianderhavenError,
    DecisionLog,
    ErrorCode,
    ManualClock,
    Outcome,
)
from corianderhaven.config import parse_document
from corianderhaven.membership import ConfigHolder, ConfigProposer
from corianderhaven.membership._config_spread import CONFIG_KEY, decode_item
from corianderhaven.platform.tests.in_memory_store import InMemoryStore

EXAMPLES = Path(__file__).parents[6] / "examples"


def document(limit):
    raw = json.loads((EXAMPLES / "ndiaye.json").read_text())
    raw["accounts"][0]["max_in_flight"] = limit
    return parse_document(msgspec.json.encode(raw))


class Operators:
    """Several daemons that propose to one store."""

    def __init__(self, count=2):
        self.clock = ManualClock()
        self.stores = []
        first = InMemoryStore(self.clock)
        self.kv = first.kv
        self.proposers = []
        for _ in range(count):
            store = InMemoryStore(self.clock, self.kv)
            decisions = DecisionLog(self.clock)
            holder = ConfigHolder(decisions)
            self.stores.append(store)
            self.proposers.append(ConfigProposer(store, holder, decisions, self.clock))

    def stored(self):
        return decode_item(InMemoryStore(self.clock, self.kv).get(CONFIG_KEY))

    def restore(self, record):
        """Put an older record back, as a restored backup would."""
        self.kv.put(CONFIG_KEY.encode(), record.encode())


def test_racing_operators_one_wins_the_other_sees_the_difference():
    operators = Operators()
    first, second = operators.proposers
    first.propose(document(10), 0, "c1", "ada")
    first.propose(document(20), 1, "c2", "ada")
    with pytest.raises(CorianderhavenError) as caught:
        second.propose(document(30), 1, "c3", "ben")
    error = caught.value
    assert (error.code, error.outcome) == (ErrorCode.REVISION_CONFLICT, Outcome.NOT_RUN)
    assert error.details["differences"] == [
        {"path": "$.accounts[day-team-a].max_in_flight", "in_force": 20, "proposed": 30}
    ]
    assert operators.stored().change_id == "c2"


def test_lost_answer_is_read_back():
    operators = Operators()
    operators.stores[0].lose_answers = 1
    record = operators.proposers[0].propose(document(10), 0, "c1", "ada")
    assert (record.revision, operators.stored().revision) == (1, 1)


def test_change_followed_by_another_is_told_as_complete():
    operators = Operators()
    first, second = operators.proposers
    first.propose(document(10), 0, "c1", "ada")
    second.propose(document(20), 1, "c2", "ben")
    with pytest.raises(CorianderhavenError) as caught:
        first.propose(document(10), 0, "c1", "ada")
    assert caught.value.outcome is Outcome.COMPLETE
    assert operators.stored().revision == 2


def test_outage_before_any_write_is_not_run_and_after_one_unknown():
    operators = Operators()
    operators.stores[0].down = True
    with pytest.raises(CorianderhavenError) as caught:
        operators.proposers[0].propose(document(10), 0, "c1", "ada")
    assert caught.value.outcome is Outcome.NOT_RUN
    operators.stores[0].down = False
    operators.stores[0].lose_answers = 1
    original = operators.stores[0].get
    calls = []

    def get_once(key):
        calls.append(key)
        if len(calls) > 3:
            operators.stores[0].down = True
        return original(key)

    operators.stores[0].get = get_once
    with pytest.raises(CorianderhavenError) as caught:
        operators.proposers[0].propose(document(10), 0, "c2", "ada")
    assert caught.value.outcome is Outcome.UNKNOWN
    assert caught.value.details == {"change_id": "c2"}
    operators.stores[0].get = original
    operators.stores[0].down = False
    assert operators.proposers[0].propose(document(10), 0, "c2", "ada").revision == 1


def test_restored_store_is_raised_again():
    operators = Operators()
    first, second = operators.proposers
    old = first.propose(document(10), 0, "c1", "ada")
    in_force = first.propose(document(20), 1, "c2", "ada")
    operators.restore(old)
    second.reconcile()
    assert second.holder.revision == 1
    first.reconcile()
    assert operators.stored().change_id == "c2"
    second.reconcile()
    assert second.holder.record == in_force


def test_lower_revision_is_never_adopted():
    operators = Operators()
    first = operators.proposers[0]
    old = first.propose(document(10), 0, "c1", "ada")
    first.propose(document(20), 1, "c2", "ada")
    assert not first.holder.adopt(old, "peer")
    assert first.holder.revision == 2


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["propose", "reconcile", "lose", "restore"]),
        st.integers(0, 2),
        st.integers(0, 3),
    ),
    max_size=25,
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(STEPS)
def test_accepted_changes_are_never_lost(steps):
    """Daemons that have met keep every accepted change, in order, whatever the store forgets."""
    operators = Operators(3)
    accepted, seen = [], []
    for number, (action, index, amount) in enumerate(steps):
        proposer = operators.proposers[index]
        before = [p.holder.revision for p in operators.proposers]
        if action == "propose":
            base = proposer.holder.revision
            try:
                record = proposer.propose(document(number + 1), base, f"c{number}", "ada")
            except CorianderhavenError as error:
                assert error.code is ErrorCode.REVISION_CONFLICT
                proposer.reconcile()
                continue
            accepted.append(record.change_id)
            seen.append(record)
            for other in operators.proposers:
                other.holder.adopt(record, "peer")
        elif action == "reconcile":
            try:
                proposer.reconcile()
            except CorianderhavenError:
                continue
        elif action == "lose":
            operators.stores[index].lose_answers = min(amount, 2)
        elif seen:
            operators.restore(seen[amount % len(seen)])
        after = [p.holder.revision for p in operators.proposers]
        assert all(a >= b for a, b in zip(after, before, strict=True))
    for store in operators.stores:
        store.lose_answers = 0
    operators.proposers[0].reconcile()
    final = operators.stored()
    assert (final.recent_changes if final else []) == accepted
