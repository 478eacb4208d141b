"""The ``bluebellsill-load`` program, which generates load."""

from __future__ import annotations

import sys
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from msgspec import json
from result import Err

from bluebellsill import __version__
from bluebellsill.load.generator import LoadGenerator, LoadPlan
from bluebellsill.settings import load_toml

__all__ = ('main',)

EXIT_SETTINGS = 2  # exit status


class _PlayCommand(Command):
    name = 'play'
    description = 'Send requests to entry nodes and report latencies.'
    arguments = [argument('plan', 'The TOML file that describes the load.')]
    options = [
        option('json', None, 'Print the report as one JSON object.'),
        option('check', None, 'Validate the plan without running it.'),
    ]

    def handle(self) -> int:
        """Run the plan and print the report."""
        path = Path(self.argument('plan'))
        loaded = load_toml(path, LoadPlan)
        if isinstance(loaded, Err):
            for fault in loaded.err_value:
                self.line_error(f'{path}: {fault}')
            return EXIT_SETTINGS
        if self.option('check'):
            return 0
        generator = LoadGenerator(loaded.ok_value, _announce_start)
        generator.run()
        self._print(generator)
        return 0

    def _print(self, generator: LoadGenerator) -> None:
        report = generator.report()
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


def _announce_start() -> None:
    """Print the start event for programs that wait for the run to start."""
    sys.stderr.write('{"event":"started"}\n')
    sys.stderr.flush()


def main() -> None:
    """Run the program."""
    application = Application('bluebellsill-load', __version__)
    application.add(_PlayCommand())
    application.run()
