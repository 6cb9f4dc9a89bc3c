"""Tests of the evidence against parts of prompts, and of the decisions that rest on it."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderhaven.common import ManualClock
from corianderhaven.fleet import PartRecord, merge_parts
from corianderhaven.gateway import CrashLedger, Verdict
from corianderhaven.gateway._crash_evidence import (
    CLEARANCE_MS,
    EVIDENCE_MS,
    FIRST_PAUSE_MS,
    MAX_ENDS,
    MAX_ENDS_OF_MOMENT,
    MAX_PART_LENGTH,
    MAX_PAUSE_MS,
    MEMORY_MS,
    MOMENT_MS,
    PROOF_ENDS,
    PROOF_EVIDENCE_MS,
    SUSPECT_ENDS,
    shorten,
)
from corianderhaven.gateway._crash_ledger import (
    CLEARED_TOLERANCE_MS,
    LEARNING_MARGIN_MS,
    MAX_IN_FLIGHT_PARTS,
    MAX_PARTS,
    MAX_RECENT_PARTS,
    RECENT_MS,
    SUSPECTED_RETRY_MS,
    TURN_MS,
)

APART_MS = MOMENT_MS + 1.0


def make_ledger(clock=None):
    clock = clock or ManualClock()
    return clock, CrashLedger(clock)


def end(clock, ledger, parts, count=1, interval_ms=APART_MS, name="e"):
    """Record ends of different endpoints, the first one now."""
    for number in range(count):
        if number:
            clock.advance_ms(interval_ms)
        now = clock.now_ms()
        ledger.record_end(f"{name}-{number}@{now}", parts, now)


def verdict(ledger, part="p"):
    return ledger.assess([part]).verdict


def owner(part):
    return True


def not_owner(part):
    return False


def forbidden(part):
    raise AssertionError("the trial's owner was computed for a part that any daemon may try")


def test_verdict_follows_the_number_of_ended_endpoints():
    clock, ledger = make_ledger()
    for count in range(1, PROOF_ENDS + 1):
        end(clock, ledger, ["p"], name=str(count))
        expected = Verdict.CLEAR if count < SUSPECT_ENDS else Verdict.SUSPECTED
        assert verdict(ledger) is (Verdict.PROVEN if count == PROOF_ENDS else expected)
        clock.advance_ms(APART_MS)


def test_repeated_reports_of_one_end_count_once():
    """All streams of an endpoint break off at its end, each with a report of its own."""
    clock, ledger = make_ledger()
    for _ in range(PROOF_ENDS):
        ledger.record_end("e@1", ["p"], clock.now_ms())
        clock.advance_ms(APART_MS)
    assert verdict(ledger) is Verdict.CLEAR


def test_assessment_is_of_the_worst_part():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], 2)
    end(clock, ledger, ["q"], 3)
    clock.advance_ms(40.0)
    assessment = ledger.assess(["unknown", "p", "q"])
    assert (assessment.part, assessment.ends, assessment.age_ms) == ("q", 3, 40.0)
    assert ledger.assess(["unknown"]).part is None


def test_sound_answer_clears_ends_up_to_a_second_after_it():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], 2)
    ledger.record_success(["p"], clock.now_ms() - CLEARANCE_MS - 1.0)
    assert verdict(ledger) is Verdict.CLEAR  # the first of the two ends is cleared
    assert len(ledger.records["p"].counted) == 1
    ledger.record_success(["p"], clock.now_ms() - CLEARANCE_MS)
    assert ledger.records["p"].counted == {}


@pytest.mark.parametrize(("elapsed_ms", "counts"), [(0, 0), (CLEARANCE_MS, 0), (1_001.0, 1)])
def test_part_that_just_worked_is_not_blamed(elapsed_ms, counts):
    """The loss of a rack ends endpoints on which parts work that have no record yet."""
    clock, ledger = make_ledger()
    ledger.record_success(["p"], clock.now_ms())
    clock.advance_ms(elapsed_ms)
    end(clock, ledger, ["p"])
    assert len(ledger.records) == counts


def test_part_that_just_worked_at_another_daemon_is_cleared_by_it():
    """The daemon of a broken answer may not be the one where the part worked."""
    clock, ledger = make_ledger()
    _, other = make_ledger(clock)
    other.record_success(["p"], clock.now_ms())
    end(clock, ledger, ["p"], 2, interval_ms=100.0)
    assert verdict(ledger) is Verdict.SUSPECTED
    clock.advance_ms(400.0)
    other.merge(ledger.digest())
    assert verdict(other) is Verdict.CLEAR
    ledger.merge(other.digest())
    assert verdict(ledger) is Verdict.CLEAR


def test_memory_of_sound_answers_is_bounded_and_short():
    clock, ledger = make_ledger()
    ledger.record_success([f"p{n}" for n in range(2 * MAX_RECENT_PARTS)], clock.now_ms())
    assert len(ledger.recent) == MAX_RECENT_PARTS
    clock.advance_ms(RECENT_MS + 1.0)
    ledger.record_success(["q"], clock.now_ms())
    assert list(ledger.recent) == ["q"]
    assert not ledger.records


def test_bystander_is_cleared_by_its_first_sound_answer():
    """A part in few requests, all with the crashing one, is tried one at a time at first."""
    clock, ledger = make_ledger()
    end(clock, ledger, ["p", "bystander"], 3)
    assert ledger.admit(["bystander"], forbidden).allowed
    attempt = ledger.begin(["bystander"])
    assert not ledger.admit(["bystander"], forbidden).allowed
    ledger.record_success(["bystander"], clock.now_ms())
    ledger.finish(attempt)
    assert ledger.admit(["bystander"], forbidden).resumable
    assert verdict(ledger) is Verdict.SUSPECTED


def test_end_explained_by_a_proven_part_is_not_blamed_on_others():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], PROOF_ENDS)
    clock.advance_ms(APART_MS)
    end(clock, ledger, ["p", "q"])
    assert "q" not in ledger.records
    assert ledger.assess(["p"]).ends == PROOF_ENDS + 1


def test_part_whose_ends_another_part_explains_is_not_proven():
    """The first part of a caller's prompts is in most crashing ones, and in sound ones as well."""
    clock, ledger = make_ledger()
    proven = []
    ledger.on_proven = proven.append
    end(clock, ledger, ["p"])
    clock.advance_ms(APART_MS)
    end(clock, ledger, ["p", "q"], 3)
    clock.advance_ms(APART_MS)
    ledger.merge({"q": PartRecord({"x@1": 0}), "p": PartRecord({"x@1": 0})})
    clock.advance_ms(APART_MS)
    ledger.merge({"q": PartRecord({"y@1": 0}), "p": PartRecord({"y@1": 0})})
    assert proven == ["p"]
    assert verdict(ledger, "q") is Verdict.CLEAR
    assert len(ledger.records["q"].counted) == PROOF_ENDS
    assert ledger.admit(["q"], not_owner).allowed
    assert not ledger.admit(["q", "p"], not_owner).allowed


