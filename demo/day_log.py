"""Reads from the logs of nodes what happened, by second."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from datetime import datetime
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

_OK = 300  # below it a status is a success

Seconds = dict[int, Counter[str]]


class Day:
    """What the lines tell, by second."""

    def __init__(self) -> None:
        self.outcomes: dict[str, Seconds] = defaultdict(
            lambda: defaultdict(Counter)
        )
        self.starts: Counter[int] = Counter()
        self.out: dict[int, set[str]] = defaultdict(set)
        self.store_calls: Counter[int] = Counter()
        self._known_calls: dict[str, float] = {}
        self._first: float | None = None

    def take(self, line: dict[str, Any]) -> None:
        """Take in one line."""
        at = datetime.fromisoformat(line['timestamp']).timestamp()
        if self._first is None:
            self._first = at
        second = int(at - self._first)
        event = line['event']
        if event in {'call answered', 'call not answered'}:
            self._take_call(second, line)
        elif event == 'started':
            self.starts[second] += 1
            self._known_calls.pop(line['node'], None)
        elif event == 'state':
            known = self._known_calls.get(line['node'], 0)
            self.store_calls[second] += line['store_calls'] - known
            self._known_calls[line['node']] = line['store_calls']
        elif line.get('zones_out'):
            self.out[second].update(line['zones_out'])

    def _take_call(self, second: int, line: dict[str, Any]) -> None:
        if line.get('is_inner'):
            return
        if line['event'] == 'call not answered':
            outcome = 'failed' if line['may_have_run'] else 'refused'
        elif line['status'] >= _OK:
            outcome = 'failed'
        else:
            outcome = 'late' if line['late_ms'] > 0 else 'in time'
        self.outcomes[line['route']][second][outcome] += 1


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the log lines of files in the order of their times."""
    texts = [
        text[text.find('{"') :]
        for path in paths
        for text in path.read_text(encoding='utf-8').splitlines()
        if '"timestamp"' in text
    ]
    lines = [json.loads(text) for text in texts]
    yield from sorted(lines, key=lambda line: str(line['timestamp']))
