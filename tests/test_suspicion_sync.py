"""Tests that nodes which start, or missed reports, learn what crashes targets.

A rolling restart used to forget it (review/9): each restarted node sent a
request that had crashed the targets of others to its own target anew.
"""

from __future__ import annotations

from collections import deque
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from msgspec.structs import replace

from bluebellsill.clock import ManualClock
from bluebellsill.crash_replication import CrashReplicator
from bluebellsill.gossip_messages import Member, SuspicionQuery
from bluebellsill.membership import Members, MemberState
from bluebellsill.messages import CrashReport, Message, decode, encode
from bluebellsill.quarantine import Quarantine
from bluebellsill.suspicion_sync import SuspicionSync
from bluebellsill.timers import TimerService

_SERVICE = 'catalog'
_POISON = 7
_STEP = 0.05  # seconds
_CONTACT = 3.0  # seconds after which a node must know what its peers know


class _Node:
    """One node with its quarantine; the links and datagrams are simulated."""

    def __init__(
        self, world: _World, node_id: str, incarnation: int, *, is_first: bool
    ) -> None:
        self.world = world
        self.timers = TimerService(world.clock)
        self.inbox: deque[tuple[str, Message]] = deque()
        self.is_frozen = False
        self.is_cut_off = False
        own = Member(
            node_id, incarnation, 0, int(MemberState.READY), 'a', _SERVICE
        )
        self.id = node_id
        self.members = Members(own)
        self.quarantine = Quarantine()
        random = Random(world.random.random())
        self.links: Any = SimpleNamespace(now=world.clock.now, send=self._send)
        self.gossip_task: Any = SimpleNamespace()
        handlers: dict[type, Any] = {}
        peers: Any = SimpleNamespace(
            members=self.members,
            links=self.links,
            gossip=SimpleNamespace(send=self._send_datagram),
            gossip_task=self.gossip_task,
            server=SimpleNamespace(on=handlers.__setitem__),
        )
        self.handlers = handlers
        self.crashes = CrashReplicator(
            self.members, self.links, self.quarantine, random
        )
        self.sync = SuspicionSync(
            peers,
            self.quarantine,
            self.crashes,
            self.timers,
            random,
            is_first_start=is_first,
        )

    def refuses(self, fingerprint: int) -> bool:
        """Return whether a request is not sent to the target."""
        now = self.world.clock.now()
        return not self.sync.is_current or self.quarantine.is_refused(
            fingerprint, now
        )

    def receive(self) -> None:
        """Handle what has arrived."""
        while self.inbox:
            sender, message = self.inbox.popleft()
            if isinstance(message, CrashReport):
                connection = SimpleNamespace(member_id=sender)
                self.handlers[CrashReport](connection, message)
            else:
                self.gossip_task.on_suspicion_query(message)

    def _send_datagram(self, receiver: str, message: Message) -> None:
        if self.world.random.random() >= self.world.loss:
            self._send(receiver, message)

    def _send(self, receiver: str, message: Message) -> None:
        self.world.messages += 1
        other = self.world.nodes.get(receiver)
        if other is not None and not (self.is_cut_off or other.is_cut_off):
            # The encoding is part of what nodes agree on.
            other.inbox.append((self.id, decode(encode(message))))


