"""``sardinetrack side``: run a side, the sidecar of one backend server."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

import anyio

from sardinetrack.cli.api import Command
from sardinetrack.compose.side import run_side
from sardinetrack.config.loader import load_settings
from sardinetrack.config.model import SideSettings
from sardinetrack.process.startup import log_start


class SideCommand(Command):
    """Run a side until it is drained."""

    name = 'side'
    help = 'run a side: it admits and forwards requests to its backend server'
    examples = (
        'sardinetrack side side.json',
        'sardinetrack side side.json --log-format json',
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the settings file."""
        parser.add_argument('settings', help='settings file of this side')

    def run(self, options: Namespace) -> int:
        """Run until a SIGTERM has drained the side."""
        settings = load_settings(options.settings, SideSettings)
        log_start()
        return anyio.run(run_side, settings)
