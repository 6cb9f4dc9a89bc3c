"""Facts about endpoints, each with its age."""

import hashlib
import threading
from dataclasses import dataclass

import msgspec

from ._messages import FactAge, FactEntry, Load, MemberReport

FRESH_BOUND_MS = 2_500.0
FORGET_AFTER_MS = 60_000.0


@dataclass
class Fact:
    """What an endpoint reported, and when.

    Attributes
    ----------
    report : MemberReport or None
        None when the endpoint refused a connection: it is lost.
    observed_ms : float
        Local monotonic time of the observation.
    state : str
        Hash of all but the load.
    """

    report: MemberReport | None
    observed_ms: float
    state: str


def state_hash(report):
    """Return a short hash of a report without its load."""
    if report is None:
        return "lost"
    stateful = msgspec.structs.replace(report, load=Load())
    payload = msgspec.json.encode(stateful)
    return hashlib.blake2b(payload, digest_size=6).hexdigest()


class FactBoard:
    """The youngest fact per endpoint.

    Parameters
    ----------
    clock : Clock
    fresh_bound_ms : float
        An older fact counts as unknown.
    """

    def __init__(self, clock, fresh_bound_ms=FRESH_BOUND_MS):
        self.clock = clock
        self.fresh_bound_ms = fresh_bound_ms
        self.facts = {}
        self.lock = threading.Lock()
        self.version = 0

    def observe(self, vm, report, age_ms=0.0):
        """Take in a report, or a loss when `report` is None; younger observations win.

        Returns
        -------
        bool
            Whether the state of the endpoint changed.
        """
        observed = self.clock.now_ms() - age_ms
        state = state_hash(report)
        with self.lock:
            known = self.facts.get(vm)
            if known is not None and known.observed_ms >= observed:
                return False
            self.facts[vm] = Fact(report, observed, state)
            changed = known is None or known.state != state
            self.version += changed
            return changed

    def refresh(self, age):
        """Make a fact younger whose state the sender has seen again; `age` is a `FactAge`."""
        observed = self.clock.now_ms() - age.age_ms
        with self.lock:
            known = self.facts.get(age.vm)
            if known is None or known.state != age.state or known.observed_ms >= observed:
                return
            load = Load(age.running, age.queued, float(age.step_ms), 0.0)
            report = known.report and msgspec.structs.replace(known.report, load=load)
            self.facts[age.vm] = Fact(report, observed, age.state)

    def get(self, vm):
        """Return the fact of `vm` of any age, or None."""
        return self.facts.get(vm)

    def fresh_report(self, vm):
        """Return the report of `vm` if it is fresh and the endpoint is not lost."""
        fact = self.facts.get(vm)
        if fact is None or self.clock.now_ms() - fact.observed_ms > self.fresh_bound_ms:
            return None
        return fact.report

    def fresh_facts(self):
        """Return a dict of VM id to `Fact` for all fresh facts that are not losses."""
        limit = self.clock.now_ms() - self.fresh_bound_ms
        with self.lock:
            return {
                vm: fact
                for vm, fact in self.facts.items()
                if fact.report is not None and fact.observed_ms >= limit
            }

    def age_ms(self, vm):
        """Return the age of the fact of `vm`, or None."""
        fact = self.facts.get(vm)
        return None if fact is None else self.clock.now_ms() - fact.observed_ms

    def forget_absent(self, vms):
        """Drop facts of endpoints that are neither listed nor recently observed."""
        limit = self.clock.now_ms() - FORGET_AFTER_MS
        with self.lock:
            for vm in [v for v, fact in self.facts.items() if v not in vms]:
                if self.facts[vm].observed_ms < limit:
                    del self.facts[vm]

    def digest_for(self, known_states):
        """Return the fresh facts for a peer that already has `known_states`.

        Parameters
        ----------
        known_states : dict of str to str
            State hash by VM as last sent to that peer; updated in place.

        Returns
        -------
        tuple of (list of FactEntry, list of FactAge)
        """
        now = self.clock.now_ms()
        entries, ages = [], []
        with self.lock:
            items = list(self.facts.items())
        for vm, fact in items:
            age = now - fact.observed_ms
            if age > self.fresh_bound_ms:
                continue
            if known_states.get(vm) != fact.state:
                known_states[vm] = fact.state
                entries.append(FactEntry(vm, int(age), fact.report))
            elif fact.report is not None:
                load = fact.report.load
                ages.append(
                    FactAge(vm, int(age), fact.state, load.running, load.queued, int(load.step_ms))
                )
        return entries, ages


def decode_report(payload):
    """Decode the body of ``GET /state``; raises `msgspec.DecodeError`."""
    return msgspec.json.decode(payload, type=MemberReport)
