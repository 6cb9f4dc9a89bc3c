"""Tests of the soak test: link proxy, fault plan, and detection of every invariant violation."""

import asyncio
from pathlib import Path
from types import SimpleNamespace

import pytest

import corianderhaven
from corianderhaven.common import ClientConnection, ConnectionLostError
from corianderhaven.soak import (
    Attempt,
    Fault,
    InvariantChecker,
    LinkProxy,
    SoakRun,
    _soak_run,
    main,
    plan_faults,
)
from corianderhaven.soak._callers import Caller
from corianderhaven.soak._daemons import SoakDaemon
from corianderhaven.soak._fault_injector import FaultInjector
from corianderhaven.soak._faults import (
    plan_build_changes,
    plan_model_drops,
    plan_worker_pauses,
)
from corianderhaven.soak._invariants import DEADLINE_MARGIN_MS, LOSS_AFTEREFFECT_MS
from corianderhaven.standins import ENGINE_SERVICE, HostingSite, WorkerFaults, small_models

RUN_S = 5.0
EVENTS = 8


BODY = b"{}"


def make_run(request_id, worker="w1", body=BODY):
    return SimpleNamespace(request_id=request_id, worker=worker, target="/x", body=body)


@pytest.fixture
def site():
    return SimpleNamespace(runs=[], events=EVENTS, engines=SimpleNamespace(violations=[]))


@pytest.fixture
def invariants(site):
    return InvariantChecker(site)


def record_attempt(invariants, kind="issue", **fields):
    attempt = Attempt("r1", kind, "d1", 0.0, ended_ms=10.0, request_id="r1", **fields)
    invariants.record_sent(attempt, BODY)
    return attempt


def violated_names(invariants):
    return [violation.promise for violation in invariants.violations]


def test_correct_response_violates_nothing(site, invariants):
    site.runs.append(make_run("r1"))
    body = b"whole answer of w1"
    invariants.check_attempt(
        record_attempt(invariants, status=200, stamp="w1.7", body=body, complete=True)
    )
    assert violated_names(invariants) == []


@pytest.mark.parametrize("kind", ["issue", "status", "draft"])
def test_more_runs_than_the_kind_allows_are_detected(site, invariants, kind):
    record_attempt(invariants, kind)
    site.runs += [make_run("r1")] * (1 if kind == "issue" else 2)
    invariants.check_runs()
    assert violated_names(invariants) == []
    site.runs.append(make_run("r1", "w2"))
    invariants.check_runs()
    assert violated_names(invariants) == ["at most as often as its kind allows"]


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_run_before_or_after_a_refusal_is_detected(site, status):
    before, after = InvariantChecker(site), InvariantChecker(site)
    site.runs.append(make_run("r1"))
    before.check_attempt(record_attempt(before, status=status))
    assert violated_names(before) == ["refused means not run"]
    after.checked_run_count = 1
    after.check_attempt(record_attempt(after, status=status))
    assert violated_names(after) == []
    site.runs.append(make_run("r1"))
    after.check_runs()
    assert violated_names(after) == ["refused means not run"]


@pytest.mark.parametrize("body", [b"", b"{", b"}", b"{}{}"])
def test_run_with_a_part_of_a_body_or_another_one_is_detected(site, invariants, body):
    record_attempt(invariants)
    site.runs.append(make_run("r1", body=body))
    invariants.check_runs()
    assert violated_names(invariants) == ["whole body or nothing"]


def test_run_without_a_request_is_detected(site, invariants):
    site.runs.append(make_run("smuggled"))
    invariants.check_runs()
    assert violated_names(invariants) == ["only callers' requests run"]


