"""Tests of drafts and operations under each fault at each step."""

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


def fault_document(sample):
    document = copy.deepcopy(sample)
    document["deployments"][0]["limits"] = LIMITS
    for operation in document["services"][0]["operations"]:
        operation["deadline_ms"] = OPERATION_DEADLINE_MS
    return document


@pytest.fixture(scope="module")
def fault_site(site_class, vm_layout_factories):
    engine, service = vm_layout_factories
    vms = [engine("plateau", n, d) for d in "12" for n in (1, 2)]
    vms += [service("plateau", 1), service("plateau", 2)]
    site = site_class({"plateau": 2}, vms, document=fault_document(site_class.sample_document()))
    try:
        yield site.start()
    finally:
        site.close()


@pytest.fixture
def context():
    """Return the values that the steps of a scenario share."""
    return {}


@given("a site with two fabric domains")
def site_with_two_domains(fault_site):
    restore_site(fault_site)


def restore_site(site):
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


def inject_engine_fault(site, fault):
    """Inject a fault into the replica that is serving, or into any replica if none is."""
    serving = [e for e in site.site.engines.values() if e.streams]
    head = serving[0] if serving else next(iter(site.site.engines.values()))
    domain = f"domain:{head.vm.fabric_domain}"
    other = next(
        e.vm.id
        for e in site.site.engines.values()
        if e.vm.fabric_domain == head.vm.fabric_domain and e is not head
    )
    set_fault = site.site.set_fault
    actions = {
        "member dies": lambda: set_fault(other, "kill"),
        "member pauses": lambda: set_fault(head.vm.id, "silent"),
        "fabric domain stops responding": lambda: set_fault(domain, "silent"),
        "member straggles": lambda: set_fault(other, "straggle", 10.0),
        "open connections go silent": lambda: set_fault(domain, "silence_existing"),
        "endpoint starts leaving": lambda: set_fault(other, "leaving", True),
    }
    actions.get(fault, lambda: inject_platform_fault(site, fault))()


def inject_service_fault(site, fault):
    """Inject a fault into the service.

    A lost answer is injected at both endpoints, so that it does not matter which is chosen.
    """
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
        inject_platform_fault(site, fault)


def inject_platform_fault(site, fault):
    faults = site.site.kv_gateway.faults
    if fault == "platform goes down":
        faults.down = True
    elif fault == "platform is slow":
        faults.delay_ms = 200.0
    elif fault == "platform loses answers":
        faults.lose_answers = 0.5
    elif fault == "operators race":
        propose_conflicting_changes(site)
    else:
        raise AssertionError(fault)


def propose_conflicting_changes(site):
    """Propose two different changes to the same revision concurrently, as two operators."""
    base = site.daemons[0].holder.revision
    answers = []

    def propose(daemon, limit):
        document = fault_document(site.sample_document())
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
def run_draft(fault_site, context, step, fault, monkeypatch, request):
    site, daemon = fault_site, fault_site.daemons[0]
    hook = StepHook(monkeypatch, lambda: inject_engine_fault(site, fault))
    hook_draft(hook, daemon, step)
    fire_at_event = {"first byte": 1, "mid-stream": MID_STREAM, "end": TOKENS - 1}.get(step)
    context["prompt"] = f"{fault} at {step}"
    context["status"], context["text"], context["ended"] = read_draft(
        daemon, context["prompt"], hook, fire_at_event
    )
    assert hook.fired


def read_draft(daemon, prompt, hook, fire_at_event):
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
            if fire_at_event is not None and count >= fire_at_event:
                hook.fire()
    connection.close()
    return response.status, text, ended


@then("the answer is complete with each token once")
def answer_is_complete(context):
    assert context["status"] == 200
    assert context["ended"]
    assert context["text"] == expected_text(f"user: {context['prompt']}\n", TOKENS)


@then("nothing stays in flight")
def nothing_in_flight(fault_site):
    def idle():
        return all(
            not d.load_tracker.requests_by_replica() and not d.load_tracker.requests_by_account()
            for d in fault_site.daemons
        )

    fault_site.wait_for(idle, "no request in flight")


@when(parsers.parse('an operation reaches the step "{step}" and {fault}'))
def run_operation(fault_site, context, step, fault, monkeypatch):
    site, daemon = fault_site, fault_site.daemons[0]
    first, second = (vm.id for vm in site.vms if vm.kind == "service")

    def inject_fault():
        if fault not in ("endpoint dies", "endpoint pauses"):
            inject_service_fault(site, fault)
            return
        kind = "kill" if fault == "endpoint dies" else "silent"
        for vm_id in (first, second) if step == "send" else (first,):
            site.site.set_fault(vm_id, kind)

    if fault in ("endpoint dies", "endpoint pauses"):
        prefer_first = functools.partial(prefer_vm, first)
        monkeypatch.setattr(daemon.operations.random, "sample", prefer_first)
    hook = StepHook(monkeypatch, inject_fault)
    hook_operation(hook, daemon, step)
    context["id"] = f"{fault} at {step}".replace(" ", "-")
    context["answer"] = site.run_operation(daemon, context["id"], key=context["id"])
    context["fault"] = fault
    assert hook.fired


def prefer_vm(vm_id, candidates, count):
    return [t for t in candidates if t.vm == vm_id] or candidates[:1]


@then(parsers.parse('the caller receives the outcome "{expected}"'))
def caller_receives_outcome(context, expected):
    answer = context["answer"]
    outcome = "complete" if answer.status == 200 else answer.json()["error"]["outcome"]
    context["outcome"] = outcome
    assert outcome in expected.split(" or "), answer.body


@then("the operation has run as often as the outcome allows")
def execution_count_matches(fault_site, context):
    count = fault_site.executions(context["id"])
    allowed = {"complete": {1}, "not_run": {0}, "unknown": {0, 1}}[context["outcome"]]
    assert count in allowed


@then("the same key through another daemon never runs it again")
def repeated_key_does_not_run_again(fault_site, context):
    before = fault_site.executions(context["id"])
    restore_site(fault_site)
    answer = fault_site.run_operation(fault_site.daemons[1], context["id"], key=context["id"])
    count = fault_site.executions(context["id"])
    assert count <= 1
    if context["outcome"] == "complete":
        assert (answer.status, answer.body) == (200, context["answer"].body)
    elif context["outcome"] == "unknown":
        assert count == before
        assert answer.json()["error"]["outcome"] == "unknown"
    else:
        assert (answer.status, count) == (200, 1)