@pytest.mark.parametrize("other_losses", [0, 1])
def test_part_that_worked_is_not_proven_along_with_one_that_never_did(other_losses):
    """A caller sends more crashing requests than sound ones, all with its own part, and one of the
    sound ones is at an endpoint that is lost: no answer in between tells its part apart."""
    clock, ledger = make_ledger()
    ledger.record_success(["caller"], clock.now_ms())
    clock.advance_ms(APART_MS)
    end(clock, ledger, ["caller", "p"], PROOF_ENDS - 1)
    clock.advance_ms(APART_MS)
    end(clock, ledger, ["caller"], other_losses, name="lost")
    clock.advance_ms(APART_MS)
    end(clock, ledger, ["caller", "p"], name="last")
    assert verdict(ledger, "p") is Verdict.PROVEN
    assert verdict(ledger, "caller") is Verdict.SUSPECTED
    assert ledger.admit(["caller"], owner, lambda part: 1).retry_after_ms == SUSPECTED_RETRY_MS


def test_part_that_worked_is_proven_if_no_other_part_explains_its_ends():
    clock, ledger = make_ledger()
    ledger.record_success(["p"], clock.now_ms())
    clock.advance_ms(APART_MS)
    end(clock, ledger, ["p", "q"], PROOF_ENDS - SUSPECT_ENDS)
    clock.advance_ms(APART_MS)
    end(clock, ledger, ["p"], SUSPECT_ENDS, name="alone")
    assert verdict(ledger, "p") is Verdict.PROVEN


def test_ends_at_one_moment_are_no_proof():
    """A lost rack ends more endpoints than a proof takes, all within a part's opening phase."""
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], 3 * PROOF_ENDS, interval_ms=MOMENT_MS / 3 / PROOF_ENDS)
    assert verdict(ledger) is Verdict.SUSPECTED
    ledger.record_success(["p"], clock.now_ms() + 50.0)
    assert verdict(ledger) is Verdict.CLEAR


