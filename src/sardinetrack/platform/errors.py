"""Errors of the translation."""

from __future__ import annotations


class TranslationError(ValueError):
    """An object of the operator or of a server can't be decoded."""


class SettingsFileError(Exception):
    """The settings file is unusable; the message says why and where."""
