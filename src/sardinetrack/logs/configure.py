"""Configure the logging of a process, to standard error."""

from __future__ import annotations

import logging
import sys
from enum import StrEnum
from typing import TextIO

from sardinetrack.logs.formatters import JsonFormatter, TextFormatter
from sardinetrack.logs.lines import ROOT_LOGGER


class LogFormat(StrEnum):
    """Format of log lines."""

    TEXT = 'text'
    JSON = 'json'

    def formatter(self) -> logging.Formatter:
        """Return a new formatter for this format."""
        if self is LogFormat.JSON:
            return JsonFormatter()
        return TextFormatter()


def configure(
    log_format: LogFormat,
    level: str,
    stream: TextIO | None = None,
) -> None:
    """Configure logging of this process, replacing an earlier configuration.

    :param log_format: text for people, JSON for programs.
    :param level: lowest level of the system's own lines; libraries log warnings
        and above.
    :param stream: where to write; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(log_format.formatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(ROOT_LOGGER).setLevel(level.upper())
