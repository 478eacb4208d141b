"""A team that sends requests, as the routing document declares it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ('Allowance', 'Team')


@dataclass(frozen=True, slots=True)
class Allowance:
    """How many requests a team may send over all nodes together.

    Attributes:
        rate: Requests a second.
        burst: Requests beyond the rate that may be sent at once.
    """

    rate: float
    burst: float = 0


@dataclass(frozen=True, slots=True)
class Team:
    """A declared team.

    Attributes:
        name: The team's name, which targets are told.
        importance: Requests of teams of higher importance are shed later; it
            precedes the importance of the route.
        allowance: The limit on its requests, None for no limit.
    """

    name: str
    importance: int = 0
    allowance: Allowance | None = None
