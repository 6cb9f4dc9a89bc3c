"""Checks the invariants of a soak test from what callers and workers observe."""

from collections import defaultdict
from dataclasses import dataclass, field

MAX_RUNS = {"issue": 1, "status": 2, "draft": 2}
NOT_RUN_STATUSES = (408, 421, 429, 503)
# After the end of a fault, until no connection and no worker is lost through it any more.
LOSS_AFTEREFFECT_MS = 4_000.0
DEADLINE_MARGIN_MS = 100.0  # a daemon may end a response a little before the deadline


@dataclass
class Attempt:
    """One request of a caller and its response.

    Parameters
    ----------
    status : int or None
        None if there was no response.
    stamp : str or None
        The worker's signature in the response header.
    complete : bool
        Whether the response was received up to its regular end.
    event_ids : list of int
        Ids of the received events of a stream, in order.
    deadline_ms : float
        Time that the caller allows, from `sent_ms` on.
    broken_off : bool
        Whether the connection ended before the response did.
    """

    id: str
    kind: str
    daemon: str
    sent_ms: float
    version: int | None = None
    status: int | None = None
    request_id: str | None = None
    stamp: str | None = None
    body: bytes = b""
    complete: bool = False
    event_ids: list = field(default_factory=list)
    ended_ms: float | None = None
    error: str = ""
    deadline_ms: float = 3_000.0
    broken_off: bool = False


@dataclass(frozen=True)
class Violation:
    """One violation of an invariant.

    Parameters
    ----------
    promise : str
        Name of the invariant.
    attempt : str
        Id of the request, or name of the daemon; empty if there is neither.
    detail : str
    """

    promise: str
    attempt: str
    detail: str


class InvariantChecker:
    """Checks each attempt when it ends, and the runs at workers throughout.

    Parameters
    ----------
    site : HostingSite
    """

    def __init__(self, site):
        self.site = site
        self.violations = []
        self.refused = {}
        self.kinds = {}
        self.bodies = {}
        self.newest_versions = {}
        self.checked_run_count = 0
        self.runs = defaultdict(list)
        self.active_losses = 0
        self.without_loss_since_ms = 0.0
        self.streams_without_loss = 0

    def begin_loss(self):
        """Record the begin of a fault through which daemons, connections or workers may be lost."""
        self.active_losses += 1

    def end_loss(self, ended_ms):
        """Record the end of such a fault."""
        self.active_losses -= 1
        self.without_loss_since_ms = ended_ms + LOSS_AFTEREFFECT_MS

    def record_sent(self, attempt, body):
        """Record the kind and the whole body of a request before a worker runs it."""
        self.kinds[attempt.id] = attempt.kind
        self.bodies[attempt.id] = body

    def check_attempt(self, attempt):
        """Check an attempt that has ended, and all runs up to now."""
        self.check_runs()
        if attempt.status in NOT_RUN_STATUSES:
            self.refused[attempt.id] = attempt.status
            if self.runs[attempt.id] and attempt.kind == "issue":
                self._add_violation(
                    "refused means not run", attempt.id, f"status {attempt.status}, but it ran"
                )
        elif attempt.status == 200 and attempt.kind == "version":
            self._check_version(attempt)
        elif attempt.status == 200:
            self._check_response(attempt)
            self._check_stream_end(attempt)

    def check_runs(self):
        """Check the runs that workers started since the last call, and the engines' replicas."""
        new_runs, self.checked_run_count = (
            self.site.runs[self.checked_run_count :],
            len(self.site.runs),
        )
        for run in new_runs:
            runs = self.runs[run.request_id]
            runs.append(run.worker)
            kind = self.kinds.get(run.request_id)
            if kind is None:
                self._add_violation("only callers' requests run", run.request_id, run.target)
            elif len(runs) > MAX_RUNS.get(kind, 2):
                self._add_violation(
                    "at most as often as its kind allows", run.request_id, str(runs)
                )
            elif run.body != self.bodies[run.request_id]:
                detail = f"{len(run.body)} of {len(self.bodies[run.request_id])} bytes"
                self._add_violation("whole body or nothing", run.request_id, detail)
            if kind == "issue" and run.request_id in self.refused:
                self._add_violation(
                    "refused means not run", run.request_id, "ran after the refusal"
                )
        while self.site.engines.violations:
            self._add_violation(
                "whole replicas, each VM in one", "", self.site.engines.violations.pop(0)
            )

    def reset_version(self, daemon):
        """Allow a restarted daemon to serve an older configuration version at first."""
        self.newest_versions.pop(daemon, None)

    def _check_version(self, attempt):
        newest = self.newest_versions.get(attempt.daemon, (0, 0.0))
        if attempt.version < newest[0] and attempt.sent_ms > newest[1]:
            self._add_violation(
                "configuration never back", attempt.id, f"{attempt.version} after {newest[0]}"
            )
        if attempt.version > newest[0]:
            self.newest_versions[attempt.daemon] = (attempt.version, attempt.ended_ms)

    def _check_response(self, attempt):
        if attempt.request_id != attempt.id:
            self._add_violation("own answer", attempt.id, f"response to {attempt.request_id}")
        worker = (attempt.stamp or "").split(".")[0]
        if worker not in self.runs[attempt.id]:
            self._add_violation("own answer", attempt.id, f"signed by {worker or 'nobody'}")
        if attempt.kind == "draft":
            whole = list(range(1, self.site.events + 1))
            if attempt.complete and attempt.event_ids != whole:
                self._add_violation("whole answer", attempt.id, f"ended after {attempt.event_ids}")
            if attempt.event_ids != whole[: len(attempt.event_ids)]:
                self._add_violation(
                    "events in order, each once", attempt.id, str(attempt.event_ids)
                )
        elif attempt.complete and attempt.body != b"whole answer of " + worker.encode():
            self._add_violation("whole answer", attempt.id, repr(attempt.body[:60]))

    def _check_stream_end(self, attempt):
        """Check that a stream ended whole, unless something may have been lost meanwhile."""
        may_be_lost = self.active_losses or attempt.sent_ms < self.without_loss_since_ms
        if attempt.kind != "draft" or may_be_lost:
            return
        self.streams_without_loss += 1
        time_left_ms = attempt.sent_ms + attempt.deadline_ms - attempt.ended_ms
        if attempt.broken_off and time_left_ms > DEADLINE_MARGIN_MS:
            self._add_violation(
                "no stream cut without a loss",
                attempt.id,
                f"after {attempt.event_ids}, {attempt.ended_ms - attempt.sent_ms:.0f} ms",
            )

    def _add_violation(self, invariant, attempt, detail):
        self.violations.append(Violation(invariant, attempt, detail))
