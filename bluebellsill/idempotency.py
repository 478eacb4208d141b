"""Records requests with idempotency keys, so that each runs at most once.

The record of a key is held by two nodes beside targets of the called
service: those that rank highest for the key. A request runs only after both
holders have granted the claim. Each holder checks that

- it computes the same pair of holders as the claiming node,
- it sees more than half of the service's members,
- since the key was made it has always seen more than half of them, and
- every pair of holders since then has a member in common with the present
  pair.

If one of these is not certain, the record may be lost and the request is not
run.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum, unique
from typing import TYPE_CHECKING

from bluebellsill.holder_history import RETENTION, Certainty

if TYPE_CHECKING:
    from bluebellsill.messages import Pairs

__all__ = ('ClaimState', 'Grant', 'KeyRecords', 'Outcome')

MAX_KEPT_BODY = 16384  # bytes of a response body that a record keeps
_MAX_RECORDS = 20000  # keys that one node holds; see docs/CAPACITY.md


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
    """The result of a claim, with the answer of an earlier run if recorded."""

    state: ClaimState
    status: int = 0
    headers: Pairs = field(default_factory=list)
    body: bytes = b''


@dataclass(slots=True)
class _Record:
    """The owner of the claim on one key and the outcome of the request."""

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
    Certainty.HOLDER_NEWER: ClaimState.UNCERTAIN,
}


class KeyRecords:
    """The records of the keys that one node holds."""

    def __init__(self) -> None:
        """Create an empty set of records."""
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
            owner: Identifies the attempt that claims the key.
            fingerprint: The hash of the request.
            lifetime: Seconds after which the outcome of an unsettled claim
                counts as unknown.
            now: The time of the local clock in seconds.
            certainty: Whether an earlier claim is ruled out if there is no
                record of the key.
        """
        self._expire(now)
        record = self._records_by_key.get(key)
        if record is not None:
            return _grant_for(record, owner, fingerprint, now)
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
        """Record the outcome of a claimed request; only its owner can.

        Args:
            key: The scoped key.
            owner: The attempt that claimed the key.
            outcome: How the request ended. NOT_RUN releases the key.
            answer: The status, headers and body if there was an answer.
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


def _grant_for(
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
