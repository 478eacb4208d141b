"""HTTP conventions between a node and its target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bluebellsill.filters import DEADLINE_HEADER
from bluebellsill.http_exchange import ResponseRules

if TYPE_CHECKING:
    from bluebellsill.announcement import Announcement
    from bluebellsill.errors import ErrorKind
    from bluebellsill.http import Headers, Response
    from bluebellsill.messages import Call

__all__ = (
    'NO_DIRECTIVE',
    'NativeDialect',
    'TargetDialect',
    'TargetDirective',
    'TargetHealth',
)


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """The state that a target reports in its response to a probe.

    Attributes:
        name: The target's name, empty if not reported.
        is_serving: Whether it reports to be healthy and not leaving.
        cold_seconds: How long it stays cold, None if not reported.
        slots: How many requests it runs concurrently, 0 if not reported.
    """

    name: str
    is_serving: bool
    cold_seconds: float | None = None
    slots: int = 0


@dataclass(frozen=True, slots=True)
class TargetDirective:
    """What a target asks of all nodes in a response.

    Attributes:
        rate_limit: The requests a second that it takes from all nodes
            together, None without a limit.
        is_leaving: Whether it is to get no new requests.
    """

    rate_limit: float | None = None
    is_leaving: bool = False


NO_DIRECTIVE = TargetDirective()


class TargetDialect(Protocol):
    """The HTTP conventions of one kind of target."""

    response_rules: ResponseRules

    def headers(
        self,
        call: Call,
        seconds: float,
        announcement: Announcement,
    ) -> Headers:
        """Return the request headers of a call to the target.

        Args:
            call: The call.
            seconds: The time left until the call's deadline.
            announcement: The latest announcement of the target.
        """

    def rejection(self, response: Response) -> ErrorKind | None:
        """Return why the target did not run a request, None if it did."""

    def health(self, response: Response) -> TargetHealth:
        """Return the state reported in the response to a probe."""

    def slowness(self, response: Response) -> float | None:
        """Return the reported ratio of current to usual processing time.

        None if the response does not report it.
        """

    def load(self, response: Response) -> int | None:
        """Return how many requests the target runs and queues.

        None if the response does not report it.
        """

    def directive(self, response: Response) -> TargetDirective | None:
        """Return what the target asks for in a response.

        None if it cannot be read, which says nothing about the target.
        """


class NativeDialect:
    """The native HTTP conventions, as defined in docs/INTERFACES.md."""

    response_rules = ResponseRules()

    def headers(
        self,
        call: Call,
        seconds: float,
        announcement: Announcement,
    ) -> Headers:
        """Return the caller's headers, the deadline and the correlation id."""
        return [
            *call.headers,
            ('host', announcement.address),
            (DEADLINE_HEADER, str(int(seconds * 1000))),
            ('bluebellsill-correlation', call.correlation),
        ]

    def rejection(self, response: Response) -> None:
        """Return None: a target that sheds a request may have started it."""

    def health(self, response: Response) -> TargetHealth:
        """Report the target as serving: health reports can be wrong."""
        return TargetHealth('', is_serving=True)

    def slowness(self, response: Response) -> None:
        """Return None: native targets do not report their slowness."""

    def load(self, response: Response) -> None:
        """Return None: native targets do not report their load."""

    def directive(self, response: Response) -> TargetDirective:
        """Return no directive: native targets limit themselves."""
        return NO_DIRECTIVE