def test_crashes_at_one_moment_are_proven_by_few_more():
    """Five crashes spread over daemons in one second: the same as of a lost rack, but no answer
    clears the part. The whole fleet may try it only at one daemon and one at a time."""
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], PROOF_ENDS, interval_ms=50.0)
    assert not ledger.admit(["p"], owner).allowed
    sent = 0
    while verdict(ledger) is not Verdict.PROVEN:
        clock.advance_ms(APART_MS)
        assert not ledger.admit(["p"], not_owner).allowed
        admission = ledger.admit(["p"], owner)
        assert (admission.allowed, admission.resumable) == (True, False)
        end(clock, ledger, ["p"], name=f"more-{sent}")
        sent += 1
    assert sent == PROOF_ENDS - MAX_ENDS_OF_MOMENT <= 3


def test_crashes_at_one_moment_are_not_forgotten_as_early_as_a_suspicion():
    """After a minute without requests, five more endpoints would end."""
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], PROOF_ENDS, interval_ms=50.0)
    clock.advance_ms(2.0 * EVIDENCE_MS)
    assert not ledger.admit(["p"], not_owner).allowed


def test_clear_part_is_admitted_without_conditions():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"])
    ledger.begin(["p"])
    admission = ledger.admit(["p", "q"], forbidden)
    assert (admission.allowed, admission.resumable, admission.part) == (True, True, None)


def test_suspected_part_is_admitted_one_at_a_time_and_not_resumed():
    clock, ledger = make_ledger()
    attempt = ledger.begin(["p", "p"])  # before the suspicion
    end(clock, ledger, ["p"], 2)
    refused = ledger.admit(["p"], forbidden)
    assert (refused.allowed, refused.retry_after_ms) == (False, SUSPECTED_RETRY_MS)
    assert refused.part == "p"
    ledger.finish(attempt)
    assert ledger.in_flight == {}
    admission = ledger.admit(["p"], forbidden)
    assert (admission.allowed, admission.resumable) == (True, False)
    assert not ledger.admit(["p"], forbidden, lambda part: 1).allowed


def test_proven_part_is_refused_until_its_trial():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], PROOF_ENDS)
    clock.advance_ms(1_000.0)
    refused = ledger.admit(["p"], owner)
    assert (refused.allowed, refused.retry_after_ms) == (False, FIRST_PAUSE_MS - 1_000.0)
    clock.advance_ms(FIRST_PAUSE_MS - 1_000.0)
    assert not ledger.admit(["p"], not_owner).allowed
    assert not ledger.admit(["p"], owner, lambda part: 1).allowed
    admission = ledger.admit(["p"], owner)
    assert (admission.allowed, admission.resumable) == (True, False)


def test_refusal_of_the_longest_wait_decides():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], PROOF_ENDS)
    end(clock, ledger, ["q"], SUSPECT_ENDS)
    ledger.begin(["q"])
    assert ledger.admit(["q", "p"], owner).part == ledger.admit(["p", "q"], owner).part == "p"


def test_pause_between_trials_doubles_up_to_a_day():
    """Worst case of a part that never works: trials after 1, 2, 4, 8, 16, 24, 24 ... hours."""
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], PROOF_ENDS)
    pauses = []
    for number in range(7):
        pauses.append(ledger.admit(["p"], owner).retry_after_ms)
        clock.advance_ms(pauses[-1])
        assert ledger.admit(["p"], owner).allowed
        end(clock, ledger, ["p"], name=f"trial-{number}")
    assert pauses == [min(FIRST_PAUSE_MS * 2.0**n, MAX_PAUSE_MS) for n in range(7)]


def test_sound_trial_clears_a_proven_part():
    clock, ledger = make_ledger()
    cleared = []
    ledger.on_cleared = cleared.append
    end(clock, ledger, ["p"], PROOF_ENDS)
    clock.advance_ms(FIRST_PAUSE_MS)
    ledger.record_success(["p"], clock.now_ms())
    assert ledger.admit(["p"], forbidden).resumable
    assert cleared == ["p"]


