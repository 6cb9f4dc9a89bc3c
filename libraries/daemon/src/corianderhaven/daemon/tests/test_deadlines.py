"""Tests that deadlines and disconnected callers stop the engine's streams."""

import json

import pytest

from corianderhaven.common import open_connection
from corianderhaven.standins import EngineLayout

KEY = "day-team-a-1.example"
SLOW_PREFILL = EngineLayout(
    token_ms=4.0, load_ms=50.0, prefill_ms_per_block=400.0, load_report_lag_ms=20.0, threads=24
)


def send_completion(daemon, prompt, tokens, stream=True):
    body = {"model": "report-drafter", "prompt": prompt, "max_tokens": tokens, "stream": stream}
    connection = open_connection(daemon.callers_server.address, 2000, 20000)
    headers = {"Authorization": f"Bearer {KEY}"}
    connection.request(
        "POST", "/v1/completions", body=json.dumps(body), headers=headers, preload_content=False
    )
    return connection


@pytest.fixture
def site(make_site, vm_layout_factories, site_class, request):
    engine, _ = vm_layout_factories
    document = site_class.sample_document()
    document["deployments"][0]["limits"] = getattr(request, "param", {})
    vms = [engine("plateau", n) for n in (1, 2)]
    site = make_site({"plateau": 1}, vms, document=document, engine_layout=SLOW_PREFILL)
    site.wait_for_whole_replicas(1)
    return site


def open_streams(site):
    return [s for e in site.site.engines.values() for s in e.streams.values() if not s.done]


@pytest.mark.parametrize("site", [{"total_deadline_ms": 400}], indirect=True)
def test_total_deadline_ends_a_running_stream(site):
    response = send_completion(site.daemons[0], "long", 10_000).getresponse()
    lines = response.data.decode().split("\n\n")
    assert "[DONE]" not in lines[-2]
    error = json.loads(lines[-2].removeprefix("data: "))["error"]
    assert (error["code"], error["outcome"]) == ("incomplete_stream", "failed")
    site.wait_for(lambda: not open_streams(site), "the engine to stop")


@pytest.mark.parametrize("stream", [True, False])
def test_disconnect_before_the_first_token_stops_the_engine(site, stream):
    connection = send_completion(site.daemons[0], "x" * 256 * 30, 1000, stream)
    site.wait_for(lambda: open_streams(site), "the engine's stream")
    connection.close()
    site.wait_for(lambda: not open_streams(site), "the engine to stop", 8)
    site.wait_for(lambda: not site.daemons[0].load_tracker.requests_by_replica(), "the free slot")


@pytest.mark.parametrize("site", [{"first_token_deadline_ms": 200}], indirect=True)
def test_first_token_deadline_retries_and_stops_the_first_stream(site):
    """The second attempt is fast because the stand-in has cached the prompt's prefix."""
    response = send_completion(site.daemons[0], "x" * 256 * 30, 50).getresponse()
    assert response.status == 200
    assert response.data.endswith(b"data: [DONE]\n\n")
    lost = site.daemons[0].decisions.find("attempt_lost")
    assert [entry["reason"] for entry in lost] == ["timeout"]
    site.wait_for(lambda: not open_streams(site), "the first stream to stop", 8)


def test_disconnect_in_mid_stream_stops_the_engine_after_retention(site):
    connection = send_completion(site.daemons[0], "short", 100_000)
    response = connection.getresponse()
    next(response.stream(None))
    site.site.engines["draft-plateau-1-1"].layout.stream_retention_ms = 300.0
    connection.close()
    site.wait_for(lambda: not open_streams(site), "the engine to stop")
