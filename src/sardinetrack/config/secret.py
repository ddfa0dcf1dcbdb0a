"""Secrets that settings give by value, file or environment variable."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Self

from pydantic import (
    BaseModel,
    ConfigDict,
    SecretStr,
    ValidationInfo,
    model_validator,
)


@dataclass(frozen=True, slots=True)
class SecretSources:
    """Where secrets are looked up during the validation of settings."""

    environment: Mapping[str, str]


class Secret(BaseModel):
    """A secret given in place, by a file, or by an environment variable."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    value: SecretStr | None = None
    file: str | None = None
    environment: str | None = None

    @model_validator(mode='after')
    def _check(self, info: ValidationInfo) -> Self:
        sources = (self.value, self.file, self.environment)
        if sum(source is not None for source in sources) != 1:
            raise ValueError('give exactly one of value, file and environment')
        if isinstance(info.context, SecretSources):
            resolve_secret(self, info.context.environment)
        return self


def resolve_secret(
    secret: Secret,
    environment: Mapping[str, str] = os.environ,
) -> str:
    """Return a secret's text.

    :param secret: the secret as given in the settings.
    :param environment: the process's environment variables.
    :return: the text without surrounding white space.
    :raises ValueError: the file or the variable is missing or empty.
    """
    if secret.file is not None:
        return _read_file(secret.file)
    if secret.environment is not None:
        return _read_variable(secret.environment, environment)
    text = secret.value.get_secret_value() if secret.value else ''
    return _require_text(text, 'the secret is empty')


def _read_file(path: str) -> str:
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        reason = f"the secret's file {path} can't be read: {error.strerror}"
        raise ValueError(reason) from error
    except UnicodeDecodeError as error:
        reason = f"the secret's file {path} is not UTF-8 text"
        raise ValueError(reason) from error
    return _require_text(text, f"the secret's file {path} is empty")


def _read_variable(name: str, environment: Mapping[str, str]) -> str:
    if name not in environment:
        raise ValueError(f'the environment variable {name} is not set')
    reason = f'the environment variable {name} is empty'
    return _require_text(environment[name], reason)


def _require_text(text: str, reason: str) -> str:
    stripped = text.strip()
    if not stripped:
        raise ValueError(reason)
    return stripped
