"""``sardinetrack entry``: run an entry, the router of callers' requests."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

import anyio

from sardinetrack.cli.api import Command
from sardinetrack.compose.entry import run_entry
from sardinetrack.config.loader import load_settings
from sardinetrack.config.model import EntrySettings
from sardinetrack.process.startup import log_start


class EntryCommand(Command):
    """Run an entry until it is drained."""

    name = 'entry'
    help = 'run an entry: it accepts requests from callers and routes them'
    examples = (
        'sardinetrack entry entry.json',
        'sardinetrack entry entry.json --log-format json',
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the settings file."""
        parser.add_argument('settings', help='settings file of this entry')

    def run(self, options: Namespace) -> int:
        """Run until a SIGTERM has drained the entry."""
        settings = load_settings(options.settings, EntrySettings)
        log_start()
        return anyio.run(run_entry, settings)
