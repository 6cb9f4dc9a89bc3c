"""Demonstrate the main use cases on a local site; exit non-zero if a check fails."""

import argparse
import json
import sys
import threading
import time
from pathlib import Path

from corianderhaven.common import JsonClient, open_connection
from corianderhaven.standins import LocalSite, VmLayout, expected_text

CALLER_KEY = "day-team-a-1.example"
OPERATOR_KEY = "operator-1.example"
SITE_PORTS = [8100, 8101, 8102, 8103]
TOKENS = 60
ENGINES = {"plateau": 5, "pikine": 4}


def endpoints():
    """Return 12 endpoints of 2 services in 3 availability zones."""
    engines = [
        VmLayout(
            id=f"draft-{zone}-{number}",
            address="",
            zone=zone,
            kind="engine",
            label="drafting",
            fabric_domain=f"{zone}-fabric-1",
        )
        for zone, count in ENGINES.items()
        for number in range(1, count + 1)
    ]
    services = [
        VmLayout(id=f"tablet-{zone}", address="", zone=zone, kind="service", label="tablet")
        for zone in ("plateau", "pikine", "rufisque")
    ]
    return engines + services


def start_site(ports):
    """Start 4 daemons and the stand-ins, and apply the sample document."""
    site = LocalSite(
        zones={"plateau": 2, "pikine": 1, "rufisque": 1},
        endpoints=endpoints(),
        callers_ports=ports,
    ).start()
    try:
        document = json.loads((Path(__file__).parent / "ndiaye.json").read_text())
        site.apply(document)
        site.wait_ready()
        site.wait_for(lambda: count_whole_replicas(site) == 2, "two whole replicas")
    except BaseException:
        site.close()
        raise
    return site


def count_whole_replicas(site):
    """Return the number of whole replicas, read with the document's operator key."""
    seen = set()
    for daemon in site.daemons:
        answer = site.operator_get(daemon, "/operators/replicas", OPERATOR_KEY)
        seen |= {r["replica"] for r in answer["replicas"] if r["whole"]}
    return len(seen)


def stream_draft(daemon, prompt, tokens, on_token=lambda text: None):
    """Stream one draft over HTTP; return its text and whether the end marker arrived."""
    body = {
        "model": "report-drafter",
        "messages": [{"role": "user", "content": prompt}],
        "stream": True,
        "max_tokens": tokens,
    }
    connection = open_connection(daemon.callers, 2_000.0, 20_000.0)
    connection.request(
        "POST",
        "/v1/chat/completions",
        body=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {CALLER_KEY}", "Content-Type": "application/json"},
        preload_content=False,
    )
    response = connection.getresponse()
    text, ended, pending = "", False, b""
    for part in response.stream(None):
        *blocks, pending = (pending + part).split(b"\n\n")
        for block in blocks:
            data = block.partition(b"data: ")[2]
            if data == b"[DONE]":
                ended = True
                continue
            content = json.loads(data)["choices"][0]["delta"].get("content", "")
            text += content
            on_token(content)
    connection.close()
    return text, ended


def show_draft(site):
    """Stream a draft to the terminal."""
    started = time.monotonic()
    first = []

    def on_token(content):
        first.append(time.monotonic() - started) if not first else None
        print(content, end="", flush=True)

    prompt = "Draft a defect report for cover 17."
    text, ended = stream_draft(site.daemons[2], prompt, 20, on_token)
    print()
    complete = ended and text == expected_text(f"user: {prompt}\n", 20)
    return complete, f"first token after {first[0] * 1000:.0f} ms"


def show_operation(site):
    """Send a non-idempotent operation to two daemons with the same idempotency key."""
    body = {"operation_id": "closure-17", "cover": 17}
    headers = {"Authorization": f"Bearer {CALLER_KEY}", "Idempotency-Key": "closure-17"}
    answers = [
        JsonClient(daemon.callers, 5_000.0, headers).call(
            "POST", "/v1/services/tablet/close-cover", body
        )
        for daemon in (site.daemons[0], site.daemons[3])
    ]
    executions = site.executions()["tablet"].get("closure-17", 0)
    same = answers[0].status == 200 and answers[0].body == answers[1].body
    return same and executions == 1, f"2 requests, {executions} execution"


def show_member_loss(site):
    """Kill a member of the serving replica in the middle of a stream."""
    daemon = site.daemons[0]
    prompt = "Summarise the street history of cover 17."
    seen = []
    result = {}

    def run():
        result["text"], result["ended"] = stream_draft(daemon, prompt, TOKENS, seen.append)

    thread = threading.Thread(target=run)
    thread.start()
    site.wait_for(lambda: len(seen) >= 15, "the first 15 tokens")
    killed = time.monotonic()
    site.set_fault("draft-plateau-2", "kill")
    thread.join(40)
    expected = expected_text(f"user: {prompt}\n", TOKENS)
    complete = bool(result.get("ended")) and result["text"] == expected
    site.wait_for(lambda: count_whole_replicas(site) == 2, "two whole replicas after the loss")
    whole_ms = (time.monotonic() - killed) * 1000
    return complete, f"{TOKENS} tokens each once, whole again after {whole_ms:.0f} ms"


def demonstrate(site):
    """Run all parts and return the exit code."""
    parts = [
        ("a draft, streamed", show_draft),
        ("one operation, two daemons", show_operation),
        ("a member killed in mid-stream", show_member_loss),
    ]
    failed = 0
    rows = []
    for name, part in parts:
        started = time.monotonic()
        passed, detail = part(site)
        failed += not passed
        took_ms = (time.monotonic() - started) * 1000
        rows.append(f"{'ok  ' if passed else 'MISS'} {name}: {detail} ({took_ms:.0f} ms)")
    print("\n".join(rows))
    return 1 if failed else 0


def print_usage(site):
    """Print how to use the running site."""
    operators = site.daemons[0].peers
    print(
        f"""
Daemons for callers: {", ".join(d.callers for d in site.daemons)}
Operators' listener: {operators}

curl -N http://127.0.0.1:8100/v1/chat/completions \\
  -H 'Authorization: Bearer {CALLER_KEY}' -H 'Content-Type: application/json' \\
  -d '{{"model":"report-drafter","stream":true,"messages":[{{"role":"user","content":"Hello"}}]}}'

from openai import OpenAI
client = OpenAI(base_url="http://127.0.0.1:8100/v1", api_key="{CALLER_KEY}")

.venv/bin/corianderhaven status --operators {operators} --key {OPERATOR_KEY}

Interrupt to stop."""
    )


def main():
    """Run the demonstration, or keep the site running with ``--stay``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stay", action="store_true", help="stay up on ports 8100 to 8103")
    options = parser.parse_args()
    started = time.monotonic()
    site = start_site(SITE_PORTS if options.stay else [])
    print(f"site up after {time.monotonic() - started:.1f} s: 4 daemons, 12 endpoints, 3 zones")
    try:
        if not options.stay:
            return demonstrate(site)
        print_usage(site)
        threading.Event().wait()
    except KeyboardInterrupt:
        return 0
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(main())
