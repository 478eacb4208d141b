"""Calls of a removed key end while they wait, and no others do."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from hashlib import blake2b
from types import SimpleNamespace
from typing import Any

import pytest
from msgspec import msgpack

from bluebellsill._wire import WireMessage
from bluebellsill.clock import ManualClock
from bluebellsill.dispatch import Dispatch
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.filters import InboundRequest
from bluebellsill.http import Request
from bluebellsill.messages import Call, Refusal, decode, encode
from bluebellsill.outbound_call import OutboundCall
from bluebellsill.resources import EXTERNAL_CALLER, Kind
from bluebellsill.retries import RetryBudget
from bluebellsill.route import Route
from bluebellsill.teams import RevokedKeys, Team, TeamDirectory
from bluebellsill.teams.directory import digest_key
from bluebellsill.teams.key_tags import KeyTags
from bluebellsill.timers import TimerService
from tests.node_session import NodeSession
from tests.played import describe
from tests.test_dispatch import _router as make_router

_KEY = 'k-3f9a77'
_KEPT = 'k-kept'
_OWN = '10.0.0.9:1'


def _directory(*keys: str) -> TeamDirectory:
    return TeamDirectory.build([(Team('club'), keys)]).unwrap()


def _call(key: str, version: int, *in_force: str, name: str = 'c') -> Call:
    """Return a call as an entry node with the keys ``in_force`` makes it."""
    tags = _directory(*(in_force or (_KEY, _KEPT))).tags
    return Call(
        1,
        'bookings',
        'GET',
        '/x',
        [],
        b'',
        1000,
        1,
        True,
        0,
        name,
        key_tag=tags.tag(key.encode()) if key else b'',
        key_version=version if key else 0,
    )


def _revoked(*versions: tuple[int, tuple[str, ...]]) -> RevokedKeys:
    keys = RevokedKeys()
    for version, in_force in versions:
        keys.follow(version, _directory(*in_force))
    return keys


def test_call_of_a_removed_key_is_recognized() -> None:
    keys = _revoked((1, (_KEY, _KEPT)))
    assert not keys.concerns(_call(_KEY, 1))
    keys.follow(2, _directory(_KEPT))
    assert keys.concerns(_call(_KEY, 1))
    assert not keys.concerns(_call(_KEPT, 1))
    # Nested calls and calls of earlier builds have no tag.
    assert not keys.concerns(_call('', 1))


def test_call_of_an_earlier_set_of_keys_is_recognized() -> None:
    """The entry node may lag by more than one version."""
    keys = _revoked(
        (1, (_KEY, _KEPT)),
        (2, (_KEY, _KEPT, 'k-added')),
        (3, (_KEY, _KEPT, 'k-added')),
        (4, (_KEPT, 'k-added')),
        (5, (_KEPT,)),
    )
    assert keys.concerns(_call(_KEY, 1))
    assert keys.concerns(_call(_KEY, 3, _KEY, _KEPT, 'k-added'))
    assert keys.concerns(_call('k-added', 4, _KEPT, 'k-added'))
    assert not keys.concerns(_call(_KEPT, 1))


def test_tag_that_was_never_in_force_is_not_refused() -> None:
    """The document of the entry node may be newer than that of this node."""
    keys = _revoked((3, (_KEPT,)), (4, (_KEPT, 'k-added')))
    assert not keys.concerns(_call(_KEY, 1))
    assert not keys.concerns(_call(_KEY, 5))


def test_key_that_comes_back_is_not_refused() -> None:
    keys = _revoked((1, (_KEY, _KEPT)), (2, (_KEPT,)))
    # An entry node may know that it has come back before this node does.
    assert not keys.concerns(_call(_KEY, 3))
    assert keys.concerns(_call(_KEY, 1))
    keys.follow(3, _directory(_KEY, _KEPT))
    assert not keys.concerns(_call(_KEY, 1))
    assert not keys.concerns(_call(_KEY, 3))
    # It may be removed again, after other versions without it.
    keys.follow(4, _directory(_KEPT))
    assert keys.concerns(_call(_KEY, 3))
    assert not keys.concerns(_call(_KEY, 5))


def test_document_without_teams_needs_no_keys() -> None:
    keys = _revoked((1, (_KEY, _KEPT)))
    keys.follow(2, None)
    assert not keys.concerns(_call(_KEY, 1))
    keys.follow(3, _directory(_KEPT))
    assert keys.concerns(_call(_KEY, 1))


def test_removed_tags_take_bounded_memory() -> None:
    """Each version of the document added some."""
    keys = RevokedKeys(max_tags=100)
    for version in range(1, 60):
        in_force = [f'k-{version}-{number}' for number in range(30)]
        keys.follow(version, _directory(*in_force))
    assert sum(map(len, keys._earlier)) <= 100
    # The last set is kept, whatever its size.
    large = [f'k-{number}' for number in range(200)]
    keys.follow(60, _directory(*large))
    keys.follow(61, _directory(_KEPT))
    assert keys.concerns(_call(large[0], 60, *large))
    for version in range(62, 200):
        keys.follow(version, _directory(f'k-{version}'))
    assert len(keys._earlier) <= 16


def test_versions_with_the_same_keys_take_no_room() -> None:
    """Changes of routes alone pushed out the keys that had been removed."""
    keys = _revoked((1, (_KEY, _KEPT)))
    for version in range(2, 100):
        keys.follow(version, _directory(_KEPT))
    assert keys.concerns(_call(_KEY, 1))


def test_all_nodes_compute_the_same_tag() -> None:
    """The digests by which a process knows keys differ between processes."""
    program = (
        'from bluebellsill.teams import Team, TeamDirectory\n'
        f'keys = {(_KEPT, _KEY)!r}\n'
        'tags = TeamDirectory.build([(Team("club"), keys)]).unwrap().tags\n'
        f'print(tags.tag({_KEY.encode()!r}).hex())'
    )
    command = [sys.executable, '-c', program]
    other = subprocess.run(command, capture_output=True, check=True, text=True)
    own = _directory(_KEY, _KEPT).tags.tag(_KEY.encode())
    assert other.stdout.strip() == own.hex()


def test_tag_tells_nothing_to_who_lacks_the_other_keys() -> None:
    """A tag by the key alone could be compared with guesses at 1 us each."""
    encoded = _KEY.encode()
    tags = [
        _directory(_KEY, other).tags.tag(encoded) for other in ('k-1', 'k-2')
    ]
    assert tags[0] != tags[1]
    plain = blake2b(encoded, digest_size=len(tags[0])).digest()
    assert plain not in {*tags, _directory(_KEY).tags.tag(encoded)}
    # A new set of keys needs one slow derivation, which a guess would cost.
    found = vars(_directory(_KEY).tags)
    assert _KEY not in repr(found)
    assert len(found['secret']) == 32


def test_document_without_keys_has_no_tags() -> None:
    assert not len(_directory().tags)
    assert KeyTags({}).digest_of(b'') is None


class _EarlierCall(WireMessage, frozen=True, tag=4):
    """A call as builds without tags of keys declare it."""

    id: int
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    budget_ms: int
    priority: int
    is_idempotent: bool
    fingerprint: int
    correlation: str


def test_builds_without_tags_read_calls_and_send_them() -> None:
    """Nodes of two builds work together while an update is rolled out."""
    call = _call(_KEY, 7)
    assert msgpack.decode(encode(call), type=_EarlierCall).correlation == 'c'
    earlier = _EarlierCall(1, 's', 'GET', '/', [], b'', 9, 1, True, 1, 'c')
    received = decode(msgpack.encode(earlier))
    assert isinstance(received, Call)
    assert received.key_tag == b''
    assert not _revoked((1, (_KEY,)), (2, ())).concerns(received)


@pytest.mark.parametrize('key', [_KEY, _KEPT, ''])
def test_only_waiting_calls_of_a_removed_key_are_refused(
    key: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They ran after the key had been removed."""
    session = NodeSession(monkeypatch, service='bookings')
    session.declare(Kind.SERVICE, 'bookings', slots=6)
    session.announce('one')
    keys = _revoked((1, (_KEY, _KEPT)))
    monkeypatch.setattr(
        session,
        'refusal',
        lambda call: ErrorKind.UNAUTHORIZED if keys.concerns(call) else None,
    )

    def run(name: str, key: str) -> None:
        session.runner.run(
            _call(key, 1, name=name),
            lambda reply: session.record(f'{name}: {describe(reply)}'),
        )
        session.timers.run_due()

    run('runs', _KEY)
    run('waits', key)
    keys.follow(2, _directory(_KEPT))
    session.runner.refuse_queue(ErrorKind.UNAUTHORIZED, keys.concerns)
    refusals = [line for line in session.lines if 'unauthorized' in line]
    assert len(refusals) == (key == _KEY)
    assert session.runner.in_flight == 1 + (key != _KEY)
    # The running call is answered, and a waiting one with a key starts.
    session.target_responds(200, 'done')
    assert any('runs: Answer' in line for line in session.lines)
    assert session.runner.in_flight == (key != _KEY)
    if key != _KEY:
        session.target_responds(200, 'done')
        assert any('waits: Answer' in line for line in session.lines)
    # A call that arrives later, from an entry node that lags, is refused too.
    run('later', _KEY)
    refusal = next(line for line in session.lines if 'later: Refusal' in line)
    assert 'unauthorized' in refusal


