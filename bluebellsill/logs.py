"""Structured logs: one JSON object a line on the standard error."""

from __future__ import annotations

import sys
from typing import Any

import structlog
from msgspec import json

__all__ = ('Logger', 'configure_logs', 'get_logger')

Logger = Any


def configure_logs(**bound: str) -> None:
    """Write JSON lines that carry ``bound`` on each line."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_serialize),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**bound)


def get_logger(part: str) -> Logger:
    """Return a logger that names the part of the process."""
    return structlog.get_logger(part=part)


def _serialize(document: object, **_: object) -> str:
    return json.encode(document, enc_hook=str).decode()
