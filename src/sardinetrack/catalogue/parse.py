"""Read catalogue entries: plain JSON inside, with comments from operators."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Final

import pyjson5
from pydantic import TypeAdapter, ValidationError

from sardinetrack.catalogue.api import EntryKind, Pool, Workspace
from sardinetrack.catalogue.model import AnyEntryModel, key_of
from sardinetrack.catalogue.problems import (
    InvalidEntryError,
    problems_of,
)
from sardinetrack.errors.problem import Problem
from sardinetrack.store.api import MAX_VALUE_BYTES

_ADAPTER: Final[TypeAdapter[AnyEntryModel]] = TypeAdapter(AnyEntryModel)
_FILE: Final = 'file'


@dataclass(frozen=True, slots=True)
class WrittenEntry:
    """An operator's entry, ready to be written."""

    key: str
    value: bytes
    """Plain JSON."""


def parse_entry(key: str, value: bytes) -> Workspace | Pool:
    """Validate an entry of the platform.

    :param key: ``catalogue/<kind>/<name>``.
    :param value: plain JSON.
    :return: the entry that it describes.
    :raises InvalidEntryError: with all problems at once.
    """
    model = _validated(key, value)
    expected = key_of(EntryKind(model.kind), model.name)
    if key != expected:
        problem = Problem('name', f'this entry belongs at {expected}')
        raise InvalidEntryError(key, [problem])
    return model.to_entry()


def read_entry(text: str) -> WrittenEntry:
    """Validate an operator's file, which is JSON with comments.

    :raises InvalidEntryError: with all problems at once.
    """
    try:
        content = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        problem = Problem('', f'not JSON with comments: {error.args[0]}')
        raise InvalidEntryError(_FILE, [problem]) from error
    value = json.dumps(content, sort_keys=True).encode()
    if len(value) > MAX_VALUE_BYTES:
        problem = Problem('', f'larger than {MAX_VALUE_BYTES} bytes')
        raise InvalidEntryError(_FILE, [problem])
    model = _validated(_FILE, value)
    return WrittenEntry(key_of(EntryKind(model.kind), model.name), value)


def _validated(key: str, value: bytes) -> AnyEntryModel:
    try:
        return _ADAPTER.validate_json(value)
    except ValidationError as error:
        raise InvalidEntryError(key, problems_of(error)) from error
