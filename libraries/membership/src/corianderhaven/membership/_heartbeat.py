"""Heartbeats that exchange digests between daemons."""

import random
import threading

import msgspec

from corianderhaven.common import PeriodicThread, TransportError

from ._facts import VersionCheck
from ._messages import Digest, FactMessage, HeardPeer, PeerInfo
from ._peers import PeerState

HEARTBEAT_PERIOD_MS = 1_000.0
PEERS_PER_PERIOD = 1
UNKNOWN_PEERS_PER_PERIOD = 2
SUMMARY_EVERY_ROUNDS = 2
MIN_PULL_INTERVAL_MS = 500.0
CROSS_ZONE_SENDERS = 2
HEARTBEAT_PATH = "/peer/heartbeat"
FACTS_PATH = "/peer/facts"


class SentState:
    """Peer information already sent to one instance of a peer."""

    def __init__(self, instance):
        self.instance = instance
        self.peers = {}


class Heartbeater:
    """Exchanges digests with a few random peers each period.

    Parameters
    ----------
    clock : Clock
    peers : PeerTable
    facts : FactTable
    holder : ConfigHolder
    watcher : ConfigWatcher
    directory : VmDirectory
    adoption : ZoneAdoption
    transport : PeerTransport
    seeds : list of str
        Peer addresses from the settings, used to start without the platform.
    """

    def __init__(
        self, clock, peers, facts, holder, watcher, directory, adoption, transport, seeds=()
    ):
        self.clock = clock
        self.peers = peers
        self.facts = facts
        self.holder = holder
        self.watcher = watcher
        self.directory = directory
        self.adoption = adoption
        self.transport = transport
        self.seeds = seeds
        self.sent_states = {}
        self.last_pull_ms = {}
        self.lock = threading.Lock()
        self.random = random.Random()
        self.rounds = 0
        self.synced = threading.Event()
        self.periodic = None
        self.in_flight_source = dict
        self.accounts_source = dict
        self.summary_source = lambda: None

    def start(self):
        """Start the heartbeats."""
        self.periodic = PeriodicThread("heartbeat", self.run_round, HEARTBEAT_PERIOD_MS).start()
        return self

    def close(self):
        """Stop the heartbeats."""
        if self.periodic is not None:
            self.periodic.close()

    def run_round(self):
        """Run one round; exchanges run on separate threads so that a silent peer delays none."""
        self.rounds += 1
        self.peers.remove_expired()
        self.adoption.update()
        threads = [
            threading.Thread(target=self.exchange, args=(address, name), daemon=True)
            for address, name in self._select_targets()
        ]
        for thread in threads:
            thread.start()

    def exchange(self, address, name=None):
        """Send a digest to one peer and process the digest it returns."""
        digest = self.make_digest(name)
        try:
            exchange = self.transport.call(address, "POST", HEARTBEAT_PATH, digest)
            answer = msgspec.json.decode(exchange.body, type=Digest)
        except TransportError as error:
            self._clear_sent_state(name)
            if not error.sent and not error.timed_out and name is not None:
                self.peers.record_refusal(name)
            return
        except msgspec.DecodeError:
            return
        self.receive(answer)

    def handle_digest(self, payload):
        """Process a peer's digest and return this daemon's digest."""
        digest = msgspec.json.decode(payload, type=Digest)
        self.receive(digest)
        return self.make_digest(digest.sender.name)

    def receive(self, digest):
        """Process a digest received from a peer."""
        sender = digest.sender
        if sender.name == self.peers.own.name:
            return
        self.peers.update_info(sender)
        self._record_report(digest)
        for info in digest.peers:
            self.peers.update_info(info)
        own = HeardPeer(sender.name, sender.instance, 0, digest.fact_version, digest.worst_age_ms)
        for heard in [own, *digest.heard]:
            if self.peers.record_heard(heard):
                self._refresh_facts(heard)
        for entry in digest.loads:
            self.facts.receive_load(entry)
        for summary in digest.zones:
            self.adoption.update_summary(summary)
        if digest.revision > self.holder.revision:
            self.watcher.pull(sender.address)
        if digest.vms_stamp > self.directory.stamp and not self._reads_vm_list():
            self.directory.pull(sender.address)
        self.synced.set()

    def make_digest(self, name):
        """Return the digest for the peer `name`, leaving out peers it was already sent."""
        own = self.peers.own
        digest = Digest(sender=own, revision=self.holder.revision, vms_stamp=self.directory.stamp)
        record = self.peers.records.get(name)
        if record is None:
            return digest
        digest.zones = self._summaries(record)
        digest.in_flight = self.in_flight_source()
        digest.accounts = self.accounts_source()
        if record.info.zone == own.zone:
            sent_state = self._sent_state(record)
            digest.heard = self.peers.recently_heard()
            digest.fact_version = self.facts.own_version
            digest.worst_age_ms = int(self.facts.worst_age_ms())
            digest.loads = self.facts.load_entries()
            digest.peers = self._changed_peers(sent_state)
        return digest

    def _summaries(self, record):
        """Return the summaries to send to a peer.

        A peer in another zone gets the summary of this zone; a peer in this zone sometimes gets
        one of another zone.
        """
        if record.info.zone != self.peers.own.zone:
            return [summary for summary in [self.summary_source()] if summary]
        known = self.adoption.summaries()
        due = known and self.rounds % SUMMARY_EVERY_ROUNDS == 0
        return [self.random.choice(known)] if due else []

    def _refresh_facts(self, heard):
        """Refresh the age of a peer's facts, or fetch the facts that are missing."""
        record = self.peers.records.get(heard.name)
        if record is None or record.info.zone != self.peers.own.zone:
            return
        age = heard.age_ms + heard.worst_age_ms
        check = self.facts.confirm(heard.name, heard.instance, heard.fact_version, age)
        if check is VersionCheck.BEHIND and heard.fact_version:
            self.pull_facts(record)

    def pull_facts(self, record):
        """Fetch all facts of a peer, at most once per `MIN_PULL_INTERVAL_MS`."""
        now = self.clock.now_ms()
        with self.lock:
            if now - self.last_pull_ms.get(record.info.name, float("-inf")) < MIN_PULL_INTERVAL_MS:
                return
            self.last_pull_ms[record.info.name] = now
        try:
            exchange = self.transport.call(record.info.address, "GET", FACTS_PATH)
            message = msgspec.json.decode(exchange.body, type=FactMessage)
        except (TransportError, msgspec.DecodeError):
            return
        self.receive_facts(message)

    def receive_facts(self, message):
        """Process a peer's facts; fetch all of them if earlier changes were missed."""
        sender = message.sender
        self.peers.update_info(sender)
        check = self.facts.receive(sender.name, sender.instance, message.facts)
        record = self.peers.records.get(sender.name)
        if check is VersionCheck.BEHIND and record is not None:
            self.pull_facts(record)

    def own_facts(self):
        """Return the `FactMessage` with all of this daemon's own facts."""
        return FactMessage(self.peers.own, self.facts.own_facts())

    def push_facts(self):
        """Send changed facts to all live peers in the zone immediately."""
        changes = self.facts.pop_changes()
        if changes is None:
            return
        message = FactMessage(self.peers.own, changes)
        for record in self.peers.live(self.peers.own.zone):
            threading.Thread(target=self._push_to, args=(record, message), daemon=True).start()

    def _push_to(self, record, message):
        try:
            self.transport.call(record.info.address, "POST", FACTS_PATH, message)
        except TransportError:
            return

    def _record_report(self, digest):
        record = self.peers.records.get(digest.sender.name)
        if record is not None and record.info.instance == digest.sender.instance:
            record.revision = digest.revision
            record.vms_stamp = digest.vms_stamp
            record.in_flight = digest.in_flight
            record.accounts = digest.accounts
            record.reported_ms = self.clock.now_ms()

    def _reads_vm_list(self):
        return self.directory.platform_reachable and self.directory.stamp

    def _sent_state(self, record):
        with self.lock:
            sent_state = self.sent_states.get(record.info.name)
            if sent_state is None or sent_state.instance != record.info.instance:
                sent_state = SentState(record.info.instance)
                self.sent_states[record.info.name] = sent_state
            return sent_state

    def _clear_sent_state(self, name):
        with self.lock:
            self.sent_states.pop(name, None)

    def _changed_peers(self, sent_state):
        changed = []
        for record in self.peers.live(self.peers.own.zone):
            info = record.info
            current = (info.instance, info.draining)
            if sent_state.peers.get(info.name) != current:
                sent_state.peers[info.name] = current
                changed.append(PeerInfo(*_constructor_arguments(info)))
        return changed

    def _select_targets(self):
        """Return the (address, name) pairs to contact this round; the name may be unknown."""
        own_zone = self.peers.own.zone
        known = {r.info.address for r in self.peers.known()}
        targets = [(a, None) for a in self._unknown_addresses(known)]
        live = self.peers.live(own_zone)
        suspected = [r for r in live if self.peers.state(r) is PeerState.SUSPECTED]
        selected = self.random.sample(live, min(PEERS_PER_PERIOD, len(live)))
        selected += [r for r in suspected if r not in selected][:1]
        dead = [r for r in self.peers.known() if self.peers.state(r) is PeerState.DEAD]
        if dead:
            selected.append(self.random.choice(dead))
        if self.peers.is_ranked("cross-zone", CROSS_ZONE_SENDERS):
            selected += self._select_cross_zone_targets()
        return targets + [(r.info.address, r.info.name) for r in selected]

    def _select_cross_zone_targets(self):
        own_zone = self.peers.own.zone
        zones = sorted({r.info.zone for r in self.peers.live()} - {own_zone})
        if not zones:
            return []
        zone = zones[self.rounds % len(zones)]
        return [self.random.choice(self.peers.live(zone))]

    def _unknown_addresses(self, known):
        """Return a few listed or configured addresses of daemons that are not known yet."""
        listed = self.directory.entry_addresses()
        addresses = {a for group in listed.values() for a in group} | set(self.seeds)
        unknown = sorted(addresses - known - {self.peers.own.address})
        return self.random.sample(unknown, min(UNKNOWN_PEERS_PER_PERIOD, len(unknown)))


def _constructor_arguments(info):
    return (info.name, info.zone, info.instance, info.address, info.started_ms, info.draining)
