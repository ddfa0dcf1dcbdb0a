"""A world for each scenario; shared pieces of the tests are importable."""

from __future__ import annotations

import sys
from pathlib import Path

_HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent))
sys.path.insert(0, str(_HERE))


def before_scenario(context, scenario):
    """Build the world."""
    from claims_world import ClaimsWorld

    context.world = ClaimsWorld()


def after_scenario(context, scenario):
    """Close the world."""
    context.world.close()
