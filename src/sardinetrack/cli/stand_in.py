"""``sardinetrack stand-in``: run a stand-in as a process of its own."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

import anyio
from pydantic import BaseModel

from sardinetrack.cli.api import Command
from sardinetrack.cli.arguments import port_number
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.config.loader import load_settings
from sardinetrack.process.startup import log_start
from sardinetrack.standin.engine import run_engine
from sardinetrack.standin.platform_process import (
    PlatformStandinSettings,
    run_platform,
)
from sardinetrack.standin.service import run_service
from sardinetrack.standin.settings import EngineSettings, ServiceSettings


@dataclass(frozen=True, slots=True)
class _StandIn:
    settings: type[BaseModel]
    run: Callable[[Any], Awaitable[None]]


_STAND_INS: Final = MappingProxyType(
    {
        'engine': _StandIn(EngineSettings, run_engine),
        'service': _StandIn(ServiceSettings, run_service),
        'platform': _StandIn(PlatformStandinSettings, run_platform),
    },
)


class StandInCommand(Command):
    """Run a stand-in until it is stopped."""

    name = 'stand-in'
    help = 'run a stand-in for a model engine, a plain service or the platform'
    examples = (
        'sardinetrack stand-in engine',
        'sardinetrack stand-in platform --port 9000',
        'sardinetrack stand-in service service.json',
    )

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Register the kind, a settings file and a port."""
        parser.add_argument('kind', choices=tuple(_STAND_INS))
        parser.add_argument(
            'settings',
            nargs='?',
            help='settings file; by default a stand-in without faults',
        )
        parser.add_argument(
            '--port',
            type=port_number,
            help='port to listen on; overrides the one in the settings',
        )

    def run(self, options: Namespace) -> int:
        """Print one line of JSON when ready, then serve until stopped."""
        stand_in = _STAND_INS[options.kind]
        settings = stand_in.settings()
        if options.settings is not None:
            settings = load_settings(options.settings, stand_in.settings)
        if options.port is not None:
            settings = settings.model_copy(update={'port': options.port})
        log_start()
        anyio.run(stand_in.run, settings)
        return ExitCode.DONE
