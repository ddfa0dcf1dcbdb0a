"""A page that an instance would serve, for commands that read it."""

from __future__ import annotations

from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread

from behave.runner import Context

_POLL_SECONDS = 0.02


class _Page(BaseHTTPRequestHandler):
    status = 200
    text = ''

    def do_GET(self) -> None:
        """Answer as the class says."""
        self.send_response(self.status)
        self.end_headers()
        self.wfile.write(self.text.encode())

    def log_message(self, *_: object) -> None:
        """Say nothing."""


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
