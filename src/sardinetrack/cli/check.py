"""``sardinetrack check``: validate settings without running anything."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, Namespace

from sardinetrack.cli.api import Command
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.config.loader import load_settings_by_role


class CheckCommand(Command):
    """Validate a settings file of an entry, a side or an operator."""

    name = 'check'
    help = 'validate settings and print the effective ones, secrets masked'
    examples = ('sardinetrack check entry.json',)

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the settings file."""
        parser.add_argument(
            'settings',
            help='settings file; its "role" is entry, side or operator',
        )

    def run(self, options: Namespace) -> int:
        """Print the effective settings as JSON."""
        settings = load_settings_by_role(options.settings)
        sys.stdout.write(f'{settings.model_dump_json(indent=2)}\n')
        return ExitCode.DONE
