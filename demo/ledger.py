"""An external ledger that counts the effects of orders.

A killed target loses its own counts; the ledger keeps them.
"""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Lock, Thread
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class Ledger:
    """Counts how often each order took effect."""

    def __init__(self, address: str) -> None:
        """Create an empty ledger whose server listens at ``address``."""
        self.address = address
        self._runs_by_order: Counter[str] = Counter()
        self._lock = Lock()

    def record(self, order: str) -> None:
        """Count one effect of an order."""
        with self._lock:
            self._runs_by_order[order] += 1

    def runs(self, order: str) -> int:
        """Return how often an order took effect."""
        with self._lock:
            return self._runs_by_order[order]

    def repeated(self) -> list[str]:
        """Return the orders that took effect more than once."""
        with self._lock:
            return [
                order for order, runs in self._runs_by_order.items() if runs > 1
            ]


class _Server(ThreadingHTTPServer):
    """Records every POST in the ledger."""

    def __init__(self) -> None:
        super().__init__(('127.0.0.1', 0), _Handler)
        host, port = self.server_address[:2]
        self.ledger = Ledger(f'{host!s}:{port}')


class _Handler(BaseHTTPRequestHandler):
    server: _Server

    def do_POST(self) -> None:
        self.server.ledger.record(self.path.strip('/'))
        self.send_response(HTTPStatus.NO_CONTENT)
        self.end_headers()

    def log_message(self, *_: object) -> None:
        """Suppress the access log."""


@contextmanager
def ledger() -> Iterator[Ledger]:
    """Serve a ledger on a free port."""
    server = _Server()
    thread = Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server.ledger
    finally:
        server.shutdown()
        server.server_close()
