"""Remembers keyed requests, so that each runs at most once.

Two nodes beside targets of the called service hold the record of a key:
those that rank highest for it. A request runs only after both have
granted the claim. Each holder checks that it sees the same pair and
more than half of the service's members, and that since the key was made
it always saw as many, and every pair of holders had a member in common
with the present one. Where that is not certain, the record may be lost
and the request is not run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum, unique
from typing import TYPE_CHECKING

from bluebellsill.holder_history import RETENTION, Certainty

if TYPE_CHECKING:
    from bluebellsill.messages import Pairs

__all__ = ('ClaimState', 'Grant', 'KeyHolder', 'Outcome')

MAX_KEPT_BODY = 16384  # bytes
_MAX_RECORDS = 20000  # keys of one holder, docs/CAPACITY.md


@unique
class ClaimState(IntEnum):
    """A holder's answer to a claim."""

    GRANTED = 0
    UNCERTAIN = 1
    IN_PROGRESS = 2
    COMPLETED = 3
    COMPLETED_WITHOUT_BODY = 4
    UNKNOWN = 5
    REUSED = 6
    NOT_HOLDER = 7
    FULL = 8
    LOST = 9


@unique
class Outcome(IntEnum):
    """How a claimed request ended."""

    NOT_RUN = 0
    ANSWERED = 1
    UNKNOWN = 2


@dataclass(slots=True)
class Grant:
    """What a claim came to, with the recorded answer of an earlier run."""

    state: ClaimState
    status: int = 0
    headers: Pairs = field(default_factory=list)
    body: bytes = b''


@dataclass(slots=True)
class _Record:
    """One key: who claimed it and how the request ended."""

    owner: str
    fingerprint: int
    claimed_until: float
    outcome: Outcome | None = None
    has_body: bool = True
    status: int = 0
    headers: Pairs = field(default_factory=list)
    body: bytes = b''


_STATES_BY_CERTAINTY = {
    Certainty.CERTAIN: ClaimState.GRANTED,
    Certainty.TOO_YOUNG: ClaimState.UNCERTAIN,
}


class KeyHolder:
    """The records of the keys that one node holds."""

    def __init__(self) -> None:
        """Create a holder without records."""
        self._records_by_key: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records_by_key)

    def claim(
        self,
        key: str,
        owner: str,
        fingerprint: int,
        *,
        lifetime: float,
        now: float,
        certainty: Certainty,
    ) -> Grant:
        """Claim the right to run a keyed request.

        Args:
            key: The scoped key.
            owner: Names the attempt that claims it.
            fingerprint: The hash of the request.
            lifetime: Seconds until an unsettled claim counts as unknown.
            now: The time of the local clock in seconds.
            certainty: What is known of the key if it has not been seen.
        """
        self._expire(now)
        record = self._records_by_key.get(key)
        if record is not None:
            return _judge(record, owner, fingerprint, now)
        if len(self._records_by_key) >= _MAX_RECORDS:
            return Grant(ClaimState.FULL)
        if certainty is Certainty.DOUBTFUL:
            return Grant(ClaimState.LOST)
        record = _Record(owner, fingerprint, now + lifetime)
        self._records_by_key[key] = record
        return Grant(_STATES_BY_CERTAINTY[certainty])

    def settle(
        self,
        key: str,
        owner: str,
        outcome: Outcome,
        answer: tuple[int, Pairs, bytes] | None = None,
    ) -> None:
        """Note how a claimed request ended; only its owner can.

        Args:
            key: The scoped key.
            owner: Who claimed it.
            outcome: How it ended; a request not run frees the key.
            answer: The status, headers and body, if answered.
        """
        record = self._records_by_key.get(key)
        if record is None or record.owner != owner:
            return
        if outcome is Outcome.NOT_RUN:
            if record.outcome is None:
                del self._records_by_key[key]
            return
        record.outcome = outcome
        if answer is None:
            return
        record.status, record.headers, body = answer
        record.has_body = len(body) <= MAX_KEPT_BODY
        record.body = body if record.has_body else b''

    def _expire(self, now: float) -> None:
        while self._records_by_key:
            key, record = next(iter(self._records_by_key.items()))
            if now - record.claimed_until < RETENTION:
                return
            del self._records_by_key[key]


def _judge(
    record: _Record,
    owner: str,
    fingerprint: int,
    now: float,
) -> Grant:
    if record.fingerprint != fingerprint:
        return Grant(ClaimState.REUSED)
    if record.outcome is Outcome.UNKNOWN:
        return Grant(ClaimState.UNKNOWN)
    if record.outcome is None:
        if now >= record.claimed_until:
            return Grant(ClaimState.UNKNOWN)
        return Grant(ClaimState.IN_PROGRESS)
    if not record.has_body:
        return Grant(ClaimState.COMPLETED_WITHOUT_BODY)
    return Grant(
        ClaimState.COMPLETED,
        record.status,
        record.headers,
        record.body,
    )
