"""Tests of the detection of silent heads."""

import asyncio
from types import SimpleNamespace

from msgspec.json import encode

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.fleet import Digest, HeadDigest, PeerMessage, PeerTable
from corianderhaven.gateway import (
    ActiveStream,
    Reachability,
    SilenceDetector,
    StreamFailover,
)


def make_detector(*head_ids):
    clock = ManualClock()
    peers = PeerTable("own", clock)
    detector = SilenceDetector(clock, peers)
    streams = [
        ActiveStream(head_id, clock.now_ms(), 100.0, 60.0, True, lambda: None)
        for head_id in head_ids
    ]
    for stream in streams:
        detector.add(stream)
    return clock, peers, detector, streams


def advance(clock, detector, ms, active=()):
    """Advance in steps of 20 ms with a check in each; returns all heads found silent."""
    silent = set()
    for _ in range(int(ms / 20)):
        clock.advance_ms(20.0)
        for stream in active:
            detector.record_activity(stream)
        silent |= set(detector.silent_heads())
    return silent


def test_head_with_one_active_stream_is_not_silent():
    clock, _, detector, (one, other) = make_detector("h", "h")
    detector.record_activity(other)
    assert advance(clock, detector, 2_000, active=[one]) == set()


def test_head_without_activity_for_longer_than_the_longest_event_interval_is_silent():
    """Prefill of 5,000 tokens delayed the events of all streams of a head by 200 ms.

    With a threshold of two event intervals without prefill, healthy heads were suspected of
    a lost member: they received no requests for seconds, and their streams failed over.
    """
    clock, _, detector, streams = make_detector("h", "h")
    advance(clock, detector, 100, active=streams)
    assert advance(clock, detector, 60) == set()
    assert advance(clock, detector, 80) == {"h"}


def test_new_stream_is_silent_only_after_the_expected_time_of_its_first_event():
    clock, _, detector, _ = make_detector("h")
    assert advance(clock, detector, 300) == set()
    assert advance(clock, detector, 100) == {"h"}


def test_activity_at_another_daemon_counts():
    clock, peers, detector, _ = make_detector("h")
    for _ in range(10):
        digest = Digest("other", "127.0.0.1:1", {"h": HeadDigest(4, 10.0)})
        peers.receive(encode(PeerMessage(digest)))
        assert advance(clock, detector, 80) == set()
    assert advance(clock, detector, 600) == {"h"}


def test_no_head_is_silent_after_a_stall_of_the_daemon():
    """A paused or throttled daemon observes no activity, though the streams were active."""
    clock, _, detector, streams = make_detector("h", "g")
    advance(clock, detector, 100, active=streams)
    clock.advance_ms(3_000.0)
    assert detector.silent_heads() == []
    clock.advance_ms(20.0)
    assert detector.silent_heads() == []


def test_removed_streams_are_not_tracked():
    clock, _, detector, (stream,) = make_detector("h")
    detector.remove(stream)
    assert advance(clock, detector, 2_000) == set()
    assert detector.heads == {}


def test_slow_daemon_reports_no_silent_head_until_its_checks_are_on_time_again():
    """On a machine five times slower, both the checks and the events are late."""
    clock, _, detector, streams = make_detector("h", "g")
    for _ in range(10):
        clock.advance_ms(100.0)
        assert detector.silent_heads() == []
    silent = advance(clock, detector, 600, active=streams[1:])
    assert silent == {"h"}


def test_stream_without_progress_is_stalled_although_its_head_is_active():
    """A stream that sent a byte now and then was relayed until its deadline."""
    clock, _, detector, (moving, stuck) = make_detector("h", "h")
    detector.record_activity(stuck)
    assert advance(clock, detector, 1_300, active=[moving]) == set()
    assert detector.stalled_streams() == []
    advance(clock, detector, 200, active=[moving])
    assert detector.stalled_streams() == [stuck]


