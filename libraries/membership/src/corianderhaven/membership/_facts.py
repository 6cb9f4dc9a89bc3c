"""Facts about endpoints, kept per reporting daemon with the time of observation."""

import enum
import hashlib
import threading
from dataclasses import dataclass, replace

import msgspec

from ._messages import FactEntry, FactKind, FactSet, Load, LoadEntry, MemberReport

PROBED_MAX_AGE_MS = 2_500.0
RECEIVED_MAX_AGE_MS = 6_000.0
REMOVE_AFTER_MS = 60_000.0
MAX_LOAD_ENTRIES = 6


class VersionCheck(enum.Enum):
    """Whether all changes of a reporter's facts have been received."""

    CURRENT = "current"
    BEHIND = "behind"


@dataclass
class Fact:
    """What an endpoint reported to one daemon, with the time of observation.

    Attributes
    ----------
    report : MemberReport or None
        None if the endpoint is lost, for example because it refused a connection.
    observed_ms : float
        Local monotonic time of the observation.
    state : str
        Hash of the report without its load.
    silent : bool
        Whether the reporter no longer gets a response; the fact is then not refreshed.
    own : bool
        Whether this daemon probed it.
    load_ms : float
        Local monotonic time at which the reported load was measured.
    """

    report: MemberReport | None
    observed_ms: float
    state: str
    silent: bool = False
    own: bool = False
    load_ms: float = 0.0


@dataclass
class Reporter:
    """Instance and fact version last received from another daemon."""

    instance: str
    version: int


def state_hash(report):
    """Return a short hash of a report without its load."""
    if report is None:
        return "lost"
    without_load = msgspec.structs.replace(report, load=Load())
    payload = msgspec.json.encode(without_load)
    return hashlib.blake2b(payload, digest_size=6).hexdigest()


class FactTable:
    """Facts about endpoints from this daemon's own probes and from peers.

    A peer sends each state change immediately, with a version that counts its changes. Between
    changes it confirms all its facts together by sending its version and the age of its oldest
    fact. A receiver that missed a change sees a higher version and requests all facts.

    Parameters
    ----------
    clock : Clock
    own_name : str
        Name of this daemon.
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
        """Record the result of an own probe; `report` is None if the endpoint is lost.

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
                self._record_change(vm)
            return changed

    def mark_silent(self):
        """Mark own facts that are too old as silent; return the newly marked VMs."""
        limit = self.clock.now_ms() - PROBED_MAX_AGE_MS
        marked = []
        with self.lock:
            for vm, by_reporter in self.facts.items():
                fact = by_reporter.get(self.own_name)
                if fact is not None and not fact.silent and fact.observed_ms < limit:
                    fact.silent = True
                    marked.append(vm)
                    self._record_change(vm)
        return marked

    def withdraw(self, vm):
        """Withdraw the own fact about an endpoint that this daemon no longer probes."""
        with self.lock:
            if self.facts.get(vm, {}).pop(self.own_name, None) is not None:
                self._record_change(vm)

    def pop_changes(self):
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
            own = [
                by_reporter[self.own_name]
                for by_reporter in self.facts.values()
                if self.own_name in by_reporter
            ]
        return max((now - fact.observed_ms for fact in own if not fact.silent), default=0.0)

    def receive(self, name, instance, fact_set):
        """Apply a peer's `FactSet`; return a `VersionCheck`."""
        with self.lock:
            known = self.reporters.get(name)
            is_complete = fact_set.since == 0
            follows = (
                known is not None and known.instance == instance and known.version == fact_set.since
            )
            if not is_complete and not follows:
                return VersionCheck.BEHIND
            if is_complete:
                self._drop_reporter(name)
            self.reporters[name] = Reporter(instance, fact_set.version)
            for entry in fact_set.entries:
                self._receive_entry(name, entry)
            return VersionCheck.CURRENT

    def confirm(self, name, instance, version, age_ms):
        """Refresh a peer's facts if no change was missed; return a `VersionCheck`.

        Parameters
        ----------
        name, instance : str
            The peer; `instance` may be a suffix of its instance id.
        version : int
            Number of changes that the peer has made to its facts.
        age_ms : float
            Age of the peer's oldest fact.
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
        """Return the most recent loads of members that serve requests, for a digest."""
        now = self.clock.now_ms()
        loaded = [
            (fact.load_ms, vm, fact.report.load)
            for vm, fact in self.fresh_facts().items()
            if fact.report.load.running and fact.report.assignment is not None
        ]
        loaded.sort(key=lambda item: item[0], reverse=True)
        return [
            LoadEntry(vm, int(now - measured_ms), load.running, load.queued, int(load.step_ms))
            for measured_ms, vm, load in loaded[:MAX_LOAD_ENTRIES]
        ]

    def receive_load(self, entry):
        """Apply a `LoadEntry` to the facts that peers reported of a VM."""
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
        """Return the most recent fact about `vm` regardless of its age, or None."""
        by_reporter = self.facts.get(vm)
        if not by_reporter:
            return None
        return max(list(by_reporter.values()), key=lambda fact: fact.observed_ms)

    def is_fresh(self, fact):
        """Return whether a fact is recent enough to act on."""
        max_age_ms = PROBED_MAX_AGE_MS if fact.own else RECEIVED_MAX_AGE_MS
        return not fact.silent and self.clock.now_ms() - fact.observed_ms <= max_age_ms

    def fresh_report(self, vm):
        """Return the report of `vm` if its fact is fresh and the endpoint is not lost."""
        fact = self.get(vm)
        return fact.report if fact is not None and self.is_fresh(fact) else None

    def fresh_facts(self):
        """Return a dict of VM id to `Fact` for all fresh facts that are not losses."""
        with self.lock:
            latest = {vm: self.get(vm) for vm in self.facts}
            return {
                vm: replace(fact)
                for vm, fact in latest.items()
                if fact is not None and fact.report is not None and self.is_fresh(fact)
            }

    def age_ms(self, vm):
        """Return the age of the most recent fact about `vm`, or None."""
        fact = self.get(vm)
        return None if fact is None else self.clock.now_ms() - fact.observed_ms

    def remove_absent(self, vms):
        """Remove facts about endpoints that are neither listed nor recently observed."""
        limit = self.clock.now_ms() - REMOVE_AFTER_MS
        with self.lock:
            for vm in [v for v in self.facts if v not in vms]:
                fact = self.get(vm)
                if fact is None or fact.observed_ms < limit:
                    del self.facts[vm]

    def _record_change(self, vm):
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
