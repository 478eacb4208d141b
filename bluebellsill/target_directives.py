"""Tracks what the target asks of the nodes that send requests to it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from bluebellsill.announcement import provisional_start_id, replaces_provisional
from bluebellsill.logs import get_logger
from bluebellsill.messages import TargetNote
from bluebellsill.target_dialect import NO_DIRECTIVE, TargetDirective

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.announcement import Announcement
    from bluebellsill.clock import Clock
    from bluebellsill.http import Response
    from bluebellsill.target_dialect import TargetDialect

__all__ = ('DirectiveTracker',)

_NO_RATE_LIMIT = -1.0  # value of the gauge; 0 is a limit
_NEW_START = 'new start'


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
        self._has_observed = False
        self._has_probe_stated = False
        self._adopted_start_id = ''
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
            or (
                replaces_provisional(known, announcement)
                and self._adopted_start_id in {'', announcement.start_id}
            )
        )
        if not is_same_start:
            self._has_observed = False
            self._has_probe_stated = False
            self._adopted_start_id = ''
            self._change(NO_DIRECTIVE, _NEW_START)

    def observe(self, response: Response, sent_at: float) -> None:
        """Record the directive in the response to a request.

        Args:
            response: The response.
            sent_at: When the request was sent, in seconds.
        """
        directive = self._dialect.directive(response)
        if directive is None:
            return
        if self._is_relaxed(directive) and sent_at < self._confirmed_at:
            return
        self._has_observed = True
        self._confirmed_at = self._clock.now()
        self._change(directive, 'response')

    def observe_probe(self, response: Response, sent_at: float) -> None:
        """Record the directive in the response to a probe.

        A probe that states nothing ends a limit only if probes of this start
        of the target have stated something before: a target may state its
        limit in other responses only.

        Args:
            response: The response.
            sent_at: When the probe was sent, in seconds.
        """
        self._has_probe_stated |= (
            self._dialect.directive(response) != NO_DIRECTIVE
        )
        if self._has_probe_stated:
            self.observe(response, sent_at)

    def adopt(self, note: TargetNote) -> None:
        """Take over what an entry node knows, until the target states it.

        Args:
            note: The directive that the entry node was told.
        """
        if not self._is_about_current_start(note):
            return
        if note.start_id != provisional_start_id(note.target):
            self._adopted_start_id = note.start_id
        rate = self.current.rate_limit
        if note.rate_limit is not None and not self._has_observed:
            rate = min(
                note.rate_limit, note.rate_limit if rate is None else rate
            )
        self._change(TargetDirective(rate, note.is_leaving), 'entry node')

    def note(self) -> TargetNote | None:
        """Return the directive for entry nodes, None if there is none."""
        announcement = self._announcement
        if announcement is None or self.current == NO_DIRECTIVE:
            return None
        return TargetNote(
            announcement.name,
            announcement.start_id,
            self.current.rate_limit,
            self.current.is_leaving,
        )

    def _is_about_current_start(self, note: TargetNote) -> bool:
        announcement = self._announcement
        if announcement is None:
            return False
        # This node or the one that stated it to the entry node knows only the
        # name of the target.
        is_start_unknown = (
            announcement.is_provisional
            or note.start_id == provisional_start_id(note.target)
        )
        is_same_name = is_start_unknown and note.target == announcement.name
        return is_same_name or note.start_id == announcement.start_id

    def _is_relaxed(self, directive: TargetDirective) -> bool:
        """Return whether a directive allows more than the current one."""
        known, rate = self.current.rate_limit, directive.rate_limit
        return known is not None and (rate is None or rate > known)

    def _change(self, directive: TargetDirective, source: str) -> None:
        """Replace the directive; a target that leaves does not come back."""
        if self.current.is_leaving and source != _NEW_START:
            directive = replace(directive, is_leaving=True)
        if directive == self.current:
            return
        self._log.info(
            'target directive changed',
            rate_limit=directive.rate_limit,
            is_leaving=directive.is_leaving,
            previous_rate_limit=self.current.rate_limit,
            source=source,
        )
        self.current = directive
        self._on_changed(directive)
