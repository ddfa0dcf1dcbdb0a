"""Steps that run a small fleet through random histories of faults."""

from __future__ import annotations

from dataclasses import replace

from behave import then
from benchmarks.policy import faults
from benchmarks.policy.fair import FairPolicy
from benchmarks.policy.shapes import DEPLOYMENTS, Demand, Tenant
from benchmarks.policy.world import World
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

SHAPE = replace(
    DEPLOYMENTS[1],
    servers=2,
    slots=2,
    entries=3,
    waiting=5,
    domains=('galata', 'kamchia'),
)
TENANTS = tuple(
    Tenant(f'w{number}', 1 + number % 2, 1, (1, 0, 0)) for number in range(4)
)
QUIET_SECONDS = 400


class Fleet(RuleBasedStateMachine):
    """Three entries and two sides."""

    def __init__(self):
        super().__init__()
        self.world = World(SHAPE, TENANTS, FairPolicy(), 1)
        self.seconds = 0
        self.epoch = 0
        self.is_cut = False
        self.started = set()
        self.start = self.world.carrier.start
        self.world.carrier.start = self.check_start

    def check_start(self, side, attempt_id):
        """Check that an attempt starts only once."""
        assert attempt_id not in self.started, attempt_id
        self.started.add(attempt_id)
        self.start(side, attempt_id)

    def advance(self, seconds):
        """Advance the simulated clock."""
        self.seconds += seconds
        self.world.events.run(self.seconds)

    @rule(
        number=st.integers(0, 3),
        entry=st.integers(0, 2),
        cost=st.floats(1, 50),
        factor=st.floats(0.25, 4),
        count=st.integers(1, 8),
    )
    def submit(self, number, entry, cost, factor, count):
        """Send requests of one workspace."""
        for _ in range(count):
            demand = Demand(
                self.seconds,
                f'w{number}',
                entry,
                cost,
                cost * factor,
            )
            self.world.submit(demand)

    @rule(seconds=st.floats(0.01, 5))
    def wait(self, seconds):
        """Advance the simulated clock."""
        self.advance(seconds)

    @rule(loss=st.sampled_from((0, 0.05, 0.5)))
    def lose(self, loss):
        """Lose control messages from now on."""
        self.world.links.loss = loss

    @rule(seconds=st.sampled_from((0, 0.2)))
    def slow(self, seconds):
        """Delay messages from now on."""
        self.world.links.added_seconds = seconds

    @rule(name=st.sampled_from(('s0', 's1')))
    def toggle_side(self, name):
        """Kill a side, or start it again with empty state."""
        if name in self.world.links.down:
            faults.revive_side(self.world, name)
        else:
            faults.kill_side(self.world, name)

    @rule(name=st.sampled_from(('e1', 'e2')))
    def toggle_entry(self, name):
        """Kill an entry, or start it again with empty state."""
        if name in self.world.links.down:
            self.epoch += 1
            faults.revive_entry(self.world, name, self.epoch)
        else:
            faults.kill_entry(self.world, name)

    @precondition(lambda fleet: not fleet.is_cut)
    @rule()
    def cut(self):
        """Cut the links between two halves of the fleet."""
        self.is_cut = True
        faults.cut(self.world)

    @precondition(lambda fleet: fleet.is_cut)
    @rule()
    def heal(self):
        """Restore the cut links."""
        self.is_cut = False
        faults.heal(self.world)

    @invariant()
    def slots_are_respected(self):
        """No side runs more requests than it has slots."""
        for side in self.world.sides.values():
            assert len(side.running) <= SHAPE.slots, side.name

    def teardown(self):
        """End all faults; afterwards no request may wait indefinitely."""
        self.lose(0)
        self.slow(0)
        if self.is_cut:
            self.heal()
        for name in list(self.world.links.down):
            if name in self.world.sides:
                self.toggle_side(name)
            else:
                self.toggle_entry(name)
        self.advance(QUIET_SECONDS)
        waiting = {
            request.request_id: request.entry
            for request in self.world.requests.values()
            if request.waits
        }
        assert not waiting, waiting


@then('{count:d} random histories of {steps:d} steps keep every invariant')
def run_histories(context, count, steps):
    run_state_machine_as_test(
        Fleet,
        settings=settings(
            max_examples=count,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
