"""Steps that all failure scenarios share."""

from __future__ import annotations

from behave import given, then

from support.scene import Plan, Scene
from support.slots import check_idle, check_slots


def start_scene(context, plan: Plan) -> Scene:
    """Start a fleet that ends with the scenario."""
    context.scene = Scene(plan)
    context.fleet = context.scene.fleet
    context.scene.start()
    return context.scene


@given('a fleet with {engines:d} engine and {services:d} service')
@given('a fleet with {engines:d} engines and {services:d} service')
@given('a fleet with {engines:d} engines and {services:d} services')
def given_failing_fleet(context, engines: int, services: int):
    start_scene(context, Plan(engines=engines, services=services))


@then('no slot is lost, and a small workspace is served during a flood')
def then_no_slot_lost(context):
    check_slots(context.scene)


@then('no slot is lost')
def then_all_idle(context):
    check_idle(context.scene, context.scene.running_servers())