@pytest.mark.parametrize(
    ("fields", "invariant"),
    [
        ({"request_id": "r2", "stamp": "w1.7", "body": b"whole answer of w1"}, "own answer"),
        ({"stamp": "w2.7", "body": b"whole answer of w2"}, "own answer"),
        ({"stamp": None, "body": b"whole answer of "}, "own answer"),
        ({"stamp": "w1.7", "body": b"whole answer"}, "whole answer"),
    ],
)
def test_foreign_unsigned_or_truncated_response_is_detected(site, invariants, fields, invariant):
    site.runs.append(make_run("r1"))
    attempt = record_attempt(invariants, status=200, complete=True)
    for name, value in fields.items():
        setattr(attempt, name, value)
    invariants.check_attempt(attempt)
    assert invariant in violated_names(invariants)


@pytest.mark.parametrize(
    ("event_ids", "complete", "invariant"),
    [
        ([1, 2, 3], True, "whole answer"),
        ([1, 2, 2], False, "events in order, each once"),
        ([1, 3], False, "events in order, each once"),
        (list(range(1, EVENTS + 1)), True, None),
        ([1, 2], False, None),
    ],
)
def test_truncated_repeated_or_skipped_stream_events_are_detected(
    site, invariants, event_ids, complete, invariant
):
    site.runs.append(make_run("r1"))
    attempt = record_attempt(invariants, "draft", status=200, stamp="w1.7", complete=complete)
    attempt.event_ids = event_ids
    invariants.check_attempt(attempt)
    assert violated_names(invariants) == ([invariant] if invariant else [])


def test_older_configuration_after_a_newer_one_is_detected(invariants):
    def check_served(version, sent_ms, ended_ms):
        attempt = Attempt(f"r{sent_ms}", "version", "d1", sent_ms, version, 200, ended_ms=ended_ms)
        invariants.check_attempt(attempt)

    check_served(3, 0.0, 5.0)
    check_served(6, 10.0, 15.0)
    check_served(3, 12.0, 16.0)  # sent before the newer one was received
    assert violated_names(invariants) == []
    check_served(3, 20.0, 25.0)
    assert violated_names(invariants) == ["configuration never back"]


def check_draft(invariants, **fields):
    attempt = Attempt("r1", "draft", "d1", 10_000.0, status=200, request_id="r1", stamp="w1.7")
    attempt.event_ids, attempt.broken_off, attempt.ended_ms = [1, 2], True, 11_000.0
    for name, value in fields.items():
        setattr(attempt, name, value)
    invariants.check_attempt(attempt)
    return violated_names(invariants)


def test_stream_cut_while_nothing_is_lost_is_detected(site, invariants):
    site.runs.append(make_run("r1"))
    invariants.kinds["r1"], invariants.bodies["r1"] = "draft", BODY
    invariants.begin_loss()
    invariants.end_loss(10_000.0 - LOSS_AFTEREFFECT_MS)
    assert check_draft(invariants) == ["no stream cut without a loss"]
    assert invariants.streams_without_loss == 1


@pytest.mark.parametrize(
    "fields",
    [
        {"broken_off": False},  # the caller gave up
        {"ended_ms": 13_000.0 - DEADLINE_MARGIN_MS},
        {"kind": "issue"},
        {"status": 503},
    ],
)
def test_stream_that_a_daemon_may_end_violates_nothing(site, invariants, fields):
    site.runs.append(make_run("r1"))
    invariants.kinds["r1"], invariants.bodies["r1"] = "draft", BODY
    assert check_draft(invariants, **fields) == []


@pytest.mark.parametrize("ended", [[], [10_500.0], [10_000.0 - LOSS_AFTEREFFECT_MS + 1.0]])
def test_stream_cut_beside_a_loss_violates_nothing(site, invariants, ended):
    site.runs.append(make_run("r1"))
    invariants.kinds["r1"], invariants.bodies["r1"] = "draft", BODY
    invariants.begin_loss()
    for ended_ms in ended:
        invariants.end_loss(ended_ms)
    assert check_draft(invariants) == []
    assert invariants.streams_without_loss == 0


def test_violation_at_engines_is_detected(site, invariants):
    site.engines.violations.append("TWO: e1")
    invariants.check_runs()
    assert violated_names(invariants) == ["whole replicas, each VM in one"]


