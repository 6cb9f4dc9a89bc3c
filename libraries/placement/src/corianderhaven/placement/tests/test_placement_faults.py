"""The fault matrix of placement, in memory."""

from pytest_bdd import given, parsers, scenarios, then, when

from corianderhaven.placement.tests.zone_model import ZoneModel, sample_document

scenarios("placement_faults.feature")

MEMBERS = 2
DOMAINS = 2
VMS = 10
PAUSE_STEPS = 30
SETTLE_STEPS = 260


class Story:
    """One scenario: a model, a hook at a step, and what was seen."""

    def __init__(self, checks):
        self.model = ZoneModel(vms=VMS, members=MEMBERS, checks=checks, domains=DOMAINS)
        self.active = {0, 1}
        self.armed = None
        self.fault = None
        self.fired = False
        self.lose_orders = False
        self.violations = []
        self.highest_generation = 0
        self._hook()

    def _hook(self):
        holder = self.model.placers[0]
        write, send = holder.intents.write, holder.orders.send_all

        def hooked_write(intent, token):
            self.at("before intent")
            written = write(intent, token)
            self.at("after intent")
            return written

        def hooked_send(orders, lease):
            if self.lose_orders:
                return True
            kept = send(orders[:1], lease)
            self.at("first order")
            kept = send(orders[1:], lease) and kept
            self.at("all ordered")
            return kept

        holder.intents.write, holder.orders.send_all = hooked_write, hooked_send

    def at(self, step):
        if self.armed == step and not self.fired:
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
            self.violations.append("a lower generation")
        self.highest_generation = intent["next_generation"]
        self.violations += self.model.unlawful

    def run(self, steps):
        for _ in range(steps):
            self.step()


@given(
    parsers.parse("a zone with spares and engines that {kind} fencing tokens"),
    target_fixture="story",
)
def zone(kind):
    return Story(kind == "check")


@when(parsers.parse('{process} reaches the step "{step}" and {fault}'))
def reach(story, process, step, fault):
    story.active = {0}
    if process != "formation":
        story.run(20)
    story.armed = step
    story.fault = make_fault(story, fault)
    if process == "repair":
        next(e for e in story.model.engines.values() if e.assignment).die()
    elif process == "roll-out":
        document = sample_document(MEMBERS, version="v2")
        document.deployments[0].engine.checks_fencing_token = story.model.checks
        story.model.holder.record.document = document
    story.run(8)
    story.active |= {1} if story.active else set()
    if not story.active:
        story.active = {1}
    story.run(PAUSE_STEPS)
    assert story.fired


def make_fault(story, fault):
    engines = list(story.model.engines.values())
    member = next((e for e in engines if e.assignment), engines[0])
    store = story.model.placers[0].intents.store

    def dark():
        for engine in engines:
            if engine.vm.fabric_domain == member.vm.fabric_domain:
                engine.silent = True

    def flap():
        member.die()
        member.come_back()

    def change():
        document = sample_document(MEMBERS, max_replicas_per_zone=2)
        document.deployments[0].engine.checks_fencing_token = story.model.checks
        story.model.holder.record.document = document

    return {
        "a member dies": member.die,
        "a member pauses": lambda: setattr(member, "silent", True),
        "a member flaps": flap,
        "the holder pauses": story.active.clear,
        "the holder dies": story.active.clear,
        "the platform goes down": lambda: setattr(store, "down", True),
        "the answer is lost": lambda: setattr(store, "lose_answers", 1),
        "the orders are lost": lambda: setattr(story, "lose_orders", True),
        "a domain goes dark": dark,
        "the document changes": change,
    }[fault]


@then("no invariant was broken at any step")
def no_violation(story):
    assert story.violations == []


@then("every replica that can be whole becomes whole")
def becomes_whole(story):
    model = story.model
    for engine in model.engines.values():
        engine.come_back()
    model.placers[0].intents.store.down = False
    model.placers[0].intents.store.lose_answers = 0
    story.lose_orders = False
    story.active = {0, 1}
    story.run(SETTLE_STEPS)
    limit = model.document_limit()
    assert len(model.whole()) == min(limit, VMS // DOMAINS // MEMBERS * DOMAINS)
    assert story.violations == []
    versions = {e.assignment.version for e in model.engines.values() if e.assignment}
    assert versions == {model.holder.document.deployments[0].version}
