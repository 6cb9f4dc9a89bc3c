"""Tests of failure detection, ranks, zone adoption and facts."""

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


def make_info(name, zone="plateau", instance="1", started_ms=1, draining=False):
    return PeerInfo(name, zone, f"{name}-{instance}", "127.0.0.1:1", started_ms, draining)


def make_table(*names):
    clock = ManualClock()
    peers = PeerTable(clock, make_info("own"))
    for name in names:
        peers.update_info(make_info(name))
    return clock, peers


def state(peers, name):
    return peers.state(peers.records[name])


def test_peer_is_suspected_before_it_is_dead():
    clock, peers = make_table("a", "b")
    clock.advance_ms(4000)
    peers.record_heard(HeardPeer("b", "b-1", 0))
    assert (state(peers, "a"), state(peers, "b")) == (PeerState.SUSPECTED, PeerState.LIVE)
    clock.advance_ms(2500)
    assert state(peers, "a") is PeerState.DEAD
    peers.record_heard(HeardPeer("a", "a-1", 0))
    assert state(peers, "a") is PeerState.LIVE


def test_isolated_daemon_declares_no_peer_dead():
    clock, peers = make_table("a", "b")
    clock.advance_ms(60_000)
    assert peers.isolated()
    assert state(peers, "a") is PeerState.SUSPECTED
    peers.platform_reachable = lambda: True
    assert state(peers, "a") is PeerState.DEAD


def test_repeated_refused_connections_mean_dead_peer():
    _, peers = make_table("a", "b")
    peers.record_refusal("a")
    assert state(peers, "a") is PeerState.LIVE
    peers.record_refusal("a")
    assert state(peers, "a") is PeerState.DEAD


def test_earlier_instance_never_replaces_a_later_one():
    _, peers = make_table("a")
    peers.update_info(make_info("a", instance="2", started_ms=5))
    peers.update_info(make_info("a", instance="1", started_ms=1))
    assert peers.records["a"].info.instance == "a-2"


def test_draining_peer_is_no_job_candidate():
    _, peers = make_table("a", "b")
    peers.update_info(make_info("a", draining=True))
    assert peers.job_candidates("plateau") == ["b", "own"]


def test_daemons_with_equal_peers_agree_on_ranks():
    _, first = make_table("a", "b", "c")
    second = PeerTable(ManualClock(), make_info("a"))
    for name in ("own", "b", "c"):
        second.update_info(make_info(name))
    jobs = [f"job{n}" for n in range(50)]
    ranked_pairs = [(first.is_ranked(job, 1), second.is_ranked(job, 1)) for job in jobs]
    assert (True, True) not in ranked_pairs
    assert {True, False} == {own for own, _ in ranked_pairs}


def make_adoption(*zones):
    clock = ManualClock()
    peers = PeerTable(clock, make_info("own", "pikine"))
    decisions = DecisionLog(clock)
    holder = ConfigHolder(decisions)
    document = parse_document((EXAMPLES / "ndiaye.json").read_bytes())
    holder.adopt(ConfigRecord(revision=1, change_id="c", operator="o", document=document), "test")
    adoption = ZoneAdoption(clock, peers, holder, decisions)
    for zone in zones:
        peers.update_info(make_info(f"peer-{zone}", zone))
    return clock, peers, adoption


def test_zone_without_daemons_is_adopted_by_the_nearest_and_handed_back():
    clock, peers, adoption = make_adoption("plateau", "rufisque")
    for _ in range(10):
        clock.advance_ms(1000)
        peers.record_heard(HeardPeer("peer-rufisque", "peer-rufisque-1", 0))
        adoption.update()
    assert adoption.served_zones() == {"pikine", "plateau"}
    peers.record_heard(HeardPeer("peer-plateau", "peer-plateau-1", 0))
    adoption.update()
    assert adoption.served_zones() == {"pikine"}


def test_zone_with_a_recent_summary_is_not_adopted():
    clock, peers, adoption = make_adoption("rufisque")
    for _ in range(12):
        clock.advance_ms(1000)
        peers.record_heard(HeardPeer("peer-rufisque", "peer-rufisque-1", 0))
        adoption.update_summary(ZoneSummary("plateau", 500, []))
        adoption.update()
    assert adoption.served_zones() == {"pikine"}


