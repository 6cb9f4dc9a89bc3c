"""Stand-in engines of the hosting platform that check the platform's rules for groups.

Times follow the platform's documentation, divided by `speed` to keep tests fast.
"""

from contextlib import contextmanager
from dataclasses import dataclass, field

ORDER_OPERATIONS = ("join", "open", "close", "leave", "phase")
REJOIN_MS = 200.0


@dataclass(frozen=True)
class HostedModel:
    """Size and load times of a model, as the engines see it."""

    name: str
    size: int
    load_ms: float = 16_000.0
    staged_load_ms: float = 1_600.0
    share: float = 0.5
    time_factor: float = 1.0


@dataclass
class HostedGroup:
    """One engine's membership in a group.

    Parameters
    ----------
    closed : bool
        Whether it takes no new requests and is about to be ready again, once those that it has
        have ended.
    active : int
        Requests that its head has accepted and not ended.
    """

    name: str
    epoch: int
    model: str
    members: tuple
    ready_ms: float
    open_ms: float | None = None
    closed: bool = False
    broken: bool = False
    stalled_since_ms: float | None = None
    active: int = 0

    @property
    def key(self):
        """Name, epoch and members, which together identify a group."""
        return (self.name, self.epoch, self.members)


@dataclass
class HostedEngine:
    """State of one engine VM.

    Parameters
    ----------
    paused : bool
        Whether its process stands still.
    """

    id: str
    zone: str
    domain: str
    address: str = ""
    alive: bool = True
    paused: bool = False
    leaving: bool = False
    started_ms: int = 1
    highest_epoch: int = 0
    order_count: int = 0
    entry_count: int = 0
    staged: list = field(default_factory=list)
    group: HostedGroup | None = None
    last_model: str | None = None
    loading: tuple | None = None
    unreachable_members: set = field(default_factory=set)


