"""Run an event loop for each scenario."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any

from anyio.from_thread import start_blocking_portal

from sardinetrack.http.client import HttpClient


def before_scenario(context: Any, scenario: object) -> None:
    """Start an event loop with an HTTP client in it."""
    context.stack = ExitStack()
    context.portal = context.stack.enter_context(start_blocking_portal())
    context.http = context.stack.enter_context(
        context.portal.wrap_async_context_manager(HttpClient()),
    )


def after_scenario(context: Any, scenario: object) -> None:
    """Close everything that the scenario opened, in reverse order."""
    context.stack.close()
