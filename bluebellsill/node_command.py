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
    """Run a node until a signal stops it."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run a node.

    Args:
        arguments: The command-line arguments without the program name.

    Returns:
        The exit status.
    """
    return run_node_program(
        'bluebellsill-node',
        'Run the node of one target. SIGTERM stops it gracefully: it accepts'
        ' no new requests and completes those in flight.',
        arguments,
        lambda path: load_toml(path, Settings),
        _serve,
    )


def _serve(path: Path, settings: Settings) -> None:
    # Imported here to keep --check and --help fast.
    from bluebellsill.node import Node  # noqa: PLC0415

    Node(settings).run()
