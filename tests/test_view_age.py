"""Nodes that reach the store follow it, whichever other nodes do not."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from bluebellsill.gossip_messages import Confirmation
from tests.view_world import Node, World

_IN_FORCE = 2.0  # seconds from the acknowledgement of a change, of the pages
_EVACUATED = 5.0  # seconds, likewise
_CONTACT = 3.0  # seconds after which a node that lost the store is in touch
_SIZES = ((2, 2, 2), (4, 3, 3), (6,))
_FAULTS = ('cut', 'refused', 'slow', 'lost', 'frozen')
_SEEDS = range(6)
# Price of one watch of 3 s a zone, which the readers cost before.
_FORMER_PRICE_PER_ZONE = 1 / 3


def _disturb(world: World, node: Node, fault: str) -> None:
    if fault == 'frozen':
        world.freeze(node)
    else:
        node.store_fault = fault


def _calm(world: World) -> list[Node]:
    return [
        one for one in world.nodes if not one.store_fault and not one.is_frozen
    ]


@pytest.mark.parametrize('sizes', _SIZES)
@pytest.mark.parametrize('fault', _FAULTS)
def test_change_is_in_force_although_all_readers_lose_the_store(
    sizes: tuple[int, ...], fault: str
) -> None:
    """Only readers watched the store, and no other node knew they were gone."""
    for seed in _SEEDS:
        world = World(sizes, seed)
        world.settle()
        readers = world.readers()
        assert sorted(one.zone for one in readers) == sorted(
            'abc'[: len(sizes)]
        )
        for reader in readers:
            _disturb(world, reader, fault)
        world.store.write_document(2)
        written_at = world.clock.now()
        world.play(_IN_FORCE)
        bound = written_at + _IN_FORCE
        assert not world.late(_calm(world), 2, bound), (fault, seed)


@pytest.mark.parametrize('fault', _FAULTS)
def test_change_is_in_force_although_nodes_lose_the_store_in_turn(
    fault: str,
) -> None:
    """Whoever takes over for the readers loses the store next."""
    for seed in _SEEDS:
        world = World((4, 3, 3), seed)
        world.settle()
        readers = world.readers()
        for reader in readers:
            _disturb(world, reader, fault)
        world.store.write_document(2)
        written_at = world.clock.now()
        for _ in range(4):
            world.play(0.3)
            others = [one for one in _calm(world) if one not in readers]
            if len(others) > 3:
                _disturb(world, others[0], fault)
        world.play(_IN_FORCE - 1.2)
        bound = written_at + _IN_FORCE
        assert not world.late(_calm(world), 2, bound), (fault, seed)


def test_change_is_in_force_whatever_few_nodes_reach_the_store() -> None:
    for seed in range(20):
        random = Random(seed)
        world = World((4, 3, 3), seed)
        world.settle()
        for node in random.sample(world.nodes, 9):
            _disturb(world, node, random.choice(_FAULTS))
        world.store.write_document(2)
        written_at = world.clock.now()
        world.play(_IN_FORCE)
        bound = written_at + _IN_FORCE
        assert not world.late(_calm(world), 2, bound), seed


def test_node_without_peers_follows_the_store_by_itself() -> None:
    for seed in _SEEDS:
        world = World((4, 3, 3), seed)
        world.settle()
        readers = world.readers()
        alone = next(one for one in world.nodes if one not in readers)
        alone.has_peers = False
        world.play(_CONTACT)
        world.store.write_document(2)
        written_at = world.clock.now()
        world.play(_IN_FORCE)
        assert not world.late([alone], 2, written_at + _IN_FORCE), seed


def test_zone_gets_nothing_although_all_readers_lose_the_store() -> None:
    """Evacuations come the same way as the routing document."""
    for fault in _FAULTS:
        world = World((4, 3, 3), 1)
        world.settle()
        for reader in world.readers():
            _disturb(world, reader, fault)
        world.store.take_out('b')
        ordered_at = world.clock.now()
        world.play(_EVACUATED)
        known = [one.zone_out_at.get('b', 1e9) for one in _calm(world)]
        assert max(known) <= ordered_at + _EVACUATED, fault


@pytest.mark.parametrize('fault', ('cut', 'refused', 'lost'))
def test_node_that_reaches_the_store_again_alone_follows_it_in_time(
    fault: str,
) -> None:
    """All nodes lose it for long, and it answers one of them again."""
    for seed in _SEEDS:
        world = World((4, 3, 3), seed)
        world.settle()
        for node in world.nodes:
            node.store_fault = fault
        world.play(7 + world.random.uniform(0, 3))
        back = world.random.choice(world.nodes)
        world.store.write_document(2)
        back.store_fault = ''
        bound = world.clock.now() + _CONTACT
        world.play(_CONTACT)
        assert not world.late([back], 2, bound), (fault, seed)


def test_change_whose_answers_all_get_lost_is_in_force_in_time() -> None:
    """The answers to the watches get lost, and nothing else ever fails."""
    for seed in _SEEDS:
        world = World((4, 3, 3), seed)
        world.settle()
        for reader in world.readers():
            reader.store_fault = 'lost'
        world.store.write_document(2)
        for reader in world.nodes:
            reader.store_fault = ''
        bound = world.clock.now() + _CONTACT
        world.play(_CONTACT)
        assert not world.late(world.nodes, 2, bound), seed


def _price(world: World, seconds: float) -> float:
    before = world.store.price
    world.play(seconds)
    return world.store.price - before


@pytest.mark.parametrize('sizes', ((4, 3, 3), (21, 21, 21, 20), (39,) * 5))
def test_calm_store_is_paid_no_more_than_before(sizes: tuple[int, ...]) -> None:
    world = World(sizes, 1, loss=0.002)
    world.settle()
    seconds = 30
    price = _price(world, seconds)
    assert price <= _FORMER_PRICE_PER_ZONE * len(sizes) * seconds


def test_store_that_refuses_all_is_asked_little() -> None:
    world = World((4, 3, 3), 1)
    world.settle()
    for node in world.nodes:
        node.store_fault = 'refused'
    seconds = 30
    price = _price(world, seconds)
    assert price <= _FORMER_PRICE_PER_ZONE * 3 * seconds


def test_no_node_of_a_large_zone_sends_to_all_others() -> None:
    world = World((400, 3), 1)
    sent: dict[str, int] = {}
    for node in world.nodes:
        send = node.send

        def count_sent(
            address: str,
            message: object,
            node: Node = node,
            send: Callable[[str, object], None] = send,
        ) -> None:
            if isinstance(message, Confirmation):
                sent[node.id] = sent.get(node.id, 0) + 1
            send(address, message)

        node.send = count_sent  # type: ignore[method-assign]
    world.play(4)
    sent.clear()
    world.play(2)
    confirmations = 2 / 0.4
    assert max(sent.values()) <= 2 * 20 * confirmations + 40
    assert max(node.view.seconds for node in world.nodes) < 1.2


def test_pause_does_not_make_old_confirmations_look_new() -> None:
    """Datagrams that came during a pause say nothing about now."""
    world = World((4, 3, 3), 1)
    world.settle()
    readers = world.readers()
    node = next(one for one in world.nodes if one not in readers)
    node.is_frozen = True
    world.play(4)
    for reader in readers:
        reader.is_frozen = True
    world.play(2)
    node.is_frozen = False
    world.play(0.02)
    assert node.view.seconds > 4
