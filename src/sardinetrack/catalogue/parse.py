"""Parses catalogue entries: plain JSON in the store, else with comments."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Final

import pyjson5
from pydantic import TypeAdapter, ValidationError

from sardinetrack.catalogue.api import CatalogueKind, Pool, Workspace
from sardinetrack.catalogue.model import CatalogueEntryModel, key_of
from sardinetrack.catalogue.problems import (
    InvalidCatalogueEntryError,
    problems_from,
)
from sardinetrack.errors.problem import ValidationProblem
from sardinetrack.store.api import MAX_VALUE_BYTES

_ADAPTER: Final[TypeAdapter[CatalogueEntryModel]] = TypeAdapter(
    CatalogueEntryModel
)
_OPERATOR_FILE: Final = 'file'


@dataclass(frozen=True, slots=True)
class EncodedCatalogueEntry:
    """An operator's catalogue entry, validated and encoded for the store."""

    key: str
    value: bytes
    """Plain JSON."""


def parse_stored_entry(key: str, value: bytes) -> Workspace | Pool:
    """Validate a catalogue entry from the platform's store.

    :param key: ``catalogue/<kind>/<name>``.
    :param value: plain JSON.
    :return: the workspace or pool that it describes.
    :raises InvalidCatalogueEntryError: with all problems.
    """
    model = _validate(key, value)
    expected = key_of(CatalogueKind(model.kind), model.name)
    if key != expected:
        problem = ValidationProblem('name', f'this entry belongs at {expected}')
        raise InvalidCatalogueEntryError(key, [problem])
    return model.to_catalogue_entry()


def parse_operator_file(text: str) -> EncodedCatalogueEntry:
    """Validate an operator's file, which is JSON with comments.

    :raises InvalidCatalogueEntryError: with all problems.
    """
    try:
        content = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        problem = ValidationProblem(
            '', f'not JSON with comments: {error.args[0]}'
        )
        raise InvalidCatalogueEntryError(_OPERATOR_FILE, [problem]) from error
    value = json.dumps(content, sort_keys=True).encode()
    if len(value) > MAX_VALUE_BYTES:
        problem = ValidationProblem('', f'larger than {MAX_VALUE_BYTES} bytes')
        raise InvalidCatalogueEntryError(_OPERATOR_FILE, [problem])
    model = _validate(_OPERATOR_FILE, value)
    return EncodedCatalogueEntry(
        key_of(CatalogueKind(model.kind), model.name), value
    )


def _validate(key: str, value: bytes) -> CatalogueEntryModel:
    try:
        return _ADAPTER.validate_json(value)
    except ValidationError as error:
        raise InvalidCatalogueEntryError(key, problems_from(error)) from error
