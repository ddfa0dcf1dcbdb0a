"""An event loop for each scenario."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any

from anyio.from_thread import start_blocking_portal


def before_scenario(context: Any, scenario: object) -> None:
    context.stack = ExitStack()
    context.portal = context.stack.enter_context(start_blocking_portal())


def after_scenario(context: Any, scenario: object) -> None:
    context.stack.close()
