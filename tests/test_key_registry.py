"""When a holder refuses claims: after losses and while its view is stale."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from msgspec.structs import replace

from bluebellsill.configuration import Configuration
from bluebellsill.gossip_messages import Member
from bluebellsill.holder_history import (
    KEY_AGE_MARGIN,
    SETTLING_TIME,
)
from bluebellsill.idempotency import (
    ClaimState,
)
from bluebellsill.key_registry import KeyRegistry
from bluebellsill.membership import Members, MemberState
from bluebellsill.messages import Claim
from tests.callers import new_key

_OTHERS = [f'10.0.0.{index}:1' for index in range(2, 6)]


class Harness:
    """The key registry of one of five members of a service."""

    def __init__(self) -> None:
        self.now = 1_700_000_000.0
        self.is_fresh = True
        ready = int(MemberState.READY)
        self.members = Members(Member('10.0.0.1:1', 1, 0, ready, 'a', 's'))
        links: Any = SimpleNamespace(now=lambda: self.now)
        self.registry = KeyRegistry(
            self.members,
            links,
            Configuration(),
            lambda: self.now,
            lambda: self.is_fresh,
        )
        for other in _OTHERS:
            self.members.merge(Member(other, 1, 0, ready, 'a', 's'), 0)
        self.now += 2 * KEY_AGE_MARGIN

    def change(self, member_id: str, state: MemberState, version: int) -> None:
        """Receive a new state of another member."""
        record = self.members.by_id[member_id]
        self.members.merge(
            replace(record, state=int(state), version=version),
            0,
        )

    def key_held_with(self, member_id: str) -> str:
        """Return a key whose holders are this node and another one."""
        for _ in range(1000):
            key = f'\0s\0{new_key()}'
            holders = {one for one, _ in self.registry.holders('s', key)}
            if holders == {'10.0.0.1:1', member_id}:
                return key
        raise AssertionError('none of 1000 keys has these two holders')

    def claim(self, key: str) -> ClaimState:
        """Claim a key with the holders that this node knows."""
        holders = self.registry.holders('s', key)
        claim = Claim(1, key, 7, f'owner-{self.now}', 5000, holders)
        return ClaimState(self.registry.on_claim(claim).state)


@pytest.fixture
def harness() -> Harness:
    return Harness()


@pytest.mark.parametrize(
    'path',
    [
        [(MemberState.SUSPECT, 0), (MemberState.GONE, 0)],
        # The SUSPECT record was not received.
        [(MemberState.GONE, 0)],
        # The member was killed while it was leaving.
        [(MemberState.LEAVING, 1), (MemberState.GONE, 1)],
    ],
)
def test_loss_of_a_member_delays_claims(
    harness: Harness,
    path: list[tuple[MemberState, int]],
) -> None:
    key = harness.key_held_with(_OTHERS[0])
    for state, version in path:
        harness.change(_OTHERS[0], state, version)
    assert harness.claim(key) is ClaimState.NOT_HOLDER
    harness.now += SETTLING_TIME
    assert harness.claim(key) is not ClaimState.NOT_HOLDER


def test_graceful_exit_does_not_delay_claims(harness: Harness) -> None:
    key = harness.key_held_with(_OTHERS[0])
    harness.change(_OTHERS[0], MemberState.LEAVING, 1)
    harness.change(_OTHERS[0], MemberState.GONE, 2)
    assert harness.claim(key) is not ClaimState.NOT_HOLDER


def test_node_with_a_stale_view_grants_no_claims(harness: Harness) -> None:
    key = harness.key_held_with(_OTHERS[0])
    harness.is_fresh = False
    assert harness.claim(key) is ClaimState.NOT_HOLDER
    harness.is_fresh = True
    assert harness.claim(key) is ClaimState.GRANTED
