"""The closed list of error kinds and the answer that each one gets."""

from __future__ import annotations

from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.errors.table import ANSWERS, Answer, answer_for

__all__ = ['ANSWERS', 'AnsweredError', 'Answer', 'ErrorKind', 'answer_for']
