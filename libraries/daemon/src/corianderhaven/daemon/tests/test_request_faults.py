"""The fault matrix of requests."""

import copy
import functools
import json
import threading

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from corianderhaven.common import open_connection
from corianderhaven.daemon.tests.fault_steps import StepHook, hook_draft, hook_operation
from corianderhaven.standins import expected_text

scenarios("request_faults.feature")

TOKENS = 40
MID_STREAM = 15
KEY = "day-team-a-1.example"
LIMITS = {"first_token_deadline_ms": 700, "gap_deadline_ms": 300, "queue_deadline_ms": 4000}
OPERATION_DEADLINE_MS = 700


def matrix_document(sample):
    document = copy.deepcopy(sample)
    document["deployments"][0]["limits"] = LIMITS
    for operation in document["services"][0]["operations"]:
        operation["deadline_ms"] = OPERATION_DEADLINE_MS
    return document


@pytest.fixture(scope="module")
def matrix_site(site_class, vm_layout_factories):
    engine, service = vm_layout_factories
    vms = [engine("plateau", n, d) for d in "12" for n in (1, 2)]
    vms += [service("plateau", 1), service("plateau", 2)]
    site = site_class({"plateau": 2}, vms, document=matrix_document(site_class.sample_document()))
    try:
        yield site.start()
    finally:
        site.close()


@pytest.fixture
def story():
    """Return what a scenario has seen so far."""
    return {}


@given("a site with two fabric domains")
def site_with_two_domains(matrix_site):
    heal(matrix_site)


def heal(site):
    faults = site.site.kv_gateway.faults
    faults.down, faults.delay_ms, faults.lose_answers = False, 0.0, 0.0
    for vm in site.vms:
        site.site.set_fault(vm.id, "restore")
        site.site.set_fault(vm.id, "leaving", False)
        if vm.kind == "engine":
            site.site.set_fault(vm.id, "straggle", 1.0)
        else:
            site.site.set_fault(vm.id, "operation", "none")

    def healthy():
        return all(
            len(d.view.whole_replicas()) == 2
            and len(d.operations.endpoints(d.holder.document.services[0])) == 2
            and d.directory.platform_reachable
            and not d.claims.pending_writes
            for d in site.daemons
        )

    site.wait_for(healthy, "a healthy site")


def engine_fault(site, fault):
    """Bring a fault about at the replica that is serving, or at any."""
    busy = [e for e in site.site.engines.values() if e.streams]
    leader = busy[0] if busy else next(iter(site.site.engines.values()))
    domain = f"domain:{leader.vm.fabric_domain}"
    other = next(
        e.vm.id
        for e in site.site.engines.values()
        if e.vm.fabric_domain == leader.vm.fabric_domain and e is not leader
    )
    set_fault = site.site.set_fault
    actions = {
        "member dies": lambda: set_fault(other, "kill"),
        "member pauses": lambda: set_fault(leader.vm.id, "silent"),
        "fabric domain goes dark": lambda: set_fault(domain, "silent"),
        "member straggles": lambda: set_fault(other, "straggle", 10.0),
        "open connections go silent": lambda: set_fault(domain, "silence_existing"),
        "endpoint starts leaving": lambda: set_fault(other, "leaving", True),
    }
    actions.get(fault, lambda: shared_fault(site, fault))()


def service_fault(site, fault):
    """Bring a fault about at both endpoints of the service, so that the choice doesn't matter."""
    set_fault = site.site.set_fault
    first, second = (vm.id for vm in site.vms if vm.kind == "service")
    if fault == "endpoint refuses":
        set_fault(first, "operation", "refuse")
    elif fault == "answer is lost":
        set_fault(first, "operation", "drop_after")
        set_fault(second, "operation", "drop_after")
    elif fault == "endpoint starts leaving":
        set_fault(first, "leaving", True)
    else:
        shared_fault(site, fault)


def shared_fault(site, fault):
    faults = site.site.kv_gateway.faults
    if fault == "platform goes down":
        faults.down = True
    elif fault == "platform is slow":
        faults.delay_ms = 200.0
    elif fault == "platform loses answers":
        faults.lose_answers = 0.5
    elif fault == "operators race":
        race(site)
    else:
        raise AssertionError(fault)


