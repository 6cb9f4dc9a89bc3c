"""Properties of the order by account: share bound, no starvation, priority, and the plain order."""

import asyncio
from collections import Counter, defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import ManualClock
from corianderhaven.scheduling import (
    AccountLines,
    AccountRates,
    AdmissionQueue,
    QueuedRequest,
    Refusal,
    WaitingRequests,
    queue_order,
)

FAR_MS = 1e9
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["add", "add", "serve", "remove", "advance"]),
        st.integers(0, 2),  # priority
        st.booleans(),  # resumed
        st.integers(0, 12),  # time
        st.integers(0, 40),  # goal, and choice of the request to remove
        st.sampled_from("abcd"),
    ),
    max_size=80,
)
BACKLOGS = st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 30), min_size=2)


def request(account, cutoff_ms=FAR_MS, priority=1, resumed=False, arrived_ms=0.0):
    return QueuedRequest(priority, arrived_ms, cutoff_ms, 2 * FAR_MS, resumed, account=account)


def serve_first(waiting, now_ms=0.0):
    waiting.advance(now_ms)
    queued = next(waiting.in_order())
    waiting.charge(queued)
    waiting.remove(queued)
    return queued


@settings(max_examples=300, deadline=None, derandomize=True)
@given(ACTIONS)
def test_order_by_account_keeps_the_order_of_everything_else(actions):
    """Guards against a less urgent, a late or a new request served before others by its account."""
    now, plain, waiting = 0.0, [], WaitingRequests()
    waiting.share(True)
    for action, priority, resumed, elapsed, number, account in actions:
        if action == "add":
            queued = request(account, now + number - 5, priority, resumed, now)
            queued.deadline_cutoff_ms = now + 2 * number
            plain.append(queued)
            waiting.add(queued, now)
        elif action == "serve" and plain:
            plain.remove(serve_first(waiting, now))
        elif action == "remove" and plain:
            waiting.remove(plain.pop(number % len(plain)))
        else:
            now += elapsed
        waiting.advance(now)
        ordered = list(waiting.in_order())
        assert Counter(ordered) == Counter(plain)
        keys = [queue_order(queued, now)[:3] for queued in ordered]
        assert keys == sorted(keys)
        of_account = defaultdict(list)
        for queued in ordered:
            of_account[queued.account].append(queue_order(queued, now))
        assert all(keys == sorted(keys) for keys in of_account.values())
        others = [queued for queued in ordered if queued.resumed or now > queued.goal_cutoff_ms]
        keys = [queue_order(queued, now) for queued in others]
        assert keys == sorted(keys)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(ACTIONS)
def test_one_account_has_the_plain_order(actions):
    """Guards against a change of the order where nothing is shared."""
    now, shared, plain = 0.0, WaitingRequests(), WaitingRequests()
    shared.share(True)
    for index, (action, priority, resumed, elapsed, number, _) in enumerate(actions):
        if action == "add":
            # Distinct cutoffs: of equal ones the plain count leaves out those that came before.
            queued = request("a", now + number - 5 + index * 1e-6, priority, resumed, now)
            assert shared.ahead_of(queued, now) == plain.ahead_of(queued, now)
            shared.add(queued, now)
            plain.add(queued, now)
        elif action == "serve" and len(plain):
            plain.remove(serve_first(shared, now))
        else:
            now += elapsed
        shared.advance(now)
        plain.advance(now)
        assert list(shared.in_order()) == list(plain.in_order())


@settings(max_examples=200, deadline=None, derandomize=True)
@given(BACKLOGS, st.integers(1, 120))
def test_accounts_that_wait_are_served_alike_up_to_one_request(backlog, count):
    """Share bound: guards against an account served more than another that also waits."""
    waiting = WaitingRequests()
    waiting.share(True)
    for account, length in backlog.items():
        # One account's requests are all more urgent by time than those of the next.
        for number in range(length):
            waiting.add(request(account, FAR_MS + 100 * ord(account) + number), 0.0)
    served = Counter()
    for _ in range(min(count, sum(backlog.values()))):
        served[serve_first(waiting).account] += 1
    remaining = Counter(queued.account for queued in waiting.in_order())
    level = max(served.values())
    for account in remaining:
        assert served[account] >= level - 1


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.sampled_from("abcdef"), max_size=60), st.lists(st.sampled_from("abc"), min_size=20)
)
def test_no_account_waits_longer_than_one_turn_of_the_others(before, during):
    """Starvation: guards against a line that stands still while others keep arriving."""
    waiting = WaitingRequests()
    waiting.share(True)
    for account in before:
        waiting.add(request(account, 0.5 * FAR_MS), 0.0)
    for _ in before[::2]:
        serve_first(waiting)
    late_comer = request("z")
    waiting.add(late_comer, 0.0)
    turns = Counter()
    for account in during:
        # Each arrival is more urgent by time than the one that waits.
        waiting.add(request(account, 1.0), 0.0)
        queued = serve_first(waiting)
        if queued is late_comer:
            break
        turns[queued.account] += 1
    else:
        pytest.fail("not served within 20 turns of six accounts")
    assert max(turns.values(), default=0) <= 2


@settings(max_examples=200, deadline=None, derandomize=True)
@given(BACKLOGS, st.data())
def test_estimate_of_those_ahead_is_close_to_the_order(backlog, data):
    """Guards against refusals by a wrong place: each other account may differ by one request."""
    waiting = WaitingRequests()
    waiting.share(True)
    for account, length in backlog.items():
        for _ in range(length):
            waiting.add(request(account, FAR_MS + data.draw(st.integers(0, 40))), 0.0)
    for _ in range(data.draw(st.integers(0, sum(backlog.values()) - 1))):
        serve_first(waiting)
    estimates = {queued: waiting.ahead_of(queued, 0.0) for queued in waiting.in_order()}
    served = 0
    while len(waiting):
        queued = serve_first(waiting)
        assert abs(estimates[queued] - served) <= len(backlog)
        served += 1


