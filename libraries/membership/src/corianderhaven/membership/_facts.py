"""Facts about endpoints, each with its age and the daemon that vouches for it."""

import enum
import hashlib
import threading
from dataclasses import dataclass, replace

import msgspec

from ._messages import FactEntry, FactKind, FactSet, Load, LoadEntry, MemberReport

PROBED_BOUND_MS = 2_500.0
VOUCHED_BOUND_MS = 6_000.0
FORGET_AFTER_MS = 60_000.0
MAX_LOAD_ENTRIES = 6


class VersionCheck(enum.Enum):
    """Whether a reporter's facts are all known here."""

    CURRENT = "current"
    BEHIND = "behind"


@dataclass
class Fact:
    """What an endpoint reported to one daemon, and when.

    Attributes
    ----------
    report : MemberReport or None
        None when the endpoint refused a connection: it is lost.
    observed_ms : float
        Local monotonic time of the observation.
    state : str
        Hash of all but the load.
    silent : bool
        The reporter gets no answer any more; the fact only grows older.
    own : bool
        Whether this daemon probed it.
    load_ms : float
        Local monotonic time at which the reported load was true.
    """

    report: MemberReport | None
    observed_ms: float
    state: str
    silent: bool = False
    own: bool = False
    load_ms: float = 0.0


@dataclass
class Reporter:
    """What is known of another daemon's facts."""

    instance: str
    version: int


def state_hash(report):
    """Return a short hash of a report without its load."""
    if report is None:
        return "lost"
    stateful = msgspec.structs.replace(report, load=Load())
    payload = msgspec.json.encode(stateful)
    return hashlib.blake2b(payload, digest_size=6).hexdigest()


