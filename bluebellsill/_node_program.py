"""The command line shared by the programs that run a node."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

from result import Err, Result

from bluebellsill import __version__

if TYPE_CHECKING:
    from collections.abc import Callable

EXIT_SETTINGS = 2  # exit status, see docs/OPERATIONS.md
EXIT_ADDRESS = 3  # exit status, see docs/OPERATIONS.md

_EPILOG = """\
exit codes:
  0  stopped gracefully, or the settings are valid (--check)
  2  the settings are invalid; every error is printed
  3  an address cannot be bound
"""

SettingsType = TypeVar('SettingsType')
Loaded = Result[SettingsType, Iterable[object]]


def run_node_program(
    name: str,
    description: str,
    arguments: list[str],
    load: Callable[[Path], Loaded[SettingsType]],
    serve: Callable[[Path, SettingsType], None],
) -> int:
    """Parse the command line, check the settings and run a node.

    Args:
        name: The program name.
        description: The description in the help text.
        arguments: The command-line arguments without the program name.
        load: Reads the settings, or returns their errors.
        serve: Runs the node until it has stopped; raises ``OSError`` if an
            address cannot be bound.

    Returns:
        The exit status.
    """
    parser = argparse.ArgumentParser(
        prog=name,
        description=description,
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
    loaded = load(options.settings)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            sys.stderr.write(f'{options.settings}: {fault}\n')
        return EXIT_SETTINGS
    if options.check:
        return 0
    try:
        serve(options.settings, loaded.ok_value)
    except OSError as error:
        sys.stderr.write(f'cannot bind an address: {error}\n')
        return EXIT_ADDRESS
    return 0