def test_account_that_was_idle_has_no_claim_to_what_it_left_unused():
    """Guards against a burst after a pause that takes all slots until it has caught up."""
    waiting = WaitingRequests()
    waiting.share(True)
    for _ in range(60):
        waiting.add(request("a"), 0.0)
    for _ in range(30):
        serve_first(waiting)
    for _ in range(30):
        waiting.add(request("b"), 0.0)
    served = Counter(serve_first(waiting).account for _ in range(20))
    assert abs(served["a"] - served["b"]) <= 1


def test_accounts_that_no_longer_wait_are_forgotten():
    """Guards against a state that grows with the accounts ever seen."""
    lines = AccountLines()
    for number in range(4_000):
        queued = request(f"account-{number // 2}" if number < 2_000 else "busy")
        lines.add((1.0, number), queued)
        lines.charge(queued.account)
        lines.remove((1.0, number), queued)
    assert len(lines.served) <= 70


def test_sharing_may_begin_and_end_while_requests_wait():
    """Guards against requests lost when a new configuration names a second account."""
    waiting = WaitingRequests()
    requests = [request("ab"[n % 2], float(n + 1)) for n in range(10)]
    for queued in requests:
        waiting.add(queued, 0.0)
    waiting.share(True)
    assert set(waiting.in_order()) == set(requests)
    waiting.remove(requests[0])
    waiting.share(False)
    assert list(waiting.in_order()) == requests[1:]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.integers(1, 60), min_size=1, max_size=12), st.floats(0.001, 0.1, allow_nan=False)
)
def test_share_serves_the_throughput_and_no_less(rates, throughput):
    """Guards against a share that refuses callers while throughput is left."""
    clock = ManualClock(0.0)
    account_rates = AccountRates(clock)
    clock.advance_ms(3_000.0)
    for number, count in enumerate(rates):
        for _ in range(count):
            account_rates.record_arrival(request(f"account-{number}"))
    share = account_rates.share_per_ms(1, throughput)
    served = sum(min(count / 3_000.0, share) for count in rates)
    assert served == pytest.approx(min(throughput, sum(rates) / 3_000.0))


def decide(queue, picks, actions):
    """Return what becomes of requests, with `picks` slots freed one by one; in manual time."""

    async def run():
        tasks, log = [], []
        for number, (action, priority, resumed, elapsed, goal, account) in enumerate(actions):
            if action == "add":
                now = queue.clock.now_ms()
                queued = request(account, now + 10.0 * goal, priority, resumed, now)
                queued.deadline_cutoff_ms = now + 20.0 * goal
                task = asyncio.create_task(queue.acquire(queued), name=str(number))
                tasks.append(task)
            elif action == "serve":
                picks.append(True)
                queue.assign()
            else:
                queue.clock.advance_ms(10.0 * elapsed)
                queue.dispatch()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            done = [(t.get_name(), t.result()) for t in tasks if t.done()]
            log.append([(n, r.reason if isinstance(r, Refusal) else r) for n, r in done])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return log

    return asyncio.run(run())


def make_queue(shared, picks):
    queue = AdmissionQueue(
        ManualClock(0.0),
        lambda queued: "endpoint" if picks and picks.pop() else None,
        lambda: True,
        lambda: 0.01,
    )
    queue.is_shared = lambda: shared
    return queue


@settings(max_examples=150, deadline=None, derandomize=True)
@given(ACTIONS)
def test_resumed_requests_are_refused_only_at_their_deadline(actions):
    """Guards against a stream cut because its account exceeds its share."""
    picks = []
    log = decide(make_queue(True, picks), picks, actions)
    resumed = {str(n) for n, action in enumerate(actions) if action[2]}
    for name, result in log[-1] if log else ():
        assert name not in resumed or result in ("endpoint", "waited too long")


@settings(max_examples=150, deadline=None, derandomize=True)
@given(ACTIONS)
def test_free_slot_is_never_kept_while_requests_wait(actions):
    """Work conservation: guards against slots held for promised callers or idle accounts."""
    picks = []
    queue = make_queue(True, picks)

    async def run():
        tasks = []
        for action, priority, resumed, elapsed, goal, account in actions:
            if action == "add":
                now = queue.clock.now_ms()
                queued = request(account, now + 10.0 * goal, priority, resumed, now)
                queued.deadline_cutoff_ms = now + 20.0 * goal
                tasks.append(asyncio.create_task(queue.acquire(queued)))
            elif action == "serve":
                picks.append(True)
                queue.assign()
            else:
                queue.clock.advance_ms(10.0 * elapsed)
                queue.dispatch()
            await asyncio.sleep(0)
            assert not (picks and len(queue.waiting))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


@settings(max_examples=150, deadline=None, derandomize=True)
@given(ACTIONS)
def test_nothing_changes_while_nothing_waits(actions):
    """Guards against sharing that decides anything while each request finds a slot."""
    results = []
    for shared in (False, True):
        picks = [True] * 100
        results.append(decide(make_queue(shared, picks), picks, actions))
    assert results[0] == results[1]


def test_places_count_towards_the_share_of_their_account():
    """Guards against an account that gets its share and its kept places on top of it."""
    waiting = WaitingRequests()
    waiting.share(True)
    for number in range(15):
        queued = request("a", FAR_MS / 2)
        queued.promised = number < 5
        waiting.add(queued, 0.0)
        waiting.add(request("b"), 0.0)
    served = [serve_first(waiting).account for _ in range(20)]
    assert served[:5] == ["a"] * 5
    assert abs(served.count("a") - served.count("b")) <= 1
