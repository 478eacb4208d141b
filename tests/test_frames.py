"""Messages arrive as they were sent, whatever a connection's layout is."""

from __future__ import annotations

import os
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellsill.frames import CompressedFrames, Frames, PlainFrames
from bluebellsill.messages import (
    Answer,
    Call,
    Cancel,
    Message,
    MessageError,
    encode,
)

_LAYOUTS = (PlainFrames, CompressedFrames)
_HEADERS = [
    ('host', 'shop.example'),
    ('user-agent', 'sdk-client/1.9.3'),
    ('accept', '*/*'),
    ('accept-encoding', 'identity'),
]


def _call(body: bytes, name: str = 'c1') -> Call:
    return Call(
        1,
        'shop',
        'POST',
        f'/shop/{name}',
        [*_HEADERS, ('request-id', name)],
        body,
        1500,
        998,
        False,
        7,
        name,
    )


@pytest.mark.parametrize('layout', _LAYOUTS)
@given(
    st.lists(st.binary(max_size=3000), max_size=8),
    st.integers(min_value=1, max_value=700),
)
def test_messages_survive_any_cut_of_the_stream(
    layout: Callable[[], Frames],
    bodies: list[bytes],
    piece: int,
) -> None:
    sender, receiver = layout(), layout()
    sent: list[Message] = []
    for number, body in enumerate(bodies):
        sent += [
            _call(body, f'c{number}'),
            Answer(number, 200, _HEADERS, body, 1, 6, False, 1.0, 0.0),
            Cancel(number),
        ]
    stream = b''.join(sender.encode(one) for one in sent)
    received = bytearray()
    taken: list[Message] = []
    for start in range(0, len(stream), piece):
        received += stream[start : start + piece]
        while (message := receiver.take(received)) is not None:
            taken.append(message)
    assert taken == sent
    assert not received


def test_heads_that_repeat_cost_a_fraction() -> None:
    """The load: calls between zones, whose heads are mostly alike."""
    frames = CompressedFrames()
    sizes = [
        len(frames.encode(_call(b'', os.urandom(8).hex()))) for _ in range(50)
    ]
    plain = len(encode(_call(b'', os.urandom(8).hex())))
    assert sum(sizes[1:]) / 49 < plain / 2


def test_bodies_do_not_push_heads_out() -> None:
    frames = CompressedFrames()
    body = os.urandom(5000)
    sizes = [
        len(frames.encode(_call(body, os.urandom(8).hex()))) - len(body)
        for _ in range(20)
    ]
    assert max(sizes[1:]) < sizes[0] * 0.75


@pytest.mark.parametrize(
    'stream',
    [
        b'\xff\xff\xff\xff\x00\x00\x00\x00',
        b'\x00\x00\x00\x04\x00\x00\x00\x00\xde\xad\xbe\xef',
    ],
)
def test_bytes_that_are_no_message_are_refused(stream: bytes) -> None:
    with pytest.raises(MessageError):
        CompressedFrames().take(bytearray(stream))
