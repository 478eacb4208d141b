"""HTTP conventions between a node and a target of the platform."""

from __future__ import annotations

from http import HTTPStatus
from math import inf
from typing import TYPE_CHECKING

from bluebellsill.decoding import parse_whole_number
from bluebellsill.errors import ErrorKind
from bluebellsill.http_exchange import ResponseRules
from bluebellsill.logs import get_logger
from bluebellsill.platform.headers import (
    COLD_LEFT,
    DEADLINE,
    EXPECTED_TARGET,
    LEAVING,
    LOAD,
    NOT_RUN,
    RATE_LIMIT,
    REQUEST_ID,
    TARGET_NAME,
)
from bluebellsill.target_dialect import (
    NO_DIRECTIVE,
    TargetDirective,
    TargetHealth,
)

if TYPE_CHECKING:
    from bluebellsill.announcement import Announcement
    from bluebellsill.http import Headers, Response
    from bluebellsill.messages import Call

__all__ = ('PlatformDialect',)

_MS_PER_SECOND = 1000
_PERCENT = 100  # of the usual processing time
_LOAD_FIELDS = 4  # running, queued, slots, slowness
_SLOTS_INDEX = 2  # in the load header
_SLOWNESS_INDEX = 3  # in the load header
_MAX_LOAD_NUMBER = 1_000_000  # a larger one in the load header is corrupt
_LEAVING_VALUE = '1'
_NO_LOAD = [0 for _ in range(_LOAD_FIELDS)]


class PlatformDialect:
    """The HTTP conventions of the platform's targets."""

    response_rules = ResponseRules(
        id_header=REQUEST_ID, allows_body_until_close=True
    )

    def __init__(self) -> None:
        """Create the dialect; it keeps no state of a target."""
        self._log = get_logger('target')

    def headers(
        self,
        call: Call,
        seconds: float,
        announcement: Announcement,
    ) -> Headers:
        """Return the caller's headers, the deadline and the target's name."""
        return [
            *call.headers,
            (DEADLINE, str(int(seconds * _MS_PER_SECOND))),
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
        """Return the state reported in the response to a probe."""
        cold_ms = parse_whole_number(response.header(COLD_LEFT))
        return TargetHealth(
            response.header(TARGET_NAME),
            is_serving=response.status == HTTPStatus.OK
            and not _is_leaving(response),
            cold_seconds=None if cold_ms is None else cold_ms / _MS_PER_SECOND,
            slots=_load(response)[_SLOTS_INDEX],
        )

    def slowness(self, response: Response) -> float | None:
        """Return the ratio of current to usual processing time."""
        percent = _load(response)[_SLOWNESS_INDEX]
        return percent / _PERCENT if percent else None

    def load(self, response: Response) -> int | None:
        """Return the running and queued requests, None if not reported."""
        load = _load(response)
        return sum(load[:_SLOTS_INDEX]) if load[_SLOTS_INDEX] else None

    def directive(self, response: Response) -> TargetDirective | None:
        """Return what the target asks for, None if it cannot be read."""
        text = response.header(RATE_LIMIT)
        is_leaving = _is_leaving(response)
        if not text:
            return (
                TargetDirective(is_leaving=True) if is_leaving else NO_DIRECTIVE
            )
        try:
            rate = float(text)
        except ValueError:
            rate = -1
        if 0 <= rate < inf:
            return TargetDirective(rate, is_leaving)
        self._log.warning('rate limit of the target is invalid', text=text)
        return None


def _is_leaving(response: Response) -> bool:
    return response.header(LEAVING) == _LEAVING_VALUE


def _load(response: Response) -> list[int]:
    """Return running and queued requests, slots and slowness in percent.

    All are 0 if the load header is missing or invalid.
    """
    fields = response.header(LOAD).split(',')
    parsed = [parse_whole_number(field) for field in fields]
    numbers = [
        number
        for number in parsed
        if number is not None and number <= _MAX_LOAD_NUMBER
    ]
    return numbers if len(numbers) == len(parsed) == _LOAD_FIELDS else _NO_LOAD