def test_one_daemon_at_a_time_owns_the_trial_and_each_in_its_turn():
    """A daemon may get no request with the part, so a fixed owner might never try it."""
    clock, ledger = make_ledger()
    _, other = make_ledger(clock)
    end(clock, ledger, ["p"], PROOF_ENDS)
    other.merge(ledger.digest())
    names = [f"daemon-{n}" for n in range(5)]
    owners = set()
    for _ in range(60):
        owners.add(ledger.trial_owner("p", names))
        assert ledger.trial_owner("p", names) == other.trial_owner("p", names[::-1])
        clock.advance_ms(TURN_MS)
    assert owners == set(names)
    assert ledger.trial_owner("unknown", names) in names


def test_in_flight_parts_are_bounded_and_parts_with_evidence_always_count():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], 2)
    attempts = [ledger.begin([f"q{n}"]) for n in range(MAX_IN_FLIGHT_PARTS + 10)]
    attempts.append(ledger.begin(["p"]))
    assert len(ledger.in_flight) == MAX_IN_FLIGHT_PARTS + 1
    assert not ledger.admit(["p"], forbidden).allowed
    for attempt in attempts:
        ledger.finish(attempt)
    assert ledger.in_flight == {}


def test_callbacks_name_each_change_once():
    clock, ledger = make_ledger()
    calls = []
    ledger.on_proven = lambda part: calls.append(("proven", part))
    ledger.on_cleared = lambda part: calls.append(("cleared", part))
    end(clock, ledger, ["p"], PROOF_ENDS + 2)
    ledger.merge(ledger.digest())
    assert calls == [("proven", "p")]
    ledger.clear("p")
    ledger.clear("p")
    assert calls == [("proven", "p"), ("cleared", "p")]


def test_callback_may_change_the_ledger():
    clock, ledger = make_ledger()
    ledger.on_proven = ledger.clear
    end(clock, ledger, ["p", "q"], PROOF_ENDS)
    assert verdict(ledger, "p") is verdict(ledger, "q") is Verdict.CLEAR


def test_operator_lists_and_clears_parts():
    clock, ledger = make_ledger()
    _, other = make_ledger(clock)
    long_part = "x" * 1_000
    end(clock, ledger, [long_part], PROOF_ENDS)
    end(clock, ledger, ["q"])
    clock.advance_ms(5.0)
    other.merge(ledger.digest())
    first, second = ledger.listing()
    assert (first.verdict, len(first.ends), first.cleared_age_ms) == (Verdict.PROVEN, 5, -1.0)
    assert (second.part, list(second.ends.values())) == ("q", [5.0])
    ledger.clear(first.part)
    clock.advance_ms(5.0)
    assert ledger.listing()[-1].cleared_age_ms == 5.0
    other.merge(ledger.digest())
    assert verdict(other, long_part) is Verdict.CLEAR


def test_part_is_cleared_at_a_daemon_that_does_not_know_it():
    clock, ledger = make_ledger()
    _, other = make_ledger(clock)
    end(clock, other, ["p"], 2)
    ledger.clear("p")
    other.merge(ledger.digest())
    assert verdict(other) is Verdict.CLEAR


def test_proof_from_the_store_counts_at_once_and_adds_no_trials():
    clock, ledger = make_ledger()
    _, other = make_ledger(clock)
    proven = []
    ledger.on_proven = proven.append
    end(clock, other, ["p"], PROOF_ENDS)
    ledger.mark_proven("p")
    assert proven == ["p"]
    assert ledger.assess(["p"]).ends == PROOF_ENDS
    ledger.merge(other.digest())
    ledger.mark_proven("p")
    assert ledger.assess(["p"]).ends == PROOF_ENDS
    assert ledger.admit(["p"], owner).retry_after_ms == FIRST_PAUSE_MS
    clock.advance_ms(FIRST_PAUSE_MS)
    end(clock, ledger, ["p"])
    assert ledger.admit(["p"], owner).retry_after_ms == 2.0 * FIRST_PAUSE_MS


def test_proof_from_the_store_does_not_undo_a_clearance():
    """An operator clears a part while a daemon starts that has read the store before."""
    clock, ledger = make_ledger()
    _, other = make_ledger(clock)
    end(clock, other, ["p"], PROOF_ENDS)
    other.clear("p")
    ledger.merge(other.digest())
    clock.advance_ms(2_000.0)
    ledger.mark_proven("p")
    assert verdict(ledger) is Verdict.CLEAR


