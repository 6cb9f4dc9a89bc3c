"""Random event sequences with two competing placers; seeds are fixed."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from corianderhaven.placement.tests.zone_model import ZoneModel

VMS = 6
MEMBERS = 2


class PlacementMachine(RuleBasedStateMachine):
    """Lease holder and successor with pauses, lost responses, outages and delayed orders."""

    checks_token = True

    @initialize()
    def create_model(self):
        self.model = ZoneModel(vms=VMS, members=MEMBERS, checks_token=self.checks_token)
        self.model.delay_orders = self.checks_token
        self.highest_generation = 0

    @rule(which=st.sampled_from([(0,), (1,), (0, 1), ()]), steps=st.integers(1, 4))
    def tick(self, which, steps):
        for _ in range(steps):
            self.model.step(which)

    @rule(index=st.integers(0, 1), seconds=st.integers(1, 12))
    def run_other_placer_alone(self, index, seconds):
        """Run only the other placer for `seconds`, then run this one once with its old state."""
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
    def change_member(self, vm, fault):
        engine = self.model.engines[f"v{vm}"]
        if fault == "die":
            engine.die()
        elif fault == "silent":
            engine.silent = True
        else:
            engine.recover()

    @invariant()
    def no_vm_in_two_replicas(self):
        intended = [m["vm"] for r in self.model.stored_intent()["replicas"] for m in r["members"]]
        assert len(intended) == len(set(intended))
        serving = [vm for vms in self.model.whole().values() for vm in vms]
        assert len(serving) == len(set(serving))

    @invariant()
    def no_order_without_the_lease(self):
        assert not self.model.orders_without_lease

    @invariant()
    def checking_engines_accept_increasing_tokens(self):
        if self.checks_token:
            for engine in self.model.engines.values():
                assert engine.accepted_tokens == sorted(engine.accepted_tokens)

    @invariant()
    def generations_never_decrease(self):
        generation = self.model.stored_intent()["next_generation"]
        assert generation >= self.highest_generation
        self.highest_generation = generation

    def teardown(self):
        """Check that all possible replicas become whole once faults stop."""
        model = self.model
        model.delay_orders = False
        model.delayed.clear()
        for placer in model.placers:
            placer.intents.store.down = False
            placer.intents.store.lose_answers = 0
        for engine in model.engines.values():
            engine.recover()
        model.run(240)
        assert len(model.whole()) == VMS // MEMBERS


class IgnoringEnginesMachine(PlacementMachine):
    """`PlacementMachine` with engines that ignore fencing tokens."""

    checks_token = False


SETTINGS = settings(max_examples=40, stateful_step_count=30, deadline=None, derandomize=True)
TestCheckingEngines = PlacementMachine.TestCase
TestCheckingEngines.settings = SETTINGS
TestIgnoringEngines = IgnoringEnginesMachine.TestCase
TestIgnoringEngines.settings = SETTINGS
