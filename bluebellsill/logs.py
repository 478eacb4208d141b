"""Structured logs by structlog: rate-limited, one JSON object per line."""

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

# Limit for each event name: a hundred lines about failed calls are as useful as
# a thousand.
_LINES_PER_SECOND = 100
_STANDARD_ERROR = 2  # file descriptor

_encoder = json.Encoder(enc_hook=str)


class _WriterLogger:
    """A structlog logger that passes lines to a replaceable writer."""

    def __init__(self) -> None:
        self.writer = LineWriter(_STANDARD_ERROR)

    def info(self, line: str) -> None:
        """Write a line."""
        self.writer.write(line)

    warning = info
    error = info


class _BoundFields:
    """A structlog processor that adds fields bound for the whole process."""

    def __init__(self) -> None:
        self.fields: dict[str, str] = {}

    def __call__(self, *arguments: Any) -> EventDict:
        """Add the fields to the event, which is the last argument."""
        event: EventDict = arguments[-1]
        return {**self.fields, **event}


class _RateLimit:
    """A structlog processor that limits the lines per second of each event."""

    def __init__(self) -> None:
        self._second = 0
        self._lines: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()

    def __call__(self, *arguments: Any) -> EventDict:
        """Return the event, which is the last argument, or drop it.

        The next line of that event states how many were dropped.
        """
        event: EventDict = arguments[-1]
        second = int(monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
        name = str(event.get('event', ''))
        self._lines[name] += 1
        if self._lines[name] > _LINES_PER_SECOND:
            self._dropped[name] += 1
            raise structlog.DropEvent
        dropped = self._dropped.pop(name, 0)
        if dropped:
            event['left_out_before'] = dropped
        return event


_writer_logger = _WriterLogger()
_bound_fields = _BoundFields()

structlog.configure(
    processors=[
        _RateLimit(),
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt='iso', utc=True),
        _bound_fields,
        structlog.processors.JSONRenderer(
            serializer=lambda event, **_: _encoder.encode(event).decode(),
        ),
    ],
    wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
    logger_factory=lambda *_: _writer_logger,
    cache_logger_on_first_use=True,
)


def bind_logs(**fields: str) -> None:
    """Add ``fields`` to every following line."""
    _bound_fields.fields.update(fields)


def send_logs_to(descriptor: int) -> None:
    """Write all following lines to another file descriptor."""
    flush_logs()
    _writer_logger.writer = LineWriter(descriptor)


def flush_logs() -> int:
    """Write as many buffered lines as the file descriptor accepts.

    Returns:
        The number of lines dropped so far because the buffer was full or the
        reader had closed its end.
    """
    _writer_logger.writer.flush()
    return _writer_logger.writer.dropped


def get_logger(part: str) -> FilteringBoundLogger:
    """Return a logger whose lines carry ``part``."""
    logger: FilteringBoundLogger = structlog.get_logger(part=part)
    return logger