def test_fault_plan_depends_only_on_its_seed():
    assert plan_faults(3, 60.0) == plan_faults(3, 60.0)
    assert plan_faults(3, 60.0) != plan_faults(4, 60.0)
    assert all(0.0 < f.at_s < 60.0 for f in plan_faults(3, 60.0))


def test_link_proxy_resets_drops_and_stalls():
    async def scenario():
        site = await HostingSite(["a"], 1, small_models(), 1).start()
        link = await LinkProxy(site.store_server.address).start()

        async def gets_response(connection):
            try:
                async with asyncio.timeout(0.3):
                    await connection.send("GET", "/api/kv-range", [("host", "x")])
                    return (await connection.read_head()).status == 200
            except (ConnectionLostError, TimeoutError):
                return False

        async def connect():
            return await ClientConnection.open(link.address, 300)

        assert await gets_response(await connect())
        stalled = await connect()
        await asyncio.sleep(0.02)
        link.stall()
        assert not await gets_response(stalled)
        assert await gets_response(await connect())
        link.drop_from_target = True
        assert not await gets_response(await connect())
        link.restore()
        reset = await connect()
        await asyncio.sleep(0.02)
        link.reset()
        assert not await gets_response(reset)
        link.refuse_connections = True
        assert not await gets_response(await connect())
        link.restore()
        assert await gets_response(await connect())
        link.close()
        site.close()

    asyncio.run(scenario())


def test_answer_without_length_is_reset_if_its_worker_ends_within_it():
    """Guards against a false "whole answer": what was cut looked like an orderly end."""

    async def scenario():
        site, links = HostingSite(["a"], 1, small_models(), 1), []

        async def proxy_worker(worker_id, address):
            links.append(await LinkProxy(address).start())
            return links[-1].address

        site.wrap_address = proxy_worker
        await site.start()
        worker = next(w for w in site.workers.values() if w.engine is None)
        worker.faults = WorkerFaults(unframed=True, reset=True)
        connection = await ClientConnection.open(worker.address, 300)
        headers = [("host", "x"), ("corianderhaven-attempt-id", "r1")]
        await connection.send("GET", "/status/1", headers)
        await connection.read_head()
        try:
            with pytest.raises(ConnectionLostError):
                await connection.read_body()
        finally:
            connection.close()
            for link in links:
                link.close()
            site.close()

    asyncio.run(scenario())


def test_short_seeded_run_violates_nothing(tmp_path):
    report = asyncio.run(SoakRun(7, RUN_S, 3, str(tmp_path)).run())
    assert report.breaches == []
    assert report.recovered_s is not None
    assert report.outcomes["draft 200"] > 10
    assert sum(report.faults.values()) >= 4


def test_run_without_faults_reports_resource_usage(tmp_path):
    report = asyncio.run(SoakRun(7, 2.0, 2, str(tmp_path), faults=False).run())
    assert report.faults == {}
    assert sorted(report.usage) == ["entry-00", "entry-01"]
    for early, late in report.usage.values():
        assert all(value > 0 for value in (*early, *late))
    assert report.breaches == []


def test_daemon_stopped_during_startup_cuts_off_nothing(tmp_path):
    """A drain soon after a kill stops the new process before it listens.

    Its exit code must not count as a request cut off. Seen with seed 207, 0.3 s after the kill.
    """

    async def scenario():
        daemon = SoakDaemon("entry-00", "a", "127.0.0.1:1", str(tmp_path))
        await daemon.start()
        code = await daemon.drain()
        daemon.close()
        return code

    assert asyncio.run(scenario()) == 0


def test_violation_is_reported_with_its_trace(tmp_path, monkeypatch):
    """A worker that records each run twice violates an invariant at the first operation."""
    record_run = HostingSite._record_run

    def record_twice(self, worker, request):
        record_run(self, worker, request)
        if worker.service != ENGINE_SERVICE:
            record_run(self, worker, request)

    monkeypatch.setattr(HostingSite, "_record_run", record_twice)
    report = asyncio.run(SoakRun(7, RUN_S, 1, str(tmp_path)).run())
    assert report.breaches[0]["promise"] == "at most as often as its kind allows"
    assert any(report.breaches[0]["attempt"] in line for line in report.trace)


