"""Tests how node logs are summarized by second."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from demo.day_log import Day, read_lines


def _line(second: int, event: str, **fields: Any) -> str:
    return json.dumps(
        {
            'node': 'vm-1',
            'event': event,
            'timestamp': f'2026-01-01T00:00:{second:02}.5Z',
            **fields,
        },
    )


def _day(tmp_path: Path, *lines: str) -> Day:
    path = tmp_path / 'log'
    path.write_text('\n'.join(lines), encoding='utf-8')
    day = Day()
    for line in read_lines([path]):
        day.add(line)
    return day


def test_attempts_are_counted_by_outcome(tmp_path: Path) -> None:
    answered = {'route': 'view', 'is_inner': False, 'status': 200}
    refused = {'route': 'view', 'is_inner': False, 'may_have_run': False}
    day = _day(
        tmp_path,
        _line(0, 'started'),
        '  3.5 vm-1 ' + _line(3, 'call answered', late_ms=-10, **answered),
        _line(3, 'call answered', late_ms=5, **answered),
        _line(4, 'call not answered', **refused),
        _line(4, 'call not answered', **{**refused, 'may_have_run': True}),
        _line(4, 'call answered', **{**answered, 'is_inner': True}),
        'not a log line',
    )
    assert day.outcomes['view'][3] == {'in time': 1, 'late': 1}
    assert day.outcomes['view'][4] == {'refused': 1, 'failed': 1}


def test_store_calls_start_from_zero_after_a_node_restarts(
    tmp_path: Path,
) -> None:
    day = _day(
        tmp_path,
        _line(0, 'started'),
        _line(5, 'state', store_calls=7),
        _line(10, 'state', store_calls=9),
        _line(12, 'started'),
        _line(17, 'state', store_calls=4),
    )
    assert day.store_calls == {5: 7, 10: 2, 17: 4}
    assert day.starts == {0: 1, 12: 1}
