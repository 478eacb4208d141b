"""Writes lines to a file descriptor without blocking on its reader."""

from __future__ import annotations

import os
from collections import deque
from select import POLLOUT, poll

__all__ = ('LineWriter',)

_MAX_LINES = 2000  # buffered for a slow reader; about 600 KB
# PIPE_BUF: by POSIX, a writable pipe accepts this much without blocking.
_MAX_CHUNK = 4096  # bytes


class LineWriter:
    """Buffers lines and drops new ones while the buffer is full."""

    def __init__(self, descriptor: int) -> None:
        """Write to an open file descriptor."""
        self.dropped = 0
        self._descriptor = descriptor
        self._poll = poll()
        self._poll.register(descriptor, POLLOUT)
        self._lines: deque[bytes] = deque()

    def write(self, line: str) -> None:
        """Buffer a line and write as much as the descriptor accepts."""
        if len(self._lines) >= _MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(f'{line}\n'.encode())
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts."""
        while self._lines and self._is_writable():
            chunk = self._lines.popleft()
            try:
                written = os.write(self._descriptor, chunk[:_MAX_CHUNK])
            except OSError:
                # The reader has closed its end; the lines are lost.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                return
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])

    def _is_writable(self) -> bool:
        return any(mask & POLLOUT for _, mask in self._poll.poll(0))
