"""Format log records as text lines or as JSON lines."""

from __future__ import annotations

import json
import logging
import re
from abc import abstractmethod
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Final

from sardinetrack.logs.lines import FIELDS, FieldValue
from sardinetrack.logs.mask import MASK, mask_text, names_secret

_PLAIN: Final = re.compile(r'[\w.:/@+\-]+')


class MaskingFormatter(logging.Formatter):
    """Base of the formats; masks secrets as its last step."""

    def format(self, record: logging.LogRecord) -> str:
        """Write one record as one line, a traceback in text excepted."""
        return mask_text(self.render(record))

    @abstractmethod
    def render(self, record: logging.LogRecord) -> str:
        """Write one record before masking."""

    def traceback(self, record: logging.LogRecord) -> str:
        """Write the record's traceback, empty when it has none."""
        return self.formatException(record.exc_info) if record.exc_info else ''


class TextFormatter(MaskingFormatter):
    """``LEVEL prefix: sentence key=value ...``."""

    def render(self, record: logging.LogRecord) -> str:
        """Write one record as text."""
        sentence = record.getMessage().replace('\n', r'\n')
        words = [f'{record.levelname} {_prefix(record)}: {sentence}']
        for name, field in _fields(record).items():
            words.append(f'{name}={_text(field)}')
        trace = self.traceback(record)
        line = ' '.join(words)
        return f'{line}\n{trace}' if trace else line


class JsonFormatter(MaskingFormatter):
    """One JSON object a line."""

    def render(self, record: logging.LogRecord) -> str:
        """Write one record as JSON."""
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
    fields: Mapping[str, FieldValue] = getattr(record, FIELDS, {})
    return {
        name: MASK if names_secret(name) else field
        for name, field in fields.items()
    }


def _text(field: FieldValue) -> str:
    if isinstance(field, str) and not _PLAIN.fullmatch(field):
        return json.dumps(field, ensure_ascii=False)
    return str(field)
