"""Tests of a daemon's HTTP interface for callers."""

import json

import openai
import pytest

from corianderhaven.common import JsonClient, open_connection
from corianderhaven.standins import expected_text

MODEL = "report-drafter"
KEY = "day-team-a-1.example"
OTHER_KEY = "office-1.example"


def openai_client(daemon, key=KEY):
    base = f"http://{daemon.callers_server.address}/v1"
    return openai.OpenAI(base_url=base, api_key=key, max_retries=0)


def chat_body(prompt, tokens, stream=False):
    messages = [{"role": "user", "content": prompt}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream}


def stream_events(daemon, body, key=KEY, max_events=None, **headers):
    """Return (whether the stream ended, (id, text) of each event), or (status, error body).

    Reading stops after `max_events`.
    """
    connection = open_connection(daemon.callers_server.address, 2000, 20000)
    sent = {"Authorization": f"Bearer {key}", **headers}
    path = "/v1/chat/completions"
    connection.request("POST", path, body=json.dumps(body), headers=sent, preload_content=False)
    response = connection.getresponse()
    if response.status != 200:
        return response.status, json.loads(response.read())
    events, pending, ended = [], b"", False
    for part in response.stream(None):
        *blocks, pending = (pending + part).split(b"\n\n")
        for block in blocks:
            lines = dict(line.split(b": ", 1) for line in block.split(b"\n"))
            if lines[b"data"] == b"[DONE]":
                ended = True
                continue
            text = json.loads(lines[b"data"])["choices"][0]["delta"].get("content", "")
            events.append((lines.get(b"id", b"").decode(), text))
        if max_events is not None and len(events) >= max_events:
            break
    connection.close()
    return ended, events


def test_openai_client_streams_chat_completion(shared_site):
    client = openai_client(shared_site.daemons[0])
    chunks = client.chat.completions.create(**chat_body("Hello", 30, True))
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    assert text == expected_text("user: Hello\n", 30)


def test_openai_client_gets_chat_completion(shared_site):
    client = openai_client(shared_site.daemons[1])
    answer = client.chat.completions.create(**chat_body("Hello", 30))
    assert answer.choices[0].message.content == expected_text("user: Hello\n", 30)
    assert answer.usage.completion_tokens == 30
    assert answer.choices[0].finish_reason == "stop"


def test_openai_client_gets_completion_and_models(shared_site):
    client = openai_client(shared_site.daemons[0])
    answer = client.completions.create(model=MODEL, prompt="Cover 5", max_tokens=7)
    assert answer.choices[0].text == expected_text("Cover 5", 7)
    assert {model.id for model in client.models.list()} == {MODEL, f"{MODEL}:covers"}


def test_openai_client_raises_errors(shared_site):
    client = openai_client(shared_site.daemons[0])
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model="absent", messages=[{"role": "user", "content": "x"}])
    assert caught.value.response.headers["x-request-id"]
    with pytest.raises(openai.AuthenticationError):
        openai_client(shared_site.daemons[0], "day-team-a-1.wrong").models.list()


@pytest.mark.parametrize(
    ("body", "status", "code", "path"),
    [
        (b"{", 400, "malformed_json", None),
        (b"\xff", 400, "malformed_json", None),
        (b"[]", 400, "invalid_request", "$"),
        (b"{}", 400, "invalid_request", "$"),
        (b'{"model": 5, "messages": []}', 400, "invalid_request", "$.model"),
        (b'{"model": "report-drafter", "messages": []}', 400, "invalid_request", "$.messages"),
        (
            b'{"model": "report-drafter", "messages": [{"role": "user"}], "n": 2}',
            400,
            "invalid_request",
            "$.n",
        ),
        (b'{"model": "x", "messages": [{"role": "user"}]}', 404, "unknown_model", None),
        (b'"' + b"x" * (4 * 1024 * 1024) + b'"', 413, "body_too_large", None),
    ],
)
def test_invalid_body_is_rejected(shared_site, body, status, code, path):
    connection = open_connection(shared_site.daemons[0].callers_server.address, 2000, 10000)
    headers = {"Authorization": f"Bearer {KEY}"}
    connection.request("POST", "/v1/chat/completions", body=body, headers=headers)
    response = connection.getresponse()
    error = response.json()["error"]
    assert (response.status, error["code"], error["outcome"]) == (status, code, "not_run")
    assert response.headers["X-Request-Id"]
    if path:
        assert path in [item["path"] for item in error["errors"]]


