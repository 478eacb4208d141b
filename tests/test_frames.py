"""Messages survive framing and compression unchanged."""

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

_FRAMINGS = (PlainFrames, CompressedFrames)
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


@pytest.mark.parametrize('framing', _FRAMINGS)
@given(
    st.lists(st.binary(max_size=3000), max_size=8),
    st.integers(min_value=1, max_value=700),
)
def test_messages_survive_any_segmentation_of_the_stream(
    framing: Callable[[], Frames],
    bodies: list[bytes],
    segment_size: int,
) -> None:
    sender, receiver = framing(), framing()
    sent: list[Message] = []
    for number, body in enumerate(bodies):
        sent += [
            _call(body, f'c{number}'),
            Answer(number, 200, _HEADERS, body, 1, 6, False, 1.0, 0.0),
            Cancel(number),
        ]
    stream = b''.join(sender.encode(message) for message in sent)
    received = bytearray()
    decoded: list[Message] = []
    for start in range(0, len(stream), segment_size):
        received += stream[start : start + segment_size]
        while (message := receiver.decode_next(received)) is not None:
            decoded.append(message)
    assert decoded == sent
    assert not received


def test_repetitive_heads_shrink_by_half() -> None:
    """Models calls between zones, whose heads are mostly identical."""
    frames = CompressedFrames()
    sizes = [
        len(frames.encode(_call(b'', os.urandom(8).hex()))) for _ in range(50)
    ]
    uncompressed = len(encode(_call(b'', os.urandom(8).hex())))
    assert sum(sizes[1:]) / 49 < uncompressed / 2


def test_bodies_do_not_displace_heads_from_the_window() -> None:
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
def test_malformed_frames_are_rejected(stream: bytes) -> None:
    with pytest.raises(MessageError):
        CompressedFrames().decode_next(bytearray(stream))
