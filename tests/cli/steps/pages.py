"""Status pages of fake instances, and their records at the platform."""

from __future__ import annotations

import json
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread
from urllib.parse import urlsplit

from behave.runner import Context

_POLL_SECONDS = 0.02
_HEADERS = (('authorization', 'Bearer standin-token'),)
_TIMEOUT_SECONDS = 20


class _Page(BaseHTTPRequestHandler):
    status = 200
    text = ''

    def do_GET(self) -> None:
        """Respond with the class's status and text."""
        self.send_response(self.status)
        self.end_headers()
        self.wfile.write(self.text.encode())

    def log_message(self, *_: object) -> None:
        """Log nothing."""


def serve_page(context: Context, status: int, text: str) -> int:
    """Serve a page until the scenario ends.

    :return: the port.
    """
    page = type('Page', (_Page,), {'status': status, 'text': text})
    server = HTTPServer(('127.0.0.1', 0), page)
    thread = Thread(target=server.serve_forever, args=(_POLL_SECONDS,))
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    return server.server_port


def put(context: Context, path: str, content: object) -> None:
    """Send a PUT request to the stand-in of the platform."""
    address = urlsplit(context.url).netloc
    connection = HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
    body = json.dumps(content)
    connection.request('PUT', path, body, headers=dict(_HEADERS))
    assert connection.getresponse().status < 300
    connection.close()


def add_instance(context: Context, name: str, page: str, **fields: str) -> None:
    """Serve a status page and list its instance at the platform.

    :param fields: what differs from a live entry in galata.
    """
    port = serve_page(context, 200, page)
    context.addresses[name] = f'127.0.0.1:{port}'
    record = {
        'instance': name,
        'role': 'entry',
        'address': context.addresses[name],
        'failure_domain': 'galata',
    }
    put(context, f'/instances/{name}', {**record, **fields})
