"""Tracks what the target asks of the nodes that send requests to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger
from bluebellsill.target_dialect import NO_DIRECTIVE

if TYPE_CHECKING:
    from bluebellsill.http import Response
    from bluebellsill.target_dialect import TargetDialect, TargetDirective

__all__ = ('DirectiveTracker',)

_NO_RATE_LIMIT = -1.0  # value of the gauge; 0 is a limit


class DirectiveTracker:
    """Keeps the current directive of the target.

    Attributes:
        current: The last directive that the target has given.
    """

    def __init__(self, dialect: TargetDialect) -> None:
        """Create a tracker that has not seen a response.

        Args:
            dialect: Reads the directive of a response.
        """
        self.current: TargetDirective = NO_DIRECTIVE
        self._dialect = dialect
        self._log = get_logger('target')

    @property
    def rate_limit_gauge(self) -> float:
        """The stated rate limit in requests a second, -1 without one."""
        rate = self.current.rate_limit
        return _NO_RATE_LIMIT if rate is None else rate

    def observe(self, response: Response) -> None:
        """Record the directive in a response of the target."""
        directive = self._dialect.directive(response)
        if directive is None or directive == self.current:
            return
        self._log.info(
            'target directive changed',
            rate_limit=directive.rate_limit,
            is_leaving=directive.is_leaving,
            previous_rate_limit=self.current.rate_limit,
        )
        self.current = directive
