"""Tests of suspicion, rank, adoption of zones and facts."""

import json
from pathlib import Path

import msgspec

from corianderhaven.common import DecisionLog, ManualClock
from corianderhaven.config import ConfigRecord, parse_document
from corianderhaven.membership import (
    ConfigHolder,
    Digest,
    FactTable,
    HeardPeer,
    Load,
    MemberReport,
    MemberStatus,
    PeerInfo,
    PeerState,
    PeerTable,
    ZoneAdoption,
    ZoneSummary,
)
from corianderhaven.membership._facts import VersionCheck

EXAMPLES = Path(__file__).parents[6] / "examples"


def info(name, zone="plateau", instance="1", started_ms=1, draining=False):
    return PeerInfo(name, zone, f"{name}-{instance}", "127.0.0.1:1", started_ms, draining)


def table(*names):
    clock = ManualClock()
    peers = PeerTable(clock, info("own"))
    for name in names:
        peers.update_info(info(name))
    return clock, peers


def state(peers, name):
    return peers.state(peers.records[name])


def test_suspicion_before_death():
    clock, peers = table("a", "b")
    clock.advance_ms(4000)
    peers.heard(HeardPeer("b", "b-1", 0))
    assert (state(peers, "a"), state(peers, "b")) == (PeerState.SUSPECTED, PeerState.LIVE)
    clock.advance_ms(2500)
    assert state(peers, "a") is PeerState.DEAD
    peers.heard(HeardPeer("a", "a-1", 0))
    assert state(peers, "a") is PeerState.LIVE


def test_daemon_that_hears_nothing_suspects_itself():
    clock, peers = table("a", "b")
    clock.advance_ms(60_000)
    assert peers.isolated()
    assert state(peers, "a") is PeerState.SUSPECTED
    peers.platform_reachable = lambda: True
    assert state(peers, "a") is PeerState.DEAD


def test_refused_connections_are_death_at_once():
    _, peers = table("a", "b")
    peers.refused("a")
    assert state(peers, "a") is PeerState.LIVE
    peers.refused("a")
    assert state(peers, "a") is PeerState.DEAD


def test_later_instance_replaces_an_earlier_one_and_never_back():
    _, peers = table("a")
    peers.update_info(info("a", instance="2", started_ms=5))
    peers.update_info(info("a", instance="1", started_ms=1))
    assert peers.records["a"].info.instance == "a-2"


def test_draining_peer_takes_no_jobs():
    _, peers = table("a", "b")
    peers.update_info(info("a", draining=True))
    assert peers.workers("plateau") == ["b", "own"]


def test_equal_views_agree_on_ranks():
    _, first = table("a", "b", "c")
    second = PeerTable(ManualClock(), info("a"))
    for name in ("own", "b", "c"):
        second.update_info(info(name))
    jobs = [f"job{n}" for n in range(50)]
    both = [(first.is_ranked(job, 1), second.is_ranked(job, 1)) for job in jobs]
    assert (True, True) not in both
    assert {True, False} == {mine for mine, _ in both}


def adoption_site(*zones):
    clock = ManualClock()
    peers = PeerTable(clock, info("own", "pikine"))
    decisions = DecisionLog(clock)
    holder = ConfigHolder(decisions)
    document = parse_document((EXAMPLES / "ndiaye.json").read_bytes())
    holder.adopt(ConfigRecord(revision=1, change_id="c", operator="o", document=document), "test")
    adoption = ZoneAdoption(clock, peers, holder, decisions)
    for zone in zones:
        peers.update_info(info(f"peer-{zone}", zone))
    return clock, peers, adoption


def test_zone_without_daemons_is_adopted_by_the_nearest_and_handed_back():
    clock, peers, adoption = adoption_site("plateau", "rufisque")
    for _ in range(10):
        clock.advance_ms(1000)
        peers.heard(HeardPeer("peer-rufisque", "peer-rufisque-1", 0))
        adoption.update()
    assert adoption.served_zones() == {"pikine", "plateau"}
    peers.heard(HeardPeer("peer-plateau", "peer-plateau-1", 0))
    adoption.update()
    assert adoption.served_zones() == {"pikine"}


