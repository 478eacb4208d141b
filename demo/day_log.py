"""Summarizes the logs of nodes by second."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from datetime import datetime
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

_MIN_FAILURE_STATUS = 300

Seconds = dict[int, Counter[str]]


class Day:
    """The events in the logs, counted by second."""

    def __init__(self) -> None:
        self.outcomes: dict[str, Seconds] = defaultdict(
            lambda: defaultdict(Counter)
        )
        self.starts: Counter[int] = Counter()
        self.zones_out: dict[int, set[str]] = defaultdict(set)
        self.store_calls: Counter[int] = Counter()
        self._calls_by_node: dict[str, float] = {}
        self._first_at: float | None = None

    def add(self, line: dict[str, Any]) -> None:
        """Count the event of one log line."""
        at = datetime.fromisoformat(line['timestamp']).timestamp()
        if self._first_at is None:
            self._first_at = at
        second = int(at - self._first_at)
        event = line['event']
        if event in {'call answered', 'call not answered'}:
            self._add_call(second, line)
        elif event == 'started':
            self.starts[second] += 1
            self._calls_by_node.pop(line['node'], None)
        elif event == 'state':
            previous = self._calls_by_node.get(line['node'], 0)
            self.store_calls[second] += line['store_calls'] - previous
            self._calls_by_node[line['node']] = line['store_calls']
        elif line.get('zones_out'):
            self.zones_out[second].update(line['zones_out'])

    def _add_call(self, second: int, line: dict[str, Any]) -> None:
        if line.get('is_inner'):
            return
        if line['event'] == 'call not answered':
            outcome = 'failed' if line['may_have_run'] else 'refused'
        elif line['status'] >= _MIN_FAILURE_STATUS:
            outcome = 'failed'
        else:
            outcome = 'late' if line['late_ms'] > 0 else 'in time'
        self.outcomes[line['route']][second][outcome] += 1


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the log lines of files, ordered by timestamp."""
    texts = [
        text[text.find('{"') :]
        for path in paths
        for text in path.read_text(encoding='utf-8').splitlines()
        if '"timestamp"' in text
    ]
    lines = [json.loads(text) for text in texts]
    yield from sorted(lines, key=lambda line: str(line['timestamp']))