class _Runner:
    """Replies to each call with the given outcomes in turn."""

    def __init__(self, *kinds: str) -> None:
        self.kinds = list(kinds)
        self.calls: list[Call] = []

    def run(self, call: Call, respond: Callable[[Any], None]) -> None:
        self.calls.append(call)
        respond(Refusal(call.id, self.kinds.pop(0), 1, 6))


def _outbound(runner: Any) -> tuple[list[Any], Any]:
    timers = TimerService(ManualClock())
    router = make_router()
    dispatch = Dispatch(
        router, RetryBudget(), timers.clock, deadline=2, is_idempotent=True
    )
    links: Any = SimpleNamespace(
        next_id=iter(range(1, 9)).__next__,
        now=timers.clock.now,
        reactor=SimpleNamespace(timers=timers),
        request=lambda _, call, respond: runner.run(call, respond),
    )
    inbound = InboundRequest(
        Request('GET', '/x', []), EXTERNAL_CALLER, 'a', 0, route=Route('r')
    )
    inbound.key_tag = b'tag-of-a'
    inbound.key_version = 4
    outcomes: list[Any] = []
    OutboundCall(
        inbound, dispatch, links, runner, _OWN, [], outcomes.append
    ).start()
    return outcomes, router


def test_call_with_a_removed_key_goes_to_no_other_target() -> None:
    """All targets' nodes refuse it, and each refusal made targets avoided."""
    runner = _Runner('overloaded', 'unauthorized', 'overloaded')
    outcomes, router = _outbound(runner)
    assert [type(one) for one in outcomes] == [Problem]
    assert outcomes[0].kind is ErrorKind.UNAUTHORIZED
    assert [call.key_tag for call in runner.calls] == 2 * [b'tag-of-a']
    assert {call.key_version for call in runner.calls} == {4}
    views = router.views_by_id.values()
    assert not any(view.consecutive_failures for view in views)
    assert not any(view.call_start_times for view in views)


def test_digest_of_a_process_is_no_tag() -> None:
    """A tag that only this process can compute would never match."""
    tags = _directory(_KEY).tags
    assert tags.digest_of(tags.tag(_KEY.encode())) == digest_key(_KEY.encode())
