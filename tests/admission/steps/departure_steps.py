"""Steps for what responses say about the departure of their server."""

from __future__ import annotations

from behave import then, when

from sardinetrack.admission.departure import Departure


@when('these reach a side: {events}')
def apply_events(context, events):
    departure = Departure()
    context.beliefs = []
    for event in events.split(', '):
        times, kind = event.split()
        sent, _, received = times.partition('-')
        if kind == 'refused':
            departure.restarted(float(sent))
        else:
            departure.responded(
                float(received), float(sent), leaving=kind == 'leaving'
            )
        belief = 'leaving' if departure.is_active else 'staying'
        context.beliefs.append(belief)


@then('its beliefs after each are: {beliefs}')
def check_beliefs(context, beliefs):
    assert context.beliefs == beliefs.split(', '), context.beliefs
