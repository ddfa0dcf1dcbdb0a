"""Steps for the record of attempts."""

from __future__ import annotations

from behave import given, then, when

from sardinetrack.admission.book import AttemptBook, AttemptEvent

_WALK = (AttemptEvent.ARRIVE, AttemptEvent.START, AttemptEvent.FINISH)


@given('a book that remembers {count:d} ended attempts')
def start_book(context, count):
    context.now = 0
    context.book = AttemptBook(max_ended=count)


@when('attempts {names} ran to their end')
def run_attempts(context, names):
    for name in names.split(', '):
        for event in _WALK:
            context.book.note(context.now, name, event)


@when('{seconds:g} seconds go by in the book')
def pass_seconds(context, seconds):
    context.now += seconds
    context.book.forget(context.now)


@then('the book calls {name} {fate}')
def check_book(context, name, fate):
    found = context.book.ask(context.now, name)
    assert found == fate, found
