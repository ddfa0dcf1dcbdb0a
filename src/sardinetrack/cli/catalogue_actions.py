"""The actions of ``sardinetrack catalogue``."""

from __future__ import annotations

import json
import sys
from abc import ABC, abstractmethod
from dataclasses import dataclass
from functools import partial
from typing import Final

import anyio

from sardinetrack.catalogue.api import CATALOGUE_PREFIX
from sardinetrack.catalogue.ask import StatusClient, listed_addresses
from sardinetrack.catalogue.editor import CatalogueEditor, Edit
from sardinetrack.catalogue.parse import WrittenEntry
from sardinetrack.catalogue.rollout import Rollout, wait_in_force
from sardinetrack.cli.api import CommandError
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.cli.operator_access import open_access
from sardinetrack.config.model import OperatorSettings
from sardinetrack.store.api import Platform

_KEY_WIDTH: Final = 40
_VERSION_WIDTH: Final = 10


@dataclass(frozen=True, slots=True)
class Desk:
    """What an action works with."""

    platform: Platform
    editor: CatalogueEditor
    instances: StatusClient

    async def wait(self, edit: Edit, seconds: float) -> Rollout:
        """Wait until an edit is in force at every listed instance."""
        return await wait_in_force(
            partial(listed_addresses, self.platform),
            self.instances.ask,
            key=edit.key,
            version=edit.version,
            timeout_seconds=seconds,
        )


class CatalogueAction(ABC):
    """One action on the catalogue."""

    @abstractmethod
    async def run(self, desk: Desk) -> int:
        """Do it.

        :return: the exit code.
        :raises CommandError: the user reads its message.
        """


async def run_action(
    action: CatalogueAction,
    settings: OperatorSettings,
) -> int:
    """Open what an action needs and run it."""
    async with open_access(settings) as access:
        instances = StatusClient(access.client, (access.secret.header(),))
        editor = CatalogueEditor(access.platform)
        return await action.run(Desk(access.platform, editor, instances))


@dataclass(frozen=True, slots=True)
class ListAction(CatalogueAction):
    """Print key, version and owner of every entry."""

    async def run(self, desk: Desk) -> int:
        """Print one line for each entry."""
        listing = await desk.editor.list()
        for stored in listing.objects:
            name = _short(stored.key).ljust(_KEY_WIDTH)
            version = str(stored.version).ljust(_VERSION_WIDTH)
            _say(f'{name} {version} {_owner(stored.value)}')
        return ExitCode.DONE


@dataclass(frozen=True, slots=True)
class ShowAction(CatalogueAction):
    """Print one entry in the form that ``apply`` takes."""

    key: str

    async def run(self, desk: Desk) -> int:
        """Print the entry below a comment with its version."""
        stored = await desk.editor.show(self.key)
        if stored is None:
            raise CommandError(f'there is no {_short(self.key)}')
        _say(f'// {_short(self.key)} at version {stored.version}')
        _say(json.dumps(json.loads(stored.value), indent=2))
        return ExitCode.DONE


@dataclass(frozen=True, slots=True)
class ApplyAction(CatalogueAction):
    """Create or replace an entry."""

    entry: WrittenEntry
    version: int | None
    wait_seconds: float

    async def run(self, desk: Desk) -> int:
        """Write conditionally, then wait until it is in force."""
        edit = await desk.editor.apply(
            self.entry,
            expected_version=self.version,
        )
        done = 'written' if edit.changed else 'stands there already'
        _say(f'{_short(edit.key)}: version {edit.version} {done}')
        return await _report_rollout(desk, edit, self.wait_seconds)


@dataclass(frozen=True, slots=True)
class RemoveAction(CatalogueAction):
    """Remove an entry."""

    key: str
    version: int | None
    wait_seconds: float

    async def run(self, desk: Desk) -> int:
        """Delete conditionally, then wait until it is gone everywhere."""
        edit = await desk.editor.remove(
            self.key,
            expected_version=self.version,
        )
        if not edit.changed:
            raise CommandError(f'there is no {_short(self.key)}')
        _say(f'{_short(edit.key)}: removed')
        return await _report_rollout(desk, edit, self.wait_seconds)


async def _report_rollout(desk: Desk, edit: Edit, seconds: float) -> int:
    started_at = anyio.current_time()
    rollout = await desk.wait(edit, seconds)
    passed_seconds = round(anyio.current_time() - started_at, 1)
    name = _short(edit.key)
    if rollout.complete:
        count = len(rollout.in_force)
        _say(f'{name}: in force at {count} instances in {passed_seconds} s')
        return ExitCode.DONE
    lines = [f'{name}: not in force everywhere after {passed_seconds} s']
    lines.extend(f'{address}: behind' for address in rollout.behind)
    for instance, reasons in rollout.rejected.items():
        lines.extend(f'{instance}: refused: {reason}' for reason in reasons)
    if not rollout.in_force and not rollout.behind:
        lines.append('the platform lists no instance that has it in force')
    raise CommandError('\n'.join(lines), ExitCode.NOT_IN_FORCE)


def _short(key: str) -> str:
    return key.removeprefix(CATALOGUE_PREFIX)


def _owner(text: bytes) -> str:
    content = json.loads(text)
    return str(content.get('owner', '')) if isinstance(content, dict) else ''


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