def race(site):
    """Two operators propose different changes based on the same revision at once."""
    base = site.daemons[0].holder.revision
    answers = []

    def propose(daemon, limit):
        document = matrix_document(site.sample_document())
        document["accounts"][0]["max_in_flight"] = limit
        answers.append(site.apply(document, "operator-1.example", base, daemon).status)

    threads = [
        threading.Thread(target=propose, args=(daemon, 50 + number))
        for number, daemon in enumerate(site.daemons)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(answers) == [200, 409]


@when(parsers.parse('a draft reaches the step "{step}" and {fault}'))
def run_draft(matrix_site, story, step, fault, monkeypatch, request):
    site, daemon = matrix_site, matrix_site.daemons[0]
    hook = StepHook(monkeypatch, lambda: engine_fault(site, fault))
    hook_draft(hook, daemon, step)
    fire_at = {"first byte": 1, "mid-stream": MID_STREAM, "end": TOKENS - 1}.get(step)
    story["prompt"] = f"{fault} at {step}"
    story["status"], story["text"], story["ended"] = read_draft(
        daemon, story["prompt"], hook, fire_at
    )
    assert hook.fired


def read_draft(daemon, prompt, hook, fire_at):
    body = {
        "model": "report-drafter",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    connection = open_connection(daemon.callers_server.address, 2000, 20000)
    headers = {"Authorization": f"Bearer {KEY}"}
    path = "/v1/chat/completions"
    connection.request("POST", path, body=json.dumps(body), headers=headers, preload_content=False)
    response = connection.getresponse()
    text, ended, pending, count = "", False, b"", 0
    for part in response.stream(None):
        *blocks, pending = (pending + part).split(b"\n\n")
        for block in blocks:
            data = block.partition(b"data: ")[2]
            if data == b"[DONE]":
                ended = True
                continue
            chunk = json.loads(data)
            assert "error" not in chunk, chunk
            text += chunk["choices"][0]["delta"].get("content", "")
            count += 1
            if fire_at is not None and count >= fire_at:
                hook.fire()
    connection.close()
    return response.status, text, ended


@then("the answer is complete with each token once")
def answer_is_complete(story):
    assert story["status"] == 200
    assert story["ended"]
    assert story["text"] == expected_text(f"user: {story['prompt']}\n", TOKENS)


@then("nothing stays in flight")
def nothing_in_flight(matrix_site):
    def idle():
        return all(
            not d.load_tracker.requests_by_replica() and not d.load_tracker.requests_by_account()
            for d in matrix_site.daemons
        )

    matrix_site.wait_for(idle, "no request in flight")


@when(parsers.parse('an operation reaches the step "{step}" and {fault}'))
def run_operation(matrix_site, story, step, fault, monkeypatch):
    site, daemon = matrix_site, matrix_site.daemons[0]
    first, second = (vm.id for vm in site.vms if vm.kind == "service")

    def act():
        if fault not in ("endpoint dies", "endpoint pauses"):
            service_fault(site, fault)
            return
        kind = "kill" if fault == "endpoint dies" else "silent"
        for vm_id in (first, second) if step == "send" else (first,):
            site.site.set_fault(vm_id, kind)

    if fault in ("endpoint dies", "endpoint pauses"):
        prefer = functools.partial(prefer_vm, first)
        monkeypatch.setattr(daemon.operations.random, "sample", prefer)
    hook = StepHook(monkeypatch, act)
    hook_operation(hook, daemon, step)
    story["id"] = f"{fault} at {step}".replace(" ", "-")
    story["answer"] = site.run_operation(daemon, story["id"], key=story["id"])
    story["fault"] = fault
    assert hook.fired


def prefer_vm(vm_id, free, count):
    return [t for t in free if t.vm == vm_id] or free[:1]


@then(parsers.parse('the caller is told "{told}"'))
def caller_is_told(story, told):
    answer = story["answer"]
    outcome = "complete" if answer.status == 200 else answer.json()["error"]["outcome"]
    story["outcome"] = outcome
    assert outcome in told.split(" or "), answer.body


@then("the operation has run as often as was told")
def run_as_told(matrix_site, story):
    count = matrix_site.executions(story["id"])
    allowed = {"complete": {1}, "not_run": {0}, "unknown": {0, 1}}[story["outcome"]]
    assert count in allowed


@then("the same key through another daemon never runs it again")
def repeat_never_doubles(matrix_site, story):
    before = matrix_site.executions(story["id"])
    heal(matrix_site)
    answer = matrix_site.run_operation(matrix_site.daemons[1], story["id"], key=story["id"])
    count = matrix_site.executions(story["id"])
    assert count <= 1
    if story["outcome"] == "complete":
        assert (answer.status, answer.body) == (200, story["answer"].body)
    elif story["outcome"] == "unknown":
        assert count == before
        assert answer.json()["error"]["outcome"] == "unknown"
    else:
        assert (answer.status, count) == (200, 1)