def test_isolated_daemon_adopts_nothing():
    clock, _, adoption = make_adoption("plateau", "rufisque")
    clock.advance_ms(60_000)
    adoption.update()
    assert adoption.served_zones() == {"pikine"}


def make_report(status=MemberStatus.FREE, running=0, instance="i1"):
    return MemberReport("v", instance, status, load=Load(running))


def test_latest_fact_wins_regardless_of_arrival_order():
    facts = FactTable(ManualClock())
    facts.observe("v", make_report(MemberStatus.SERVING), age_ms=100)
    assert not facts.observe("v", make_report(), age_ms=900)
    assert facts.get("v").report.status == "serving"
    assert facts.observe("v", None)
    assert facts.fresh_report("v") is None


def test_old_fact_is_not_fresh():
    clock = ManualClock()
    facts = FactTable(clock)
    facts.observe("v", make_report())
    clock.advance_ms(2400)
    assert facts.fresh_report("v") is not None
    clock.advance_ms(200)
    assert facts.fresh_report("v") is None


def two_tables():
    """Return a clock, a prober's fact table and that of a peer which received its facts."""
    clock = ManualClock()
    prober, other = FactTable(clock, "a"), FactTable(clock, "b")
    prober.observe("v", make_report())
    assert other.receive("a", "a-1", prober.pop_changes()) is VersionCheck.CURRENT
    return clock, prober, other


def test_confirming_refreshes_a_peers_facts():
    clock, prober, other = two_tables()
    clock.advance_ms(5000)
    prober.observe("v", make_report())
    assert other.confirm("a", "a-1", prober.own_version, 900) is VersionCheck.CURRENT
    assert other.age_ms("v") == 900
    clock.advance_ms(7000)
    assert other.fresh_report("v") is None


def test_missed_change_prevents_refreshing_the_old_state():
    clock, prober, other = two_tables()
    clock.advance_ms(7000)
    prober.observe("v", make_report(MemberStatus.SERVING))
    missed = prober.pop_changes()
    assert other.confirm("a", "a-1", prober.own_version, 0) is VersionCheck.BEHIND
    assert other.fresh_report("v") is None
    assert other.receive("a", "a-1", prober.own_facts()) is VersionCheck.CURRENT
    assert other.fresh_report("v").status == "serving"
    assert other.receive("a", "a-1", missed) is VersionCheck.BEHIND


def test_out_of_order_changes_require_all_facts():
    _, prober, other = two_tables()
    prober.observe("v", None, age_ms=-1)
    first = prober.pop_changes()
    prober.observe("v", make_report(instance="i2"), age_ms=-2)
    second = prober.pop_changes()
    assert other.receive("a", "a-1", second) is VersionCheck.BEHIND
    assert other.receive("a", "a-1", first) is VersionCheck.CURRENT
    assert other.get("v").report is None


def test_silent_fact_is_not_refreshed():
    clock, prober, other = two_tables()
    clock.advance_ms(3000)
    assert prober.mark_silent() == ["v"]
    other.receive("a", "a-1", prober.pop_changes())
    other.confirm("a", "a-1", prober.own_version, 0)
    assert other.fresh_report("v") is None
    assert other.age_ms("v") == 3000
    prober.observe("v", make_report())
    other.receive("a", "a-1", prober.pop_changes())
    assert other.fresh_report("v") is not None


def test_new_reporter_instance_requires_all_facts():
    _, prober, other = two_tables()
    assert other.confirm("a", "a-2", 1, 0) is VersionCheck.BEHIND


def test_withdrawn_fact_keeps_facts_of_other_probers():
    _, prober, other = two_tables()
    other.observe("v", make_report(MemberStatus.SERVING))
    prober.withdraw("v")
    other.receive("a", "a-1", prober.pop_changes())
    assert set(other.facts["v"]) == {"b"}


def test_digest_round_trips_through_json():
    digest = Digest(make_info("a"), 3, peers=[make_info("b")], in_flight={"r": 2})
    assert msgspec.json.decode(msgspec.json.encode(digest), type=Digest) == digest
    assert json.loads(msgspec.json.encode(digest))["revision"] == 3
