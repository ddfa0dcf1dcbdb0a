"""Steps that compare the decisions with a naive fair queue."""

from __future__ import annotations

from functools import partial
from random import Random

from behave import then
from benchmarks.policy.shapes import (
    DEPLOYMENTS,
    Demand,
    Tenant,
    catalogue_pool,
    workspaces,
)
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from sardinetrack.admission.api import (
    Arrival,
    BroadcastLoad,
    SendGrant,
    StartRequest,
)
from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.messages.api import Bids
from sardinetrack.routing.api import (
    AttemptOutcome,
    Dispatch,
    RoutedRequest,
    SendToSide,
    SideInfo,
)
from sardinetrack.routing.router import Router
from sardinetrack.routing.shared import ProcessIdentity

FOREVER = 1e9
NAMES = ('w0', 'w1', 'w2', 'w3')
LOAD = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.floats(1, 50),
    ),
    min_size=2,
    max_size=24,
)
WEIGHTS = st.tuples(*[st.sampled_from((1.0, 2.0, 4.0)) for _ in range(4)])


class Pair:
    """One entry and one side with one slot, without delays."""

    def __init__(self, weights):
        self.now = 0
        self.order = []
        self.sent = {}
        self.requests = {}
        self.side = SlotAdmission('first', 1)
        self.entry = Router(ProcessIdentity('a', 'first'), Random(1))
        tenants = tuple(
            Tenant(f'w{number}', weight, 1, (1.0,))
            for number, weight in enumerate(weights)
        )
        catalogue = workspaces(tenants, DEPLOYMENTS[0])
        self.entry.configure(0, catalogue, [catalogue_pool(DEPLOYMENTS[0])])
        info = SideInfo('s', DEPLOYMENTS[0].pool, 's', 'galata', '127.0.0.1:1')
        self.entry.side_connected(0, info)
        self.entry.update_side_load(0, 's', self.side.load())

    def from_entry(self, effects):
        """Apply effects of the entry."""
        for effect in effects:
            if isinstance(effect, Dispatch):
                self._order(effect)
            elif isinstance(effect, SendToSide):
                self._message(effect.message)

    def from_side(self, effects):
        """Apply effects of the side."""
        for effect in effects:
            if isinstance(effect, StartRequest):
                self.order.append(self.sent[effect.attempt_id])
            elif isinstance(effect, SendGrant):
                grant = effect.grant
                self.from_entry(self.entry.grant(self.now, 's', grant))
            elif isinstance(effect, BroadcastLoad):
                load = self.side.load()
                self.from_entry(
                    self.entry.update_side_load(self.now, 's', load)
                )

    def submit(self, demand):
        """Send a request of a caller."""
        self.now = demand.at_seconds
        request = str(demand.at_seconds)
        self.requests[request] = demand
        work = RoutedRequest(
            request,
            demand.workspace,
            DEPLOYMENTS[0].pool,
            demand.hint,
            FOREVER,
            idempotent=True,
        )
        self.from_entry(self.entry.submit(self.now, work))

    def finish(self):
        """End the running request; the entry handles that before the grant."""
        demand = self.order[-1]
        self.now += demand.cost
        attempt = next(key for key in self.sent if self.sent[key] is demand)
        freed = self.side.finished(
            self.now,
            attempt,
            is_complete=True,
            cost=demand.cost,
        )
        self.from_entry(
            self.entry.settle_attempt(
                self.now,
                attempt,
                AttemptOutcome.COMPLETED,
                cost=demand.cost,
                answered=True,
            ),
        )
        self.from_side(freed)

    def _order(self, effect):
        demand = self.requests[effect.request_id]
        self.sent[effect.attempt_id] = demand
        bids = self.entry.current_bids('s')
        self.from_side(self.side.update_bids(self.now, 'a', bids))
        arrival = Arrival(
            effect.attempt_id,
            'a',
            demand.workspace,
            effect.tag,
            demand.hint,
            effect.grant,
            effect.wait_seconds,
        )
        self.from_side(self.side.arrive(self.now, arrival))

    def _message(self, message):
        if isinstance(message, Bids):
            self.from_side(self.side.update_bids(self.now, 'a', message))
        else:
            self.from_side(self.side.decline(self.now, 'a', message.number))


def served(demands, weights):
    pair = Pair(weights)
    for demand in demands:
        pair.submit(demand)
    while len(pair.order) < len(demands):
        pair.finish()
    return pair.order


def place(received, head):
    return received[head.workspace], head.at_seconds


def textbook(demands, weights):
    received = dict.fromkeys(NAMES, 0)
    waiting = list(demands)
    order = []
    while waiting:
        heads = {one.workspace: one for one in reversed(waiting)}
        head = min(heads.values(), key=partial(place, received))
        waiting.remove(head)
        order.append(head)
        weight = weights[int(head.workspace[1:])]
        received[head.workspace] += head.cost / weight
    return order


@given(LOAD, WEIGHTS)
def same_order(load, weights):
    demands = [
        Demand(0.001 * number, name, 0, cost, cost)
        for number, (name, cost) in enumerate(load)
    ]
    naive = textbook(demands, weights)
    ours = served(demands, weights)
    assert ours == naive, (weights, ours, naive)


@then('{count:d} random loads are served in the same order by both')
def compare(context, count):
    settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )(same_order)()
