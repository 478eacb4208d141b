"""How a stand-in target behaves."""

from __future__ import annotations

from http import HTTPStatus
from typing import Annotated

from msgspec import Meta, Struct

__all__ = ('Behaviour',)


class Behaviour(Struct, frozen=True, forbid_unknown_fields=True):
    """How a target behaves; it can be changed while the target runs.

    Attributes:
        service_ms: The mean time of one request in milliseconds.
        slots: Requests at a time when warm; more are shed.
        slow_factor: A noisy neighbour makes every request this much slower.
        is_failing: Whether requests fail at once with a 500.
        is_silent: Whether requests are taken in but never answered.
        cuts_body: Whether answers end before their stated length.
        health: The status of the health report, true or not.
        crashes_when_cold: Whether too much work crashes a cold target.
        ledger: Where each order is noted as it takes effect, or empty.
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
