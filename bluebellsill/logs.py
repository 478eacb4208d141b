"""Structured logs: one JSON object a line, in bounded volume, by structlog."""

from __future__ import annotations

import logging
from collections import Counter
from time import monotonic
from typing import TYPE_CHECKING, Any

import structlog
from msgspec import json

from bluebellsill.line_writer import LineWriter

if TYPE_CHECKING:
    from structlog.typing import EventDict, FilteringBoundLogger

__all__ = ('bind_logs', 'flush_logs', 'get_logger', 'send_logs_to')

# Lines of one event; a hundred failed calls tell as much as a thousand.
_LINES_PER_SECOND = 100
_STANDARD_ERROR = 2  # file descriptor

_encoder = json.Encoder(enc_hook=str)


class _Sink:
    """Hands rendered lines to a writer that can be replaced."""

    def __init__(self) -> None:
        self.writer = LineWriter(_STANDARD_ERROR)

    def info(self, line: str) -> None:
        """Write a line."""
        self.writer.write(line)

    warning = info
    error = info


class _Bound:
    """Adds what is bound for the whole process."""

    def __init__(self) -> None:
        self.fields: dict[str, str] = {}

    def __call__(self, *arguments: Any) -> EventDict:
        """Add the fields; the last argument is the event."""
        event: EventDict = arguments[-1]
        return {**self.fields, **event}


class _Limit:
    """Drops the lines of an event beyond a number in each second."""

    def __init__(self) -> None:
        self._second = 0
        self._lines: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def __call__(self, *arguments: Any) -> EventDict:
        """Pass the last argument on, or drop it and say so later."""
        event: EventDict = arguments[-1]
        second = int(monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
        name = str(event.get('event', ''))
        self._lines[name] += 1
        if self._lines[name] > _LINES_PER_SECOND:
            self._left_out[name] += 1
            raise structlog.DropEvent
        left_out = self._left_out.pop(name, 0)
        if left_out:
            event['left_out_before'] = left_out
        return event


_sink = _Sink()
_bound = _Bound()

structlog.configure(
    processors=[
        _Limit(),
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt='iso', utc=True),
        _bound,
        structlog.processors.JSONRenderer(
            serializer=lambda event, **_: _encoder.encode(event).decode(),
        ),
    ],
    wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
    logger_factory=lambda *_: _sink,
    cache_logger_on_first_use=True,
)


def bind_logs(**fields: str) -> None:
    """Carry ``fields`` on each line from now on."""
    _bound.fields.update(fields)


def send_logs_to(descriptor: int) -> None:
    """Write lines to another file descriptor from now on."""
    flush_logs()
    _sink.writer = LineWriter(descriptor)


def flush_logs() -> int:
    """Write what waits, as far as the reader takes it.

    Returns:
        The lines that were dropped so far because the reader was too slow.
    """
    _sink.writer.flush()
    return _sink.writer.dropped


def get_logger(part: str) -> FilteringBoundLogger:
    """Return the logger of a part of the process."""
    logger: FilteringBoundLogger = structlog.get_logger(part=part)
    return logger
