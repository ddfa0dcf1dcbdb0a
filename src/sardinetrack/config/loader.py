"""Loads settings files and reports all their problems together."""

from __future__ import annotations

import os
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from sardinetrack.config.errors import SettingsError
from sardinetrack.config.model import (
    EntrySettings,
    OperatorSettings,
    SideSettings,
)
from sardinetrack.config.secret import SecretSources
from sardinetrack.config.syntax import SyntaxProblemError, parse_text
from sardinetrack.errors.problem import (
    ValidationProblem,
    dotted_path,
    strip_error_prefix,
)

Settings = TypeVar('Settings', bound=BaseModel)

_WHOLE_FILE: Final = 'settings'
_REASONS: Final = MappingProxyType(
    {
        'extra_forbidden': 'there is no such setting',
        'missing': 'field required',
        'model_type': 'a JSON object is required',
    },
)


def load_settings(path: str, model: type[Settings]) -> Settings:
    """Load a settings file.

    :param path: a file of JSON with comments.
    :param model: the model that the file must match.
    :return: valid settings whose secrets can be resolved.
    :raises SettingsError: with every problem.
    """
    return _validate(path, _parse_file(path), model)


def load_settings_by_role(
    path: str,
) -> EntrySettings | SideSettings | OperatorSettings:
    """Load settings of the role that is named in the file.

    :raises SettingsError: with every problem.
    """
    content = _parse_file(path)
    match content:
        case {'role': 'entry'}:
            return _validate(path, content, EntrySettings)
        case {'role': 'side'}:
            return _validate(path, content, SideSettings)
        case {'role': 'operator'}:
            return _validate(path, content, OperatorSettings)
    problem = ValidationProblem('role', "must be 'entry', 'side' or 'operator'")
    raise SettingsError(path, (problem,))


def _parse_file(path: str) -> Any:
    try:
        return parse_text(Path(path).read_text(encoding='utf-8'))
    except OSError as error:
        reason = f"can't be read: {error.strerror}"
        raise SettingsError(
            path, (ValidationProblem(_WHOLE_FILE, reason),)
        ) from error
    except UnicodeDecodeError as error:
        problem = ValidationProblem(_WHOLE_FILE, 'not UTF-8 text')
        raise SettingsError(path, (problem,)) from error
    except SyntaxProblemError as error:
        raise SettingsError(path, (error.problem,)) from error


def _validate(
    path: str,
    content: Any,
    model: type[Settings],
) -> Settings:
    try:
        return model.model_validate(
            content,
            context=SecretSources(os.environ),
        )
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
        problems = tuple(_to_problem(detail) for detail in details)
        # The cause would show the invalid input, which may be a secret.
        raise SettingsError(path, problems) from None


def _to_problem(detail: ErrorDetails) -> ValidationProblem:
    location = dotted_path(detail['loc'])
    reason = _REASONS.get(detail['type'], strip_error_prefix(detail['msg']))
    return ValidationProblem(
        location or _WHOLE_FILE, reason[:1].lower() + reason[1:]
    )
