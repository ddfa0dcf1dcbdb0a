"""Errors of the translation."""

from __future__ import annotations


class TranslationError(ValueError):
    """An object of the operator or of a server can't be understood."""


class SettingsFileError(Exception):
    """The settings can't be used; the text says why and where."""
