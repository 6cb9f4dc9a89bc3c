"""The soak's own parts: links, plans, and that every promise can be seen broken."""

import asyncio
from types import SimpleNamespace

import pytest

from corianderhaven.common import ClientConnection, ConnectionLostError
from corianderhaven.soak import Attempt, Link, Promises, Soak, main, plan_faults
from corianderhaven.soak._daemons import SoakDaemon
from corianderhaven.standins import ENGINE_SERVICE, HostingSite, WorkerFaults, small_models

SHORT_S = 5.0
EVENTS = 8


def run(request_id, worker="w1"):
    return SimpleNamespace(request_id=request_id, worker=worker, target="/x")


@pytest.fixture
def site():
    return SimpleNamespace(runs=[], events=EVENTS, engines=SimpleNamespace(violations=[]))


@pytest.fixture
def promises(site):
    return Promises(site)


def attempt(promises, kind="issue", **fields):
    made = Attempt("r1", kind, "d1", 0.0, ended_ms=10.0, request_id="r1", **fields)
    promises.note_sent(made)
    return made


def broken(promises):
    return [breach.promise for breach in promises.breaches]


def test_whole_own_answers_break_nothing(site, promises):
    site.runs.append(run("r1"))
    body = b"whole answer of w1"
    promises.judge(attempt(promises, status=200, stamp="w1.7", body=body, complete=True))
    assert broken(promises) == []


@pytest.mark.parametrize("kind", ["issue", "status", "draft"])
def test_one_run_more_than_the_kind_allows_is_seen(site, promises, kind):
    attempt(promises, kind)
    site.runs += [run("r1")] * (1 if kind == "issue" else 2)
    promises.check_runs()
    assert broken(promises) == []
    site.runs.append(run("r1", "w2"))
    promises.check_runs()
    assert broken(promises) == ["at most as often as its kind allows"]


@pytest.mark.parametrize("status", [503, 429, 408, 421])
def test_run_before_or_after_a_refusal_is_seen(site, status):
    before, after = Promises(site), Promises(site)
    site.runs.append(run("r1"))
    before.judge(attempt(before, status=status))
    assert broken(before) == ["refused means not run"]
    after.checked_runs = 1
    after.judge(attempt(after, status=status))
    assert broken(after) == []
    site.runs.append(run("r1"))
    after.check_runs()
    assert broken(after) == ["refused means not run"]


def test_run_that_nobody_asked_for_is_seen(site, promises):
    site.runs.append(run("smuggled"))
    promises.check_runs()
    assert broken(promises) == ["only callers' requests run"]


@pytest.mark.parametrize(
    ("fields", "promise"),
    [
        ({"request_id": "r2", "stamp": "w1.7", "body": b"whole answer of w1"}, "own answer"),
        ({"stamp": "w2.7", "body": b"whole answer of w2"}, "own answer"),
        ({"stamp": None, "body": b"whole answer of "}, "own answer"),
        ({"stamp": "w1.7", "body": b"whole answer"}, "whole answer"),
    ],
)
def test_foreign_unsigned_or_short_answer_is_seen(site, promises, fields, promise):
    site.runs.append(run("r1"))
    made = attempt(promises, status=200, complete=True)
    for name, value in fields.items():
        setattr(made, name, value)
    promises.judge(made)
    assert promise in broken(promises)


@pytest.mark.parametrize(
    ("event_ids", "complete", "promise"),
    [
        ([1, 2, 3], True, "whole answer"),
        ([1, 2, 2], False, "events in order, each once"),
        ([1, 3], False, "events in order, each once"),
        (list(range(1, EVENTS + 1)), True, None),
        ([1, 2], False, None),
    ],
)
def test_stream_that_ends_early_as_if_whole_or_jumps_is_seen(
    site, promises, event_ids, complete, promise
):
    site.runs.append(run("r1"))
    made = attempt(promises, "draft", status=200, stamp="w1.7", complete=complete)
    made.event_ids = event_ids
    promises.judge(made)
    assert broken(promises) == ([promise] if promise else [])