@pytest.mark.parametrize("flag", ["--minutes=0", "--processes=0", "--processes=500", "--seeds=0"])
def test_invalid_settings_are_named(flag, capsys):
    assert main([flag]) == 2
    assert flag[2:].split("=")[0] in capsys.readouterr().err


def test_every_fault_kind_has_an_injector_method():
    from corianderhaven.soak._fault_injector import MISBEHAVIOURS, FaultInjector
    from corianderhaven.soak._faults import (
        BUILD_CHANGE_KIND,
        FAULT_WEIGHTS,
        PARTITION_KIND,
        PAUSE_KIND,
    )

    kinds = [*FAULT_WEIGHTS, PARTITION_KIND, BUILD_CHANGE_KIND, PAUSE_KIND]
    assert all(callable(getattr(FaultInjector, kind)) for kind in kinds)
    assert all(WorkerFaults(**fields) != WorkerFaults() for fields in MISBEHAVIOURS)


def test_part_that_crashes_engines_reaches_workers_while_the_fault_lasts(tmp_path, monkeypatch):
    """Engines that end and start again, and the part that ended them, leave all kinds served."""
    faults = [Fault("prompt_part_crashes_engines", 0.5, 2.0, 0.0)]
    monkeypatch.setattr(_soak_run, "plan_faults", lambda seed, seconds: faults)
    run = SoakRun(7, 4.0, 3, str(tmp_path))
    report = asyncio.run(run.run())
    assert report.breaches == []
    assert report.recovered_s is not None
    assert report.faults == {"prompt_part_crashes_engines": 1}
    assert run.site.ended_workers
    assert run.site.crashing_parts == set()


@pytest.mark.parametrize("draws", [0.99, 0.0])
def test_first_request_after_a_crashing_fault_begins_meets_it(draws):
    """No request drew the part in 2 s, so the fault passed without an effect (a run of CI)."""
    site = SimpleNamespace(crashing_parts={"c0ffee"}, crashing_targets={"/issue/crashing-1"})
    site.arrivals_with_part = []
    caller = Caller(SimpleNamespace(name="d1"), site, None, 7, [])
    caller.rng.random = lambda: draws
    draft, issue = (Attempt("soak-1", kind, "d1", 0.0) for kind in ("draft", "issue"))
    assert "c0ffee" in caller._prompt_prefix(draft)
    assert caller._path(issue) == "/issue/crashing-1"
    for part in ("c0ffee", "/issue/crashing-1"):
        site.arrivals_with_part.append(SimpleNamespace(part=part))
    assert ("c0ffee" in caller._prompt_prefix(draft)) == (draws == 0.0)
    assert (caller._path(issue) == "/issue/crashing-1") == (draws == 0.0)


def play_one_fault(tmp_path, monkeypatch, kind, selector):
    faults = [Fault(kind, 0.5, 2.0, selector)]
    monkeypatch.setattr(_soak_run, "plan_faults", lambda seed, seconds: faults)
    run = SoakRun(7, 4.0, 3, str(tmp_path))
    report = asyncio.run(run.run())
    assert report.breaches == []
    assert report.recovered_s is not None
    assert report.faults == {kind: 1}
    return run


@pytest.mark.parametrize("selector", [0.0, 0.5, 0.9])
def test_request_that_crashes_workers_leaves_all_kinds_served(tmp_path, monkeypatch, selector):
    run = play_one_fault(tmp_path, monkeypatch, "request_crashes_workers", selector)
    assert run.site.ended_workers
    assert run.site.crashing_targets == set()


@pytest.mark.parametrize("selector", [0.0, 0.99])
def test_worker_that_names_limits_leaves_all_kinds_served(tmp_path, monkeypatch, selector):
    run = play_one_fault(tmp_path, monkeypatch, "worker_names_limit", selector)
    assert not any(worker.faults.limits for worker in run.site.workers.values())


