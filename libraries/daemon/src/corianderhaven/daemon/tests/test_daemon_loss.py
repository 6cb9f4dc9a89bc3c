"""Tests of daemon processes that are killed, paused, drained or replaced."""

import json
import signal
import threading
import time

import pytest

from corianderhaven.common import JsonClient, TransportError, open_connection
from corianderhaven.standins import EngineLayout, LocalSite, VmLayout, expected_text

KEY = "day-team-a-1.example"
OPERATOR_KEY = "operator-1.example"
TOKENS = 120
PATH = "/v1/services/tablet/close-cover"


@pytest.fixture(scope="module")
def site(site_class):
    vms = [
        VmLayout(
            id=f"d{n}",
            address="",
            zone="plateau",
            kind="engine",
            label="drafting",
            fabric_domain="f1",
        )
        for n in range(1, 5)
    ]
    vms.append(VmLayout(id="t1", address="", zone="plateau", kind="service", label="tablet"))
    engine = EngineLayout(token_ms=10.0, load_ms=50.0, load_report_lag_ms=20.0)
    flags = ["--drain-notice-ms=300"]
    site = LocalSite({"plateau": 3}, vms, engine, daemon_flags=flags).start()
    try:
        site.apply(site_class.sample_document())
        site.wait_ready()
        yield site
    finally:
        site.close()


@pytest.fixture(autouse=True)
def restart_daemons(site):
    for daemon in site.daemons:
        if daemon.process.poll() is not None:
            site.start_daemon(daemon)
    site.wait_ready()

    def two_replicas_whole():
        answers = [site.operator_get(d, "/operators/replicas", OPERATOR_KEY) for d in site.daemons]
        return all(sum(r["whole"] for r in a["replicas"]) == 2 for a in answers)

    site.wait_for(two_replicas_whole, "two whole replicas")


def stream_draft(daemon, prompt, on_event, **headers):
    body = {
        "model": "report-drafter",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    connection = open_connection(daemon.callers, 2000, 10000)
    sent = {"Authorization": f"Bearer {KEY}", **headers}
    connection.request(
        "POST",
        "/v1/chat/completions",
        body=json.dumps(body),
        headers=sent,
        preload_content=False,
    )
    response = connection.getresponse()
    assert response.status == 200, response.read()
    pending, ended = b"", False
    for part in response.stream(None):
        *blocks, pending = (pending + part).split(b"\n\n")
        for block in blocks:
            lines = dict(line.split(b": ", 1) for line in block.split(b"\n"))
            if lines[b"data"] == b"[DONE]":
                ended = True
                continue
            delta = json.loads(lines[b"data"])["choices"][0]["delta"]
            on_event(lines.get(b"id", b"").decode(), delta.get("content", ""))
    return ended


def test_stream_resumes_at_another_daemon_after_a_kill(site):
    events = []

    def on_event(event_id, text):
        events.append((event_id, text))
        if len(events) == 30:
            site.daemons[0].process.kill()

    with pytest.raises(Exception, match=r".*"):
        assert not stream_draft(site.daemons[0], "Killed", on_event)
        raise ConnectionError("ended without its end marker")
    before_kill = list(events)
    rest = []
    last_id = before_kill[-1][0]
    ended = stream_draft(
        site.daemons[1], "Killed", lambda _, text: rest.append(text), **{"Last-Event-ID": last_id}
    )
    assert ended
    text = "".join(text for _, text in before_kill) + "".join(rest)
    assert text == expected_text("user: Killed\n", TOKENS)


def run_operation(daemon, operation_id, timeout_ms=10000):
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": operation_id}
    client = JsonClient(daemon.callers, timeout_ms, headers)
    return client.call("POST", PATH, {"operation_id": operation_id})


def start_slow_operation(site, daemon, operation_id):
    """Start an operation that takes 2.5 s at the endpoint; returns once it is running."""
    site.set_fault("t1", "slow_ms", 2500)

    def run():
        try:
            run_operation(daemon, operation_id)
        except TransportError:
            return

    thread = threading.Thread(target=run)
    thread.start()
    site.wait_for(lambda: site.executions()["tablet"].get(operation_id), "the execution")
    site.set_fault("t1", "slow_ms", 0)
    return thread


def test_outcome_is_unknown_after_claiming_daemon_is_killed(site):
    thread = start_slow_operation(site, site.daemons[0], "killed-after-send")
    site.daemons[0].process.kill()
    thread.join()
    site.daemons[0].process.wait()
    for daemon in site.daemons[1:]:
        answer = run_operation(daemon, "killed-after-send")
        assert answer.json()["error"]["outcome"] == "unknown"
    assert site.executions()["tablet"]["killed-after-send"] == 1


def test_repeat_of_running_operation_is_in_progress(site):
    thread = start_slow_operation(site, site.daemons[0], "running")
    answer = run_operation(site.daemons[1], "running")
    assert (answer.status, answer.json()["error"]["code"]) == (409, "in_progress")
    thread.join()
    answer = run_operation(site.daemons[1], "running")
    assert answer.status == 200
    assert site.executions()["tablet"]["running"] == 1


def test_claiming_daemon_records_outcome_after_a_pause(site):
    thread = start_slow_operation(site, site.daemons[0], "paused")
    site.daemons[0].process.send_signal(signal.SIGSTOP)
    try:
        answer = run_operation(site.daemons[1], "paused")
        assert answer.json()["error"]["outcome"] == "unknown"
    finally:
        time.sleep(3)
        site.daemons[0].process.send_signal(signal.SIGCONT)
    thread.join()
    site.wait_for(
        lambda: run_operation(site.daemons[1], "paused").status == 200, "the recorded answer"
    )
    assert site.executions()["tablet"]["paused"] == 1


def test_drain_finishes_requests_in_flight(site):
    daemon = site.daemons[2]
    events = []
    result = {}

    def run():
        result["ended"] = stream_draft(daemon, "Drained", lambda _, text: events.append(text))

    thread = threading.Thread(target=run)
    thread.start()
    site.wait_for(lambda: len(events) > 20, "the first tokens")
    daemon.process.send_signal(signal.SIGTERM)
    site.wait_for(
        lambda: JsonClient(daemon.callers, 1000).call("GET", "/readyz").status == 503, "not ready"
    )
    thread.join()
    assert result["ended"]
    assert "".join(events) == expected_text("user: Drained\n", TOKENS)
    assert daemon.process.wait(10) == 0


def test_replaced_daemon_keeps_its_name_with_a_new_instance(site):
    daemon = site.daemons[1]
    before = site.operator_get(daemon, "/operators/status", OPERATOR_KEY)["instance"]
    daemon.process.kill()
    daemon.process.wait()
    site.start_daemon(daemon)
    site.wait_http(daemon.callers, "/readyz")
    after = site.operator_get(daemon, "/operators/status", OPERATOR_KEY)["instance"]

    def peer_sees_new_instance():
        peers = site.operator_get(site.daemons[0], "/operators/status", OPERATOR_KEY)["peers"]
        return {p["daemon"]: p["instance"] for p in peers}.get(daemon.name) == after

    assert before != after
    site.wait_for(peer_sees_new_instance, "the new instance at its peer")
