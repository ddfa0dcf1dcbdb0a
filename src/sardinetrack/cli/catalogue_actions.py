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
from sardinetrack.catalogue.editor import CatalogueEditor, EditResult
from sardinetrack.catalogue.parse import EncodedCatalogueEntry
from sardinetrack.catalogue.rollout import Rollout, wait_until_active
from sardinetrack.catalogue.status_client import (
    StatusClient,
    live_peer_addresses,
)
from sardinetrack.cli.api import CommandError
from sardinetrack.cli.exit_codes import ExitCode
from sardinetrack.cli.operator_access import open_access
from sardinetrack.config.model import OperatorSettings
from sardinetrack.store.api import Platform

_KEY_WIDTH: Final = 40
_VERSION_WIDTH: Final = 10


@dataclass(frozen=True, slots=True)
class ActionContext:
    """Clients that an action uses."""

    platform: Platform
    editor: CatalogueEditor
    status_client: StatusClient

    async def wait_active(self, edit: EditResult, seconds: float) -> Rollout:
        """Wait until an edit is active at every listed instance."""
        return await wait_until_active(
            partial(live_peer_addresses, self.platform),
            self.status_client.fetch_status,
            key=edit.key,
            version=edit.version,
            timeout_seconds=seconds,
        )


class CatalogueAction(ABC):
    """An action on the catalogue."""

    @abstractmethod
    async def run(self, context: ActionContext) -> int:
        """Run the action.

        :return: the exit code.
        :raises CommandError: the user sees its message.
        """


async def run_action(
    action: CatalogueAction,
    settings: OperatorSettings,
) -> int:
    """Open the clients that an action uses, and run it."""
    async with open_access(settings) as access:
        status_client = StatusClient(access.client, (access.secret.header(),))
        editor = CatalogueEditor(access.platform)
        return await action.run(
            ActionContext(access.platform, editor, status_client),
        )


@dataclass(frozen=True, slots=True)
class ListAction(CatalogueAction):
    """Print key, version and owner of every entry."""

    async def run(self, context: ActionContext) -> int:
        """Print one line for each entry."""
        listing = await context.editor.list()
        for stored in listing.objects:
            short_key = _short_key(stored.key).ljust(_KEY_WIDTH)
            version = str(stored.version).ljust(_VERSION_WIDTH)
            _print_line(f'{short_key} {version} {_owner(stored.value)}')
        return ExitCode.DONE


@dataclass(frozen=True, slots=True)
class ShowAction(CatalogueAction):
    """Print one entry in the form that ``apply`` accepts."""

    key: str

    async def run(self, context: ActionContext) -> int:
        """Print the entry below a comment with its version."""
        stored = await context.editor.show(self.key)
        if stored is None:
            raise CommandError(f'there is no {_short_key(self.key)}')
        _print_line(f'// {_short_key(self.key)} at version {stored.version}')
        _print_line(json.dumps(json.loads(stored.value), indent=2))
        return ExitCode.DONE


@dataclass(frozen=True, slots=True)
class ApplyAction(CatalogueAction):
    """Create or replace an entry."""

    entry: EncodedCatalogueEntry
    version: int | None
    wait_seconds: float

    async def run(self, context: ActionContext) -> int:
        """Write conditionally, then wait until the entry is active."""
        edit = await context.editor.apply(
            self.entry,
            expected_version=self.version,
        )
        outcome = 'written' if edit.changed else 'unchanged'
        _print_line(f'{_short_key(edit.key)}: version {edit.version} {outcome}')
        return await _report_rollout(context, edit, self.wait_seconds)


@dataclass(frozen=True, slots=True)
class RemoveAction(CatalogueAction):
    """Remove an entry."""

    key: str
    version: int | None
    wait_seconds: float

    async def run(self, context: ActionContext) -> int:
        """Delete conditionally, then wait until no instance has the entry."""
        edit = await context.editor.remove(
            self.key,
            expected_version=self.version,
        )
        if not edit.changed:
            raise CommandError(f'there is no {_short_key(self.key)}')
        _print_line(f'{_short_key(edit.key)}: removed')
        return await _report_rollout(context, edit, self.wait_seconds)


async def _report_rollout(
    context: ActionContext,
    edit: EditResult,
    seconds: float,
) -> int:
    started_at = anyio.current_time()
    rollout = await context.wait_active(edit, seconds)
    elapsed_seconds = round(anyio.current_time() - started_at, 1)
    short_key = _short_key(edit.key)
    if rollout.complete:
        count = len(rollout.in_force)
        _print_line(
            f'{short_key}: in force at {count} instances in {elapsed_seconds} s'
        )
        return ExitCode.DONE
    lines = [f'{short_key}: not in force everywhere after {elapsed_seconds} s']
    lines.extend(f'{address}: behind' for address in rollout.behind)
    for instance, reasons in rollout.rejected.items():
        lines.extend(f'{instance}: refused: {reason}' for reason in reasons)
    if not rollout.in_force and not rollout.behind:
        lines.append('the platform lists no instance that has it in force')
    raise CommandError('\n'.join(lines), ExitCode.NOT_IN_FORCE)


def _short_key(key: str) -> str:
    return key.removeprefix(CATALOGUE_PREFIX)


def _owner(text: bytes) -> str:
    content = json.loads(text)
    return str(content.get('owner', '')) if isinstance(content, dict) else ''


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
