"""Tests of admission control with real threads; no assertion depends on timing."""

import threading

import pytest

from corianderhaven.common import Clock, CorianderhavenError
from corianderhaven.config import Account, Deployment, Limits, VmSelector
from corianderhaven.membership import PeerInfo, PeerTable
from corianderhaven.routing import AdmissionController, LoadTracker

OWN = PeerInfo("own", "z", "own-1", "127.0.0.1:1", 1)


def deployment(**limits):
    values = {"queue_deadline_ms": 60_000, "queue_length": 8, **limits}
    return Deployment(
        name="d",
        model="m",
        version="v",
        members_per_replica=1,
        vms=VmSelector(label="x"),
        limits=Limits(**values),
    )


class ControlledQueue:
    """An admission queue with a controlled number of slots that records admissions in order."""

    def __init__(self, fair=True, **limits):
        self.clock = Clock()
        peers = PeerTable(self.clock, OWN)
        self.load_tracker = LoadTracker(self.clock, peers)
        self.controller = AdmissionController(self.clock, self.load_tracker, fair)
        self.deployment = deployment(**limits)
        self.slots = 0
        self.admitted = []
        self.refused = []
        self.threads = []
        self.changed = threading.Condition()

    def submit(self, name, account, cost=10.0):
        """Submit a request and wait until it is queued, admitted or refused."""

        def run():
            try:
                self.controller.admit(self.deployment, account, cost, lambda: self.slots)
                result = self.admitted
            except CorianderhavenError as error:
                result = self.refused
                entry = (name, error.code.text, error.outcome.value)
            else:
                entry = name
            with self.changed:
                result.append(entry)
                self.changed.notify_all()

        before = self.submitted_count()
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.threads.append(thread)
        assert self.wait_for(lambda: self.submitted_count() > before)

    def submitted_count(self):
        queue = self.controller.queues.get("d")
        waiting = len(queue.waiting) if queue else 0
        return waiting + len(self.admitted) + len(self.refused)

    def add_slots(self, count=1):
        for _ in range(count):
            before = len(self.admitted)
            self.slots += 1
            assert self.wait_for(lambda before=before: len(self.admitted) > before)

    def wait_for(self, condition):
        with self.changed:
            for _ in range(1000):
                if condition():
                    return True
                self.changed.wait(0.01)
        return condition()


def account(name, priority=5, weight=1.0, max_in_flight=100):
    return Account(name=name, priority=priority, weight=weight, max_in_flight=max_in_flight)


def test_small_account_is_not_starved():
    queue = ControlledQueue()
    for number in range(6):
        queue.submit(f"large-{number}", account("large"))
    queue.submit("small-0", account("small"))
    queue.add_slots(3)
    assert "small-0" in queue.admitted[:2]


def test_first_come_first_served_baseline():
    queue = ControlledQueue(fair=False)
    for number in range(4):
        queue.submit(f"large-{number}", account("large"))
    queue.submit("small-0", account("small"))
    queue.add_slots(5)
    assert queue.admitted == ["large-0", "large-1", "large-2", "large-3", "small-0"]


def test_admissions_follow_account_weights():
    queue = ControlledQueue(queue_length=16)
    for number in range(8):
        queue.submit(f"a-{number}", account("a", weight=3.0))
    for number in range(4):
        queue.submit(f"b-{number}", account("b"))
    queue.add_slots(8)
    assert sum(name.startswith("a") for name in queue.admitted) == 6


def test_higher_priority_class_is_admitted_first():
    queue = ControlledQueue()
    queue.submit("late", account("low", priority=7))
    queue.submit("urgent", account("high", priority=1))
    queue.add_slots()
    assert queue.admitted == ["urgent"]


def test_full_queue_evicts_newest_request_of_heaviest_account():
    queue = ControlledQueue(queue_length=4)
    for number in range(4):
        queue.submit(f"large-{number}", account("large"))
    queue.submit("small-0", account("small"))
    assert queue.wait_for(lambda: queue.refused)
    assert queue.refused == [("large-3", "queue_full", "not_run")]
    queue.submit("large-4", account("large"))
    assert queue.refused[1:] == [("large-4", "queue_full", "not_run")]


def test_request_is_refused_as_not_run_at_the_queue_deadline():
    queue = ControlledQueue(queue_deadline_ms=30)
    queue.submit("late", account("a"))
    assert queue.wait_for(lambda: queue.refused)
    assert queue.refused == [("late", "queue_timeout", "not_run")]
    assert queue.load_tracker.requests_by_account() == {}


def test_account_limit():
    queue = ControlledQueue()
    for number in range(2):
        queue.submit(f"r-{number}", account("a", max_in_flight=2))
    queue.submit("r-2", account("a", max_in_flight=2))
    assert queue.refused == [("r-2", "account_limit", "not_run")]


def test_request_with_expected_wait_past_the_deadline_is_refused_at_once():
    queue = ControlledQueue(queue_deadline_ms=60_000)
    queue.submit("first", account("a"))
    queue.controller.queues["d"].mean_duration_ms = 100_000.0
    queue.submit("second", account("a"))
    assert queue.refused == [("second", "queue_full", "not_run")]


@pytest.mark.parametrize("left", [True])
def test_disconnected_caller_leaves_the_queue(left):
    queue = ControlledQueue()
    with pytest.raises(CorianderhavenError):
        queue.controller.admit(queue.deployment, account("a"), 1.0, lambda: 0, lambda: left)
    assert queue.controller.queues["d"].waiting == []


def test_slots_are_divided_in_proportion_to_account_demand():
    clock = Clock()
    peers = PeerTable(clock, OWN)
    peers.update_info(PeerInfo("p", "z", "p-1", "127.0.0.1:2", 1))
    record = peers.records["p"]
    record.accounts, record.reported_ms = {"large": 30}, clock.now_ms()
    tracker = LoadTracker(clock, peers)
    assert tracker.slot_share({}) == 1.0
    tracker.add_account_requests("small", 1)
    assert tracker.slot_share({}) == 0.5
    tracker.add_account_requests("large", 10)
    assert tracker.slot_share({"large": 1.0, "small": 1.0}) == (0.25 + 1.0) / 2
    assert tracker.account_share("large", 40) == 40 * 11 / 41


def test_wait_at_another_daemon_counts_towards_the_queue_deadline():
    queue = ControlledQueue(queue_deadline_ms=60_000)
    with pytest.raises(CorianderhavenError) as caught:
        queue.controller.admit(queue.deployment, account("a"), 1.0, lambda: 0, waited_ms=60_000.0)
    assert caught.value.code.text == "queue_timeout"
