"""Steps for the run in virtual time."""

from __future__ import annotations

from itertools import count
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from benchmarks.chaos.virtual.run import run_seed

from sardinetrack.admission.slots import SlotAdmission
from sardinetrack.once.head_update import HeadUpdate

_SEED = 5


@given('each idempotency key counts as free')
def given_no_claims(context: Any) -> None:
    _patch(context, HeadUpdate, '_is_free', lambda *_: True)


@given('every {nth:d}th end of a request is dropped')
def given_lost_ends(context: Any, nth: int) -> None:
    finished = SlotAdmission.finished
    numbers = count(1)

    def faulty(self: Any, *positional: Any, **named: Any) -> Any:
        if next(numbers) % nth:
            return finished(self, *positional, **named)
        return ()

    _patch(context, SlotAdmission, 'finished', faulty)


def _patch(context: Any, owner: type, name: str, faulty: Any) -> None:
    patcher = patch.object(owner, name, faulty)
    patcher.start()
    context.add_cleanup(patcher.stop)


@when('{requests:d} requests run under pairs of faults')
def when_run(context: Any, requests: int) -> None:
    context.verdicts = run_seed(_SEED, requests)


@then('no guarantee is violated')
def then_clean(context: Any) -> None:
    verdicts = context.verdicts
    assert verdicts.faults.total() > 1, verdicts
    assert verdicts.answers['whole'] > 200, verdicts
    assert not verdicts.has_violations, verdicts


@then('the run reports violations of kind {figure}')
def then_found(context: Any, figure: str) -> None:
    assert getattr(context.verdicts, figure), context.verdicts
