"""Steps for the run in virtual time."""

from __future__ import annotations

from itertools import count
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from benchmarks.chaos.virtual.run import run_seed

from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.once.draft import Draft

_SEED = 5


@given('each key counts as free')
def given_no_claims(context: Any) -> None:
    _plant(context, Draft, '_is_free', lambda *_: True)


@given('every {part:d}th end is forgotten')
def given_leak(context: Any, part: int) -> None:
    finished = SlotAdmission.finished
    numbers = count(1)

    def wrong(self: Any, *positional: Any, **named: Any) -> Any:
        if next(numbers) % part:
            return finished(self, *positional, **named)
        return ()

    _plant(context, SlotAdmission, 'finished', wrong)


def _plant(context: Any, owner: type, name: str, wrong: Any) -> None:
    planted = patch.object(owner, name, wrong)
    planted.start()
    context.add_cleanup(planted.stop)


@when('{requests:d} requests meet pairs of faults')
def when_run(context: Any, requests: int) -> None:
    context.verdicts = run_seed(_SEED, requests)


@then('no promise is broken')
def then_clean(context: Any) -> None:
    verdicts = context.verdicts
    assert verdicts.faults.total() > 1, verdicts
    assert verdicts.answers['whole'] > 200, verdicts
    assert not verdicts.broken, verdicts


@then('the run reports {figure}')
def then_found(context: Any, figure: str) -> None:
    assert getattr(context.verdicts, figure), context.verdicts
