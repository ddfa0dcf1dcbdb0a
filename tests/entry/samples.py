"""Requests and responses that the features share."""

from __future__ import annotations

import json
from typing import Any

from entry_world import MODEL
from fake_side import Script

COMPLETIONS = '/v1/chat/completions'
DONE = b'data: [DONE]\n\n'
EVENTS = (('content-type', 'text/event-stream'),)
JSON = (('content-type', 'application/json'),)


def event(number: int) -> bytes:
    content = {'choices': [{'delta': {'content': f'ice {number}'}}]}
    return b'data: %b\n\n' % json.dumps(content).encode()


def completion(*, stream: bool, **more: Any) -> bytes:
    messages = [{'role': 'user', 'content': 'Where is the ice?'}]
    content = {'model': MODEL, 'messages': messages, 'stream': stream, **more}
    return json.dumps(content).encode()


def usage_body(tokens: int) -> bytes:
    usage = {'prompt_tokens': 10, 'completion_tokens': tokens}
    return json.dumps({'choices': [{'text': 'ice'}], 'usage': usage}).encode()


def service_script(status: int, text: str) -> Script:
    """Respond as a server does: without a length when there is no body."""
    if status == 204:
        return Script(status=status)
    headers = (('content-length', str(len(text))),)
    chunks = (text.encode(),) if text else ()
    return Script(status=status, headers=headers, chunks=chunks)
