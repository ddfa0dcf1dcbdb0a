"""Format log records as text lines or as JSON lines."""

from __future__ import annotations

import json
import logging
import re
from abc import abstractmethod
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Final

from sardinetrack.logs.lines import FIELDS_KEY, FieldValue
from sardinetrack.logs.mask import MASK, is_secret_name, mask_text

_UNQUOTED: Final = re.compile(r'[\w.:/@+\-]+')


class MaskingFormatter(logging.Formatter):
    """Base class of the formatters; masks secrets as the last step."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record as one line; in text, a traceback adds more."""
        return mask_text(self.render(record))

    @abstractmethod
    def render(self, record: logging.LogRecord) -> str:
        """Format a record before masking."""

    def traceback(self, record: logging.LogRecord) -> str:
        """Format the record's traceback; empty if it has none."""
        return self.formatException(record.exc_info) if record.exc_info else ''


class TextFormatter(MaskingFormatter):
    """``LEVEL prefix: message key=value ...``."""

    def render(self, record: logging.LogRecord) -> str:
        """Format a record as text."""
        message = record.getMessage().replace('\n', r'\n')
        chunks = [f'{record.levelname} {_prefix(record)}: {message}']
        for name, field in _fields(record).items():
            chunks.append(f'{name}={_format_value(field)}')
        trace = self.traceback(record)
        line = ' '.join(chunks)
        return f'{line}\n{trace}' if trace else line


class JsonFormatter(MaskingFormatter):
    """One JSON object per line."""

    def render(self, record: logging.LogRecord) -> str:
        """Format a record as JSON."""
        when = datetime.fromtimestamp(record.created, UTC)
        line: dict[str, FieldValue] = {
            'time': when.isoformat(timespec='milliseconds'),
            'level': record.levelname,
            'prefix': _prefix(record),
            'sentence': record.getMessage(),
            **_fields(record),
        }
        trace = self.traceback(record)
        if trace:
            line['traceback'] = trace
        return json.dumps(line, ensure_ascii=False, default=str)


def _prefix(record: logging.LogRecord) -> str:
    return record.name.rpartition('.')[2]


def _fields(record: logging.LogRecord) -> Mapping[str, FieldValue]:
    fields: Mapping[str, FieldValue] = getattr(record, FIELDS_KEY, {})
    return {
        name: MASK if is_secret_name(name) else field
        for name, field in fields.items()
    }


def _format_value(field: FieldValue) -> str:
    if isinstance(field, str) and not _UNQUOTED.fullmatch(field):
        return json.dumps(field, ensure_ascii=False)
    return str(field)
