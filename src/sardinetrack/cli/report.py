"""``sardinetrack report``: write a report of a run from its log lines."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from importlib import import_module
from itertools import chain
from pathlib import Path
from typing import Final

from sardinetrack.cli.api import Command, CommandError
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.cli.logs import read_logs
from sardinetrack.reports.summary import summarise

_DEFAULT_OBJECTIVE_SECONDS: Final = 1.0


class ReportCommand(Command):
    """Write an HTML report of a run."""

    name = 'report'
    help = 'write an HTML report of a run, from the log lines of all processes'
    examples = (
        'sardinetrack report --out run.html entry-*.log side-*.log',
        'sardinetrack report --out run.html --objective-seconds 0.6 all.log',
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the files and the objective."""
        parser.add_argument(
            'logs',
            nargs='*',
            help='files of log lines; standard input when none is given',
        )
        parser.add_argument(
            '--out',
            type=Path,
            required=True,
            help='the page to write',
        )
        parser.add_argument(
            '--objective-seconds',
            type=float,
            default=_DEFAULT_OBJECTIVE_SECONDS,
            help='a first event later than this is late (default: %(default)s)',
        )

    def run(self, options: Namespace) -> int:
        """Write the page."""
        lines = chain.from_iterable(read_logs(options.logs))
        summary = summarise(lines, options.objective_seconds)
        if not summary.outcomes:
            raise CommandError('no log line has the end of a request')
        try:
            page = import_module('sardinetrack.reports.page')
        except ModuleNotFoundError as error:
            raise CommandError(
                f'{error.name} is not installed: pip install'
                " 'sardinetrack[report]'",
            ) from error
        try:
            options.out.write_text(page.render_page(summary))
        except OSError as error:
            raise CommandError(f'{options.out}: {error.strerror}') from error
        return ExitCode.DONE