def test_peer_and_operator_paths_are_not_served_to_callers(shared_site):
    for path in ("/peer/config", "/operators/config", "/operators/status", "/metrics"):
        assert shared_site.caller_request(shared_site.daemons[0], "GET", path).status == 404


def test_peer_paths_require_a_signature(shared_site):
    client = JsonClient(shared_site.daemons[0].peer_info.address, 2000)
    assert client.call("GET", "/peer/config").status == 403
    assert client.call("POST", "/peer/heartbeat", {}).status == 403
    assert client.call("GET", "/operators/status").status == 401


def test_reconnect_to_another_daemon_gets_only_remaining_events(shared_site):
    body = chat_body("Resume me", 60, True)
    _, first_events = stream_events(shared_site.daemons[0], body, max_events=10)
    last_id = first_events[9][0]
    header = {"Last-Event-ID": last_id}
    ended, rest = stream_events(shared_site.daemons[1], body, **header)
    text = "".join(text for _, text in [*first_events[:10], *rest])
    assert ended
    assert text == expected_text("user: Resume me\n", 60)


def test_resume_token_of_another_account_or_body_is_rejected(shared_site):
    body = chat_body("Resume me too", 40, True)
    _, first_events = stream_events(shared_site.daemons[0], body, max_events=5)
    header = {"Last-Event-ID": first_events[4][0]}
    status, answer = stream_events(shared_site.daemons[1], body, key=OTHER_KEY, **header)
    assert (status, answer["error"]["code"]) == (403, "resume_token_invalid")
    other = chat_body("Another body", 40, True)
    status, answer = stream_events(shared_site.daemons[1], other, **header)
    assert (status, answer["error"]["code"]) == (403, "resume_token_invalid")
    forged = {"Last-Event-ID": first_events[4][0].replace("/5/", "/4/")}
    assert stream_events(shared_site.daemons[1], body, **forged)[0] == 403


def test_operation_runs_once_per_idempotency_key(shared_site):
    first = shared_site.run_operation(shared_site.daemons[0], "op-1", key="k-1")
    second = shared_site.run_operation(shared_site.daemons[1], "op-1", key="k-1")
    assert (first.status, second.status) == (200, 200)
    assert first.body == second.body
    assert second.headers["Idempotent-Replayed"] == "true"
    assert shared_site.executions("op-1") == 1


def test_idempotency_key_with_another_body_is_rejected(shared_site):
    shared_site.run_operation(shared_site.daemons[0], "op-2", key="k-2")
    other = shared_site.run_operation(shared_site.daemons[1], "op-3", key="k-2")
    assert (other.status, other.json()["error"]["outcome"]) == (422, "not_run")
    assert shared_site.executions("op-3") == 0


def test_outcome_of_idempotency_key_can_be_queried(shared_site):
    daemon = shared_site.daemons[1]
    path = "/v1/services/tablet/close-cover"
    absent = shared_site.caller_request(daemon, "GET", path, **{"Idempotency-Key": "k-none"})
    assert (absent.status, absent.json()["error"]["outcome"]) == (404, "unknown")
    shared_site.run_operation(shared_site.daemons[0], "op-4", key="k-4")
    found = shared_site.caller_request(daemon, "GET", path, **{"Idempotency-Key": "k-4"}).json()
    assert (found["state"], found["answer"]["status"]) == ("complete", 200)


def test_unknown_operation_is_not_run(shared_site):
    answer = shared_site.run_operation(shared_site.daemons[0], "x", operation="absent")
    assert (answer.status, answer.json()["error"]["outcome"]) == (404, "not_run")