class _World:
    """The nodes of one service."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.random = Random(seed)
        self.clock = ManualClock(1000)
        self.nodes: dict[str, _Node] = {}
        self.loss = 0.0  # share of the datagrams
        self.messages = 0
        self._incarnations = 0
        self._crashes = 0
        for index in range(size):
            self.start(f'10.0.0.{index}:1', is_first=True)

    def start(self, node_id: str, *, is_first: bool = False) -> _Node:
        """Start a node, which replaces an earlier process."""
        self._incarnations += 1
        node = _Node(self, node_id, self._incarnations, is_first=is_first)
        self.nodes[node_id] = node
        for other in self.nodes.values():
            other.members.merge(node.members.own, self.clock.now())
            node.members.merge(other.members.own, self.clock.now())
        return node

    def crash(self, node: _Node, *fingerprints: int) -> None:
        """Let the target of a node crash while it runs some requests."""
        self._crashes += 1
        node.crashes.on_crash(f'start-{self._crashes}', list(fingerprints))

    def answer(self, node: _Node, fingerprint: int) -> None:
        """Let the target of a node answer a request."""
        if node.quarantine.on_answer(fingerprint):
            node.crashes.on_cleared(fingerprint)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)
            for node in tuple(self.nodes.values()):
                if not node.is_frozen:
                    node.receive()
                    node.timers.run_due()
                    node.receive()

    def ids(self) -> list[str]:
        """Return the ids of the nodes."""
        return list(self.nodes)


def _quarantined(size: int = 3) -> _World:
    world = _World(size)
    first, second = list(world.nodes.values())[:2]
    world.crash(first, _POISON)
    world.crash(second, _POISON)
    world.run(0.2)
    return world


def test_rolling_restart_keeps_what_crashes_targets() -> None:
    world = _quarantined()
    for _ in range(2):
        for node_id in world.ids():
            node = world.start(node_id)
            for _ in range(60):
                assert node.refuses(_POISON)
                world.run(_STEP)
            assert node.sync.is_current
            assert not node.refuses(99)


def test_node_that_starts_runs_nothing_before_a_peer_has_answered() -> None:
    world = _quarantined()
    world.loss = 1.0
    node = world.start(world.ids()[2])
    world.run(1.0)
    assert not node.sync.is_current
    world.loss = 0
    world.run(0.3)
    assert node.sync.is_current
    assert node.refuses(_POISON)


def test_node_without_an_answer_goes_on_after_a_bounded_time() -> None:
    world = _quarantined()
    world.loss = 1.0
    node = world.start(world.ids()[2])
    world.run(2.0)
    assert node.sync.is_current


def test_node_that_meets_its_peers_late_asks_them_before_it_goes_on() -> None:
    """The store and its seeds may have been away when it started."""
    world = _quarantined()
    node_id = world.ids()[2]
    world.nodes[node_id].is_cut_off = True
    own = Member(node_id, 99, 0, int(MemberState.READY), 'a', _SERVICE)
    node = world.start(node_id)
    node.is_cut_off = True
    node.members = node.sync._members = Members(own)
    world.run(2)
    assert node.sync.is_current
    node.is_cut_off = False
    for other in world.nodes.values():
        node.members.merge(other.members.own, world.clock.now())
    while node.sync.is_current:
        world.run(_STEP)
    world.run(0.3)
    assert node.sync.is_current
    assert node.refuses(_POISON)


def test_node_that_took_itself_for_the_only_one_asks_peers_it_meets() -> None:
    """In a large deployment it may learn of them late."""
    world = _quarantined()
    node_id = world.ids()[2]
    own = Member(node_id, 99, 0, int(MemberState.READY), 'a', _SERVICE)
    node = world.start(node_id)
    node.members = node.sync._members = Members(own)
    other = Member('10.0.1.1:1', 1, 0, int(MemberState.READY), 'a', 'other')
    node.members.merge(other, world.clock.now())
    world.run(0.8)
    assert node.sync.is_current
    for peer in world.nodes.values():
        node.members.merge(peer.members.own, world.clock.now())
    while node.sync.is_current:
        world.run(_STEP)
    world.run(0.3)
    assert node.sync.is_current
    assert node.refuses(_POISON)


def test_stranger_is_answered_and_becomes_known() -> None:
    """Of nodes that start together either may know the other first."""
    world = _quarantined()
    node = world.nodes[world.ids()[0]]
    stranger = Member('10.0.7.1:1', 1, 0, int(MemberState.JOINING), 'a', 's')
    world.messages = 0
    node.gossip_task.on_suspicion_query(SuspicionQuery(stranger, 1, 2))
    assert world.messages == 1
    assert stranger.id in node.members.by_id


def test_query_without_an_address_is_ignored() -> None:
    world = _quarantined()
    node = world.nodes[world.ids()[0]]
    world.messages = 0
    for text in ('no address', 'host:99999', ''):
        sender = Member(text, 1, 0, int(MemberState.READY), 'a', _SERVICE)
        node.gossip_task.on_suspicion_query(SuspicionQuery(sender, 1, 2))
        assert text not in node.members.by_id
    assert world.messages == 0


def test_only_node_of_a_service_does_not_wait_for_others() -> None:
    world = _World(1)
    node = world.start(world.ids()[0])
    other = Member('10.0.1.1:1', 1, 0, int(MemberState.READY), 'a', 'other')
    node.members.merge(other, world.clock.now())
    world.run(0.4)
    assert node.sync.is_current


def test_nodes_that_start_together_do_not_wait_for_each_other() -> None:
    """All knowledge is lost then: nothing of it is kept outside the nodes."""
    world = _quarantined()
    nodes = [world.start(node_id) for node_id in world.ids()]
    world.run(0.5)
    assert all(node.sync.is_current for node in nodes)
    assert not any(node.refuses(_POISON) for node in nodes)


def test_large_service_that_starts_together_does_not_wait_long() -> None:
    """A node of it never gets an answer of each of the others in time."""
    world = _World(60)
    nodes = [world.start(node_id) for node_id in world.ids()]
    world.run(0.4)
    assert all(node.sync.is_current for node in nodes)


def test_answer_of_a_node_that_has_just_started_is_not_enough() -> None:
    world = _quarantined(4)
    ids = world.ids()
    world.nodes[ids[0]].is_frozen = world.nodes[ids[1]].is_frozen = True
    early = world.start(ids[3])
    late = world.start(ids[2])
    world.run(0.4)
    assert not late.sync.is_current
    assert not early.sync.is_current
    world.nodes[ids[0]].is_frozen = False
    world.run(0.3)
    assert late.refuses(_POISON)
    assert late.sync.is_current
    assert early.sync.is_current


@pytest.mark.parametrize('by', ['freeze', 'cut'])
def test_missed_reports_are_learned_soon_after(by: str) -> None:
    world = _World(5)
    nodes = list(world.nodes.values())
    absent = nodes[4]
    absent.is_cut_off = True
    absent.is_frozen = by == 'freeze'
    world.crash(nodes[0], _POISON)
    world.crash(nodes[1], _POISON)
    world.run(4)
    assert not absent.quarantine.is_refused(_POISON, world.clock.now())
    absent.is_cut_off = absent.is_frozen = False
    absent.gossip_task.on_interrupted()
    assert absent.refuses(_POISON)
    world.run(0.3)
    assert absent.sync.is_current
    assert absent.quarantine.is_refused(_POISON, world.clock.now())


def test_peers_that_seem_to_be_gone_after_a_cut_are_asked() -> None:
    world = _quarantined()
    nodes = list(world.nodes.values())
    world.run(_CONTACT)
    nodes[2].is_cut_off = True
    world.answer(nodes[0], _POISON)
    for node in nodes[:2]:
        gone = replace(node.members.own, version=9, state=int(MemberState.GONE))
        nodes[2].members.merge(gone, world.clock.now())
    world.run(4)
    nodes[2].is_cut_off = False
    nodes[2].gossip_task.on_interrupted()
    assert not nodes[2].sync.is_current
    world.run(0.3)
    assert nodes[2].sync.is_current
    assert not nodes[2].refuses(_POISON)


def test_missed_report_is_learned_also_without_notice() -> None:
    world = _World(5)
    nodes = list(world.nodes.values())
    nodes[4].is_cut_off = True
    world.crash(nodes[0], _POISON)
    world.crash(nodes[1], _POISON)
    nodes[4].is_cut_off = False
    world.run(_CONTACT)
    assert nodes[4].quarantine.is_refused(_POISON, world.clock.now())


def test_answer_counts_also_at_nodes_that_missed_it() -> None:
    world = _quarantined()
    nodes = list(world.nodes.values())
    nodes[2].is_cut_off = True
    world.answer(nodes[0], _POISON)
    world.run(0.2)
    assert nodes[2].refuses(_POISON)
    nodes[2].is_cut_off = False
    world.run(_CONTACT)
    assert not any(node.refuses(_POISON) for node in nodes)


def test_old_crashes_do_not_come_back_after_an_answer() -> None:
    """A node that still holds them must not infect the others with them."""
    world = _quarantined()
    nodes = list(world.nodes.values())
    nodes[2].is_cut_off = True
    world.answer(nodes[0], _POISON)
    world.run(0.2)
    restarted = world.start(nodes[1].id)
    nodes[2].is_cut_off = False
    world.run(_CONTACT)
    assert not any(node.refuses(_POISON) for node in world.nodes.values())
    assert not restarted.refuses(_POISON)


def test_crash_that_the_answering_node_did_not_know_counts() -> None:
    world = _quarantined()
    nodes = list(world.nodes.values())
    nodes[2].is_cut_off = True
    world.crash(nodes[2], _POISON)
    world.answer(nodes[0], _POISON)
    world.run(0.2)
    nodes[2].is_cut_off = False
    world.run(_CONTACT)
    assert not any(node.refuses(_POISON) for node in nodes)
    world.crash(nodes[0], _POISON)
    world.run(0.2)
    assert all(node.refuses(_POISON) for node in nodes)


def test_suspicion_ends_although_nodes_tell_each_other_of_it() -> None:
    world = _quarantined()
    world.run(590)
    assert all(node.refuses(_POISON) for node in world.nodes.values())
    world.run(20)
    assert not any(node.refuses(_POISON) for node in world.nodes.values())


def test_report_of_a_node_of_an_earlier_version_counts() -> None:
    world = _World(2)
    node = world.nodes[world.ids()[0]]
    connection: Any = SimpleNamespace(member_id='10.0.9.9:1')
    node.handlers[CrashReport](connection, CrashReport('a/1', [_POISON], []))
    node.handlers[CrashReport](connection, CrashReport('b/1', [_POISON], []))
    assert node.refuses(_POISON)
    node.handlers[CrashReport](connection, CrashReport('', [], [_POISON]))
    assert not node.refuses(_POISON)


def test_cost_of_a_crash_does_not_grow_with_the_service() -> None:
    """The source tells 16 others; each node passes news on to three."""
    world = _World(200)
    nodes = list(world.nodes.values())
    world.messages = 0
    world.crash(nodes[0], _POISON)
    assert world.messages == 16
    world.crash(nodes[1], _POISON)
    world.run(_CONTACT)
    knowing = sum(node.refuses(_POISON) for node in nodes)
    assert knowing == len(nodes)


def test_nodes_that_know_the_same_send_one_query_a_second() -> None:
    world = _quarantined(10)
    world.run(_CONTACT)
    world.messages = 0
    world.run(10)
    assert world.messages <= 11 * len(world.nodes)


@pytest.mark.parametrize('seed', range(40))
def test_random_restarts_freezes_and_cuts_let_few_crashes_through(
    seed: int,
) -> None:
    """A request that always crashes its target comes again at any node.

    A node may send it until it knows of two crashes; one that is in touch
    since the contact time does.
    """
    world = _World(5, seed)
    world.loss = 0.2
    random = world.random
    quarantined_at: float | None = None
    disturbed_until = dict.fromkeys(world.ids(), 0.0)
    for _ in range(120):
        now = world.clock.now()
        node_id = random.choice(world.ids())
        victim = world.nodes[node_id]
        kind = random.choice(('restart', 'freeze', 'cut', 'none', 'none'))
        others = [one for one in world.ids() if one != node_id]
        # One node at a time: what all have forgotten is lost.
        is_calm = all(disturbed_until[one] + _CONTACT <= now for one in others)
        seconds = random.choice((0.3, 1.0, 4.0))
        if kind == 'restart' and is_calm:
            victim = world.start(node_id)
            disturbed_until[node_id] = now
        elif kind in {'freeze', 'cut'} and is_calm:
            victim.is_cut_off = True
            victim.is_frozen = kind == 'freeze'
            world.run(seconds)
            victim.is_cut_off = victim.is_frozen = False
            disturbed_until[node_id] = world.clock.now()
            if seconds > 1.5:
                victim.gossip_task.on_interrupted()
        target = world.nodes[random.choice(world.ids())]
        if not target.refuses(_POISON):
            now = world.clock.now()
            is_in_touch = disturbed_until[target.id] + _CONTACT <= now
            is_late = (
                quarantined_at is not None and now - quarantined_at > _CONTACT
            )
            assert not (is_late and is_in_touch), (seed, target.id)
            world.crash(target, _POISON)
            if quarantined_at is None and target.refuses(_POISON):
                quarantined_at = now
        world.run(random.choice((0.05, 0.5, 1.5)))
    assert quarantined_at is not None
