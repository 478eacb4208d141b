"""Kills or freezes processes during payments, then retries the payments.

``python -m demo.kill_sweep [--workers 4]`` covers every role (entry node,
first and second holder of the key, the target's node, the target) and every
delay after the payment was sent. The process is killed, or frozen for three
seconds; the caller then retries the same key through the other nodes. A ledger
outside of the system counts how often each payment took effect.
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
_SIZE = 6  # pairs of a node and a target
_SERVICE = 'payments'
_PATH = f'/{_SERVICE}/pay?ms=25'
# Seconds after a membership change until nodes accept idempotency keys as new.
_KEY_GRACE = 10.0
_FREEZE_TIME = 3.0  # seconds until retries may end and the process resumes
_RETRY_TIME = 8.0  # seconds for which the caller retries
_RETRY_PAUSE = 0.25  # seconds between two retries


@dataclass
class Round:
    """One payment, the fault during it and the result.

    Attributes:
        role: The role of the process that was killed or frozen.
        action: What was done to it: ``kill`` or ``freeze``.
        delay_ms: The time of the action, after the payment was sent.
        first: The outcome of the first attempt.
        later: The outcomes of the retries.
        runs: How often the payment took effect.
        faults: The guarantees that were violated.
    """

    role: str
    action: str
    delay_ms: float
    first: str = ''
    later: list[str] = field(default_factory=list)
    runs: int = 0
    faults: list[str] = field(default_factory=list)


class Sweep:
    """Runs rounds on a deployment of its own."""

    def __init__(self, running: Deployment, book: Ledger) -> None:
        """Start the pairs and wait until nodes accept new keys."""
        self._running = running
        self._book = book
        self._behaviour = {'ledger': book.address}
        places = [('abc'[one % 3], _SERVICE) for one in range(_SIZE)]
        running.start_pairs(places, self._behaviour)
        running.declare({_SERVICE: {'expected_targets': _SIZE}})
        # A node without a target, so that no process has two roles.
        running.add('a', '')
        running.wait_ready()
        sleep(_KEY_GRACE)

    def run(self, round_: Round) -> Round:
        """Run one round and replace the killed processes."""
        entry = self._running.of_service('')[0]
        key = new_key()
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(_pay, key, entry)
            sleep(round_.delay_ms / 1000)
            victim = self._victim(round_.role, key, entry)
            process = self._disrupt(round_, victim)
            self._retry_payment(round_, key, first, victim)
            process.send(signal.SIGCONT)
            outcome = first.result()
        round_.first = _describe(outcome)
        round_.runs = self._book.runs(key)
        self._check(round_, outcome)
        self._replace(round_, victim)
        return round_

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
        """Return the pair whose target is handling the payment, if any."""
        for pair in self._running.of_service(_SERVICE):
            if pair.target_stats()['running']:
                return pair
        return None

    def _disrupt(self, round_: Round, victim: Pair) -> Process:
        process = victim.target if round_.role == 'target' else victim.node
        assert process is not None
        if round_.action == 'kill':
            process.kill()
        else:
            process.send(signal.SIGSTOP)
        return process

    def _retry_payment(
        self,
        round_: Round,
        key: str,
        first: Future[Outcome],
        victim: Pair,
    ) -> None:
        """Retry through the other nodes until the outcome is known."""
        others = [pair for pair in self._running.pairs if pair is not victim]
        started_at = monotonic()
        turn = 0
        while monotonic() - started_at < _RETRY_TIME:
            if first.done() and first.result().status == 200:
                # Retry twice after the answer, as an impatient caller would.
                round_.later += [
                    _describe(_pay(key, one)) for one in others[:2]
                ]
                return
            outcome = _pay(key, others[turn % len(others)])
            turn += 1
            if _describe(outcome) not in round_.later[-1:]:
                round_.later.append(_describe(outcome))
            if (
                outcome.status == 200
                and monotonic() - started_at > _FREEZE_TIME
            ):
                return
            sleep(_RETRY_PAUSE)

    def _check(self, round_: Round, first: Outcome) -> None:
        if round_.runs > 1:
            round_.faults.append(f'took effect {round_.runs} times')
        if 'answered' in (round_.first, *round_.later) and not round_.runs:
            round_.faults.append('answered, but did not take effect')
        if (
            first.run == 'not-run'
            and round_.runs
            and 'answered' not in (round_.later)
        ):
            round_.faults.append('reported as not run, but took effect')

    def _replace(self, round_: Round, victim: Pair) -> None:
        running = self._running
        if round_.action == 'kill':
            # The new pair gets the same address, as after a restart of a VM.
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
        running.wait_ready(_RETRY_TIME * 3)
        sleep(_KEY_GRACE)


def _pay(key: str, entry: Pair) -> Outcome:
    return call(entry.callers, _PATH, method='POST', key=key, order=key)


def _describe(outcome: Outcome) -> str:
    return 'answered' if outcome.status == 200 else outcome.kind


def _run_rounds(rounds: Sequence[Round]) -> list[Round]:
    with ExitStack() as stack:
        book = stack.enter_context(ledger())
        sweep = Sweep(stack.enter_context(deployment()), book)
        return [_report(sweep.run(one)) for one in rounds]


def _report(round_: Round) -> Round:
    sys.stdout.write(f'{json.dumps(asdict(round_))}\n')
    sys.stdout.flush()
    return round_


def main() -> int:
    """Run all rounds; the exit code is 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog='demo.kill_sweep')
    parser.add_argument('--workers', type=int, default=4)
    workers = parser.parse_args().workers
    rounds = [
        Round(role, action, delay)
        for action, delay, role in product(_ACTIONS, _DELAYS_MS, _ROLES)
    ]
    with ThreadPoolExecutor(workers) as pool:
        shares = [rounds[one::workers] for one in range(workers)]
        completed = [
            one for share in pool.map(_run_rounds, shares) for one in share
        ]
    faults = [one for one in completed if one.faults]
    answered = sum(one.first == 'answered' for one in completed)
    settled = sum('answered' in one.later for one in completed)
    refused = sum(one.first == 'key_unavailable' for one in completed)
    sys.stdout.write(
        f'{len(completed)} payments, {refused} refused at once,'
        f' {answered} answered at once, {settled} on retry,'
        f' {sum(one.runs for one in completed)} effects,'
        f' {len(faults)} with faults\n',
    )
    return int(bool(faults))


if __name__ == '__main__':
    sys.exit(main())