@pytest.mark.parametrize("kind", ["worker_misbehaves", "worker_names_limit"])
def test_fault_of_a_worker_is_left_out_while_all_have_ended(kind):
    """A request had ended all plain workers, and the next fault ended the soak (seed 2986)."""
    site = SimpleNamespace(workers={})
    injector = FaultInjector(site, [], {}, None, None, None)
    asyncio.run(getattr(injector, kind)(Fault(kind, 0.0, 0.1, 0.0)))


@pytest.mark.parametrize("selector", [0.0, 0.3, 0.99])
def test_daemon_that_loses_all_endpoints_is_checked_and_serves(tmp_path, monkeypatch, selector):
    faults = [Fault("daemon_loses_endpoints", 0.5, 3.2, selector)]
    monkeypatch.setattr(_soak_run, "plan_faults", lambda seed, seconds: faults)
    run = SoakRun(7, 4.0, 3, str(tmp_path))
    checked = []
    check = run._check_partitioned
    monkeypatch.setattr(
        run, "_check_partitioned", lambda daemon: (checked.append(daemon.name), check(daemon))[1]
    )
    report = asyncio.run(run.run())
    assert report.breaches == []
    assert len(checked) == 1
    lost = [d.log_lines("paths_lost") for d in run.daemons if d.name == checked[0]]
    assert lost[0]


def test_daemon_that_does_not_serve_around_a_lost_path_is_reported(tmp_path, monkeypatch):
    run = SoakRun(7, 4.0, 1, str(tmp_path))
    run.invariants = InvariantChecker(SimpleNamespace(runs=[], events=EVENTS, engines=None))

    async def refuse(daemon, kind):
        return False

    monkeypatch.setattr(run, "_is_served", refuse)
    asyncio.run(run._check_partitioned(SimpleNamespace(name="entry-00")))
    assert set(violated_names(run.invariants)) == {"served around a lost path"}


def test_partitions_leave_the_other_faults_of_a_seed_unchanged():
    plan = plan_faults(3, 60.0)
    partitions = [f for f in plan if f.kind == "daemon_loses_endpoints"]
    assert partitions
    first = next(f for f in plan if f not in partitions)
    assert (first.kind, first.at_s) == ("worker_link_reset", 0.324)


def test_link_proxy_blocks_one_source_only():
    async def scenario():
        site = await HostingSite(["a"], 1, small_models(), 1).start()
        link = await LinkProxy(site.store_server.address).start()
        open_before = await ClientConnection.open(link.address, 500.0, "127.0.1.7")
        await asyncio.sleep(0.05)
        link.block("127.0.1.7", stall_open=False)
        with pytest.raises(ConnectionLostError):
            await ClientConnection.open(link.address, 300.0, "127.0.1.7")
        other = await ClientConnection.open(link.address, 300.0, "127.0.1.8")
        await open_before.send("GET", "/api/kv-range", [("host", "x")])
        assert (await open_before.read_head()).status == 200
        link.unblock("127.0.1.7")
        again = await ClientConnection.open(link.address, 300.0, "127.0.1.7")
        for connection in (open_before, other, again):
            connection.close()
        link.close()
        site.close()

    asyncio.run(scenario())


OTHER_BUILD_LINE = b"this process runs the other build"
PRINT_OTHER_BUILD = (
    f"import sys\nprint({OTHER_BUILD_LINE.decode()!r}, file=sys.stderr, flush=True)\n"
)


def link_packages(folder):
    """Make a folder with the packages of this build, whose daemon logs that it is the other one."""
    packages = Path(folder) / "other" / "corianderhaven"
    packages.mkdir(parents=True)
    for path in set(corianderhaven.__path__):
        for package in Path(path).iterdir():
            if (package / "__init__.py").exists():
                (packages / package.name).symlink_to(package)
    daemon = packages / "daemon"
    original = daemon.readlink()
    daemon.unlink()
    daemon.mkdir()
    for part in original.iterdir():
        if part.name not in ("__main__.py", "__pycache__"):
            (daemon / part.name).symlink_to(part)
    main_text = (original / "__main__.py").read_text()
    (daemon / "__main__.py").write_text(PRINT_OTHER_BUILD + main_text)
    return str(packages.parent)


