"""How a node speaks to the target beside it, and the project's own way."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bluebellsill.filters import DEADLINE_HEADER
from bluebellsill.http_client import AnswerRules

if TYPE_CHECKING:
    from bluebellsill.announcement import Announcement
    from bluebellsill.errors import ErrorKind
    from bluebellsill.http import Headers, Response
    from bluebellsill.messages import Call

__all__ = ('OwnDialect', 'TargetDialect', 'TargetHealth')


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """What a target says of itself when it is probed.

    Attributes:
        name: Which target answers, empty if it is silent about that.
        is_serving: Whether it calls itself healthy and not leaving.
        cold_seconds: How long it stays cold, None if it does not say.
        slots: The requests that it runs at a time, 0 if it does not say.
    """

    name: str
    is_serving: bool
    cold_seconds: float | None = None
    slots: int = 0


class TargetDialect(Protocol):
    """What differs between the ways in which targets speak."""

    answer_rules: AnswerRules

    def headers(
        self,
        call: Call,
        seconds: float,
        announcement: Announcement,
    ) -> Headers:
        """Return the headers of a call at the target.

        Args:
            call: The call.
            seconds: What is left until nobody waits.
            announcement: The target that is meant.
        """

    def rejection(self, response: Response) -> ErrorKind | None:
        """Return why the target did not run a request, None if it did."""

    def health(self, response: Response) -> TargetHealth:
        """Return what the answer to a probe tells."""

    def slowness(self, response: Response) -> float | None:
        """Return how many times longer than usual work takes now.

        None where an answer does not say.
        """


class OwnDialect:
    """The headers of docs/INTERFACES.md."""

    answer_rules = AnswerRules()

    def headers(
        self,
        call: Call,
        seconds: float,
        announcement: Announcement,
    ) -> Headers:
        """Return the caller's headers, the deadline and the correlation."""
        return [
            *call.headers,
            ('host', announcement.address),
            (DEADLINE_HEADER, str(int(seconds * 1000))),
            ('bluebellsill-correlation', call.correlation),
        ]

    def rejection(self, response: Response) -> None:
        """Return None: a target that sheds may have begun to run."""

    def health(self, response: Response) -> TargetHealth:
        """Return that the target serves; its health reports may lie."""
        return TargetHealth('', is_serving=True)

    def slowness(self, response: Response) -> None:
        """Return None: targets do not say."""