def test_suspicion_ages_out():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], 3)
    clock.advance_ms(EVIDENCE_MS)
    assert verdict(ledger) is Verdict.SUSPECTED
    clock.advance_ms(1.0)
    assert verdict(ledger) is Verdict.CLEAR
    assert ledger.digest() == {}
    clock.advance_ms(MEMORY_MS - EVIDENCE_MS)
    ledger.expire()
    assert not ledger.records


def test_part_that_seldom_comes_is_proven_all_the_same():
    """A part that came once a minute was forgotten each time: 34 sends after five ends."""
    clock, ledger = make_ledger()
    ends = 0
    for _ in range(3 * PROOF_ENDS):
        if ledger.admit(["p"], not_owner).allowed:
            end(clock, ledger, ["p"], name=f"e{ends}")
            ends += 1
        clock.advance_ms(EVIDENCE_MS + 1_000.0)
    assert ends == PROOF_ENDS


def test_proof_ages_out_two_days_after_its_last_end():
    clock, ledger = make_ledger()
    cleared = []
    ledger.on_cleared = cleared.append
    end(clock, ledger, ["p"], PROOF_ENDS)
    clock.advance_ms(PROOF_EVIDENCE_MS)
    assert verdict(ledger) is Verdict.PROVEN
    clock.advance_ms(1.0)
    assert verdict(ledger) is Verdict.CLEAR
    assert cleared == ["p"]


@pytest.mark.parametrize(("ends", "lifetime_ms"), [(3, MEMORY_MS), (5, PROOF_EVIDENCE_MS)])
def test_old_evidence_does_not_return_by_gossip(ends, lifetime_ms):
    """Evidence loses its time in transit from its age: it returns from daemons that learned it
    later, is dropped there meanwhile, and so on forever."""
    clock, ledger = make_ledger()
    _, other = make_ledger(clock)
    end(clock, ledger, ["p"], ends)
    clock.advance_ms(lifetime_ms - LEARNING_MARGIN_MS)
    ages = {i: clock.now_ms() - t for i, t in ledger.records["p"].ends.items()}
    other.merge({"p": PartRecord(ages)})
    assert "p" in other.records
    for _ in range(int(2.0 * LEARNING_MARGIN_MS / 500.0)):
        first, second = ledger.digest(), other.digest()
        clock.advance_ms(500.0)
        ledger.merge(second)
        other.merge(first)
    assert not ledger.records and not other.records


def test_cleared_proof_does_not_return_from_daemons_out_of_contact():
    """A zone that was cut off while a part was cleared still takes it for proven an hour later."""
    clock, ledger = make_ledger()
    _, cut_off = make_ledger(clock)
    end(clock, ledger, ["p"], PROOF_ENDS)
    cut_off.merge(ledger.digest())
    ledger.clear("p")
    clock.advance_ms(3_600_000.0)
    ledger.merge(cut_off.digest())
    assert verdict(ledger) is Verdict.CLEAR
    cut_off.merge(ledger.digest())
    assert verdict(cut_off) is Verdict.CLEAR


def test_clearance_is_forgotten():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], 2)
    ledger.record_success(["p"], clock.now_ms())
    assert ledger.digest()["p"].cleared_age_ms == 0
    clock.advance_ms(EVIDENCE_MS + 1.0)
    assert ledger.digest() == {}


def test_ages_do_not_drift_with_exchanges():
    """Transit takes from ages. A sound answer that looks newer after each exchange would clear
    ends that came after it; an end that looks newer would put off the trial."""
    clock, ledger = make_ledger()
    ledgers = [ledger, make_ledger(clock)[1], make_ledger(clock)[1]]
    end(clock, ledger, ["p"], 2)
    ledger.record_success(["p"], clock.now_ms())
    cleared_ms = clock.now_ms()
    clock.advance_ms(CLEARANCE_MS + 2.0 * CLEARED_TOLERANCE_MS)
    end(clock, ledger, ["p"], PROOF_ENDS)
    last_end_ms = clock.now_ms()
    for _ in range(300):
        digests = [ledger.digest() for ledger in ledgers]
        clock.advance_ms(100.3)
        for number, ledger in enumerate(ledgers):
            ledger.merge(digests[number - 1])
    for record in (ledger.records["p"] for ledger in ledgers):
        assert record.total == PROOF_ENDS
        assert 0.0 <= record.cleared_ms - cleared_ms <= CLEARED_TOLERANCE_MS
        assert 0.0 <= record.last_end_ms - last_end_ms <= 2.0 * 100.3 + 2.0