def runs_other_build(log_path):
    """Return whether a process that has started as a daemon runs the other build."""
    log = Path(log_path).read_bytes()
    assert b'"event":"daemon_started"' in log
    return OTHER_BUILD_LINE in log.splitlines()


def test_daemons_of_two_builds_replace_each_other_and_serve(tmp_path, monkeypatch):
    """The build is what a process says of itself: its environ is empty until exec has ended."""
    faults = [Fault("daemon_changes_build", at_s, 0.0, n) for at_s, n in ((0.3, 0.0), (2.0, 0.5))]
    monkeypatch.setattr(_soak_run, "plan_faults", lambda seed, seconds: [])
    monkeypatch.setattr(_soak_run, "plan_build_changes", lambda seed, seconds: faults)
    run = SoakRun(7, 4.0, 3, str(tmp_path), other_build=link_packages(tmp_path))
    logs = []
    launch = SoakDaemon._launch

    def record_launch(daemon):
        launch(daemon)
        logs.append((daemon.name, daemon.process.log.name))

    monkeypatch.setattr(SoakDaemon, "_launch", record_launch)
    report = asyncio.run(run.run())
    assert report.breaches == []
    assert report.recovered_s is not None
    assert report.faults == {"daemon_changes_build": 2}
    started = [(name, runs_other_build(log)) for name, log in logs]
    assert started[:3] == [("entry-00", False), ("entry-01", True), ("entry-02", False)]
    assert started[3:] == [("entry-00", True), ("entry-01", False)]


def test_other_build_without_packages_is_named(tmp_path, capsys):
    assert main([f"--other-build={tmp_path}"]) == 2
    assert "other_build" in capsys.readouterr().err


def test_build_changes_depend_only_on_the_seed():
    plan = plan_build_changes(3, 60.0)
    assert plan == plan_build_changes(3, 60.0) != plan_build_changes(4, 60.0)
    assert all(0.0 < fault.at_s < 60.0 for fault in plan)


def split_pauses(plan):
    pauses = [fault for fault in plan if fault.kind == "workers_pause"]
    return pauses, [fault.at_s for fault in plan if fault.kind == "config_change"]


def test_worker_pauses_depend_only_on_the_seed():
    plan = plan_worker_pauses(3, 60.0)
    assert plan == plan_worker_pauses(3, 60.0) != plan_worker_pauses(4, 60.0)
    assert plan == sorted(plan, key=lambda fault: fault.at_s)
    assert all(0.0 <= fault.at_s < 60.0 for fault in plan)


def test_worker_pauses_are_repeated_and_mostly_beside_a_configuration():
    plans = [split_pauses(plan_worker_pauses(seed, 12.0)) for seed in range(50)]
    assert all(len(pauses) > 1 for pauses, _ in plans)
    for pauses, _ in plans:
        ends = [pause.at_s + pause.duration_s for pause in pauses]
        assert all(end < later.at_s + 0.002 for end, later in zip(ends, pauses[1:], strict=False))
    beside = [
        any(pause.at_s - 0.9 < at_s <= pause.at_s for at_s in changes)
        for pauses, changes in plans
        for pause in pauses
    ]
    assert 0.6 < sum(beside) / len(beside) < 0.95
    durations = [pause.duration_s for pauses, _ in plans for pause in pauses]
    assert min(durations) < 0.4
    assert any(duration > 4.0 for duration in durations)
    assert all(0.2 <= duration <= 2.0 or 4.0 <= duration <= 5.0 for duration in durations)
    selectors = {int(4 * pause.selector) for pauses, _ in plans for pause in pauses}
    assert selectors == {0, 1, 2, 3}


