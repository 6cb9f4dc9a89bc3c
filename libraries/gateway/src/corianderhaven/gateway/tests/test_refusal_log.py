"""Tests of the log of refusals."""

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.gateway import RefusalLog


def test_thousand_refusals_write_one_line_a_cause_until_the_interval_has_passed():
    """Guards against a log line for each refusal of a crowd."""
    clock = ManualClock()
    decisions = DecisionLog(clock)
    log = RefusalLog(clock, decisions)
    for _ in range(1_000):
        log.record("request memory")
        log.record("connections")
    clock.sleep_ms(10_001)
    log.record("connections")
    lines = [(entry["cause"], entry["count"]) for entry in decisions.entries]
    assert lines == [("request memory", 1), ("connections", 1), ("connections", 1_000)]
