"""Kills or freezes a process at each step of a payment, and pays again.

``python -m demo.kill_sweep [--workers 4]`` plays every role (entry node,
first and second holder of the key, the target's node, the target) at each
delay after the payment was sent, killed and frozen for three seconds. The
caller then sends the same key through the other nodes. A ledger outside of
the system counts what took effect.
"""

from __future__ import annotations

import argparse
import json
import signal
import sys
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import asdict, dataclass, field
from itertools import product
from time import monotonic, sleep
from typing import TYPE_CHECKING

from bluebellsill.rendezvous import rank
from demo.harness import Deployment, Pair, deployment
from demo.ledger import Ledger, ledger
from demo.program import Process
from tests.callers import Outcome, call, new_key

if TYPE_CHECKING:
    from collections.abc import Sequence

_ROLES = ('entry', 'first_holder', 'second_holder', 'target_node', 'target')
_DELAYS_MS = (0, 2, 4, 8, 16, 30, 60)
_ACTIONS = ('kill', 'freeze')
_SIZE = 6
_SERVICE = 'payments'
_PATH = f'/{_SERVICE}/pay?ms=25'
_CERTAIN = 10.0  # seconds after a change until keys are certain
_FROZEN = 3.0  # seconds
_PATIENCE = 8.0  # seconds in which the caller sends again
_PAUSE = 0.25  # seconds


@dataclass
class Round:
    """What one payment came to.

    Attributes:
        role: Which process was hit.
        action: How.
        delay_ms: When, after the payment was sent.
        first: What the first caller was told.
        later: What the caller was told when it sent again.
        runs: How often the payment took effect.
        faults: What must not be.
    """

    role: str
    action: str
    delay_ms: float
    first: str = ''
    later: list[str] = field(default_factory=list)
    runs: int = 0
    faults: list[str] = field(default_factory=list)


class Sweep:
    """Plays rounds at a deployment of its own."""

    def __init__(self, running: Deployment, book: Ledger) -> None:
        """Start the pairs and wait until keys are certain."""
        self._running = running
        self._book = book
        self._behaviour = {'ledger': book.address}
        places = [('abc'[one % 3], _SERVICE) for one in range(_SIZE)]
        running.start_pairs(places, self._behaviour)
        running.declare({_SERVICE: {'expected_targets': _SIZE}})
        # A node without a target, so that no role falls on it twice.
        running.add('a', '')
        running.wait_ready()
        sleep(_CERTAIN)

    def play(self, found: Round) -> Round:
        """Play one round and replace what was killed."""
        entry = self._running.of_service('')[0]
        key = new_key()
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(_pay, key, entry)
            sleep(found.delay_ms / 1000)
            victim = self._victim(found.role, key, entry)
            process = self._hit(found, victim)
            self._pay_again(found, key, first, victim)
            process.send(signal.SIGCONT)
            outcome = first.result()
        found.first = _text(outcome)
        found.runs = self._book.runs(key)
        self._judge(found, outcome)
        self._replace(found, victim)
        return found

    def _holders(self, key: str) -> list[str]:
        ids = [pair.id for pair in self._running.of_service(_SERVICE)]
        return rank(f'outside\0{_SERVICE}\0{key}', ids, 2)

    def _victim(self, role: str, key: str, entry: Pair) -> Pair:
        by_id = {pair.id: pair for pair in self._running.pairs}
        first, second = self._holders(key)
        if role == 'entry':
            return entry
        if role == 'first_holder':
            return by_id[first]
        if role == 'second_holder':
            return by_id[second]
        return self._running_pair() or by_id[first]

    def _running_pair(self) -> Pair | None:
        """Return the pair whose target runs the payment, if one does."""
        for pair in self._running.of_service(_SERVICE):
            if pair.target_stats()['running']:
                return pair
        return None

    def _hit(self, found: Round, victim: Pair) -> Process:
        process = victim.target if found.role == 'target' else victim.node
        assert process is not None
        if found.action == 'kill':
            process.kill()
        else:
            process.send(signal.SIGSTOP)
        return process

    def _pay_again(
        self,
        found: Round,
        key: str,
        first: Future[Outcome],
        victim: Pair,
    ) -> None:
        """Send the key through the other nodes until its outcome is sure."""
        others = [pair for pair in self._running.pairs if pair is not victim]
        started_at = monotonic()
        turn = 0
        while monotonic() - started_at < _PATIENCE:
            if first.done() and first.result().status == 200:
                # It is sent twice more, as a nervous caller would.
                found.later += [_text(_pay(key, one)) for one in others[:2]]
                return
            outcome = _pay(key, others[turn % len(others)])
            turn += 1
            if _text(outcome) not in found.later[-1:]:
                found.later.append(_text(outcome))
            if outcome.status == 200 and monotonic() - started_at > _FROZEN:
                return
            sleep(_PAUSE)

    def _judge(self, found: Round, first: Outcome) -> None:
        if found.runs > 1:
            found.faults.append(f'took effect {found.runs} times')
        if 'answered' in (found.first, *found.later) and not found.runs:
            found.faults.append('answered, but took no effect')
        if (
            first.run == 'not-run'
            and found.runs
            and 'answered' not in (found.later)
        ):
            found.faults.append('said not run, but took effect')

    def _replace(self, found: Round, victim: Pair) -> None:
        running = self._running
        if found.action == 'kill':
            # It comes back at its address, as a restarted VM does.
            running.pairs.remove(victim)
            victim.node.kill()
            if victim.target is not None:
                victim.target.kill()
            seeds = [pair.id for pair in running.pairs]
            running.add(
                victim.zone,
                victim.service,
                behaviour=self._behaviour,
                seeds=seeds,
                port=int(victim.id.rpartition(':')[2]),
            )
        running.wait_ready(_PATIENCE * 3)
        sleep(_CERTAIN)


def _pay(key: str, entry: Pair) -> Outcome:
    return call(entry.callers, _PATH, method='POST', key=key, order=key)


def _text(outcome: Outcome) -> str:
    return 'answered' if outcome.status == 200 else outcome.kind


def _work(rounds: Sequence[Round]) -> list[Round]:
    with ExitStack() as stack:
        book = stack.enter_context(ledger())
        sweep = Sweep(stack.enter_context(deployment()), book)
        return [_report(sweep.play(one)) for one in rounds]


def _report(found: Round) -> Round:
    sys.stdout.write(f'{json.dumps(asdict(found))}\n')
    sys.stdout.flush()
    return found


def main() -> int:
    """Play all rounds; the exit code is 1 if anything was wrong."""
    parser = argparse.ArgumentParser(prog='demo.kill_sweep')
    parser.add_argument('--workers', type=int, default=4)
    workers = parser.parse_args().workers
    rounds = [
        Round(role, action, delay)
        for action, delay, role in product(_ACTIONS, _DELAYS_MS, _ROLES)
    ]
    with ThreadPoolExecutor(workers) as pool:
        shares = [rounds[one::workers] for one in range(workers)]
        played = [one for share in pool.map(_work, shares) for one in share]
    faults = [one for one in played if one.faults]
    told = sum(one.first == 'answered' for one in played)
    settled = sum('answered' in one.later for one in played)
    refused = sum(one.first == 'key_unavailable' for one in played)
    sys.stdout.write(
        f'{len(played)} payments, {refused} refused at once, {told} answered at once, {settled} when sent'
        f' again, {sum(one.runs for one in played)} effects,'
        f' {len(faults)} with faults\n',
    )
    return int(bool(faults))


if __name__ == '__main__':
    sys.exit(main())
