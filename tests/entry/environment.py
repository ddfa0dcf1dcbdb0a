"""Creates a world with its own event loop for each scenario."""

from __future__ import annotations

from typing import Any

from entry_world import EntryWorld


def before_scenario(context: Any, scenario: object) -> None:
    context.world = EntryWorld()


def after_scenario(context: Any, scenario: object) -> None:
    context.world.close()
