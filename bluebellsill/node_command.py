"""The ``bluebellsill-node`` program."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from result import Err

from bluebellsill import __version__
from bluebellsill.settings import Settings, load_toml

__all__ = ('main',)

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3

_EPILOG = """\
exit codes:
  0  stopped gracefully, or the settings are valid (--check)
  2  the settings are not valid; every fault is printed
  3  an address cannot be bound
"""


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
    parser = argparse.ArgumentParser(
        prog='bluebellsill-node',
        description='Run the node beside one target. SIGTERM stops it'
        ' gracefully: it takes no new work and finishes what is in flight.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('settings', type=Path, help='the TOML settings file')
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings without starting',
    )
    parser.add_argument('--version', action='version', version=__version__)
    options = parser.parse_args(arguments)
    loaded = load_toml(options.settings, Settings)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            sys.stderr.write(f'{options.settings}: {fault}\n')
        return EXIT_SETTINGS
    if options.check:
        return 0
    return _serve(loaded.ok_value)


def _serve(settings: Settings) -> int:
    # Imported late, so that --check and --help stay quick.
    from bluebellsill.node import Node  # noqa: PLC0415

    try:
        node = Node(settings)
    except OSError as error:
        sys.stderr.write(f'cannot listen: {error}\n')
        return EXIT_ADDRESS
    node.run()
    return 0
