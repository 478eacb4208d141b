"""The filter that identifies the team of a request by its key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.resources import EXTERNAL_CALLER
from bluebellsill.teams.directory import digest_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.filters import InboundRequest
    from bluebellsill.http import Request
    from bluebellsill.operator_state import OperatorState

__all__ = ('TeamFilter',)


class TeamFilter:
    """Identifies the team of a request, and removes the key from it.

    It does nothing while no document with teams is in force.
    """

    def __init__(
        self,
        state: OperatorState,
        header: str,
        scheme: str,
        may_be_nested: Callable[[Request], bool],
    ) -> None:
        """Look up keys in the routing plan in force.

        Args:
            state: Provides the routing plan.
            header: The header with the key, in lower case.
            scheme: The word before the key, in lower case.
            may_be_nested: Returns whether the local target may have sent a
                request while it runs one that this node does not know.
        """
        self._state = state
        self._header = header
        self._scheme = scheme
        self._may_be_nested = may_be_nested

    def apply(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Set the team; refuse a request that needs a known key.

        It may be applied again to a request with an unknown key.
        """
        plan = self._state.plan
        if plan is None or plan.teams is None:
            return Ok(None)
        stated = self._remove_header(inbound.request)
        if inbound.caller != EXTERNAL_CALLER:
            return Ok(None)
        key = self._key(stated) or inbound.unknown_key
        inbound.unknown_key = ''
        encoded = key.encode('latin-1')
        team = plan.teams.find(digest_key(encoded))
        if key and team is not None:
            inbound.team = team
            inbound.tenant = team.name
        if inbound.route.is_public:
            return Ok(None)
        if inbound.team is not None:
            inbound.key_tag = plan.teams.tags.tag(encoded)
            inbound.key_version = plan.version
            return Ok(None)
        inbound.unknown_key = key
        if not (stated or key) and self._may_be_nested(inbound.request):
            message = 'this node does not know yet what its target runs'
            return Err(Problem(ErrorKind.UNKNOWN_PARENT, message))
        reason = 'is unknown' if key else 'is missing or malformed'
        message = f'the key {reason} (version {plan.version})'
        return Err(Problem(ErrorKind.UNAUTHORIZED, message))

    def _remove_header(self, request: Request) -> list[str]:
        """Remove the header with the key; return its values."""
        stated = [
            text for name, text in request.headers if name == self._header
        ]
        if stated:
            request.headers = [
                pair for pair in request.headers if pair[0] != self._header
            ]
        return stated

    def _key(self, stated: list[str]) -> str:
        """Return the key, empty unless there is exactly one."""
        if len(stated) != 1:
            return ''
        scheme, _, key = stated[0].strip().partition(' ')
        return key.strip() if scheme.lower() == self._scheme else ''
