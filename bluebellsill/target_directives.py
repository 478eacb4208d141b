"""Tracks what the target asks of the nodes that send requests to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.announcement import replaces_provisional
from bluebellsill.logs import get_logger
from bluebellsill.target_dialect import NO_DIRECTIVE

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.announcement import Announcement
    from bluebellsill.clock import Clock
    from bluebellsill.http import Response
    from bluebellsill.target_dialect import TargetDialect, TargetDirective

__all__ = ('DirectiveTracker',)

_NO_RATE_LIMIT = -1.0  # value of the gauge; 0 is a limit


class DirectiveTracker:
    """Keeps the current directive of the target.

    Responses may be read in another order than the target sent them. A
    response that no longer states a limit therefore counts only if its request
    was sent after the limit was last read.

    Attributes:
        current: What the target asks for now.
    """

    def __init__(
        self,
        dialect: TargetDialect,
        clock: Clock,
        on_changed: Callable[[TargetDirective], None],
    ) -> None:
        """Create a tracker that has not seen a response.

        Args:
            dialect: Reads the directive of a response.
            clock: Tells when a response is read.
            on_changed: Called with each new directive.
        """
        self.current: TargetDirective = NO_DIRECTIVE
        self._dialect = dialect
        self._clock = clock
        self._on_changed = on_changed
        self._announcement: Announcement | None = None
        self._confirmed_at: float = 0
        self._log = get_logger('target')

    @property
    def rate_limit_gauge(self) -> float:
        """The stated rate limit in requests a second, -1 without one."""
        rate = self.current.rate_limit
        return _NO_RATE_LIMIT if rate is None else rate

    def on_announced(self, announcement: Announcement) -> None:
        """Forget the directive of an earlier start of the target."""
        known = self._announcement
        self._announcement = announcement
        is_same_start = known is not None and (
            known.start_id == announcement.start_id
            or replaces_provisional(known, announcement)
        )
        if not is_same_start:
            self._set(NO_DIRECTIVE)

    def observe(self, response: Response, sent_at: float) -> None:
        """Record the directive in a response of the target.

        Args:
            response: The response to a request or a probe.
            sent_at: When the request was sent, in seconds.
        """
        directive = self._dialect.directive(response)
        if directive is None:
            return
        if self._is_relaxed(directive) and sent_at < self._confirmed_at:
            return
        self._confirmed_at = self._clock.now()
        self._set(directive)

    def _is_relaxed(self, directive: TargetDirective) -> bool:
        """Return whether a directive allows more than the current one."""
        known, rate = self.current.rate_limit, directive.rate_limit
        return known is not None and (rate is None or rate > known)

    def _set(self, directive: TargetDirective) -> None:
        if directive == self.current:
            return
        self._log.info(
            'target directive changed',
            rate_limit=directive.rate_limit,
            is_leaving=directive.is_leaving,
            previous_rate_limit=self.current.rate_limit,
        )
        self.current = directive
        self._on_changed(directive)
