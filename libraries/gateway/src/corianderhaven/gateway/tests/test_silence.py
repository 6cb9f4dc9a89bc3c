"""Which heads are taken for silent."""

from msgspec.json import encode

from corianderhaven.common import ManualClock
from corianderhaven.fleet import Digest, HeadDigest, PeerMessage, PeerTable
from corianderhaven.gateway import ActiveStream, SilenceWatch


def watch_with(*streams):
    clock = ManualClock()
    peers = PeerTable("own", clock)
    watch = SilenceWatch(clock, peers)
    made = [ActiveStream(head, clock.now_ms(), 100.0, 60.0, True, lambda: None) for head in streams]
    for stream in made:
        watch.begin(stream)
    return clock, peers, watch, made


def advance(clock, watch, ms, ticking=()):
    """Let time pass in checks of 20 ms; returns the heads that were silent at any of them."""
    silent = set()
    for _ in range(int(ms / 20)):
        clock.advance_ms(20.0)
        for stream in ticking:
            watch.sign(stream)
        silent |= set(watch.silent_heads())
    return silent


def test_ticking_head_is_sound_however_long_one_stream_rests():
    clock, _, watch, (one, other) = watch_with("h", "h")
    watch.sign(other)
    assert advance(clock, watch, 2_000, ticking=[one]) == set()


def test_head_whose_streams_all_rest_for_longer_than_the_longest_pass_is_silent():
    """Replays quiet-1: a pass that reads 5,000 tokens held streams up for 200 ms.

    Taken for dead members after two passes without reading, sound heads got no requests
    for seconds, and their streams moved.
    """
    clock, _, watch, streams = watch_with("h", "h")
    advance(clock, watch, 100, ticking=streams)
    assert advance(clock, watch, 60) == set()
    assert advance(clock, watch, 80) == {"h"}


def test_waiting_request_gets_the_time_that_its_first_event_should_take():
    clock, _, watch, _ = watch_with("h")
    assert advance(clock, watch, 300) == set()
    assert advance(clock, watch, 100) == {"h"}


def test_sign_of_life_at_another_daemon_counts():
    clock, peers, watch, _ = watch_with("h")
    for _ in range(10):
        digest = Digest("other", "127.0.0.1:1", {"h": HeadDigest(4, 10.0)})
        peers.receive(encode(PeerMessage(digest)))
        assert advance(clock, watch, 80) == set()
    assert advance(clock, watch, 600) == {"h"}


def test_own_standstill_accuses_nobody():
    """A frozen or throttled daemon sees all streams rest at once; they have not."""
    clock, _, watch, streams = watch_with("h", "g")
    advance(clock, watch, 100, ticking=streams)
    clock.advance_ms(3_000.0)
    assert watch.silent_heads() == []
    clock.advance_ms(20.0)
    assert watch.silent_heads() == []


def test_ended_streams_are_forgotten():
    clock, _, watch, (stream,) = watch_with("h")
    watch.end(stream)
    assert advance(clock, watch, 2_000) == set()
    assert watch.heads == {}


def test_slow_daemon_accuses_nobody_and_finds_silence_once_it_is_fast_again():
    """On a machine five times slower each check comes late, and so do the events it reads."""
    clock, _, watch, streams = watch_with("h", "g")
    for _ in range(10):
        clock.advance_ms(100.0)
        assert watch.silent_heads() == []
    silent = advance(clock, watch, 600, ticking=streams[1:])
    assert silent == {"h"}
