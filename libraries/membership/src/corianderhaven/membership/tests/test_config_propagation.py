"""Tests of proposals under races, lost responses, outages and restored stores."""

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
from corianderhaven.membership._config_propagation import CONFIG_KEY, decode_record
from corianderhaven.platform.tests.in_memory_store import InMemoryStore

EXAMPLES = Path(__file__).parents[6] / "examples"


def document(limit):
    raw = json.loads((EXAMPLES / "ndiaye.json").read_text())
    raw["accounts"][0]["max_in_flight"] = limit
    return parse_document(msgspec.json.encode(raw))


class ProposerGroup:
    """Several proposers, one per daemon, that share one store."""

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
        return decode_record(InMemoryStore(self.clock, self.kv).get(CONFIG_KEY))

    def restore(self, record):
        """Write an older record to the store, as restoring a backup does."""
        self.kv.put(CONFIG_KEY.encode(), record.encode())


def test_losing_proposal_of_a_race_reports_the_differences():
    group = ProposerGroup()
    first, second = group.proposers
    first.propose(document(10), 0, "c1", "ada")
    first.propose(document(20), 1, "c2", "ada")
    with pytest.raises(CorianderhavenError) as caught:
        second.propose(document(30), 1, "c3", "ben")
    error = caught.value
    assert (error.code, error.outcome) == (ErrorCode.REVISION_CONFLICT, Outcome.NOT_RUN)
    assert error.details["differences"] == [
        {"path": "$.accounts[day-team-a].max_in_flight", "in_force": 20, "proposed": 30}
    ]
    assert group.stored().change_id == "c2"


def test_proposal_succeeds_after_a_lost_response():
    group = ProposerGroup()
    group.stores[0].lose_answers = 1
    record = group.proposers[0].propose(document(10), 0, "c1", "ada")
    assert (record.revision, group.stored().revision) == (1, 1)


def test_superseded_change_is_reported_as_complete():
    group = ProposerGroup()
    first, second = group.proposers
    first.propose(document(10), 0, "c1", "ada")
    second.propose(document(20), 1, "c2", "ben")
    with pytest.raises(CorianderhavenError) as caught:
        first.propose(document(10), 0, "c1", "ada")
    assert caught.value.outcome is Outcome.COMPLETE
    assert group.stored().revision == 2


def test_outage_outcome_is_not_run_before_a_write_and_unknown_after():
    group = ProposerGroup()
    group.stores[0].down = True
    with pytest.raises(CorianderhavenError) as caught:
        group.proposers[0].propose(document(10), 0, "c1", "ada")
    assert caught.value.outcome is Outcome.NOT_RUN
    group.stores[0].down = False
    group.stores[0].lose_answers = 1
    original = group.stores[0].get
    calls = []

    def get_until_outage(key):
        calls.append(key)
        if len(calls) > 3:
            group.stores[0].down = True
        return original(key)

    group.stores[0].get = get_until_outage
    with pytest.raises(CorianderhavenError) as caught:
        group.proposers[0].propose(document(10), 0, "c2", "ada")
    assert caught.value.outcome is Outcome.UNKNOWN
    assert caught.value.details == {"change_id": "c2"}
    group.stores[0].get = original
    group.stores[0].down = False
    assert group.proposers[0].propose(document(10), 0, "c2", "ada").revision == 1


def test_restored_store_is_overwritten_with_the_active_revision():
    group = ProposerGroup()
    first, second = group.proposers
    old = first.propose(document(10), 0, "c1", "ada")
    active = first.propose(document(20), 1, "c2", "ada")
    group.restore(old)
    second.reconcile()
    assert second.holder.revision == 1
    first.reconcile()
    assert group.stored().change_id == "c2"
    second.reconcile()
    assert second.holder.record == active


def test_lower_revision_is_never_adopted():
    group = ProposerGroup()
    first = group.proposers[0]
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
    """Connected daemons keep all accepted changes in order, whatever state the store reverts to."""
    group = ProposerGroup(3)
    accepted, records = [], []
    for number, (action, index, amount) in enumerate(steps):
        proposer = group.proposers[index]
        before = [p.holder.revision for p in group.proposers]
        if action == "propose":
            base = proposer.holder.revision
            try:
                record = proposer.propose(document(number + 1), base, f"c{number}", "ada")
            except CorianderhavenError as error:
                assert error.code is ErrorCode.REVISION_CONFLICT
                proposer.reconcile()
                continue
            accepted.append(record.change_id)
            records.append(record)
            for other in group.proposers:
                other.holder.adopt(record, "peer")
        elif action == "reconcile":
            try:
                proposer.reconcile()
            except CorianderhavenError:
                continue
        elif action == "lose":
            group.stores[index].lose_answers = min(amount, 2)
        elif records:
            group.restore(records[amount % len(records)])
        after = [p.holder.revision for p in group.proposers]
        assert all(a >= b for a, b in zip(after, before, strict=True))
    for store in group.stores:
        store.lose_answers = 0
    group.proposers[0].reconcile()
    final = group.stored()
    assert (final.recent_changes if final else []) == accepted