class FactTable:
    """The youngest fact per endpoint, from own probes and from peers.

    A peer sends each change of a state at once, with a version that counts its changes.
    Between changes it vouches for all its facts together, by its version and the age of its
    oldest one; who has missed a change knows by the version and asks for the whole set.

    Parameters
    ----------
    clock : Clock
    own_name : str
        This daemon.
    """

    def __init__(self, clock, own_name="own"):
        self.clock = clock
        self.own_name = own_name
        self.facts = {}
        self.reporters = {}
        self.changed_vms = set()
        self.own_version = 0
        self.pushed_version = 0
        self.lock = threading.RLock()

    def observe(self, vm, report, age_ms=0.0):
        """Take in an own probe's report, or a loss when `report` is None.

        Returns
        -------
        bool
            Whether the state of the endpoint changed.
        """
        observed = self.clock.now_ms() - age_ms
        state = state_hash(report)
        with self.lock:
            known = self.facts.setdefault(vm, {}).get(self.own_name)
            if known is not None and known.observed_ms >= observed:
                return False
            load_ms = observed - (report.load.age_ms if report else 0.0)
            self.facts[vm][self.own_name] = Fact(report, observed, state, False, True, load_ms)
            changed = known is None or known.state != state or known.silent
            if changed:
                self._count_change(vm)
            return changed

    def note_silence(self):
        """Mark own facts that are too old as silent; returns the VMs newly marked."""
        limit = self.clock.now_ms() - PROBED_BOUND_MS
        marked = []
        with self.lock:
            for vm, by_reporter in self.facts.items():
                fact = by_reporter.get(self.own_name)
                if fact is not None and not fact.silent and fact.observed_ms < limit:
                    fact.silent = True
                    marked.append(vm)
                    self._count_change(vm)
        return marked

    def stop_observing(self, vm):
        """Withdraw the own fact of an endpoint that is no longer probed here."""
        with self.lock:
            if self.facts.get(vm, {}).pop(self.own_name, None) is not None:
                self._count_change(vm)

    def take_changes(self):
        """Return a `FactSet` of the changes since the last call, or None."""
        with self.lock:
            if not self.changed_vms:
                return None
            entries = [self._own_entry(vm) for vm in sorted(self.changed_vms)]
            changes = FactSet(self.pushed_version, self.own_version, entries)
            self.changed_vms = set()
            self.pushed_version = self.own_version
            return changes

    def own_facts(self):
        """Return a `FactSet` of all own facts."""
        with self.lock:
            own = [vm for vm, by_reporter in self.facts.items() if self.own_name in by_reporter]
            return FactSet(0, self.own_version, [self._own_entry(vm) for vm in own])

    def worst_age_ms(self):
        """Return the age of the oldest own fact that is not silent."""
        now = self.clock.now_ms()
        with self.lock:
            own = [by[self.own_name] for by in self.facts.values() if self.own_name in by]
        return max((now - fact.observed_ms for fact in own if not fact.silent), default=0.0)

    def receive(self, name, instance, fact_set):
        """Take in a peer's `FactSet`; returns a `VersionCheck`."""
        with self.lock:
            known = self.reporters.get(name)
            whole = fact_set.since == 0
            follows = (
                known is not None and known.instance == instance and known.version == fact_set.since
            )
            if not whole and not follows:
                return VersionCheck.BEHIND
            if whole:
                self._drop_reporter(name)
            self.reporters[name] = Reporter(instance, fact_set.version)
            for entry in fact_set.entries:
                self._receive_entry(name, entry)
            return VersionCheck.CURRENT

    def vouch(self, name, instance, version, age_ms):
        """Make a peer's facts younger, if all its changes are known; returns a `VersionCheck`.

        Parameters
        ----------
        name, instance : str
            The peer; `instance` may be the end of the whole one.
        version : int
            The peer's count of changes.
        age_ms : float
            Age of its oldest fact.
        """
        with self.lock:
            known = self.reporters.get(name)
            if known is None or not known.instance.endswith(instance):
                return VersionCheck.BEHIND
            if known.version != version:
                return VersionCheck.BEHIND if version > known.version else VersionCheck.CURRENT
            observed = self.clock.now_ms() - age_ms
            for by_reporter in self.facts.values():
                fact = by_reporter.get(name)
                if fact is not None and not fact.silent and fact.observed_ms < observed:
                    fact.observed_ms = observed
            return VersionCheck.CURRENT

    def load_entries(self):
        """Return the youngest loads of members that answer requests, for a digest."""
        now = self.clock.now_ms()
        loaded = [
            (fact.load_ms, vm, fact.report.load)
            for vm, fact in self.fresh_facts().items()
            if fact.report.load.running and fact.report.assignment is not None
        ]
        loaded.sort(key=lambda item: item[0], reverse=True)
        return [
            LoadEntry(vm, int(now - at), load.running, load.queued, int(load.step_ms))
            for at, vm, load in loaded[:MAX_LOAD_ENTRIES]
        ]

    def receive_load(self, entry):
        """Take in a `LoadEntry` for a VM that this daemon doesn't probe itself."""
        with self.lock:
            for name, fact in self.facts.get(entry.vm, {}).items():
                if name == self.own_name or fact.report is None:
                    continue
                load_ms = self.clock.now_ms() - entry.age_ms
                if load_ms > fact.load_ms:
                    load = Load(entry.running, entry.queued, float(entry.step_ms))
                    fact.report = msgspec.structs.replace(fact.report, load=load)
                    fact.load_ms = load_ms

    def get(self, vm):
        """Return the youngest fact of `vm` of any age, or None."""
        by_reporter = self.facts.get(vm)
        if not by_reporter:
            return None
        return max(list(by_reporter.values()), key=lambda fact: fact.observed_ms)

    def is_fresh(self, fact):
        """Return whether a fact is young enough to act on."""
        bound = PROBED_BOUND_MS if fact.own else VOUCHED_BOUND_MS
        return not fact.silent and self.clock.now_ms() - fact.observed_ms <= bound

    def fresh_report(self, vm):
        """Return the report of `vm` if it is fresh and the endpoint is not lost."""
        fact = self.get(vm)
        return fact.report if fact is not None and self.is_fresh(fact) else None

    def fresh_facts(self):
        """Return a dict of VM id to `Fact` for all fresh facts that are not losses."""
        with self.lock:
            youngest = {vm: self.get(vm) for vm in self.facts}
            return {
                vm: replace(fact)
                for vm, fact in youngest.items()
                if fact is not None and fact.report is not None and self.is_fresh(fact)
            }

    def age_ms(self, vm):
        """Return the age of the youngest fact of `vm`, or None."""
        fact = self.get(vm)
        return None if fact is None else self.clock.now_ms() - fact.observed_ms

    def forget_absent(self, vms):
        """Drop facts of endpoints that are neither listed nor recently observed."""
        limit = self.clock.now_ms() - FORGET_AFTER_MS
        with self.lock:
            for vm in [v for v in self.facts if v not in vms]:
                fact = self.get(vm)
                if fact is None or fact.observed_ms < limit:
                    del self.facts[vm]

    def _count_change(self, vm):
        self.own_version += 1
        self.changed_vms.add(vm)

    def _own_entry(self, vm):
        fact = self.facts.get(vm, {}).get(self.own_name)
        if fact is None:
            return FactEntry(vm, 0, FactKind.WITHDRAWN, None)
        age = int(self.clock.now_ms() - fact.observed_ms)
        if fact.silent:
            return FactEntry(vm, age, FactKind.SILENT, fact.report)
        kind = FactKind.LOST if fact.report is None else FactKind.REPORT
        return FactEntry(vm, age, kind, fact.report)

    def _receive_entry(self, name, entry):
        if entry.kind is FactKind.WITHDRAWN:
            self.facts.get(entry.vm, {}).pop(name, None)
            return
        observed = self.clock.now_ms() - entry.age_ms
        silent = entry.kind is FactKind.SILENT
        load_ms = observed - (entry.report.load.age_ms if entry.report else 0.0)
        state = state_hash(entry.report)
        fact = Fact(entry.report, observed, state, silent, False, load_ms)
        self.facts.setdefault(entry.vm, {})[name] = fact

    def _drop_reporter(self, name):
        for by_reporter in self.facts.values():
            by_reporter.pop(name, None)


def decode_report(payload):
    """Decode the body of ``GET /state``; raises `msgspec.DecodeError`."""
    return msgspec.json.decode(payload, type=MemberReport)