def test_parts_and_ends_are_bounded():
    clock, ledger = make_ledger()
    end(clock, ledger, [f"p{n}" for n in range(2 * MAX_PARTS)], 2 * MAX_ENDS)
    assert len(ledger.records) == MAX_PARTS
    digest = ledger.digest()
    assert {len(record.ends) for record in digest.values()} == {MAX_ENDS}


def test_ends_that_found_no_place_do_not_look_later_each_time_they_return():
    """More endpoints end at one moment than are kept. If each exchange brought back those left
    out with a later time, the moment would move on and the next ends never add to a proof."""
    clock, ledger = make_ledger()
    _, other = make_ledger(clock)
    first_ms = clock.now_ms()
    end(clock, ledger, ["p"], 2 * MAX_ENDS, interval_ms=10.0, name="one")
    end(clock, other, ["p"], 2 * MAX_ENDS, interval_ms=10.0, name="two")
    for _ in range(100):
        received = ledger.digest(), other.digest()
        clock.advance_ms(300.0)
        ledger.merge(received[1])
        other.merge(received[0])
    for record in (ledger.records["p"], other.records["p"]):
        assert record.last_end_ms < first_ms + MOMENT_MS
        assert (record.total, record.weight) == (MAX_ENDS, MAX_ENDS_OF_MOMENT)


def test_last_end_is_kept_among_more_than_are_kept():
    """The pause before the next trial counts from it."""
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], 2 * MAX_ENDS)
    assert ledger.assess(["p"]).age_ms == 0.0
    assert ledger.assess(["p"]).ends == MAX_ENDS


def test_new_part_takes_the_place_of_one_with_as_little_evidence():
    clock, ledger = make_ledger()
    end(clock, ledger, ["proven"], PROOF_ENDS)
    end(clock, ledger, ["suspected"], 2)
    for number in range(2 * MAX_PARTS):
        clock.advance_ms(1.0)
        end(clock, ledger, [f"p{number}"])
    assert len(ledger.records) == MAX_PARTS
    assert {"proven", "suspected", f"p{2 * MAX_PARTS - 1}"} <= ledger.records.keys()
    assert "p0" not in ledger.records


def test_new_part_does_not_push_out_parts_with_more_evidence():
    """One caller could otherwise make the fleet forget a proven part with a crash."""
    clock, ledger = make_ledger()
    end(clock, ledger, [f"p{n}" for n in range(MAX_PARTS)], 2)
    end(clock, ledger, ["new"])
    assert "new" not in ledger.records
    ledger.mark_proven("proven")
    assert "proven" in ledger.records
    end(clock, ledger, ["newer"], MAX_ENDS, interval_ms=1.0)
    assert "proven" in ledger.records


def test_parts_of_a_long_prompt_do_not_push_out_each_other():
    """A prompt of more parts than are kept would otherwise never get a part with two ends."""
    clock, ledger = make_ledger()
    parts = [f"p{n}" for n in range(MAX_PARTS + 1)]
    end(clock, ledger, parts, PROOF_ENDS)
    assert not ledger.admit(parts, owner).allowed


def test_end_that_a_peer_noticed_later_does_not_count_there_after_it_was_cleared():
    clock, ledger = make_ledger()
    _, other = make_ledger(clock)
    ledger.record_end("e@1", ["p"], clock.now_ms())
    ledger.record_success(["p"], clock.now_ms() - CLEARANCE_MS)
    clock.advance_ms(400.0)
    other.record_end("e@1", ["p"], clock.now_ms())
    other.merge(ledger.digest())
    assert other.records["p"].counted == {}


def test_long_parts_are_shortened_without_confusing_them():
    clock, ledger = make_ledger()
    one, other = "x" * 1_000 + "1", "x" * 1_000 + "2"
    end(clock, ledger, [one], 2)
    assert verdict(ledger, one) is Verdict.SUSPECTED
    assert verdict(ledger, other) is Verdict.CLEAR
    assert all(len(part) <= MAX_PART_LENGTH for part in ledger.digest())
    ledger.record_success([shorten(one)], clock.now_ms())  # a caller's short part of that name
    assert verdict(ledger, one) is Verdict.SUSPECTED


def test_received_parts_with_long_ids_are_ignored():
    clock, ledger = make_ledger()
    ledger.merge({"x" * (MAX_PART_LENGTH + 1): PartRecord({"e@1": 0, "f@1": 0})})
    assert not ledger.records


