"""Make the tests' shared helpers importable; stop a scenario's processes."""

from __future__ import annotations

import sys
from pathlib import Path

_LOG_CHARACTERS = 100_000
"""Of each process; a shorter tail shows the failure but not its cause."""

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))


def after_scenario(context, scenario):
    """Stop the scenario's fleet; print its logs if the scenario failed."""
    fleet = getattr(context, 'fleet', None)
    if fleet is None:
        return
    if scenario.status != 'passed':
        for process in fleet.processes.values():
            # The runner captures what a hook writes to ``sys.stderr``.
            tail = f'--- {process.name}\n{process.log_tail(_LOG_CHARACTERS)}\n'
            sys.__stderr__.write(tail)
    load = getattr(context, 'load', None)
    try:
        if load is not None:
            # The fleet waits for its callers, which send until stopped.
            load.stop()
    finally:
        fleet.__exit__(None, None, None)
