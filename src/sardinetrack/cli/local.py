"""``sardinetrack local``: run a fleet in one process on loopback."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Final

import anyio

from sardinetrack.cli.api import Command
from sardinetrack.cli.arguments import port_number
from sardinetrack.compose.local import run_local

_ANY_PORT: Final = 0


class LocalCommand(Command):
    """Run an entry, sides and stand-ins without settings."""

    name = 'local'
    help = 'run a fleet in one process on loopback, with stand-in servers'
    examples = (
        'sardinetrack local',
        'sardinetrack local --port 8080',
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the callers' port."""
        parser.add_argument(
            '--port',
            type=port_number,
            default=_ANY_PORT,
            help='port for callers; 0, the default, picks any free one',
        )

    def run(self, options: Namespace) -> int:
        """Print one line of JSON when ready, then serve until stopped."""
        return anyio.run(run_local, options.port)