def test_records_survive_the_wire():
    clock, ledger = make_ledger()
    end(clock, ledger, ["p"], 2)
    digest = ledger.digest()
    decoded = msgspec.json.decode(msgspec.json.encode(digest), type=dict[str, PartRecord])
    assert decoded == digest == {"p": PartRecord(digest["p"].ends, -1)}
    assert msgspec.json.encode(PartRecord({"e@1": 7})) == b'[{"e@1":7},-1]'


def test_merged_records_keep_the_oldest_end_and_the_last_sound_answer():
    total = {}
    received = {"p": PartRecord({"e": 100.0, "f": 5.0}, 40.0)}
    merge_parts(total, received)
    merge_parts(total, {"p": PartRecord({"e": 10.0}), "q": PartRecord({"g": 1.0})}, 50.7)
    merge_parts(total, {"p": PartRecord({}, 80.0)})
    assert total == {"p": PartRecord({"e": 100, "f": 5}, 40), "q": PartRecord({"g": 51})}
    merge_parts(total, {"p": PartRecord({"f": 9.0}, 30.0)})
    assert total["p"] == PartRecord({"e": 100, "f": 9}, 30)
    assert received == {"p": PartRecord({"e": 100.0, "f": 5.0}, 40.0)}


# Times are further apart than the tolerance of clearances and the limits on ends and ages don't
# apply, so equality is exact.
STEP_MS = CLEARED_TOLERANCE_MS + 1.0
MAX_STEPS = int((EVIDENCE_MS - LEARNING_MARGIN_MS) / STEP_MS)
RECORDS = st.dictionaries(
    st.sampled_from("pqr"),
    st.builds(
        PartRecord,
        st.dictionaries(
            st.sampled_from([f"e{n}@1" for n in range(8)]),
            st.integers(0, MAX_STEPS).map(lambda steps: steps * STEP_MS),
            max_size=8,
        ),
        st.sampled_from([-1.0, *(steps * STEP_MS for steps in range(MAX_STEPS))]),
    ),
    max_size=3,
)


def state(ledger):
    digest = ledger.digest()
    return {
        part: (digest[part], ledger.assess([part]), ledger.admit([part], owner).allowed)
        for part in sorted(digest)
    }


def merged(clock, *received):
    ledger = CrashLedger(clock)
    for records in received:
        ledger.merge(records)
    return ledger


@settings(max_examples=300, deadline=None, derandomize=True)
@given(RECORDS, RECORDS, RECORDS)
def test_merging_is_commutative_associative_and_idempotent(one, two, three):
    clock = ManualClock()
    expected = state(merged(clock, one, two, three))
    assert state(merged(clock, three, one, two)) == expected
    assert state(merged(clock, two, three, one, two, three)) == expected
    via_peer = merged(clock, two, three).digest()
    assert state(merged(clock, one, via_peer)) == expected
    assert state(merged(clock, via_peer, one, via_peer)) == expected


@settings(max_examples=300, deadline=None, derandomize=True)
@given(RECORDS, RECORDS, RECORDS)
def test_summaries_are_commutative_associative_and_idempotent(one, two, three):
    def total(*received):
        result = {}
        for records in received:
            merge_parts(result, records)
        return result

    expected = total(one, two, three)
    assert total(three, two, one) == expected
    assert total(total(one, two), total(two, three)) == expected
    clock = ManualClock()
    assert state(merged(clock, expected)) == state(merged(clock, one, two, three))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["end", "success", "exchange", "advance", "clear", "store"]),
            st.integers(0, 2),  # ledger
            st.sampled_from("pqr"),
            st.integers(0, 30_000),  # time
        ),
        max_size=60,
    )
)
def test_daemons_agree_after_all_have_exchanged(actions):
    """Whatever happened in whatever order, exchanges lead all daemons to the same verdicts."""
    clock = ManualClock()
    ledgers = [CrashLedger(clock) for _ in range(3)]
    proven = [set() for _ in ledgers]
    for ledger, parts in zip(ledgers, proven, strict=True):
        ledger.on_proven, ledger.on_cleared = parts.add, parts.remove
    for count, (action, number, part, elapsed_ms) in enumerate(actions):
        ledger, now = ledgers[number], clock.now_ms()
        if action == "end":
            ledger.record_end(f"e{count}@1", [part], now)
        elif action == "success":
            ledger.record_success([part], now)
        elif action == "clear":
            ledger.clear(part)
        elif action == "store":
            ledger.mark_proven(part)
        elif action == "exchange":
            ledgers[number - 1].merge(ledger.digest())
        else:
            clock.advance_ms(elapsed_ms)
    clock.advance_ms(CLEARED_TOLERANCE_MS)
    for part in "pqr":
        # Every part ends with an event that is newer than all others by more than the tolerance.
        ledgers[0].record_end("last@1", [part], clock.now_ms())
    for _ in range(2):
        for ledger in ledgers:
            for other in ledgers:
                ledger.merge(other.digest())
    verdicts = [[verdict(ledger, part) for part in "pqr"] for ledger in ledgers]
    assert verdicts[0] == verdicts[1] == verdicts[2]
    for parts, found in zip(proven, verdicts, strict=True):
        expected = {p for p, v in zip("pqr", found, strict=True) if v is Verdict.PROVEN}
        assert parts == expected


