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
    from bluebellsill.http import Headers, Response
    from bluebellsill.messages import Call
    from bluebellsill.target_watch import Announcement

__all__ = ('PlatformDialect',)

_SECOND = 1000  # milliseconds
_PERCENT = 100  # of the usual time
_LOAD_FIGURES = 4  # running, waiting, slots, slowness


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
        )

    def slowness(self, response: Response) -> float | None:
        """Return the fourth figure of the load, as a factor.

        The others are the requests that run and wait, and the slots.
        """
        figures = response.header(LOAD).split(',')
        if len(figures) != _LOAD_FIGURES or not figures[-1].isdecimal():
            return None
        return max(1, int(figures[-1])) / _PERCENT
