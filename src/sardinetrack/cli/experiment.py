"""``sardinetrack experiment``: compare placement under seeded load."""

from __future__ import annotations

import sys
from argparse import ArgumentParser, ArgumentTypeError, Namespace
from typing import Final

from sardinetrack.cli.api import Command
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.cli.table import format_table
from sardinetrack.emulator.experiment import ExperimentResult, compare_policies
from sardinetrack.emulator.load import LoadProfile
from sardinetrack.emulator.policies import PLACEMENT_POLICIES

_DEFAULT_RATES: Final = (24.0, 60.0)
_DEFAULT_SECONDS: Final = 40.0
_DEFAULT_SEEDS: Final = 2
_DEFAULT_SHAPE: Final = LoadProfile()
_FRACTIONS: Final = (
    'in_time',
    'late',
    'refused',
    'refused_first',
    'refused_beside_idle',
)
_THOUSAND: Final = 1000
_HEADINGS: Final = (
    'order',
    'requests/s',
    'in time',
    'late',
    'refused',
    'refused first',
    'beside idle',
    'shared prefill, 1000 tokens',
    'worst workspace',
    'busiest/mean',
)


class ExperimentCommand(Command):
    """Simulate seeded loads of prompts on emulated engines."""

    name = 'experiment'
    help = 'compare placement policies under seeded loads, without a network'
    examples = (
        'sardinetrack experiment',
        'sardinetrack experiment --rate 24 --rate 60 --seeds 5 --jump 3',
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the options of the load."""
        parser.add_argument(
            '--rate',
            type=_positive_number,
            action='append',
            help='requests per second; may be given several times'
            f' (default: {_DEFAULT_RATES})',
        )
        parser.add_argument(
            '--seconds',
            type=_positive_number,
            default=_DEFAULT_SECONDS,
            help='length of the load (default: %(default)s)',
        )
        parser.add_argument(
            '--seeds',
            type=_positive_integer,
            default=_DEFAULT_SEEDS,
            help='number of random loads (default: %(default)s)',
        )
        parser.add_argument(
            '--engines',
            type=_positive_integer,
            default=_DEFAULT_SHAPE.engines,
            help='number of model engines (default: %(default)s)',
        )
        parser.add_argument(
            '--jump',
            type=_positive_number,
            default=1.0,
            help='rate factor in the middle third (default: %(default)s)',
        )

    def run(self, options: Namespace) -> int:
        """Print a row for each placement policy and rate."""
        rows = compare_policies(
            LoadProfile(engines=options.engines, rate_step=options.jump),
            PLACEMENT_POLICIES,
            options.rate or _DEFAULT_RATES,
            range(1, options.seeds + 1),
            options.seconds,
        )
        text = format_table(_HEADINGS, [_cells(row) for row in rows])
        sys.stdout.write(f'{text}\n')
        return ExitCode.DONE


def _cells(row: ExperimentResult) -> list[str]:
    thousands = row.recomputed_prefix_tokens // _THOUSAND
    cells = [row.policy, format(row.requests_per_second, 'g')]
    cells.extend(
        format(row.outcome_fraction(name), '.3f') for name in _FRACTIONS
    )
    cells.append(str(thousands))
    cells.append(f'{row.worst_workspace:.3f}')
    cells.append(f'{row.busiest_engine_ratio:.2f}')
    return cells


def _positive_number(text: str) -> float:
    number = float(text)
    if number <= 0:
        raise ArgumentTypeError(f'{text} is not above 0')
    return number


def _positive_integer(text: str) -> int:
    number = int(text)
    if number < 1:
        raise ArgumentTypeError(f'{text} is not 1 or more')
    return number
