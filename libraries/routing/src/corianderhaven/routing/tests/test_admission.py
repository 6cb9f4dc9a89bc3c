"""Tests of admission, with real threads and no timed asserts."""

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


class Gate:
    """A queue whose slots a test opens one by one, noting the order of admission."""

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

    def arrive(self, name, account, cost=10.0):
        """Let a request arrive and wait until it stands in the queue or is answered."""

        def run():
            try:
                self.controller.admit(self.deployment, account, cost, lambda: self.slots)
                result = self.admitted
            except CorianderhavenError as error:
                result = self.refused
                name_and_code = (name, error.code.text, error.outcome.value)
            else:
                name_and_code = name
            with self.changed:
                result.append(name_and_code)
                self.changed.notify_all()

        before = self.seen()
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.threads.append(thread)
        assert self.wait(lambda: self.seen() > before)

    def seen(self):
        queue = self.controller.queues.get("d")
        waiting = len(queue.waiting) if queue else 0
        return waiting + len(self.admitted) + len(self.refused)

    def open(self, count=1):
        for _ in range(count):
            before = len(self.admitted)
            self.slots += 1
            assert self.wait(lambda before=before: len(self.admitted) > before)

    def wait(self, condition):
        with self.changed:
            for _ in range(1000):
                if condition():
                    return True
                self.changed.wait(0.01)
        return condition()


def account(name, priority=5, weight=1.0, most=100):
    return Account(name=name, priority=priority, weight=weight, max_in_flight=most)


def test_small_account_is_not_starved():
    gate = Gate()
    for number in range(6):
        gate.arrive(f"large-{number}", account("large"))
    gate.arrive("small-0", account("small"))
    gate.open(3)
    assert "small-0" in gate.admitted[:2]


def test_first_come_first_served_baseline():
    gate = Gate(fair=False)
    for number in range(4):
        gate.arrive(f"large-{number}", account("large"))
    gate.arrive("small-0", account("small"))
    gate.open(5)
    assert gate.admitted == ["large-0", "large-1", "large-2", "large-3", "small-0"]


def test_weights_share_admissions():
    gate = Gate(queue_length=16)
    for number in range(8):
        gate.arrive(f"a-{number}", account("a", weight=3.0))
    for number in range(4):
        gate.arrive(f"b-{number}", account("b"))
    gate.open(8)
    assert sum(name.startswith("a") for name in gate.admitted) == 6


def test_more_important_class_goes_first():
    gate = Gate()
    gate.arrive("late", account("low", priority=7))
    gate.arrive("urgent", account("high", priority=1))
    gate.open()
    assert gate.admitted == ["urgent"]


def test_full_queue_refuses_the_heaviest_accounts_newest_request():
    gate = Gate(queue_length=4)
    for number in range(4):
        gate.arrive(f"large-{number}", account("large"))
    gate.arrive("small-0", account("small"))
    assert gate.wait(lambda: gate.refused)
    assert gate.refused == [("large-3", "queue_full", "not_run")]
    gate.arrive("large-4", account("large"))
    assert gate.refused[1:] == [("large-4", "queue_full", "not_run")]


def test_queue_deadline_answers_at_once_as_not_run():
    gate = Gate(queue_deadline_ms=30)
    gate.arrive("late", account("a"))
    assert gate.wait(lambda: gate.refused)
    assert gate.refused == [("late", "queue_timeout", "not_run")]
    assert gate.load_tracker.requests_by_account() == {}


def test_account_limit():
    gate = Gate()
    for number in range(2):
        gate.arrive(f"r-{number}", account("a", most=2))
    gate.arrive("r-2", account("a", most=2))
    assert gate.refused == [("r-2", "account_limit", "not_run")]


def test_expected_wait_past_the_deadline_is_refused_at_once():
    gate = Gate(queue_deadline_ms=60_000)
    gate.arrive("first", account("a"))
    gate.controller.queues["d"].mean_duration_ms = 100_000.0
    gate.arrive("second", account("a"))
    assert gate.refused == [("second", "queue_full", "not_run")]


@pytest.mark.parametrize("left", [True])
def test_caller_that_leaves_frees_its_place(left):
    gate = Gate()
    with pytest.raises(CorianderhavenError):
        gate.controller.admit(gate.deployment, account("a"), 1.0, lambda: 0, lambda: left)
    assert gate.controller.queues["d"].waiting == []


def test_slots_are_shared_by_the_accounts_demand():
    clock = Clock()
    peers = PeerTable(clock, OWN)
    peers.learn(PeerInfo("p", "z", "p-1", "127.0.0.1:2", 1))
    record = peers.records["p"]
    record.accounts, record.reported_ms = {"large": 30}, clock.now_ms()
    book = LoadTracker(clock, peers)
    assert book.slot_share({}) == 1.0
    book.add_account_requests("small", 1)
    assert book.slot_share({}) == 0.5
    book.add_account_requests("large", 10)
    assert book.slot_share({"large": 1.0, "small": 1.0}) == (0.25 + 1.0) / 2
    assert book.account_share("large", 40) == 40 * 11 / 41


def test_wait_elsewhere_counts_against_the_queue_deadline():
    gate = Gate(queue_deadline_ms=60_000)
    with pytest.raises(CorianderhavenError) as caught:
        gate.controller.admit(gate.deployment, account("a"), 1.0, lambda: 0, waited_ms=60_000.0)
    assert caught.value.code.text == "queue_timeout"
