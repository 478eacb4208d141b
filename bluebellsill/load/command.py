"""The ``bluebellsill-load`` program."""

from __future__ import annotations

import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from msgspec import json
from result import Err

from bluebellsill import __version__
from bluebellsill.load.player import Load, LoadPlan
from bluebellsill.settings import load_toml

__all__ = ('main',)

EXIT_SETTINGS = 2  # exit code


class _PlayCommand(Command):
    name = 'play'
    description = 'Play a load against entry nodes and report latencies.'
    arguments = [argument('plan', 'The TOML file that describes the load.')]
    options = [
        option('json', None, 'Print the report as one JSON object.'),
        option('check', None, 'Validate the plan without playing it.'),
    ]

    def handle(self) -> int:
        """Play the plan to its end."""
        path = Path(self.argument('plan'))
        loaded = load_toml(path, LoadPlan)
        if isinstance(loaded, Err):
            for fault in loaded.err_value:
                self.line_error(f'{path}: {fault}')
            return EXIT_SETTINGS
        if self.option('check'):
            return 0
        load = Load(loaded.ok_value, _tell_start)
        load.run()
        self._print(load)
        return 0

    def _print(self, load: Load) -> None:
        report = load.report()
        if self.option('json'):
            line = json.encode(report).decode()
            sys.stdout.write(f'{line}\n')
            return
        rows = [
            [
                name,
                str(stream['counts'].get('calls', 0)),
                str(stream['counts'].get('answered', 0)),
                f'{stream["latency"]["p50_ms"]:.2f}',
                f'{stream["latency"]["p99_ms"]:.2f}',
                f'{stream["latency"]["p999_ms"]:.2f}',
            ]
            for name, stream in report['streams'].items()
        ]
        headers = [
            'stream',
            'calls',
            'answered',
            'p50 ms',
            'p99 ms',
            'p99.9 ms',
        ]
        self.render_table(headers, rows)


def _tell_start() -> None:
    """Tell whoever follows the load that its time has started."""
    sys.stderr.write('{"event":"started"}\n')
    sys.stderr.flush()


def main() -> None:
    """Run the program."""
    application = Application('bluebellsill-load', __version__)
    application.add(_PlayCommand())
    application.run()