def test_summary_of_a_zone_keeps_it_from_being_adopted():
    clock, peers, adoption = adoption_site("rufisque")
    for _ in range(12):
        clock.advance_ms(1000)
        peers.heard(HeardPeer("peer-rufisque", "peer-rufisque-1", 0))
        adoption.update_summary(ZoneSummary("plateau", 500, []))
        adoption.update()
    assert adoption.served_zones() == {"pikine"}


def test_isolated_daemon_adopts_nothing():
    clock, _, adoption = adoption_site("plateau", "rufisque")
    clock.advance_ms(60_000)
    adoption.update()
    assert adoption.served_zones() == {"pikine"}


def report(status=MemberStatus.FREE, running=0, instance="i1"):
    return MemberReport("v", instance, status, load=Load(running))


def test_younger_fact_wins_whatever_the_order_of_arrival():
    board = FactTable(ManualClock())
    board.observe("v", report(MemberStatus.SERVING), age_ms=100)
    assert not board.observe("v", report(), age_ms=900)
    assert board.get("v").report.status == "serving"
    assert board.observe("v", None)
    assert board.fresh_report("v") is None


def test_old_fact_is_unknown():
    clock = ManualClock()
    board = FactTable(clock)
    board.observe("v", report())
    clock.advance_ms(2400)
    assert board.fresh_report("v") is not None
    clock.advance_ms(200)
    assert board.fresh_report("v") is None


def two_boards():
    """Return a clock, a prober's board and a board that hears of it."""
    clock = ManualClock()
    prober, other = FactTable(clock, "a"), FactTable(clock, "b")
    prober.observe("v", report())
    assert other.receive("a", "a-1", prober.take_changes()) is VersionCheck.CURRENT
    return clock, prober, other


def test_vouching_keeps_a_peers_facts_young():
    clock, prober, other = two_boards()
    clock.advance_ms(5000)
    prober.observe("v", report())
    assert other.vouch("a", "a-1", prober.own_version, 900) is VersionCheck.CURRENT
    assert other.age_ms("v") == 900
    clock.advance_ms(7000)
    assert other.fresh_report("v") is None


def test_who_missed_a_change_does_not_refresh_the_old_state():
    clock, prober, other = two_boards()
    clock.advance_ms(7000)
    prober.observe("v", report(MemberStatus.SERVING))
    missed = prober.take_changes()
    assert other.vouch("a", "a-1", prober.own_version, 0) is VersionCheck.BEHIND
    assert other.fresh_report("v") is None
    assert other.receive("a", "a-1", prober.own_facts()) is VersionCheck.CURRENT
    assert other.fresh_report("v").status == "serving"
    assert other.receive("a", "a-1", missed) is VersionCheck.BEHIND


def test_changes_out_of_order_ask_for_the_whole_set():
    _, prober, other = two_boards()
    prober.observe("v", None, age_ms=-1)
    first = prober.take_changes()
    prober.observe("v", report(instance="i2"), age_ms=-2)
    second = prober.take_changes()
    assert other.receive("a", "a-1", second) is VersionCheck.BEHIND
    assert other.receive("a", "a-1", first) is VersionCheck.CURRENT
    assert other.get("v").report is None


def test_silent_endpoint_is_not_vouched_for():
    clock, prober, other = two_boards()
    clock.advance_ms(3000)
    assert prober.note_silence() == ["v"]
    other.receive("a", "a-1", prober.take_changes())
    other.vouch("a", "a-1", prober.own_version, 0)
    assert other.fresh_report("v") is None
    assert other.age_ms("v") == 3000
    prober.observe("v", report())
    other.receive("a", "a-1", prober.take_changes())
    assert other.fresh_report("v") is not None


def test_new_instance_of_a_reporter_is_asked_for_its_facts():
    _, prober, other = two_boards()
    assert other.vouch("a", "a-2", 1, 0) is VersionCheck.BEHIND


def test_withdrawn_fact_leaves_the_other_probers():
    _, prober, other = two_boards()
    other.observe("v", report(MemberStatus.SERVING))
    prober.stop_observing("v")
    other.receive("a", "a-1", prober.take_changes())
    assert set(other.facts["v"]) == {"b"}


def test_messages_survive_the_wire():
    digest = Digest(info("a"), 3, peers=[info("b")], in_flight={"r": 2})
    assert msgspec.json.decode(msgspec.json.encode(digest), type=Digest) == digest
    assert json.loads(msgspec.json.encode(digest))["revision"] == 3
