"""Tests of zone adoption, leaving endpoints and sources of configuration.

A zone that loses its only daemon is served by the nearest zone until it has one again.
"""

from corianderhaven.standins import expected_text

BODY = {"model": "report-drafter", "prompt": "Adopted", "max_tokens": 20}


def complete_draft(site, daemon):
    answer = site.caller_request(daemon, "POST", "/v1/completions", BODY)
    assert answer.status == 200, answer.body
    return answer.json()["choices"][0]["text"]


def test_zone_is_adopted_and_handed_back(make_site, vm_layout_factories):
    engine, service = vm_layout_factories
    vms = [engine("plateau", n) for n in range(1, 5)] + [service("plateau")]
    site = make_site({"plateau": 1, "pikine": 1, "rufisque": 1}, vms)
    plateau, pikine, rufisque = site.daemons
    site.wait_for_whole_replicas(2)
    site.wait_for(lambda: pikine.adoption.records, "summaries of other zones")
    assert complete_draft(site, rufisque) == expected_text("Adopted", 20)
    plateau.close()
    site.site.vm_list.set_state(plateau.peer_info.name, "gone")
    site.wait_for(lambda: "plateau" in pikine.adoption.served_zones(), "adoption", 40)
    assert rufisque.adoption.served_zones() == {"rufisque"}
    site.wait_for(lambda: len(pikine.view.whole_replicas()) == 2, "its replicas", 20)
    site.wait_for(
        lambda: pikine.placement.placers["plateau"].lease.current_state() == "held", "its lease"
    )
    assert complete_draft(site, pikine) == expected_text("Adopted", 20)
    site.wait_for(
        lambda: rufisque.targets.remote_zones.for_deployment("drafts"), "the new summary", 20
    )
    assert complete_draft(site, rufisque) == expected_text("Adopted", 20)
    assert site.run_operation(pikine, "adopted", key="adopted").status == 200
    replacement = site.start_daemon("plateau", 1)
    site.wait_for(lambda: pikine.adoption.served_zones() == {"pikine"}, "handing back", 20)
    site.wait_for(
        lambda: len(replacement.view.whole_replicas()) == 2, "the own zone's replicas", 20
    )
    site.wait_for(
        lambda: replacement.placement.placers["plateau"].lease.current_state() == "held",
        "the lease back",
    )
    assert complete_draft(site, replacement) == expected_text("Adopted", 20)


def test_leaving_endpoint_gets_no_new_operations(make_site, vm_layout_factories):
    engine, service = vm_layout_factories
    site = make_site({"plateau": 1}, [service("plateau", 1), service("plateau", 2)])
    daemon = site.daemons[0]
    document = daemon.holder.document
    site.wait_for(lambda: len(daemon.operations.endpoints(document.services[0])) == 2, "endpoints")
    site.site.vm_list.set_state("tablet-plateau-1", "leaving")
    site.site.set_fault("tablet-plateau-2", "leaving", True)
    site.wait_for(lambda: not daemon.operations.endpoints(document.services[0]), "both leaving")
    answer = site.run_operation(daemon, "late", key="late")
    assert (answer.status, answer.json()["error"]["outcome"]) == (503, "not_run")
    assert site.executions("late") == 0


def test_daemon_without_configuration_is_not_ready(make_site, vm_layout_factories):
    site = make_site({"plateau": 1}, [], apply=False)
    daemon = site.daemons[0]
    assert site.caller_request(daemon, "GET", "/readyz").status == 503
    assert site.caller_request(daemon, "GET", "/healthz").status == 200
    answer = site.caller_request(daemon, "GET", "/v1/models")
    assert answer.json()["error"]["code"] == "not_ready"


def test_daemon_started_during_platform_outage_contacts_its_seeds(make_site):
    site = make_site({"plateau": 1}, [])
    first = site.daemons[0]
    site.site.kv_gateway.faults.down = True
    site.settings["seeds"] = [first.peer_info.address]
    second = site.start_daemon("plateau", 2)
    site.wait_for(lambda: second.holder.revision == first.holder.revision, "the configuration")
    assert site.caller_request(second, "GET", "/readyz").status == 200
