"""The ``bluebellsill-node`` program."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from bluebellsill._node_program import EXIT_SETTINGS, run_node_program
from bluebellsill.settings import Settings, load_toml

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ('EXIT_SETTINGS', 'main', 'run')


def main() -> None:
    """Run a node until it is told to stop."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run a node.

    Args:
        arguments: The command line without the program's name.

    Returns:
        The exit code.
    """
    return run_node_program(
        'bluebellsill-node',
        'Run the node beside one target. SIGTERM stops it gracefully: it takes'
        ' no new work and finishes what is in flight.',
        arguments,
        lambda path: load_toml(path, Settings),
        _serve,
    )


def _serve(path: Path, settings: Settings) -> None:
    # Imported late, so that --check and --help stay quick.
    from bluebellsill.node import Node  # noqa: PLC0415

    Node(settings).run()
