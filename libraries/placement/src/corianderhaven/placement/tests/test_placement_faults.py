"""Every fault at every step of placement, run in memory."""

from pytest_bdd import given, parsers, scenarios, then, when

from corianderhaven.placement.tests.zone_model import ZoneModel, sample_document

scenarios("placement_faults.feature")

MEMBERS = 2
DOMAINS = 2
VMS = 10
PAUSE_STEPS = 30
SETTLE_STEPS = 260


class Scenario:
    """One scenario: the zone model, the fault to inject, and the violations."""

    def __init__(self, checks_token):
        self.model = ZoneModel(vms=VMS, members=MEMBERS, checks_token=checks_token, domains=DOMAINS)
        self.active = {0, 1}
        self.fault_step = None
        self.fault = None
        self.fired = False
        self.lose_orders = False
        self.violations = []
        self.highest_generation = 0
        self._install_hooks()

    def _install_hooks(self):
        holder = self.model.placers[0]
        write, send = holder.intents.write, holder.orders.send_all

        def write_with_hooks(intent, token):
            self.reach_step("before intent")
            written = write(intent, token)
            self.reach_step("after intent")
            return written

        def send_with_hooks(orders, lease):
            if self.lose_orders:
                return True
            token_accepted = send(orders[:1], lease)
            self.reach_step("first order")
            token_accepted = send(orders[1:], lease) and token_accepted
            self.reach_step("all ordered")
            return token_accepted

        holder.intents.write, holder.orders.send_all = write_with_hooks, send_with_hooks

    def reach_step(self, step):
        if self.fault_step == step and not self.fired:
            self.fired = True
            self.fault()

    def step(self):
        model = self.model
        model.clock.advance_ms(500.0)
        model.probe()
        for index in sorted(self.active):
            model.placers[index].tick()
        self.check()

    def check(self):
        intent = self.model.stored_intent()
        intended = [m["vm"] for r in intent["replicas"] for m in r["members"]]
        if len(intended) != len(set(intended)):
            self.violations.append("a VM in two intended replicas")
        serving = [vm for vms in self.model.whole().values() for vm in vms]
        if len(serving) != len(set(serving)):
            self.violations.append("a VM in two whole replicas")
        if intent["next_generation"] < self.highest_generation:
            self.violations.append("the next generation decreased")
        self.highest_generation = intent["next_generation"]
        self.violations += self.model.orders_without_lease

    def run(self, steps):
        for _ in range(steps):
            self.step()


@given(
    parsers.parse("a zone with spares and engines that {kind} fencing tokens"),
    target_fixture="scenario",
)
def zone(kind):
    return Scenario(kind == "check")


@when(parsers.parse('{process} reaches the step "{step}" and {fault}'))
def reach(scenario, process, step, fault):
    scenario.active = {0}
    if process != "formation":
        scenario.run(20)
    scenario.fault_step = step
    scenario.fault = make_fault(scenario, fault)
    if process == "repair":
        next(e for e in scenario.model.engines.values() if e.assignment).die()
    elif process == "roll-out":
        document = sample_document(MEMBERS, version="v2")
        document.deployments[0].engine.checks_fencing_token = scenario.model.checks_token
        scenario.model.holder.record.document = document
    scenario.run(8)
    scenario.active |= {1} if scenario.active else set()
    if not scenario.active:
        scenario.active = {1}
    scenario.run(PAUSE_STEPS)
    assert scenario.fired


def make_fault(scenario, fault):
    engines = list(scenario.model.engines.values())
    member = next((e for e in engines if e.assignment), engines[0])
    store = scenario.model.placers[0].intents.store

    def silence_domain():
        for engine in engines:
            if engine.vm.fabric_domain == member.vm.fabric_domain:
                engine.silent = True

    def restart_member():
        member.die()
        member.recover()

    def change_document():
        document = sample_document(MEMBERS, max_replicas_per_zone=2)
        document.deployments[0].engine.checks_fencing_token = scenario.model.checks_token
        scenario.model.holder.record.document = document

    return {
        "a member dies": member.die,
        "a member pauses": lambda: setattr(member, "silent", True),
        "a member flaps": restart_member,
        "the holder pauses": scenario.active.clear,
        "the holder dies": scenario.active.clear,
        "the platform goes down": lambda: setattr(store, "down", True),
        "the answer is lost": lambda: setattr(store, "lose_answers", 1),
        "the orders are lost": lambda: setattr(scenario, "lose_orders", True),
        "a domain stops responding": silence_domain,
        "the document changes": change_document,
    }[fault]


@then("no invariant was broken at any step")
def no_violation(scenario):
    assert scenario.violations == []


@then("every replica that can be whole becomes whole")
def becomes_whole(scenario):
    model = scenario.model
    for engine in model.engines.values():
        engine.recover()
    model.placers[0].intents.store.down = False
    model.placers[0].intents.store.lose_answers = 0
    scenario.lose_orders = False
    scenario.active = {0, 1}
    scenario.run(SETTLE_STEPS)
    limit = model.max_replicas()
    assert len(model.whole()) == min(limit, VMS // DOMAINS // MEMBERS * DOMAINS)
    assert scenario.violations == []
    versions = {e.assignment.version for e in model.engines.values() if e.assignment}
    assert versions == {model.holder.document.deployments[0].version}
