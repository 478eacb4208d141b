"""The settings of a simulated target."""

from __future__ import annotations

from http import HTTPStatus
from typing import Annotated

from msgspec import Meta, Struct

__all__ = ('Behaviour',)


class Behaviour(Struct, frozen=True, forbid_unknown_fields=True):
    """How a target behaves; can be changed while the target runs.

    Attributes:
        service_ms: The mean service time of a request in milliseconds.
        slots: The concurrent requests when warm; more are rejected.
        slow_factor: The factor by which a noisy neighbour slows requests.
        is_failing: Whether requests fail immediately with status 500.
        is_silent: Whether requests are accepted but never answered.
        cuts_body: Whether responses end before their declared length.
        health: The status of responses to probes, which may be false.
        crashes_when_cold: Whether overload crashes a cold target.
        ledger: The address at which each order is recorded when it is
            executed, empty for none.
    """

    service_ms: float = 10
    slots: int = 6
    slow_factor: float = 1
    is_failing: bool = False
    is_silent: bool = False
    cuts_body: bool = False
    health: int = HTTPStatus.OK.value
    crashes_when_cold: bool = False
    ledger: Annotated[str, Meta(pattern=r'^([0-9.]{7,15}:[0-9]{1,5})?$')] = ''
