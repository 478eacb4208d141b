"""Computes when a caller should retry a refused request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.errors import ErrorKind

if TYPE_CHECKING:
    from bluebellsill.errors import Problem

__all__ = ('MAX_SHARE_OF_TIME_LEFT', 'retry_after')

_MIN_DELAY = 0.02  # seconds; about as long as opening a connection
# Callers follow advice to wait for up to a third of the time left.
MAX_SHARE_OF_TIME_LEFT = 0.25
# Seconds until the cause of a refusal has usually passed, by kind.
_USUAL_DELAY_BY_KIND = {
    ErrorKind.NOT_CONFIGURED: 0.5,
    ErrorKind.NO_TARGET: 0.2,
    ErrorKind.LEAVING: 0.1,
    ErrorKind.ZONE_OUT: 0.1,
    ErrorKind.STALE: 0.2,
}
_DEFAULT_DELAY = 0.1  # seconds; about one usual latency, which frees a slot


def retry_after(problem: Problem, time_left: float) -> float:
    """Return the seconds after which a retry is likely to succeed.

    This is the expected wait for a slot where it is known, and otherwise
    the usual time until the cause of the refusal has passed. It is limited
    to a share of the time left, since a caller that waited longer could no
    longer use the answer.

    Args:
        problem: Why the request was refused.
        time_left: Seconds until the caller gives up.
    """
    usual_delay = _USUAL_DELAY_BY_KIND.get(problem.kind, _DEFAULT_DELAY)
    delay = problem.retry_after or usual_delay
    return max(_MIN_DELAY, min(delay, MAX_SHARE_OF_TIME_LEFT * time_left))
