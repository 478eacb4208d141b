"""What a holder takes for a loss, and when it does not answer for keys."""

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


class Setting:
    """A registry among five members of a service."""

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
        """Learn of another member's state."""
        record = self.members.by_id[member_id]
        self.members.merge(
            replace(record, state=int(state), version=version),
            0,
        )

    def key_held_with(self, member_id: str) -> str:
        """Return a key that this node and another one hold."""
        for _ in range(1000):
            key = f'\0s\0{new_key()}'
            holders = {one for one, _ in self.registry.holders('s', key)}
            if holders == {'10.0.0.1:1', member_id}:
                return key
        raise AssertionError('no such key')

    def claim(self, key: str) -> ClaimState:
        """Claim a key with the holders that this node sees."""
        holders = self.registry.holders('s', key)
        claim = Claim(1, key, 7, f'owner-{self.now}', 5000, holders)
        return ClaimState(self.registry.grant(claim).state)


@pytest.fixture
def setting() -> Setting:
    return Setting()


@pytest.mark.parametrize(
    'path',
    [
        [(MemberState.SUSPECT, 0), (MemberState.GONE, 0)],
        [(MemberState.GONE, 0)],  # the suspicion was not heard of
        [(MemberState.LEAVING, 1), (MemberState.GONE, 1)],  # killed meanwhile
    ],
)
def test_losses_hold_claims_up(
    setting: Setting,
    path: list[tuple[MemberState, int]],
) -> None:
    key = setting.key_held_with(_OTHERS[0])
    for state, version in path:
        setting.change(_OTHERS[0], state, version)
    assert setting.claim(key) is ClaimState.NOT_HOLDER
    setting.now += SETTLING_TIME
    assert setting.claim(key) is not ClaimState.NOT_HOLDER


def test_taking_leave_holds_nothing_up(setting: Setting) -> None:
    key = setting.key_held_with(_OTHERS[0])
    setting.change(_OTHERS[0], MemberState.LEAVING, 1)
    setting.change(_OTHERS[0], MemberState.GONE, 2)
    assert setting.claim(key) is not ClaimState.NOT_HOLDER


def test_node_that_was_paused_answers_for_no_key(setting: Setting) -> None:
    key = setting.key_held_with(_OTHERS[0])
    setting.is_fresh = False
    assert setting.claim(key) is ClaimState.NOT_HOLDER
    setting.is_fresh = True
    assert setting.claim(key) is ClaimState.GRANTED
