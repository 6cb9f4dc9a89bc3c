"""Tests of the spread of crash evidence through the hubs of several zones."""

import pytest

from corianderhaven.common import ManualClock
from corianderhaven.fleet import Digest, PeerTable
from corianderhaven.gateway import CrashLedger, Verdict
from corianderhaven.gateway._crash_evidence import MOMENT_MS, PROOF_ENDS

CONTACT_MS = 3_000.0  # within which all daemons in contact must know
EXCHANGE_INTERVAL_MS = 200.0  # the longest
ZONES = {"a": 1, "b": 6, "c": 3}


class Fleet:
    """Daemons of several zones, each with a ledger, that exchange digests in rounds."""

    def __init__(self):
        self.clock = ManualClock()
        records = [
            (f"{zone}-{n}", f"10.0.{z}.{n}:1", zone)
            for z, (zone, size) in enumerate(ZONES.items())
            for n in range(size)
        ]
        self.ledgers = {name: CrashLedger(self.clock) for name, _, _ in records}
        self.tables = {}
        self.lost = set()
        for name, address, zone in records:
            table = self.tables[name] = PeerTable(name, self.clock, zone)
            ledger = self.ledgers[name]
            table.make_digest = lambda name=name, address=address, zone=zone, ledger=ledger: Digest(
                name, address, zone=zone, parts=ledger.digest()
            )
            table.on_parts = ledger.merge
            table.set_listed_daemons(records)

    def advance(self, duration_ms):
        for _ in range(int(duration_ms / EXCHANGE_INTERVAL_MS)):
            self.clock.advance_ms(EXCHANGE_INTERVAL_MS)
            for name, table in self.tables.items():
                for peer in table.targets() if name not in self.lost else ():
                    self.exchange(table, peer)

    def exchange(self, table, peer):
        if peer.name in self.lost:
            table.mark_unreachable(peer)
            return
        other = self.tables[peer.name]
        sender = other.receive(table.message_to(peer))
        table.receive(other.response_to(sender))

    def verdicts(self):
        alive = (ledger for name, ledger in self.ledgers.items() if name not in self.lost)
        return {ledger.assess(("bad",)).verdict for ledger in alive}


@pytest.mark.parametrize("lost", [(), ("b-0",), ("b-0", "c-0")])
def test_ends_seen_by_different_daemons_are_a_proof_everywhere_within_contact(lost):
    fleet = Fleet()
    fleet.advance(CONTACT_MS)
    fleet.lost = set(lost)
    for number, name in enumerate(["a-0", "b-5", "c-2", "b-4", "c-1"][:PROOF_ENDS]):
        fleet.ledgers[name].record_end(f"e{number}@1", ("bad",), fleet.clock.now_ms())
        fleet.advance(MOMENT_MS + EXCHANGE_INTERVAL_MS)
    fleet.advance(CONTACT_MS - MOMENT_MS - EXCHANGE_INTERVAL_MS)
    assert fleet.verdicts() == {Verdict.PROVEN}


def test_clearing_reaches_all_zones():
    fleet = Fleet()
    fleet.advance(CONTACT_MS)
    for number in range(PROOF_ENDS):
        fleet.ledgers["b-5"].record_end(f"e{number}@1", ("bad",), fleet.clock.now_ms())
        fleet.advance(MOMENT_MS + EXCHANGE_INTERVAL_MS)
    fleet.advance(CONTACT_MS)
    fleet.ledgers["c-2"].clear("bad")
    fleet.advance(CONTACT_MS)
    assert fleet.verdicts() == {Verdict.CLEAR}