def test_models_are_dropped_one_after_the_other():
    plans = [plan_model_drops(seed, 30.0) for seed in range(20)]
    assert plans[3] == plan_model_drops(3, 30.0) != plans[4]
    for plan in plans:
        assert len(plan) > 3
        ends = [fault.at_s + fault.duration_s for fault in plan]
        assert all(end < later.at_s + 0.002 for end, later in zip(ends, plan[1:], strict=False))
        assert {int(2 * fault.selector) for fault in plan} <= {0, 1}


@pytest.mark.parametrize("selector", [0.1, 0.9])
def test_dropped_model_is_back_in_the_end(invariants, selector):
    async def scenario():
        site = await HostingSite(["a"], 3, small_models(), 2).start()
        injector = FaultInjector(site, [], {}, invariants, None, None)
        try:
            version = site.config_version
            dropping = asyncio.create_task(
                injector.inject(Fault("model_dropped", 0.0, 0.05, selector))
            )
            await asyncio.sleep(0)
            kept = [model.name for model in site.models]
            assert kept == ["small" if selector < 0.5 else "large"]
            assert site.config_version > version
            await dropping
            assert [model.name for model in site.models] == ["large", "small"]
        finally:
            site.close()
        assert not invariants.active_losses

    asyncio.run(scenario())


def test_worker_pauses_leave_the_other_faults_of_a_seed_unchanged(tmp_path):
    mixed = SoakRun(3, 60.0, 3, str(tmp_path), pauses="mixed")._plan()
    plan = SoakRun(3, 60.0, 3, str(tmp_path))._plan()
    added = [fault for fault in mixed if fault not in plan]
    assert [fault for fault in mixed if fault not in added] == plan == plan_faults(3, 60.0)
    assert {fault.kind for fault in added} == {"workers_pause", "config_change"}
    assert SoakRun(3, 60.0, 3, str(tmp_path), faults=False, pauses="mixed")._plan() == []


@pytest.mark.parametrize(
    ("selector", "paused"),
    [(0.07, ["e-a-2"]), (0.49, ["e-b-0", "e-b-1", "e-b-2"]), (0.6, 5), (0.9, 8)],
)
def test_pause_holds_the_selected_workers_and_lets_them_go_on(invariants, selector, paused):
    async def scenario():
        site = await HostingSite(["a", "b"], 3, small_models(), 2).start()
        injector = FaultInjector(site, [], {}, invariants, None, None)
        pause = asyncio.create_task(injector.inject(Fault("workers_pause", 0.0, 0.2, selector)))
        await asyncio.sleep(0.1)
        held = sorted(w.id for w in site.workers.values() if not w.running.is_set())
        await pause
        running = [worker.running.is_set() for worker in site.workers.values()]
        site.close()
        return held, running

    held, running = asyncio.run(scenario())
    assert (held if isinstance(paused, list) else len(held)) == paused
    assert all(running)


@pytest.mark.parametrize(
    ("kind", "is_loss"), [("workers_pause", 0), ("config_change", 0), ("store_away", 1)]
)
def test_injector_tells_through_which_faults_something_may_be_lost(invariants, kind, is_loss):
    async def scenario():
        site = await HostingSite(["a"], 2, small_models(), 1).start()
        injector = FaultInjector(site, [], {}, invariants, None, None)
        fault = asyncio.create_task(injector.inject(Fault(kind, 0.0, 0.1, 0.9)))
        await asyncio.sleep(0.05)
        active = invariants.active_losses
        await fault
        site.close()
        return active

    assert asyncio.run(scenario()) == is_loss
    assert invariants.active_losses == 0
    assert (invariants.without_loss_since_ms > LOSS_AFTEREFFECT_MS) == bool(is_loss)