def test_caller_that_does_not_read_is_not_taken_for_a_silent_endpoint():
    clock, _, detector, (stream,) = make_detector("h")
    detector.record_activity(stream)
    stream.caller_blocked = True
    assert advance(clock, detector, 3_000) == set()
    assert detector.stalled_streams() == []


def test_slow_but_sound_streams_are_not_cut():
    """Each event takes four times as long as usual, which callers still accept."""
    clock, _, detector, streams = make_detector("h", "h")
    for stream in streams:
        stream.max_event_interval_ms = 270.0  # with a prefill chunk in each step
    silent = set()
    for _ in range(40):
        silent |= advance(clock, detector, 160)
        for stream in streams:
            detector.record_activity(stream)
    assert silent == set()
    assert detector.stalled_streams() == []


def test_silence_of_most_heads_is_common_and_that_of_one_is_not():
    """All replicas were suspected and dissolved as their endpoints stood still for a second."""
    clock, _, detector, streams = make_detector("h", "g", "f")
    advance(clock, detector, 100, active=streams)
    advance(clock, detector, 120, active=streams[:2])
    assert not detector.is_silence_common()
    advance(clock, detector, 120, active=streams[:1])
    assert detector.is_silence_common()


def test_silence_of_two_heads_is_not_common():
    clock, _, detector, streams = make_detector("h", "g")
    advance(clock, detector, 100, active=streams)
    advance(clock, detector, 300)
    assert not detector.is_silence_common()


def make_failover(clock, detector, is_path_sound):
    def head(head_id):
        membership = SimpleNamespace(replica="model.1.1")
        return SimpleNamespace(id=head_id, service="s", membership=membership, zone="a")

    return StreamFailover(
        detector,
        sender=None,
        path_prober=SimpleNamespace(
            reachability=Reachability(clock, None), clock=clock, is_path_sound=is_path_sound
        ),
        replica_view=SimpleNamespace(
            directory=SimpleNamespace(get=head),
            available_heads=lambda service, model: [head("h")],
        ),
        retry_budget=SimpleNamespace(remaining=lambda service: 5.0),
        peers=None,
        decisions=DecisionLog(clock),
    )


def test_common_silence_suspects_no_head_until_it_lasts():
    clock = ManualClock()
    detector = SilenceDetector(clock, PeerTable("d1", clock))
    sought, suspected = [], []
    for head_id in "hgf":
        stream = ActiveStream(
            head_id, clock.now_ms(), 100.0, 40.0, True, lambda i=head_id: sought.append(i)
        )
        detector.add(stream)
        detector.record_activity(stream)

    async def is_path_sound(endpoint, since_ms):
        return True

    failover = make_failover(clock, detector, is_path_sound)
    failover.on_suspect = lambda head, reason: suspected.append(head.id)
    clock.advance_ms(500.0)
    asyncio.run(failover._check_silent_head("h"))
    assert (sought, suspected) == ([], [])
    clock.advance_ms(600.0)
    asyncio.run(failover._check_silent_head("h"))
    assert (sought, suspected) == (["h"], ["h"])


def test_head_that_goes_on_while_its_path_is_checked_keeps_its_streams():
    """A sound endpoint may fall silent for a moment; its streams were moved all the same."""
    clock = ManualClock()
    detector = SilenceDetector(clock, PeerTable("d1", clock))
    interrupted, suspected = [], []
    stream = ActiveStream("h", clock.now_ms(), 100.0, 40.0, True, lambda: interrupted.append("h"))
    detector.add(stream)
    detector.record_activity(stream)

    async def is_path_sound(endpoint, since_ms):
        if resumes:
            detector.record_activity(stream)
        return True

    failover = make_failover(clock, detector, is_path_sound)
    failover.on_suspect = lambda head, reason: suspected.append(head.id)
    clock.advance_ms(500.0)
    assert detector.is_silent("h")
    resumes = True
    asyncio.run(failover._check_silent_head("h"))
    assert (interrupted, suspected) == ([], [])
    clock.advance_ms(500.0)
    resumes = False
    asyncio.run(failover._check_silent_head("h"))
    assert (interrupted, suspected) == (["h"], ["h"])
