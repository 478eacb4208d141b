"""The output of an operator's session equals that of a golden file."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from demo.harness import TOKEN, Deployment, deployment

_GOLDEN = Path(__file__).parent / 'golden' / 'operator_session.txt'
_PROGRAM = Path(sys.executable).parent / 'bluebellsillctl'
_TIMEOUT = 30.0  # seconds

_VALID = """\
[services.bookings]
priority = "critical"
expected_targets = 2
[availability-zones.piraeus]
[availability-zones.marousi]
"""
_INVALID = """\
[services.bookings]
priority = "urgent"
slots = 0
[availability-zones.Piraeus]
open = true
"""


def _ctl(running: Deployment, *arguments: str, token: str = TOKEN) -> str:
    """Run the program and return the command line, output and exit code."""
    operators = running.pairs[0].node.listening['operators']
    completed = subprocess.run(
        [str(_PROGRAM), *arguments, f'--node={operators}', f'--token={token}'],
        capture_output=True,
        check=False,
        timeout=_TIMEOUT,
        text=True,
        cwd=running.directory,
    )
    transcript = f'$ bluebellsillctl {" ".join(arguments)}\n'
    transcript += (
        completed.stdout + completed.stderr + f'exit {completed.returncode}\n\n'
    )
    for index, pair in enumerate(running.pairs):
        transcript = transcript.replace(pair.id, f'NODE-{index}')
    return transcript


def test_operator_session() -> None:
    with deployment() as running:
        (running.directory / 'good.toml').write_text(_VALID, encoding='utf-8')
        (running.directory / 'bad.toml').write_text(_INVALID, encoding='utf-8')
        running.add('piraeus', 'bookings', port=0)
        running.add('marousi', 'bookings')
        running.wait_ready()
        session = ''.join(
            [
                _ctl(running, 'get', 'services', token='wrong-token'),
                _ctl(running, 'apply', '-f', 'bad.toml'),
                _ctl(running, 'apply', '-f', 'good.toml'),
                _ctl(running, 'shift', 'start'),
                _ctl(running, 'apply', '-f', 'good.toml'),
                _ctl(running, 'drain', 'availability-zones', 'marousi'),
                _ctl(running, 'get', 'availability-zones', 'marousi'),
                _ctl(running, 'return', 'availability-zones', 'marousi'),
                _ctl(running, 'drain', 'services', 'bookings'),
                _ctl(running, 'get', 'services', 'nowhere'),
                _ctl(running, 'wait', '99', '--timeout=0.2'),
                _ctl(running, 'shift', 'end'),
                _ctl(running, 'delete', 'services', 'bookings'),
                _ctl(running, 'get', 'services'),
            ]
        )
    # To update the golden file after an intended change, delete it and run
    # the test twice.
    if not _GOLDEN.exists():
        _GOLDEN.write_text(session, encoding='utf-8')
        raise AssertionError(f'{_GOLDEN} was missing and has been written')
    assert session == _GOLDEN.read_text(encoding='utf-8')