def test_parts_in_all_the_same_answers_are_rejected_together_only():
    """A sound first part that was in each crashing request was rejected for an hour."""
    clock = ManualClock()
    ledger = CrashLedger(clock)
    for number in range(PROOF_ENDS):
        clock.current_ms += 2 * MOMENT_MS
        ledger.record_end(f"e{number}@1", ("first", "bad"), clock.now_ms())
    clock.current_ms += 2 * MOMENT_MS
    assert not ledger.admit(("first", "bad"), owner).allowed
    assert not ledger.admit(("first", "bad", "other"), owner).allowed
    assert ledger.is_proven(("first", "bad"))
    assert not ledger.is_proven(("first", "other"))
    assert ledger.admit(("first", "other"), owner).allowed  # tried, which tells them apart
    assert not ledger.admit(("first", "other"), lambda part: False).allowed
    ledger.record_success(("first", "other"), clock.now_ms())
    assert ledger.assess(("first",)).verdict is Verdict.CLEAR
    assert not ledger.admit(("bad", "other"), owner).allowed


def test_trial_of_one_of_the_parts_shows_that_it_is_the_one():
    clock = ManualClock()
    ledger = CrashLedger(clock)
    for number in range(PROOF_ENDS):
        clock.current_ms += 2 * MOMENT_MS
        ledger.record_end(f"e{number}@1", ("first", "bad"), clock.now_ms())
    clock.current_ms += 2 * MOMENT_MS
    assert ledger.admit(("other", "bad"), owner).allowed
    ledger.record_end("e9@1", ("other", "bad"), clock.now_ms())
    clock.current_ms += 2 * MOMENT_MS
    assert not ledger.admit(("other", "bad"), owner).allowed
    assert ledger.proven_with("bad") == set()


def test_parts_proven_together_come_from_the_store_together():
    clock = ManualClock()
    ledger = CrashLedger(clock)
    for part in ("first", "bad"):
        ledger.mark_proven(part, ["bad", "first"])
    ledger.mark_proven("unrelated", ["unrelated"])
    clock.current_ms += 2 * MOMENT_MS
    assert not ledger.admit(("first", "bad"), owner).allowed
    assert not ledger.admit(("unrelated",), owner).allowed
    assert ledger.admit(("first", "other"), owner).allowed


def test_operator_s_clearing_voids_the_ends_for_all_parts_of_the_requests():
    """The evidence fell on the first part, once its companion was cleared."""
    clock = ManualClock()
    ledger = CrashLedger(clock)
    for number in range(PROOF_ENDS):
        clock.current_ms += 2 * MOMENT_MS
        ledger.record_end(f"e{number}@1", ("first", "bad"), clock.now_ms())
    ledger.clear("bad")
    assert ledger.admit(("first", "bad"), owner).allowed
    assert ledger.assess(("first",)).verdict is Verdict.CLEAR


def test_sound_part_of_crashing_requests_is_served_once_the_other_is_proven():
    """Only one daemon at a time was allowed to send it: 1 of 120 sound requests of 78 daemons."""
    clock = ManualClock()
    ledger = CrashLedger(clock)
    ledger.record_success(("first",), clock.now_ms())
    for number in range(PROOF_ENDS):
        clock.current_ms += 2 * MOMENT_MS
        ledger.record_end(f"e{number}@1", ("first", "bad"), clock.now_ms())
    assert ledger.admit(("first",), lambda part: False).allowed
    assert not ledger.admit(("first", "bad"), owner).allowed
