"""Random orders of events around two placers; fixed seeds."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from corianderhaven.placement.tests.zone_model import ZoneModel

VMS = 6
MEMBERS = 2


class PlacementMachine(RuleBasedStateMachine):
    """Holder and successor, pauses, lost answers, outages, delayed and reordered orders."""

    checks = True

    @initialize()
    def start(self):
        self.model = ZoneModel(vms=VMS, members=MEMBERS, checks=self.checks)
        self.model.delay_orders = self.checks
        self.highest_generation = 0

    @rule(which=st.sampled_from([(0,), (1,), (0, 1), ()]), steps=st.integers(1, 4))
    def tick(self, which, steps):
        for _ in range(steps):
            self.model.step(which)

    @rule(index=st.integers(0, 1), seconds=st.integers(1, 12))
    def pause_one(self, index, seconds):
        """Let only the other placer run for a while; this one then wakes and acts."""
        for _ in range(seconds * 2):
            self.model.step((1 - index,))
        self.model.placers[index].tick()

    @rule(index=st.integers(0, 1), down=st.booleans())
    def outage(self, index, down):
        self.model.placers[index].intents.store.down = down

    @rule(index=st.integers(0, 1), count=st.integers(1, 2))
    def lose_answers(self, index, count):
        self.model.placers[index].intents.store.lose_answers = count

    @precondition(lambda self: self.model.delayed)
    @rule(data=st.data())
    def deliver(self, data):
        index = data.draw(st.integers(0, len(self.model.delayed) - 1))
        self.model.deliver(index)

    @precondition(lambda self: self.model.delayed)
    @rule(data=st.data())
    def lose_order(self, data):
        self.model.delayed.pop(data.draw(st.integers(0, len(self.model.delayed) - 1)))

    @rule(vm=st.integers(0, VMS - 1), fault=st.sampled_from(["die", "silent", "back"]))
    def member(self, vm, fault):
        engine = self.model.engines[f"v{vm}"]
        if fault == "die":
            engine.die()
        elif fault == "silent":
            engine.silent = True
        else:
            engine.come_back()

    @invariant()
    def no_vm_in_two_replicas(self):
        intended = [m["vm"] for r in self.model.stored_intent()["replicas"] for m in r["members"]]
        assert len(intended) == len(set(intended))
        serving = [vm for vms in self.model.whole().values() for vm in vms]
        assert len(serving) == len(set(serving))

    @invariant()
    def no_order_without_the_lease(self):
        assert not self.model.unlawful

    @invariant()
    def checking_engines_obey_growing_tokens(self):
        if self.checks:
            for engine in self.model.engines.values():
                assert engine.obeyed_tokens == sorted(engine.obeyed_tokens)

    @invariant()
    def generations_grow(self):
        generation = self.model.stored_intent()["next_generation"]
        assert generation >= self.highest_generation
        self.highest_generation = generation

    def teardown(self):
        """When faults stop, every replica that can be whole becomes whole."""
        model = self.model
        model.delay_orders = False
        model.delayed.clear()
        for placer in model.placers:
            placer.intents.store.down = False
            placer.intents.store.lose_answers = 0
        for engine in model.engines.values():
            engine.come_back()
        model.run(240)
        assert len(model.whole()) == VMS // MEMBERS


class IgnoringEnginesMachine(PlacementMachine):
    """The same with engines that ignore fencing tokens."""

    checks = False


SETTINGS = settings(max_examples=40, stateful_step_count=30, deadline=None, derandomize=True)
TestCheckingEngines = PlacementMachine.TestCase
TestCheckingEngines.settings = SETTINGS
TestIgnoringEngines = IgnoringEnginesMachine.TestCase
TestIgnoringEngines.settings = SETTINGS
