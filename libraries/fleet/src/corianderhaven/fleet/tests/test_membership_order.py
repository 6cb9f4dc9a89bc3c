"""Tests of the order of an endpoint's entries and reports."""

import pytest

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import EndpointDirectory, EngineReport, ReplicaState
from corianderhaven.fleet.tests.memory_fleet import endpoint, member

OPEN, JOINING, READY, BROKEN = (
    ReplicaState.OPEN,
    ReplicaState.JOINING,
    ReplicaState.READY,
    ReplicaState.BROKEN,
)


class Told:
    """Directory with one endpoint, and a clock that goes on between two messages."""

    def __init__(self):
        self.clock = ManualClock()
        self.directory = EndpointDirectory(self.clock, DecisionLog(self.clock))
        self.revision = 10

    def enter(self, number, state=None, generation=12):
        entry = endpoint(1, entry_number=number)
        if state is not None:
            entry = member(entry, "m.1.2", 0, state, generation)
        self.revision += 1
        self.directory.update("e1", entry, self.revision)
        return self

    def report(self, order_count, state=None, generation=12):
        holder = member(endpoint(1), "m.1.2", 0, state, generation)
        membership = None if state is None else holder.membership
        report = EngineReport(0, False, (), membership, 0, 0, 1.0, order_count)
        self.directory.update_from_report("e1", report)
        return self

    def wait(self, time_ms):
        self.clock.advance_ms(time_ms)
        return self

    @property
    def state(self):
        membership = self.directory.get("e1").membership
        return membership and membership.state

    @property
    def doubted(self):
        return [e.id for e in self.directory.take_due_doubts()]


def test_older_entry_does_not_overwrite_a_newer_report():
    """A head that had left seemed to be back in its replica, and was dissolved once more."""
    told = Told().enter(4, OPEN).report(7).enter(5, OPEN)
    assert told.state is None
    assert told.doubted == ["e1"]
    told.wait(500).report(7)
    assert (told.state, told.doubted) == (None, [])


def test_entry_of_a_head_that_came_back_is_confirmed_by_its_next_report():
    told = Told().enter(4, OPEN).report(7).enter(5, JOINING).enter(6, READY)
    assert told.state is None
    told.report(8, READY)
    assert (told.state, told.doubted) == (READY, [])
    assert told.enter(7, OPEN).state is OPEN


def test_entries_that_have_shown_the_report_are_newer_than_it():
    told = Told().enter(4, OPEN).report(7).enter(5).enter(6, JOINING)
    assert (told.state, told.doubted) == (JOINING, [])
    assert told.enter(7).state is None


def test_entry_of_a_new_replica_is_newer_than_the_report_and_one_of_an_older_is_not():
    assert Told().enter(4, OPEN).report(7).enter(5, JOINING, generation=13).state is JOINING
    told = Told().enter(4).report(7, OPEN, generation=13).enter(5, OPEN, generation=12)
    assert told.directory.get("e1").membership.generation == 13


def test_entry_behind_the_reported_state_does_not_revert_it():
    told = Told().enter(4, JOINING).report(7, OPEN).enter(5, READY)
    assert told.state is OPEN
    assert told.enter(6, OPEN).state is OPEN
    assert told.doubted == []


@pytest.mark.parametrize(("order_count", "state"), [(6, None), (7, None), (8, OPEN)])
def test_reports_are_ordered_by_the_orders_that_they_count(order_count, state):
    assert Told().enter(4, OPEN).report(7).report(order_count, state).state is state


def test_report_from_before_the_known_one_is_ignored():
    """Two reports were asked for at once, and the later one was answered first."""
    assert Told().enter(4, OPEN).report(7).report(6, OPEN).state is None


def test_report_without_a_new_order_is_older_than_the_entry_of_a_join():
    told = Told().enter(4).report(7).enter(5, JOINING).report(7)
    assert told.state is JOINING
    assert told.report(9).state is None


def test_reopened_replica_is_not_taken_for_the_broken_one():
    assert Told().enter(4, OPEN).report(7, BROKEN).report(10, OPEN).state is OPEN


def test_doubted_entry_holds_if_no_report_refutes_it():
    told = Told().enter(4, OPEN).report(7).enter(5, OPEN).wait(3_000)
    assert (told.doubted, told.state) == ([], OPEN)


def test_former_keeper_goes_by_the_entries():
    told = Told().enter(4, OPEN).report(7).enter(5, OPEN)
    told.directory.forget_reports()
    assert told.state is OPEN
    assert told.enter(6).state is None


def test_report_from_before_an_answered_leave_is_ignored():
    """Reports lag: one showed an open head after the head had said that it left."""
    told = Told().enter(4, OPEN).report(7, OPEN)
    told.directory.note_order("e1", 7, False, None)
    assert told.state is None
    told.report(7, OPEN).enter(5, OPEN)
    assert told.state is None
    assert told.directory.last_report("e1").order_count == 8
    assert told.report(9, JOINING).state is JOINING


def test_answer_counts_no_order_that_a_newer_report_has_counted():
    told = Told().enter(4, OPEN).report(7, OPEN).report(9, JOINING)
    told.directory.note_order("e1", 7, False, None)
    assert told.state is JOINING
    assert told.directory.last_report("e1").order_count == 9


def test_report_long_after_an_order_holds_whatever_it_counts():
    told = Told().enter(4).report(7)
    told.directory.note_order("e1", 7, True, None)
    told.report(7, OPEN, generation=13)
    assert told.state is None
    assert told.wait(500).report(7, OPEN, generation=13).state is OPEN
