"""What was promised, checked from what callers and back ends see."""

from collections import defaultdict
from dataclasses import dataclass, field

MOST_RUNS = {"issue": 1, "status": 2, "draft": 2}
NOT_RUN = (408, 421, 429, 503)


@dataclass
class Attempt:
    """One request of a caller and what it got.

    Parameters
    ----------
    status : int or None
        None when no answer came.
    stamp : str or None
        The back end's signature in the answer.
    complete : bool
        Whether the answer ended as a whole one does.
    event_ids : list of int
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


@dataclass(frozen=True)
class Breach:
    """A promise that was not kept."""

    promise: str
    attempt: str
    detail: str


class Promises:
    """Judges attempts as they end, and runs at back ends all the while.

    Parameters
    ----------
    site : HostingSite
    """

    def __init__(self, site):
        self.site = site
        self.breaches = []
        self.refused = {}
        self.kinds = {}
        self.seen_version = {}
        self.checked_runs = 0
        self.runs = defaultdict(list)

    def note_sent(self, attempt):
        """Know the kind of a request before a back end runs it."""
        self.kinds[attempt.id] = attempt.kind

    def judge(self, attempt):
        """Check an attempt that has ended."""
        self.check_runs()
        if attempt.status in NOT_RUN:
            self.refused[attempt.id] = attempt.status
            if self.runs[attempt.id] and attempt.kind == "issue":
                self._breach("refused means not run", attempt.id, f"{attempt.status}, but it ran")
        elif attempt.status == 200 and attempt.kind == "version":
            self._judge_version(attempt)
        elif attempt.status == 200:
            self._judge_answer(attempt)

    def check_runs(self):
        """Check the runs that back ends began since the last call, and their replicas."""
        fresh, self.checked_runs = self.site.runs[self.checked_runs :], len(self.site.runs)
        for run in fresh:
            runs = self.runs[run.request_id]
            runs.append(run.worker)
            kind = self.kinds.get(run.request_id)
            if kind is None:
                self._breach("only callers' requests run", run.request_id, run.target)
            elif len(runs) > MOST_RUNS.get(kind, 2):
                self._breach("at most as often as its kind allows", run.request_id, str(runs))
            if kind == "issue" and run.request_id in self.refused:
                self._breach("refused means not run", run.request_id, "ran after the refusal")
        while self.site.engines.violations:
            self._breach("whole replicas, each VM in one", "", self.site.engines.violations.pop(0))

    def forget_daemon(self, daemon):
        """Let a daemon that starts anew know an older configuration for a while."""
        self.seen_version.pop(daemon, None)

    def _judge_version(self, attempt):
        newest = self.seen_version.get(attempt.daemon, (0, 0.0))
        if attempt.version < newest[0] and attempt.sent_ms > newest[1]:
            self._breach(
                "configuration never back", attempt.id, f"{attempt.version} after {newest[0]}"
            )
        if attempt.version > newest[0]:
            self.seen_version[attempt.daemon] = (attempt.version, attempt.ended_ms)

    def _judge_answer(self, attempt):
        if attempt.request_id != attempt.id:
            self._breach("own answer", attempt.id, f"answer of {attempt.request_id}")
        worker = (attempt.stamp or "").split(".")[0]
        if worker not in self.runs[attempt.id]:
            self._breach("own answer", attempt.id, f"signed by {worker or 'nobody'}")
        if attempt.kind == "draft":
            whole = list(range(1, self.site.events + 1))
            if attempt.complete and attempt.event_ids != whole:
                self._breach("whole answer", attempt.id, f"ended after {attempt.event_ids}")
            if attempt.event_ids != whole[: len(attempt.event_ids)]:
                self._breach("events in order, each once", attempt.id, str(attempt.event_ids))
        elif attempt.complete and attempt.body != b"whole answer of " + worker.encode():
            self._breach("whole answer", attempt.id, repr(attempt.body[:60]))

    def _breach(self, promise, attempt, detail):
        self.breaches.append(Breach(promise, attempt, detail))
