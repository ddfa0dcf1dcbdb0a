"""Set up logging of a process, to standard error."""

from __future__ import annotations

import logging
import sys
from enum import StrEnum
from typing import TextIO

from sardinetrack.logs.formatters import JsonFormatter, TextFormatter
from sardinetrack.logs.lines import ROOT


class LogFormat(StrEnum):
    """How lines are written."""

    TEXT = 'text'
    JSON = 'json'

    def formatter(self) -> logging.Formatter:
        """Build the formatter that writes so."""
        if self is LogFormat.JSON:
            return JsonFormatter()
        return TextFormatter()


def configure(
    log_format: LogFormat,
    level: str,
    stream: TextIO | None = None,
) -> None:
    """Write the lines of this process; a later call replaces an earlier one.

    :param log_format: text for people, JSON for programs.
    :param level: lowest level of the system's own lines; libraries speak
        from warnings upwards.
    :param stream: where to write, standard error when not given.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(log_format.formatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(ROOT).setLevel(level.upper())
