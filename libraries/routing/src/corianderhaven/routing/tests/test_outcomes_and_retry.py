"""Tests of attempt classification, retries and resume tokens."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import CorianderhavenError
from corianderhaven.routing import (
    AttemptEvidence,
    AttemptStage,
    Backoff,
    ResumeTokens,
    RetryBudget,
    Verdict,
    classify_attempt,
)
from corianderhaven.routing._outcomes import may_retry

REFUSED_BEFORE_RUN = (503,)


@pytest.mark.parametrize(
    ("stage", "status", "verdict"),
    [
        (AttemptStage.NOT_CONNECTED, None, Verdict.NOT_RUN),
        (AttemptStage.SENT, None, Verdict.UNKNOWN),
        (AttemptStage.ANSWERED, 200, Verdict.ANSWERED),
        (AttemptStage.ANSWERED, 404, Verdict.ANSWERED),
        (AttemptStage.ANSWERED, 503, Verdict.NOT_RUN),
        (AttemptStage.ANSWERED, 500, Verdict.UNKNOWN),
        (AttemptStage.ANSWERED, 429, Verdict.ANSWERED),
    ],
)
def test_classify_attempt(stage, status, verdict):
    assert classify_attempt(AttemptEvidence(stage, status), REFUSED_BEFORE_RUN) is verdict


def test_retry_requires_not_run_or_idempotence():
    allowed = {(v, i) for v in Verdict for i in (True, False) if may_retry(v, i)}
    assert allowed == {
        (Verdict.NOT_RUN, True),
        (Verdict.NOT_RUN, False),
        (Verdict.UNKNOWN, True),
    }


def test_budget_limits_retries_to_a_fraction_of_first_attempts():
    budget = RetryBudget(0.2, reserve=2)
    assert [budget.withdraw() for _ in range(3)] == [True, True, False]
    withdrawn = 0
    for _ in range(100):
        budget.deposit()
        withdrawn += budget.withdraw()
    assert 19 <= withdrawn <= 20


def test_backoff_is_never_shorter_than_retry_after():
    backoff = Backoff(generator=random.Random(1))
    assert all(backoff.pause_ms(n) <= 1000 for n in range(1, 12))
    assert backoff.pause_ms(1, 5000) == 5000


TOKENS = ResumeTokens("a-secret-for-tests-only")
EVENT_ID = TOKENS.signer("z~r~3~ab", "acc", "digest").event_id(7).decode()


def test_token_round_trip():
    point = TOKENS.check(EVENT_ID, "acc", "digest")
    assert (point.zone, point.replica_id, point.generation, point.offset) == ("z", "r", 3, 7)


@pytest.mark.parametrize(("account", "digest"), [("other", "digest"), ("acc", "other")])
def test_token_of_another_account_or_body_is_rejected(account, digest):
    with pytest.raises(CorianderhavenError):
        TOKENS.check(EVENT_ID, account, digest)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.text(max_size=60) | st.integers(0, len(EVENT_ID) - 1))
def test_altered_token_is_rejected(change):
    if isinstance(change, int):
        replacement = "0" if EVENT_ID[change] != "0" else "1"
        change = EVENT_ID[:change] + replacement + EVENT_ID[change + 1 :]
    with pytest.raises(CorianderhavenError):
        TOKENS.check(change, "acc", "digest")
