"""When a caller whose request was refused should come again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.errors import ErrorKind

if TYPE_CHECKING:
    from bluebellsill.errors import Problem

__all__ = ('retry_after',)

_SOONEST = 0.02  # seconds; a new connection takes about as long
_SHARE = 0.25  # of the time left; callers follow up to a third of it
# Seconds until what was missing is usually there, by kind.
_USUAL_BY_KIND = {
    ErrorKind.NOT_CONFIGURED: 0.5,
    ErrorKind.NO_TARGET: 0.2,
    ErrorKind.LEAVING: 0.1,
    ErrorKind.ZONE_OUT: 0.1,
    ErrorKind.STALE: 0.2,
}
_USUAL = 0.1  # seconds; about one usual answer frees a slot


def retry_after(problem: Problem, left: float) -> float:
    """Return the seconds after which another try is worth it.

    The queue's own drain time is best; where nobody knows it, the usual
    time until what was missing is there. A caller that would wait for most
    of its time could not use the answer any more.

    Args:
        problem: Why the request was refused.
        left: Seconds until the caller waits no longer.
    """
    usual = _USUAL_BY_KIND.get(problem.kind, _USUAL)
    wanted = problem.retry_after or usual
    return max(_SOONEST, min(wanted, _SHARE * left))
