"""Stand-in model engine: one member VM of a replica."""

import random
import threading
from collections import deque

from corianderhaven.common import CorianderhavenError, ErrorCode, PeriodicThread, new_id

from ._faults import VmCondition
from ._prefix_cache import PrefixCache
from ._stream import Stream

INCOMPLETE_TIMEOUT_MS = 300.0  # streams fail once their replica was incomplete for this long
LOAD_HISTORY_LENGTH = 400


class Assignment:
    """Replica that a placement order assigned the member to."""

    def __init__(self, order):
        self.replica_id = order["replica_id"]
        self.generation = order["generation"]
        self.token = order["token"]
        self.rank = order["rank"]
        self.members = order["members"]
        self.deployment = order["deployment"]
        self.model = order["model"]
        self.version = order["version"]
        self.adapters = order["adapters"]
        self.draining = False

    @property
    def key(self):
        """Return the replica ID and generation, which all members of a replica share."""
        return (self.replica_id, self.generation)


class WeightStore:
    """The platform's weight store; concurrent loads beyond its limit slow each other down."""

    def __init__(self, limit=8):
        self.limit = limit
        self.loading = 0
        self.peak_loading = 0
        self.lock = threading.Lock()

    def begin_load(self):
        """Start a load and return the factor by which it is slowed down."""
        with self.lock:
            self.loading += 1
            self.peak_loading = max(self.peak_loading, self.loading)
            return max(1.0, self.loading / self.limit)

    def end_load(self):
        """Finish a load."""
        with self.lock:
            self.loading -= 1