@pytest.mark.parametrize(
    ("rank", "duration_s", "may_lose"), [(1, 0.3, 0), (1, 0.5, 1), (0, 0.5, 0)]
)
def test_only_a_pause_that_breaks_a_head_may_lose_something(invariants, rank, duration_s, may_lose):
    """A head that stands still itself does not break, and a short pause breaks none."""

    async def scenario():
        site = await HostingSite(["a"], 2, small_models(), 1, stall_ms=400.0).start()
        engines = list(site.engines.engines.values())
        group = {"group": "large.1.1", "epoch": 1}
        members = [engine.id for engine in engines]
        for engine in engines:
            join = {"operation": "join", "model": "large", "members": members, **group}
            site.engines.order(engine, join)
        await asyncio.sleep(0.1)
        site.engines.order(engines[0], {"operation": "open", **group})
        await asyncio.sleep(0.1)
        live = sorted(w.id for w in site.workers.values())
        selector = (live.index(members[rank]) + 0.5) / len(live) / 4
        injector = FaultInjector(site, [], {}, invariants, None, None)
        fault = asyncio.create_task(
            injector.inject(Fault("workers_pause", 0.0, duration_s, selector))
        )
        await asyncio.sleep(0.05)
        active = invariants.active_losses
        await fault
        site.close()
        return active

    assert asyncio.run(scenario()) == may_lose


def test_run_detects_streams_that_end_while_nothing_is_lost(tmp_path, monkeypatch):
    """Callers' connections are reset beside a change of configuration, which loses none."""
    faults = [Fault("config_change", 0.5 + 0.3 * n, 0.0, 0.0) for n in range(6)]

    async def reset_callers(self, fault):
        for daemon in self.daemons:
            daemon.caller_link.reset()

    monkeypatch.setattr(_soak_run, "plan_worker_pauses", lambda seed, seconds: faults)
    monkeypatch.setattr(_soak_run, "plan_model_drops", lambda seed, seconds: [])
    monkeypatch.setattr(FaultInjector, "config_change", reset_callers)
    run = SoakRun(7, 3.0, 2, str(tmp_path), pauses="only")
    report = asyncio.run(run.run())
    assert {b["promise"] for b in report.breaches} == {"no stream cut without a loss"}


@pytest.mark.parametrize("selector", [0.0, 0.99])
def test_workers_that_pause_and_go_on_cut_no_stream(tmp_path, monkeypatch, selector):
    """One worker, then all of them stand still for longer than a daemon waits for an answer."""
    faults = [Fault("workers_pause", at_s, 1.3, selector) for at_s in (0.5, 2.4)]
    monkeypatch.setattr(_soak_run, "plan_worker_pauses", lambda seed, seconds: faults)
    monkeypatch.setattr(_soak_run, "plan_model_drops", lambda seed, seconds: [])
    run = SoakRun(7, 4.0, 2, str(tmp_path), pauses="only")
    report = asyncio.run(run.run())
    assert report.breaches == []
    assert report.recovered_s is not None
    assert report.faults == {"workers_pause": 2}
    assert report.streams_without_loss > 0
    assert report.outcomes["issue 200"] > 0


@pytest.mark.parametrize("selector", [0.0, 0.99])
def test_model_that_is_dropped_beside_a_pause_cuts_no_stream(tmp_path, monkeypatch, selector):
    """Guards against LOST: the requests of a model ended with its place in the configuration."""
    pauses = [Fault("workers_pause", 0.5, 0.4, 0.0), Fault("workers_pause", 2.0, 0.4, 0.99)]
    drops = [Fault("model_dropped", at_s, 0.7, selector) for at_s in (0.4, 1.9)]
    monkeypatch.setattr(_soak_run, "plan_worker_pauses", lambda seed, seconds: list(pauses))
    monkeypatch.setattr(_soak_run, "plan_model_drops", lambda seed, seconds: drops)
    report = asyncio.run(SoakRun(7, 4.0, 2, str(tmp_path), pauses="only").run())
    assert report.breaches == []
    assert report.recovered_s is not None
    assert report.faults == {"workers_pause": 2, "model_dropped": 2}
    assert report.streams_without_loss > 0
