"""How one kind of request is handled, whatever configuration says so."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ('Route', 'Split', 'WeightedService')


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a weighted share of the requests of a route.

    Attributes:
        service: The service's name.
        weight: Its share, relative to the weights of the other parts.
    """

    service: str
    weight: int = 1


# A route's name and the services that its requests are split over.
Split = tuple[str, tuple[WeightedService, ...]]


@dataclass(frozen=True, slots=True)
class Route:
    """A validated rule for requests.

    Their handling depends on this rule alone; nothing else is derived from
    the requests.

    Attributes:
        name: The name of the route in histograms and logs.
        parts: The services that the requests go to.
        is_idempotent: Whether a request may safely run twice.
        timeout: Seconds after which a request is answered with an error.
        target_latency: Seconds within which an answer has its full value,
            0 if none are configured.
        importance: Requests of higher importance are shed later.
        max_sends: How many targets may receive one request.
        is_public: Whether requests need no key of a team.
    """

    name: str
    weighted_services: tuple[WeightedService, ...] = ()
    is_idempotent: bool = False
    timeout: float = 0
    target_latency: float = 0
    importance: int = 0
    max_sends: int = 4
    is_public: bool = False