class EngineMember:
    """State and decoding loop of one engine VM.

    Parameters
    ----------
    vm : VmLayout
    layout : EngineLayout
    clock : Clock
    members : dict
        All engine members in this process by VM ID; represents the fabric that connects them.
    weight_store : WeightStore
    seed : int
    """

    def __init__(self, vm, layout, clock, members, weight_store, seed):
        self.vm = vm
        self.layout = layout
        self.clock = clock
        self.members = members
        self.weight_store = weight_store
        self.random = random.Random(f"{seed}/{vm.id}")
        self.lock = threading.RLock()
        self.straggle = 1.0
        self.condition = VmCondition.ALIVE
        self.silenced_before_ms = float("-inf")
        self.tokens_generated = 0
        self.drafts_on_incomplete = 0
        self.orders_refused = 0
        self.decode_thread = None
        self._reset()

    def _reset(self):
        self.instance = new_id("vm")
        self.assignment = None
        self.loading_until_ms = 0.0
        self.loaded = []
        self.highest_token = 0
        self.leaving = False
        self.broken_since_ms = None
        self.streams = {}
        self.running = []
        self.waiting = []
        self.load_history = deque(maxlen=LOAD_HISTORY_LENGTH)
        self.step_ms = self.layout.token_ms
        self.cache = PrefixCache(
            self.clock,
            self.layout.cache_blocks,
            self.layout.cache_event_lag_ms,
            self.layout.cache_event_loss,
            self.random,
        )

    def start(self):
        """Start the decoding loop."""
        self.decode_thread = PeriodicThread(f"engine-{self.vm.id}", self._step, 0.0).start()
        return self

    def close(self):
        """Stop the decoding loop."""
        self.decode_thread.close()

    def kill(self):
        """Simulate the death of the VM, failing all its streams."""
        with self.lock:
            self.condition = VmCondition.DEAD
            self._fail_streams()

    def restore(self):
        """Bring the VM back: reset if it was dead, with its state kept if it was silent."""
        with self.lock:
            if self.condition is VmCondition.DEAD:
                self._reset()
            self.condition = VmCondition.ALIVE

    def status(self):
        """Return ``free``, ``loading``, ``broken``, ``draining`` or ``serving``."""
        if self.assignment is None:
            return "free"
        if self.clock.now_ms() < self.loading_until_ms:
            return "loading"
        if self.broken_since_ms is not None:
            return "broken"
        return "draining" if self.assignment.draining else "serving"

    def apply_order(self, order):
        """Apply a placement order; a VM that checks fencing tokens refuses an outdated one."""
        with self.lock:
            token = order["token"]
            if self.vm.checks_fencing_token and token < self.highest_token:
                self.orders_refused += 1
                raise CorianderhavenError(
                    ErrorCode.ORDER_REFUSED,
                    f"fencing token {token} is older than {self.highest_token}",
                )
            self.highest_token = max(self.highest_token, token)
            if order["kind"] == "load":
                self._preload((order["model"], order["version"]))
                return
            if order["kind"] == "form":
                self._form(order)
                return
            assignment = self.assignment
            ordered = (order["replica_id"], order["generation"])
            if assignment is None or assignment.key != ordered:
                return
            if order["kind"] == "drain":
                assignment.draining = True
            else:
                self.assignment = None
                self._fail_streams()

    def _form(self, order):
        assignment = Assignment(order)
        if self.assignment is not None and self.assignment.key == assignment.key:
            return
        self._fail_streams()
        self.assignment = assignment
        self.broken_since_ms = None
        weights = (assignment.model, assignment.version)
        if weights in self.loaded:
            return
        factor = self.weight_store.begin_load()
        load_ms = self.layout.load_ms * factor
        self.loading_until_ms = self.clock.now_ms() + load_ms
        self.loaded = [weights]
        threading.Timer(load_ms / 1000, self.weight_store.end_load).start()

    def _preload(self, weights):
        """Load weights into a free VM in the background."""
        if self.assignment is not None or weights in self.loaded:
            return
        instance = self.instance
        load_ms = self.layout.load_ms * self.weight_store.begin_load()

        def finish():
            self.weight_store.end_load()
            with self.lock:
                if self.instance == instance and self.assignment is None:
                    self.loaded = [weights]

        threading.Timer(load_ms / 1000, finish).start()

    def is_replica_whole(self):
        """Return whether every member is alive, loaded and assigned to the same replica."""
        assignment = self.assignment
        if assignment is None:
            return False
        peers = [self.members.get(member["vm"]) for member in assignment.members]
        return all(
            peer is not None
            and peer.condition is VmCondition.ALIVE
            and peer.instance == member["instance"]
            and peer.assignment is not None
            and peer.assignment.key == assignment.key
            and self.clock.now_ms() >= peer.loading_until_ms
            for peer, member in zip(peers, assignment.members, strict=True)
        )

    def start_stream(
        self,
        stream_id,
        prompt,
        prompt_hash,
        start_offset,
        total_tokens,
        chat,
        model,
        priority,
        request_id,
    ):
        """Queue a generation request and return its stream."""
        with self.lock:
            if self.status() != "serving" or self.assignment.rank != 0 or self.leaving:
                raise CorianderhavenError(ErrorCode.ENDPOINT_REFUSED, "this member is not serving")
            if not self.is_replica_whole():
                self.drafts_on_incomplete += 1
            stream = Stream(
                stream_id,
                prompt_hash,
                start_offset,
                total_tokens,
                chat,
                model,
                priority,
                request_id,
            )
            prefill_ms = self.cache.admit(prompt) * self.layout.prefill_ms_per_block
            stream.ready_ms = self.clock.now_ms() + prefill_ms * self._straggle_factor()
            self.streams[stream_id] = stream
            self.waiting.append(stream)
            return stream

    def cancel(self, stream_id, after_ms):
        """Cancel a stream, at once or unless a reader attaches within `after_ms`."""
        with self.lock:
            stream = self.streams.get(stream_id)
            if stream is None:
                return
            if after_ms:
                stream.expires_ms = self.clock.now_ms() + after_ms
                return
            stream.cancelled = True
            stream.fail()

    def report(self):
        """Return the member's status report."""
        with self.lock:
            assignment = self.assignment
            report = {
                "vm": self.vm.id,
                "instance": self.instance,
                "status": self.status(),
                "leaving": self.leaving,
                "token": self.highest_token,
                "loaded": [{"model": model, "version": version} for model, version in self.loaded],
                "load": self._lagged_load(),
            }
            if assignment is not None:
                report["assignment"] = {
                    "replica_id": assignment.replica_id,
                    "generation": assignment.generation,
                    "token": assignment.token,
                    "rank": assignment.rank,
                    "members": assignment.members,
                    "deployment": assignment.deployment,
                    "model": assignment.model,
                    "version": assignment.version,
                    "adapters": assignment.adapters,
                }
            return report

    def _straggle_factor(self):
        """Return the slowdown factor of the slowest member, which sets the replica's pace."""
        if self.assignment is None:
            return self.straggle
        peers = [self.members.get(member["vm"]) for member in self.assignment.members]
        return max([self.straggle, *(peer.straggle for peer in peers if peer is not None)])

    def _lagged_load(self):
        visible = self.clock.now_ms() - self.layout.load_report_lag_ms
        for sampled_ms, load in reversed(self.load_history):
            if sampled_ms <= visible:
                return {**load, "age_ms": self.clock.now_ms() - sampled_ms}
        return {"running": 0, "queued": 0, "step_ms": self.layout.token_ms, "age_ms": 0.0}

    def _step(self):
        """Run one decoding step for the whole batch."""
        if self.assignment is None or self.assignment.rank != 0:
            self.clock.sleep_ms(20.0)
            return
        started = self.clock.now_ms()
        if self.condition is VmCondition.ALIVE:
            with self.lock:
                self._check_replica(started)
                if self.broken_since_ms is None:
                    self._schedule(started)
                    self._decode()
                self._drop_expired_streams(started)
        target_ms = self.layout.token_ms * self._straggle_factor()
        self.clock.sleep_ms(started + target_ms - self.clock.now_ms())
        self.step_ms = self.clock.now_ms() - started
        load = {"running": len(self.running), "queued": len(self.waiting), "step_ms": self.step_ms}
        self.load_history.append((self.clock.now_ms(), load))

    def _check_replica(self, now):
        if now < self.loading_until_ms:
            return
        if self.is_replica_whole():
            self.broken_since_ms = None
            return
        if self.broken_since_ms is None:
            self.broken_since_ms = now
        elif now - self.broken_since_ms > INCOMPLETE_TIMEOUT_MS:
            self._fail_streams()

    def _schedule(self, now):
        self.running = [s for s in self.running if not (s.done or s.failed)]
        self.waiting = [s for s in self.waiting if not s.failed]
        self.waiting.sort(key=lambda stream: stream.priority)
        ready = [s for s in self.waiting if s.ready_ms <= now]
        for stream in ready[: self.layout.max_batch - len(self.running)]:
            self.waiting.remove(stream)
            self.running.append(stream)

    def _decode(self):
        for stream in self.running:
            stream.advance()
        self.tokens_generated += len(self.running)

    def _drop_expired_streams(self, now):
        for stream in list(self.streams.values()):
            detached = stream.detached_ms
            retention_over = (
                detached is not None and now - detached > self.layout.stream_retention_ms
            )
            expired = stream.expires_ms is not None and now > stream.expires_ms
            if retention_over or expired or stream.failed:
                stream.fail()
                self.streams.pop(stream.stream_id, None)

    def _fail_streams(self):
        for stream in self.streams.values():
            stream.fail()
        self.streams = {}
        self.running = []
        self.waiting = []