class HostedEngines:
    """All engines of one service, with the rule violations found so far.

    Parameters
    ----------
    clock : Clock
    models : list of HostedModel
    stall_ms, form_ms : float
    speed : float
        Factor by which all times are shortened.

    Attributes
    ----------
    violations : list of str
    cuts : list of str
        Orders that ended accepted requests of a head that had not broken.
    """

    def __init__(self, clock, models, stall_ms=4_000.0, form_ms=300.0, speed=1.0):
        self.clock = clock
        self.models = {model.name: model for model in models}
        self.stall_ms = stall_ms / speed
        self.form_ms = form_ms / speed
        self.speed = speed
        self.engines = {}
        self.ever_ready = set()
        self.violations = []
        self.cuts = []
        self.loads = []

    def add(self, engine):
        """Add an engine VM."""
        self.engines[engine.id] = engine
        return engine

    def kill(self, engine_id):
        """Make an engine unresponsive."""
        self.engines[engine_id].alive = False

    def restart(self, engine_id):
        """Restart an engine under the same ID; only the models staged on its host remain."""
        engine = self.engines[engine_id]
        engine.alive, engine.leaving = True, False
        engine.started_ms += 1
        engine.highest_epoch = engine.order_count = 0
        engine.group = engine.last_model = engine.loading = None

    def state(self, engine):
        """Return the state of the engine's group as the engine reports it, or None."""
        group = engine.group
        if group is None:
            return None
        now = self.clock.now_ms()
        self._update_stall(engine, now)
        if group.broken:
            return "broken"
        if now < group.ready_ms:
            return "joining"
        self.ever_ready.add((engine.id, group.key))
        if group.closed and not group.active:
            group.open_ms, group.closed = None, False
        if group.open_ms is None:
            return "ready"
        if group.closed:
            return "closing"
        return "open" if now >= group.open_ms else "ready"

    def accepts_requests(self, engine):
        """Return whether an engine begins requests now; records violations of a partial group."""
        if not engine.alive or self.state(engine) != "open":
            return False
        # A head that has never seen a member begins requests before it notices that it lacks one.
        self.check_group_whole(engine)
        return self.makes_progress(engine)

    def is_working(self, engine, group=None):
        """Return whether an engine goes on with the requests that it has accepted.

        Parameters
        ----------
        group : HostedGroup or None
            Group in which it has accepted them, by default its present one.
        """
        if group is not None and engine.group is not group:
            return False
        return self.state(engine) in ("open", "closing")

    def makes_progress(self, engine, group=None):
        """Return whether an engine works on its requests now and hasn't stalled."""
        return self.is_working(engine, group) and engine.group.stalled_since_ms is None

    @contextmanager
    def accept(self, engine):
        """Count a request that an engine's group has accepted until the block ends.

        Yields
        ------
        HostedGroup
        """
        group = engine.group
        group.active += 1
        try:
            yield group
        finally:
            group.active -= 1

    def order(self, engine, body):
        """Apply an order and return the HTTP status of the answer."""
        operation = body.get("operation")
        if operation not in ORDER_OPERATIONS:
            return 400
        if body.get("expected", engine.order_count) != engine.order_count:
            return 409
        if operation == "phase":
            return self._load(engine, body["model"])
        if operation == "join":
            return self._join(engine, body)
        group = engine.group
        state = self.state(engine)
        if group is None or (group.name, group.epoch) != (body["group"], body["epoch"]):
            return 200 if operation == "leave" else 409
        engine.order_count += 1
        if operation == "leave":
            self._record_cut(engine, operation)
            engine.group = None
        elif operation == "open":
            if state == "open" or group.open_ms is not None:
                return 200
            if state != "ready" or group.members[0] != engine.id:
                return 409
            group.open_ms = self.clock.now_ms() + self.form_ms
        elif operation == "close":
            if body.get("close_mode") == "cut" or state not in ("open", "closing"):
                self._record_cut(engine, operation)
                group.open_ms, group.closed = None, False
            else:
                group.closed = True
        return 202

    def _record_cut(self, engine, operation):
        group = engine.group
        if group.active and self.is_working(engine):
            self.cuts.append(
                f"{operation}: {engine.id} had {group.active} requests in {group.name}"
            )

    def _join(self, engine, body):
        epoch, members = body["epoch"], tuple(body["members"])
        old = engine.group
        if epoch < engine.highest_epoch:
            return 412
        if old is not None and (old.name, old.epoch) == (body["group"], epoch):
            return 200 if old.members == members else 412
        self._check_old_group_closed(engine, body["group"])
        model = self.models[body["model"]]
        engine.highest_epoch = epoch
        engine.order_count += 1
        now = self.clock.now_ms()
        if engine.last_model == model.name:
            ready_ms = now + REJOIN_MS / self.speed
        elif model.name in engine.staged:
            ready_ms = now + model.staged_load_ms / self.speed
        else:
            self._load(engine, model.name)
            ready_ms = engine.loading[1]
        engine.group = HostedGroup(body["group"], epoch, model.name, members, ready_ms)
        engine.last_model = model.name
        return 202

    def _load(self, engine, name):
        now = self.clock.now_ms()
        if name in engine.staged:
            return 200
        if engine.loading is None or engine.loading[0] != name:
            self.loads.append(now)
            engine.loading = (name, now + self.models[name].load_ms / self.speed)
            engine.order_count += 1
        return 202

    def staged(self, engine):
        """Return the models staged on the engine's host."""
        if engine.loading is not None and self.clock.now_ms() >= engine.loading[1]:
            engine.staged = [engine.loading[0]]
            engine.loading = None
        return engine.staged

    def _head(self, group):
        """Return the head of `group` if it is alive and still in the group, else None."""
        head = self.engines.get(group.members[0])
        if head is None or not head.alive or head.group is None:
            return None
        return head if head.group.key == group.key else None

    def _check_old_group_closed(self, engine, new_name):
        old = engine.group
        if old is None or old.name == new_name:
            return
        head = self._head(old)
        if head is not None and self.state(head) in ("open", "closing"):
            self.violations.append(f"TWO: {engine.id} joined {new_name} while {old.name} is open")

    def check_group_whole(self, head):
        """Record violations if a head that begins a request lacks members of its model's size."""
        group = head.group
        if len(group.members) != self.models[group.model].size:
            self.violations.append(f"PARTIAL: {group.name} has {len(group.members)} members")
        for member in group.members:
            if (member, group.key) not in self.ever_ready:
                self.violations.append(f"PARTIAL: {member} was never ready in {group.name}")

    def _update_stall(self, engine, now):
        """Record when members went missing; mark the group broken after `stall_ms`."""
        group = engine.group
        if engine.paused or group.members[0] != engine.id or group.open_ms is None or group.broken:
            return
        missing = [m for m in group.members[1:] if not self._in_group(m, group, engine)]
        if not missing:
            group.stalled_since_ms = None
        elif group.stalled_since_ms is None:
            group.stalled_since_ms = now
        elif now - group.stalled_since_ms >= self.stall_ms:
            group.broken = True

    def _in_group(self, member_id, group, head):
        member = self.engines.get(member_id)
        if member is None or not member.alive or member_id in head.unreachable_members:
            return False
        if member.paused:
            return False
        return member.group is not None and member.group.key == group.key

    def entry(self, engine, service):
        """Return the entry that an engine writes to the store."""
        engine.entry_count += 1
        return {
            "service": service,
            "address": engine.address,
            "zone": engine.zone,
            "version": "v1",
            "slots": 9,
            "state": "draining" if engine.leaving else "ready",
            "cold_remaining_ms": 0,
            "sequence": engine.entry_count,
            "born": engine.started_ms,
            **self._common_fields(engine),
        }

    def report(self, engine):
        """Return the engine's answer to a report request."""
        return {
            "sequence": engine.order_count,
            "born": engine.started_ms,
            "busy": engine.loading is not None,
            "queued": 0,
            "active": engine.group.active if engine.group is not None else 0,
            "kv_used": 0,
            "kv_total": 1,
            "kv_handles": 0,
            "pace": 1.0,
            **self._common_fields(engine),
        }

    def _common_fields(self, engine):
        state = self.state(engine)
        fields = {
            "phase": "both",
            "models": [],
            "domain": engine.domain,
            "staged": list(self.staged(engine)),
        }
        if state is not None:
            group = engine.group
            fields["models"] = [{"name": group.model, "version": 1, "adapters": []}]
            fields["group"] = {
                "name": group.name,
                "epoch": group.epoch,
                "rank": group.members.index(engine.id),
                "state": state,
            }
        return fields