def test_older_configuration_after_a_newer_one_is_seen(promises):
    def served(version, sent_ms, ended_ms):
        made = Attempt(f"r{sent_ms}", "version", "d1", sent_ms, version, 200, ended_ms=ended_ms)
        promises.judge(made)

    served(3, 0.0, 5.0)
    served(6, 10.0, 15.0)
    served(3, 12.0, 16.0)  # sent before the newer one was seen
    assert broken(promises) == []
    served(3, 20.0, 25.0)
    assert broken(promises) == ["configuration never back"]


def test_violation_at_engines_is_seen(site, promises):
    site.engines.violations.append("TWO: e1")
    promises.check_runs()
    assert broken(promises) == ["whole replicas, each VM in one"]


def test_plan_is_worked_out_from_its_seed():
    assert plan_faults(3, 60.0) == plan_faults(3, 60.0)
    assert plan_faults(3, 60.0) != plan_faults(4, 60.0)
    assert all(0.0 < f.at_s < 60.0 for f in plan_faults(3, 60.0))


def test_link_resets_cuts_and_silences():
    async def play():
        site = await HostingSite(["a"], 1, small_models(), 1).start()
        link = await Link(site.store_server.address).start()

        async def answered(connection):
            try:
                async with asyncio.timeout(0.3):
                    await connection.send("GET", "/api/kv-range", [("host", "x")])
                    return (await connection.read_head()).status == 200
            except (ConnectionLostError, TimeoutError):
                return False

        async def fresh():
            return await ClientConnection.open(link.address, 300)

        assert await answered(await fresh())
        silent = await fresh()
        await asyncio.sleep(0.02)
        link.silence()
        assert not await answered(silent)
        assert await answered(await fresh())
        link.cut_back = True
        assert not await answered(await fresh())
        link.heal()
        reset = await fresh()
        await asyncio.sleep(0.02)
        link.reset()
        assert not await answered(reset)
        link.refusing = True
        assert not await answered(await fresh())
        link.heal()
        assert await answered(await fresh())
        link.close()
        site.close()

    asyncio.run(play())


def test_short_seeded_run_keeps_every_promise(tmp_path):
    report = asyncio.run(Soak(7, SHORT_S, 3, str(tmp_path)).run())
    assert report.breaches == []
    assert report.recovered_s is not None
    assert report.outcomes["draft 200"] > 10
    assert sum(report.faults.values()) >= 4


def test_calm_run_tells_what_each_daemon_holds(tmp_path):
    report = asyncio.run(Soak(7, 2.0, 2, str(tmp_path), faults=False).run())
    assert report.faults == {}
    assert sorted(report.usage) == ["entry-00", "entry-01"]
    for early, late in report.usage.values():
        assert all(value > 0 for value in (*early, *late))
    assert report.breaches == []


def test_daemon_stopped_while_it_starts_cuts_nothing_off(tmp_path):
    """Seed 207: a drain came 0.3 s after a kill, when the new process did not listen yet."""

    async def play():
        daemon = SoakDaemon("entry-00", "a", "127.0.0.1:1", str(tmp_path))
        await daemon.start()
        code = await daemon.drain()
        daemon.close()
        return code

    assert asyncio.run(play()) == 0


def test_broken_promise_is_reported_with_its_trace(tmp_path, monkeypatch):
    """A back end that counts each run twice breaks a promise at the first operation."""
    note_run = HostingSite._note_run

    def note_twice(self, worker, request):
        note_run(self, worker, request)
        if worker.service != ENGINE_SERVICE:
            note_run(self, worker, request)

    monkeypatch.setattr(HostingSite, "_note_run", note_twice)
    report = asyncio.run(Soak(7, SHORT_S, 1, str(tmp_path)).run())
    assert report.breaches[0]["promise"] == "at most as often as its kind allows"
    assert any(report.breaches[0]["attempt"] in line for line in report.trace)


@pytest.mark.parametrize("flag", ["--minutes=0", "--processes=0", "--processes=500", "--seeds=0"])
def test_wrong_settings_are_named(flag, capsys):
    assert main([flag]) == 2
    assert flag[2:].split("=")[0] in capsys.readouterr().err


def test_every_kind_of_fault_has_its_strike():
    from corianderhaven.soak._faults import KINDS
    from corianderhaven.soak._strikes import MISBEHAVIOURS, Strikes

    assert all(callable(getattr(Strikes, kind)) for kind in KINDS)
    assert all(WorkerFaults(**fields) != WorkerFaults() for fields in MISBEHAVIOURS)
