"""How one kind of request is handled, whatever said so."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ('Part', 'Route')


@dataclass(frozen=True, slots=True)
class Part:
    """One of the services that share the requests of a route.

    Attributes:
        service: The service's name.
        weight: Its share of the requests, relative to the other parts.
    """

    service: str
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Route:
    """A validated rule for requests; nothing else is derived from them.

    Attributes:
        name: Names the class of requests in histograms and logs.
        parts: The services that the requests go to.
        is_idempotent: Whether running a request twice does no harm.
        timeout: Seconds until a request is answered in any case.
        target_latency: Seconds within which an answer is of full use, 0
            where none are stated.
        importance: Higher is shed later.
        max_sends: How many targets may be handed one request.
    """

    name: str
    parts: tuple[Part, ...] = ()
    is_idempotent: bool = False
    timeout: float = 0
    target_latency: float = 0
    importance: int = 0
    max_sends: int = 4
