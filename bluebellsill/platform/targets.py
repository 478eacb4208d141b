"""How a node speaks to the platform's target beside it."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from bluebellsill.errors import ErrorKind
from bluebellsill.http_client import AnswerRules
from bluebellsill.platform.headers import (
    COLD_LEFT,
    DEADLINE,
    EXPECTED_TARGET,
    LOAD,
    NOT_RUN,
    REQUEST_ID,
    TARGET_NAME,
)
from bluebellsill.target_dialect import TargetHealth

if TYPE_CHECKING:
    from bluebellsill.announcement import Announcement
    from bluebellsill.http import Headers, Response
    from bluebellsill.messages import Call

__all__ = ('PlatformDialect',)

_SECOND = 1000  # milliseconds
_PERCENT = 100  # of the usual time
_LOAD_FIGURES = 4  # running, waiting, slots, slowness
_SLOTS_FIGURE = 2  # place in the header
_SLOWNESS_FIGURE = 3  # place in the header
_NO_LOAD = [0 for _ in range(_LOAD_FIGURES)]


class PlatformDialect:
    """The platform's headers between a node and its target."""

    answer_rules = AnswerRules(id_header=REQUEST_ID, may_lack_length=True)

    def headers(
        self,
        call: Call,
        seconds: float,
        announcement: Announcement,
    ) -> Headers:
        """Return the caller's headers, what is left, and who is meant."""
        return [
            *call.headers,
            (DEADLINE, str(int(seconds * _SECOND))),
            (EXPECTED_TARGET, announcement.name),
        ]

    def rejection(self, response: Response) -> ErrorKind | None:
        """Return why the target did not run a request, None if it did."""
        if response.status == HTTPStatus.MISDIRECTED_REQUEST:
            return ErrorKind.NO_TARGET
        if response.header(NOT_RUN):
            return ErrorKind.OVERLOADED
        return None

    def health(self, response: Response) -> TargetHealth:
        """Return what the answer to a probe tells."""
        cold_ms = response.header(COLD_LEFT)
        is_number = cold_ms.isdecimal()
        return TargetHealth(
            response.header(TARGET_NAME),
            is_serving=response.status == HTTPStatus.OK,
            cold_seconds=int(cold_ms) / _SECOND if is_number else None,
            slots=_load(response)[_SLOTS_FIGURE],
        )

    def slowness(self, response: Response) -> float | None:
        """Return the last figure of the load, as a factor."""
        percent = _load(response)[_SLOWNESS_FIGURE]
        return percent / _PERCENT if percent else None


def _load(response: Response) -> list[int]:
    """Return what runs, what waits, the slots and the slowness in percent.

    All are 0 where the target does not say.
    """
    figures = response.header(LOAD).split(',')
    is_whole = len(figures) == _LOAD_FIGURES and all(
        figure.isdecimal() for figure in figures
    )
    return [int(figure) for figure in figures] if is_whole else _NO_LOAD
